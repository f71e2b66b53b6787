//! Answers of the platform that never end, or that are none: calls fail in time.

#[path = "../../dandeliondeal_http/tests/support/raw_endpoint.rs"]
#[allow(dead_code, reason = "not all helpers are used here")]
mod raw_endpoint;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_store::{PlatformClient, PlatformSettings};
use dandeliondeal_types::{ObjectStore, PutCondition, StoreError, SystemClock};
use raw_endpoint::{RawAnswer, RawEndpoint};

const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time of a call without retries: its timeout for the head and for the body.
const CALL_TIME: Duration = Duration::from_millis(1_800);
/// Maximum delay of another task of the event loop.
const TASK_DELAY: Duration = Duration::from_millis(500);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

fn new_client(endpoint: &RawEndpoint) -> PlatformClient<SystemClock> {
    let settings = PlatformSettings {
        address: endpoint.address(),
        call_timeout: CALL_TIMEOUT,
        answer_limit: 1024 * 1024,
        read_retries: 0,
        ..PlatformSettings::default()
    };
    PlatformClient::new(settings, SystemClock)
}

fn endless_answers() -> Vec<(&'static str, RawAnswer)> {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    let mut answers = Vec::new();
    for (name, start, repeat) in [
        ("interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("header line", "HTTP/1.1 200 OK\r\nA: ", "x"),
        ("header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
        ("chunk extension", &format!("{chunked}5;a="), "x"),
        ("trailers", &format!("{chunked}0\r\nA:"), "A: b\r\n"),
        ("small chunks", chunked, "1\r\nx\r\n"),
        ("declared length", length, "x"),
        ("until close", "HTTP/1.0 200 OK\r\n\r\n", "x"),
    ] {
        answers.push((name, RawAnswer::endless(start, repeat)));
        answers.push((name, RawAnswer::dripping(start, repeat)));
    }
    answers
}

#[actix_rt::test]
async fn calls_end() {
    for (name, answer) in endless_answers() {
        let endpoint = RawEndpoint::start(move |_| answer.clone());
        let client = new_client(&endpoint);
        let task_delay = Rc::new(Cell::new(Duration::ZERO));
        let shared_delay = Rc::clone(&task_delay);
        let ticker = actix_rt::spawn(async move {
            loop {
                let started = Instant::now();
                actix_rt::time::sleep(TICK_INTERVAL).await;
                let delay = started.elapsed().saturating_sub(TICK_INTERVAL);
                shared_delay.set(delay.max(shared_delay.get()));
            }
        });
        let started = Instant::now();
        let read = client.get("object").await;
        assert!(read.is_err(), "{name}: {read:?}");
        assert!(
            started.elapsed() < CALL_TIME,
            "{name}: {:?}",
            started.elapsed()
        );
        let started = Instant::now();
        let write = client
            .put("object", PutCondition::Absent, "text".into())
            .await;
        let is_lost = matches!(write, Err(StoreError::ResponseLost { .. }));
        assert!(is_lost, "{name}: {write:?}");
        assert!(
            started.elapsed() < CALL_TIME,
            "{name}: {:?}",
            started.elapsed()
        );
        assert_eq!(endpoint.requests().len(), 2, "{name}: a write is sent once");
        ticker.abort();
        assert!(
            task_delay.get() < TASK_DELAY,
            "{name}: {:?}",
            task_delay.get()
        );
        let closing = async {
            while endpoint.endless_answers() > 0 {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let closed = actix_rt::time::timeout(CALL_TIMEOUT, closing).await;
        assert!(closed.is_ok(), "{name}: a connection stays open");
    }
}

// The HTTP library returns an interim head as the answer and keeps the connection, so that the
// answer that followed was taken for that of the next call.
#[actix_rt::test]
async fn interim_head() {
    let answer = RawAnswer {
        pause: Duration::from_millis(50),
        ..RawAnswer::endless(
            "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 5\r\n\r\nfirst",
        )
    };
    let endpoint = RawEndpoint::start(move |_| answer.clone());
    let client = new_client(&endpoint);
    let first = client
        .put("first", PutCondition::Absent, "text".into())
        .await;
    let is_lost = matches!(first, Err(StoreError::ResponseLost { .. }));
    assert!(is_lost, "{first:?}");
    let second = client.get("second").await;
    assert!(second.is_err(), "{second:?}");
}

/// Guards against a status that HTTP does not have and that counts as the answer of the store.
#[actix_rt::test]
async fn odd_status() {
    for status in ["000", "099", "600", "999"] {
        let text =
            format!("HTTP/1.1 {status} None\r\nETag: \"7\"\r\nContent-Length: 4\r\n\r\ntext");
        let answer = RawAnswer::complete(&text);
        let endpoint = RawEndpoint::start(move |_| answer.clone());
        let client = new_client(&endpoint);
        let write = client.put("object", PutCondition::Absent, "text".into());
        let write = write.await;
        let is_lost = matches!(write, Err(StoreError::ResponseLost { .. }));
        assert!(is_lost, "{status}: {write:?}");
        let read = client.get("object").await;
        assert!(read.is_err(), "{status}: {read:?}");
        assert_eq!(
            endpoint.requests().len(),
            2,
            "{status}: a call is sent once"
        );
    }
}
