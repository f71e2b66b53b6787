//! Invalid input over real sockets.
//!
//! Each rejection names the wrong field, nothing is dispatched and other callers are unaffected.

mod common;
mod raw_connection;

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use awc::http::Method;
use common::{
    KEY, LAYERS, OTHER_KEY, TestSite, completion, engine_settings, test_settings, tokens_text,
};
use dandeliondeal_config::{EntrySettings, LimitSettings};
use dandeliondeal_standin::{EngineSettings, reference_answer};
use dandeliondeal_types::LayerRange;
use raw_connection::{COMPLETIONS, RawConnection, WAIT_LIMIT};
use serde_json::Value;

const CHAT: &str = "/v1/chat/completions";
const BODY_BYTES: u64 = 4_096;
/// Time limit for reading a request head or body.
const READ_LIMIT: Duration = Duration::from_millis(200);

fn strict_settings() -> EntrySettings {
    EntrySettings {
        limits: LimitSettings {
            header_time: READ_LIMIT,
            body_time: READ_LIMIT,
            body_bytes: BODY_BYTES,
            organisation_requests: 2,
            ..LimitSettings::default()
        },
        ..test_settings()
    }
}

async fn start_site() -> TestSite {
    start_site_with(strict_settings(), 0).await
}

async fn start_site_with(settings: EntrySettings, layer_microseconds: u64) -> TestSite {
    let whole_model = EngineSettings {
        layer_microseconds,
        ..engine_settings(LayerRange::new(0, LAYERS))
    };
    TestSite::start(settings, vec![whole_model]).await
}

/// Asserts that nothing was dispatched to an engine or the service.
fn assert_nothing_dispatched(site: &TestSite) {
    assert!(site.engines.iter().all(|engine| engine.ledger().is_empty()));
    assert!(site.service.ledger().is_empty());
}

