//! Answers that never end, or that are none: reading them fails soon and keeps the event loop free.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest};
use support::raw_endpoint::{RawAnswer, RawEndpoint};

/// Maximum time in which an endless answer that arrives without pauses has to fail.
const FAILURE_TIME: Duration = Duration::from_secs(2);
/// Maximum delay of another task of the event loop.
const TASK_DELAY: Duration = Duration::from_secs(1);
/// Maximum body size that the tests accept.
const BODY_LIMIT: usize = 1024 * 1024;

/// Result of reading one answer.
struct ReadResult {
    outcome: Result<(StatusCode, Bytes), ConnectionError>,
    /// Whether a pool would use the connection again.
    is_reusable: bool,
    /// Longest time for which another task of the event loop could not run.
    task_delay: Duration,
}

async fn read_answer(answer: RawAnswer, limit: Duration) -> ReadResult {
    let endpoint = RawEndpoint::start(move |_| answer.clone());
    let connected = EndpointConnection::connect(endpoint.address(), limit, Instant::now()).await;
    let mut connection = connected.expect("a connection");
    let request = OutboundRequest {
        method: Method::GET,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    connection
        .send(&request)
        .await
        .expect("the request is sent");
    // The socket holds as many bytes as it can before the first one is read.
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let task_delay = Rc::new(Cell::new(Duration::ZERO));
    let shared_delay = Rc::clone(&task_delay);
    let ticker = actix_rt::spawn(async move {
        let interval = Duration::from_millis(5);
        loop {
            let started = Instant::now();
            actix_rt::time::sleep(interval).await;
            let delay = started.elapsed().saturating_sub(interval);
            shared_delay.set(shared_delay.get().max(delay));
        }
    });
    let exchange = async {
        let head = connection.read_head().await?;
        let body = connection.read_body(BODY_LIMIT).await?;
        Ok((head.status, body))
    };
    let outcome = actix_rt::time::timeout(limit, exchange)
        .await
        .expect("the answer ends or fails");
    actix_rt::time::sleep(Duration::from_millis(10)).await;
    ticker.abort();
    ReadResult {
        outcome,
        is_reusable: connection.is_reusable() && connection.has_nothing_to_read(),
        task_delay: task_delay.get(),
    }
}

/// Reads an endless answer and checks that it fails with an error that contains `cause`.
async fn expect_failure(answer: RawAnswer, cause: &str) {
    let result = read_answer(answer, FAILURE_TIME).await;
    let error = result.outcome.expect_err("no complete answer");
    assert!(!error.is_before_write());
    assert!(error.to_string().contains(cause), "{error}");
    assert!(!result.is_reusable);
    assert!(result.task_delay < TASK_DELAY, "{:?}", result.task_delay);
}

// An endpoint sends interim (1xx) heads without end: the reader skipped all of them.
#[actix_rt::test]
async fn informational_heads() {
    let answer = RawAnswer::endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    expect_failure(answer, "interim").await;
}

#[actix_rt::test]
async fn dripping_informational() {
    let answer = RawAnswer::dripping("", "HTTP/1.1 102 Processing\r\n\r\n");
    expect_failure(answer, "interim").await;
}

#[actix_rt::test]
async fn few_informational() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(3);
    let text = interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let result = read_answer(RawAnswer::complete(&text), FAILURE_TIME).await;
    let (status, body) = result.outcome.expect("a complete answer");
    assert_eq!((status, &*body), (StatusCode::OK, &b"ok"[..]));
    assert!(result.is_reusable);
}

// The codec keeps the state of an interim head, so that a body length in it or a switch of
// protocols panicked at the head that followed.
#[actix_rt::test]
async fn informational_length() {
    for interim in [
        "HTTP/1.1 100 Continue\r\nContent-Length: 7\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        let result = read_answer(RawAnswer::complete(&text), FAILURE_TIME).await;
        let error = result.outcome.expect_err("no complete answer");
        assert!(error.to_string().contains("interim"), "{error}");
        assert!(!result.is_reusable);
    }
}

#[actix_rt::test]
async fn long_header_line() {
    expect_failure(RawAnswer::endless("HTTP/1.1 200 OK\r\nA: ", "x"), "").await;
}

#[actix_rt::test]
async fn header_lines() {
    expect_failure(RawAnswer::endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"), "").await;
}

#[actix_rt::test]
async fn long_status_line() {
    expect_failure(RawAnswer::endless("HTTP/1.1 200 ", "O"), "").await;
}

#[actix_rt::test]
async fn blank_lines() {
    expect_failure(RawAnswer::endless("", "\r\n"), "").await;
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// The codec consumes chunk extensions, trailers and leading zeros of a chunk's size as they arrive,
// so that the limit on buffered bytes never applied to them.
#[actix_rt::test]
async fn chunk_extensions() {
    let start = format!("{CHUNKED}5;a=");
    expect_failure(RawAnswer::endless(&start, "x"), "between chunks").await;
}

#[actix_rt::test]
async fn chunk_size_digits() {
    expect_failure(RawAnswer::endless(CHUNKED, "0"), "between chunks").await;
}

#[actix_rt::test]
async fn trailers() {
    let start = format!("{CHUNKED}2\r\nok\r\n0\r\n");
    expect_failure(RawAnswer::endless(&start, "A: b\r\n"), "between chunks").await;
}

#[actix_rt::test]
async fn long_trailer() {
    let start = format!("{CHUNKED}2\r\nok\r\n0\r\nA: ");
    expect_failure(RawAnswer::endless(&start, "x"), "between chunks").await;
}

#[actix_rt::test]
async fn small_chunks() {
    expect_failure(RawAnswer::endless(CHUNKED, "1\r\nx\r\n"), "longer than").await;
}

#[actix_rt::test]
async fn one_chunk() {
    let start = format!("{CHUNKED}fffffffffffffff\r\n");
    expect_failure(RawAnswer::endless(&start, "x"), "longer than").await;
}

#[actix_rt::test]
async fn declared_length() {
    let start = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n";
    expect_failure(RawAnswer::endless(start, "x"), "longer than").await;
}

#[actix_rt::test]
async fn until_close() {
    let answer = RawAnswer::endless("HTTP/1.1 200 OK\r\n\r\n", "x");
    expect_failure(answer, "longer than").await;
}

// Bytes after a complete answer: the answer is valid, but the connection is not used again.
#[actix_rt::test]
async fn bytes_after_answer() {
    let start = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let result = read_answer(RawAnswer::endless(start, "x"), FAILURE_TIME).await;
    assert_eq!(result.outcome.expect("a complete answer").1, "ok");
    assert!(!result.is_reusable);
}
