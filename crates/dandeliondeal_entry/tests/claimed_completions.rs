//! Non-repeatable completions with idempotency keys, at three entry instances over real sockets.

mod claim_fleet;

use std::collections::BTreeSet;

use claim_fleet::{CallReply, ClaimFleet, FleetSettings};
use futures_util::future::join_all;

fn completion_text(reply: &CallReply) -> String {
    let body: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    body["choices"][0]["text"]
        .as_str()
        .expect("text")
        .to_owned()
}

/// Returns the requests that the engine ran steps for.
fn generated_requests(fleet: &ClaimFleet) -> BTreeSet<String> {
    let ledger = fleet.engine.ledger();
    ledger
        .iter()
        .map(|entry| entry.request.to_string())
        .collect()
}

#[actix_rt::test]
async fn single_generation() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    let replies = join_all((0..9).map(|index| fleet.complete(index % 3, "k", false))).await;
    for reply in &replies {
        assert_eq!(
            (reply.status, &*reply.outcome),
            (200, "answered"),
            "{reply:?}"
        );
        assert_eq!(completion_text(reply), completion_text(&replies[0]));
    }
    assert_eq!(generated_requests(&fleet).len(), 1);
}

#[actix_rt::test]
async fn streamed_repeat() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    let first = fleet.complete(0, "k", false).await;
    let repeat = fleet.complete(1, "k", true).await;
    assert!(repeat.body.ends_with("data: [DONE]\n\n"), "{repeat:?}");
    let first_data = repeat
        .body
        .lines()
        .find_map(|line| line.strip_prefix("data: "));
    let chunk: serde_json::Value = serde_json::from_str(first_data.expect("chunk")).expect("JSON");
    assert_eq!(chunk["choices"][0]["text"], completion_text(&first));
    assert_eq!(generated_requests(&fleet).len(), 1);
}