fn error_param(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap();
    body["error"]["param"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[actix_rt::test]
async fn wrong_fields() {
    let site = start_site().await;
    let long = "x".repeat(4_090);
    let cases = [
        (COMPLETIONS, "{", 400, "body"),
        (COMPLETIONS, "", 400, "body"),
        (COMPLETIONS, "[1,2]", 400, "body"),
        (COMPLETIONS, r#"{"prompt":"a"}"#, 400, "model"),
        (COMPLETIONS, r#"{"model":"desk"}"#, 400, "prompt"),
        (
            COMPLETIONS,
            r#"{"model":"desk","prompt":""}"#,
            400,
            "prompt",
        ),
        (
            COMPLETIONS,
            r#"{"model":"none","prompt":"a"}"#,
            404,
            "model",
        ),
        (
            COMPLETIONS,
            r#"{"model":"desk","prompt":"a","max_tokens":0}"#,
            400,
            "max_tokens",
        ),
        (
            COMPLETIONS,
            r#"{"model":"desk","prompt":"a","max_tokens":-1}"#,
            400,
            "max_tokens",
        ),
        (
            COMPLETIONS,
            r#"{"model":"desk","prompt":"a","max_tokens":4096}"#,
            400,
            "max_tokens",
        ),
        (
            COMPLETIONS,
            r#"{"model":"desk","prompt":"a","n":2}"#,
            400,
            "n",
        ),
        (CHAT, r#"{"model":"desk","messages":[]}"#, 400, "messages"),
        (CHAT, r#"{"model":"desk","prompt":"a"}"#, 400, "messages"),
    ];
    for (path, body, status, field) in cases {
        let answer = site.call(Method::POST, path, body).await;
        assert_eq!(
            (answer.status, &*error_param(&answer.body)),
            (status, field),
            "{body}"
        );
        assert_eq!(answer.outcome, "not-run", "{body}");
    }
    let answer = site
        .call(Method::POST, COMPLETIONS, &completion(&long, 9, false))
        .await;
    assert_eq!(answer.status, 400);
    let nested = "[".repeat(2_000);
    let answer = site.call(Method::POST, COMPLETIONS, &nested).await;
    assert_eq!((answer.status, &*error_param(&answer.body)), (400, "body"));
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn wrong_types() {
    let site = start_site().await;
    let cases = [
        (r#"{"model":7,"prompt":"a"}"#, "model"),
        (r#"{"model":"desk","prompt":7}"#, "prompt"),
        (
            r#"{"model":"desk","prompt":"a","max_tokens":"many"}"#,
            "max_tokens",
        ),
        (
            r#"{"model":"desk","prompt":"a","max_tokens":1e40}"#,
            "max_tokens",
        ),
        (r#"{"model":"desk","prompt":"a","stream":"yes"}"#, "stream"),
        (r#"{"model":"desk","prompt":"a","n":"two"}"#, "n"),
    ];
    for (body, field) in cases {
        let answer = site.call(Method::POST, COMPLETIONS, body).await;
        assert_eq!(
            (answer.status, &*error_param(&answer.body)),
            (400, field),
            "{body}"
        );
    }
    let chat = r#"{"model":"desk","messages":[{"role":"user"}]}"#;
    let answer = site.call(Method::POST, CHAT, chat).await;
    assert_eq!(
        (answer.status, &*error_param(&answer.body)),
        (400, "messages")
    );
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn wrong_api_keys() {
    let site = start_site().await;
    let body = completion("a", 2, false);
    let cases: [&[(&'static str, &str)]; 5] = [
        &[],
        &[("authorization", "Bearer key-z")],
        &[("authorization", "Basic key-a")],
        &[("authorization", "Bearer ")],
        &[("authorization", "bearer")],
    ];
    for headers in cases {
        let answer = site
            .call_with(Method::POST, COMPLETIONS, &body, headers)
            .await;
        assert_eq!(
            (answer.status, &*error_param(&answer.body)),
            (401, "Authorization"),
            "{headers:?}"
        );
        assert_eq!(answer.outcome, "not-run");
    }
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn wrong_headers() {
    let site = start_site().await;
    let (long, filler) = ("k".repeat(256), "f".repeat(20_000));
    let cases = [
        ("idempotency-key", long.as_str()),
        ("idempotency-key", ""),
        ("x-filler", filler.as_str()),
        ("dandeliondeal-repeatable", "maybe"),
        ("dandeliondeal-deadline-ms", "soon"),
        ("dandeliondeal-deadline-ms", "0"),
    ];
    let body = completion("a", 2, false);
    for (name, value) in cases {
        let headers = [("authorization", "Bearer key-a"), (name, value)];
        let answer = site
            .call_with(Method::POST, COMPLETIONS, &body, &headers)
            .await;
        assert_eq!(
            (answer.status, &*error_param(&answer.body)),
            (400, name),
            "{value}"
        );
    }
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn wrong_paths() {
    let site = start_site().await;
    for (method, path, status) in [
        (Method::GET, COMPLETIONS, 405),
        (Method::POST, "/v1/models", 405),
        (Method::POST, "/v1/none", 404),
        (Method::POST, "/v1/services/none/deposits", 404),
        (Method::POST, "/v1/services/", 404),
        (Method::PUT, "/v1/services/orders/settlements/r1", 404),
        (Method::GET, "/v1/requests/none", 404),
    ] {
        let answer = site.call(method, path, "").await;
        assert_eq!(answer.status, status, "{path}");
        assert_ne!(error_param(&answer.body), "", "{path}");
    }
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn invalid_utf8() {
    let site = start_site().await;
    let mut connection = RawConnection::open(site.entry.caller_address()).await;
    connection
        .send_completion("", b"{\"model\":\"desk\",\"prompt\":\"\xff\xfe\"}")
        .await;
    let (status, body) = connection.receive().await.unwrap();
    assert_eq!((status, &*error_param(&body)), (400, "body"));
    connection
        .send(b"GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \xff\xfe\r\n\r\n")
        .await;
    let (status, body) = connection.receive().await.unwrap();
    assert_eq!((status, &*error_param(&body)), (401, "Authorization"));
    assert_nothing_dispatched(&site);
    // The connection still accepts requests.
    connection
        .send_completion("", completion("a", 2, false).as_bytes())
        .await;
    assert_eq!(connection.receive().await.unwrap().0, 200);
}

#[actix_rt::test]
async fn invalid_http() {
    let site = start_site().await;
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01"[..],
        b"hello there\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\ncontent-length: -5\r\n\r\n",
    ] {
        let mut connection = RawConnection::open(site.entry.caller_address()).await;
        connection.send(bytes).await;
        let answer = connection.receive().await;
        assert_eq!(answer.map(|(status, _)| status), Some(400));
    }
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn long_body() {
    let site = start_site().await;
    let long = completion(&"x".repeat(5_000), 2, false);
    let answer = site.call(Method::POST, COMPLETIONS, &long).await;
    assert_eq!((answer.status, &*error_param(&answer.body)), (400, "body"));
    let mut endless = RawConnection::open(site.entry.caller_address()).await;
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    endless.send(head.as_bytes()).await;
    let chunk = [b"400\r\n".as_slice(), &[b' '; 1_024], b"\r\n"].concat();
    for _ in 0..5 {
        endless.send(&chunk).await;
    }
    let (status, body) = endless.receive().await.unwrap();
    assert_eq!((status, &*error_param(&body)), (400, "body"));
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn long_head() {
    let site = start_site().await;
    let mut endless = RawConnection::open(site.entry.caller_address()).await;
    endless
        .send(b"GET /v1/models HTTP/1.1\r\nhost: x\r\n")
        .await;
    let line = format!("x-filler: {}\r\n", "y".repeat(1_000));
    let mut is_open = true;
    for _ in 0..400 {
        is_open &= endless.send(line.as_bytes()).await;
    }
    let answer = endless.receive().await;
    assert!(!is_open, "the entry instance has to close the connection");
    // The connection reset may arrive before the answer.
    assert!(answer.is_none_or(|(status, _)| status == 431));
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn slow_head() {
    let site = start_site().await;
    let mut slow = RawConnection::open(site.entry.caller_address()).await;
    slow.send(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
        .await;
    let answer = slow.receive().await;
    assert_eq!(answer.map(|(status, _)| status), Some(408));
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn slow_second_head() {
    let site = start_site().await;
    let mut slow = RawConnection::open(site.entry.caller_address()).await;
    slow.send_completion("", completion("a", 2, false).as_bytes())
        .await;
    assert_eq!(slow.receive().await.unwrap().0, 200);
    slow.send(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n")
        .await;
    let answer = slow.receive().await;
    assert!(answer.is_none_or(|(status, _)| status == 408));
}

#[actix_rt::test]
async fn idle_connection() {
    let site = start_site().await;
    let mut persistent = RawConnection::open(site.entry.caller_address()).await;
    for _ in 0..2 {
        persistent
            .send_completion("", completion("a", 2, false).as_bytes())
            .await;
        assert_eq!(persistent.receive().await.unwrap().0, 200);
        sleep(READ_LIMIT * 2).await;
        let models =
            format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
        persistent.send(models.as_bytes()).await;
        assert_eq!(persistent.receive().await.unwrap().0, 200);
        sleep(READ_LIMIT * 2).await;
    }
}

#[actix_rt::test]
async fn slow_body() {
    let site = start_site().await;
    let mut slow = RawConnection::open(site.entry.caller_address()).await;
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 50\r\n\r\n{{"
    );
    slow.send(head.as_bytes()).await;
    let (status, body) = slow.receive().await.unwrap();
    assert_eq!((status, &*error_param(&body)), (400, "body"));
    assert_nothing_dispatched(&site);
}

#[actix_rt::test]
async fn broken_body() {
    let site = start_site().await;
    let mut broken = RawConnection::open(site.entry.caller_address()).await;
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 500\r\n\r\n{{"
    );
    broken.send(head.as_bytes()).await;
    drop(broken);
    sleep(READ_LIMIT * 2).await;
    assert_nothing_dispatched(&site);
    let answer = site
        .call(Method::POST, COMPLETIONS, &completion("a", 2, false))
        .await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn organisation_request_limit() {
    let site = start_site_with(strict_settings(), 5_000).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut connection = RawConnection::open(site.entry.caller_address()).await;
        connection
            .send_completion("", completion("a", 8, false).as_bytes())
            .await;
        open.push(connection);
    }
    let is_running = || site.engines[0].session_count() == 2;
    timeout(WAIT_LIMIT, async {
        while !is_running() {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .unwrap();
    let refused = site
        .call(Method::POST, COMPLETIONS, &completion("b", 2, false))
        .await;
    assert_eq!((refused.status, &*refused.outcome), (429, "not-run"));
    assert!(refused.retry_after.is_some());
    let other = [("authorization", "Bearer key-b")];
    assert_eq!(other[0].1, format!("Bearer {OTHER_KEY}"));
    let answer = site
        .call_with(
            Method::POST,
            COMPLETIONS,
            &completion("b", 2, false),
            &other,
        )
        .await;
    assert_eq!(answer.status, 200);
    for mut connection in open {
        assert_eq!(connection.receive().await.unwrap().0, 200);
    }
}

#[actix_rt::test]
async fn connection_limit() {
    let mut settings = strict_settings();
    settings.limits.connections = 3;
    settings.limits.header_time = WAIT_LIMIT;
    let site = start_site_with(settings, 0).await;
    let mut persistent = RawConnection::open(site.entry.caller_address()).await;
    persistent
        .send_completion("", completion("a", 2, false).as_bytes())
        .await;
    assert_eq!(persistent.receive().await.unwrap().0, 200);
    let _idle = (
        RawConnection::open(site.entry.caller_address()).await,
        RawConnection::open(site.entry.caller_address()).await,
    );
    let mut refused = RawConnection::open(site.entry.caller_address()).await;
    refused
        .send_completion("", completion("a", 2, false).as_bytes())
        .await;
    assert!(refused.receive().await.is_none());
    persistent
        .send_completion("", completion("a", 2, false).as_bytes())
        .await;
    assert_eq!(persistent.receive().await.unwrap().0, 200);
}

#[actix_rt::test]
async fn other_callers_unaffected() {
    let site = start_site_with(strict_settings(), 1_000).await;
    let mut valid = RawConnection::open(site.entry.caller_address()).await;
    valid
        .send_completion("", completion("quote", 20, false).as_bytes())
        .await;
    for _ in 0..10 {
        let mut invalid = RawConnection::open(site.entry.caller_address()).await;
        invalid.send_completion("", b"{\"model\":").await;
        assert_eq!(invalid.receive().await.unwrap().0, 400);
        let mut garbage = RawConnection::open(site.entry.caller_address()).await;
        garbage.send(b"\x00\x01\x02\r\n\r\n").await;
        garbage.receive().await;
    }
    let (status, body) = valid.receive().await.unwrap();
    assert_eq!(status, 200);
    let body: Value = serde_json::from_str(&body).unwrap();
    let prompt: Vec<u64> = "quote".bytes().map(u64::from).collect();
    let expected = tokens_text(&reference_answer("model-a", LAYERS, &prompt, 20));
    assert_eq!(body["choices"][0]["text"], expected);
    assert_eq!(site.engines[0].ledger().len(), prompt.len() + 19);
}
