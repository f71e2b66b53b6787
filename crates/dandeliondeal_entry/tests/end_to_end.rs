//! Requests from the caller through the stages and back, over real sockets.

mod common;

use awc::http::Method;
use common::{TestSite, completion, engine_settings, streamed_text, test_settings, tokens_text};
use dandeliondeal_standin::reference_answer;
use dandeliondeal_types::LayerRange;

async fn start_site() -> TestSite {
    let engines = vec![
        engine_settings(LayerRange::new(0, 4)),
        engine_settings(LayerRange::new(4, 8)),
    ];
    TestSite::start(test_settings(), engines).await
}

fn expected_text(prompt: &str, count: usize) -> String {
    let prompt: Vec<u64> = prompt.bytes().map(u64::from).collect();
    tokens_text(&reference_answer("model-a", common::LAYERS, &prompt, count))
}

#[actix_rt::test]
async fn completion_answer() {
    let site = start_site().await;
    let body = completion("a copper kettle", 6, false);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    assert_eq!(
        (answer.status, &*answer.outcome),
        (200, "answered"),
        "{}",
        answer.body
    );
    let reply: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(
        reply["choices"][0]["text"],
        expected_text("a copper kettle", 6)
    );
    assert_eq!(reply["usage"]["completion_tokens"], 6);
    let path = format!("/v1/requests/{}", answer.request);
    let state = site.call(Method::GET, &path, "").await;
    assert!(
        state.body.contains(r#""state":"answered""#),
        "{}",
        state.body
    );
}

#[actix_rt::test]
async fn streamed_answer() {
    let site = start_site().await;
    let body = completion("a brass bowl", 5, true);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(
        streamed_text(&answer.body),
        expected_text("a brass bowl", 5)
    );
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
}

#[actix_rt::test]
async fn chat_answer() {
    let site = start_site().await;
    let body = r#"{"model":"desk","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
    let answer = site.call(Method::POST, "/v1/chat/completions", body).await;
    let reply: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(
        reply["choices"][0]["message"]["content"],
        expected_text("user: hi\n", 3)
    );
}

#[actix_rt::test]
async fn layers_run_once() {
    let site = start_site().await;
    let body = completion("steel", 4, false);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    for engine in &site.engines {
        let positions: Vec<u64> = engine
            .ledger()
            .iter()
            .filter(|entry| *entry.request == *answer.request)
            .map(|entry| entry.position)
            .collect();
        // Five prompt tokens and the first three tokens of the answer ran through every layer.
        assert_eq!(positions, (0..8).collect::<Vec<u64>>());
    }
}

#[actix_rt::test]
async fn service_answer() {
    let site = start_site().await;
    let answer = site
        .call(Method::POST, "/v1/services/orders/deposits?x=1", "{}")
        .await;
    assert_eq!(
        (answer.status, &*answer.outcome),
        (200, "answered"),
        "{}",
        answer.body
    );
    let ledger = site.service.ledger();
    assert_eq!(ledger.len(), 1);
    assert_eq!((&*ledger[0].path, &*ledger[0].query), ("/deposits", "x=1"));
}

#[actix_rt::test]
async fn state_of_other_organisation() {
    let site = start_site().await;
    let body = completion("steel", 1, false);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    let path = format!("/v1/requests/{}", answer.request);
    let headers = [("authorization", "Bearer key-b")];
    let state = site.call_with(Method::GET, &path, "", &headers).await;
    assert_eq!(state.status, 404);
}

#[actix_rt::test]
async fn answer_headers() {
    let site = start_site().await;
    for (path, key) in [
        ("/v1/models", "key-a"),
        ("/v1/models", "wrong"),
        ("/v2", "key-a"),
    ] {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", &*bearer)];
        let answer = site.call_with(Method::GET, path, "", &headers).await;
        assert!(!answer.request.is_empty(), "{path} {key}: no request id");
        assert!(!answer.outcome.is_empty(), "{path} {key}: no outcome");
    }
}
