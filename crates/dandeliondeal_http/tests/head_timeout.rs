//! The timeout of a request head ends only connections without a whole request.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_http::{HttpListener, ListenerSettings, ResponseBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time that the handler takes for a request to `/slow`, longer than the head timeout.
const SLOW_TIME: Duration = Duration::from_millis(250);
/// Size of the response to `/large`, more than the buffers of the sockets hold.
const LARGE_BYTES: usize = 16 << 20;

async fn start_listener() -> HttpListener {
    let settings = ListenerSettings {
        head_timeout: HEAD_TIMEOUT,
        ..ListenerSettings::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpListener::start(address, settings, handle_request)
        .await
        .expect("a listener")
}

/// Answers with the path as body, without reading the request's body.
async fn handle_request(request: Request) -> Response<ResponseBody> {
    let path = request.path().to_owned();
    if path == "/slow" {
        actix_rt::time::sleep(SLOW_TIME).await;
    }
    let body = if path == "/large" {
        Bytes::from(vec![b'x'; LARGE_BYTES])
    } else {
        Bytes::from(path)
    };
    Response::with_body(StatusCode::OK, ResponseBody::Full(body))
}

async fn connect(listener: &HttpListener) -> TcpStream {
    TcpStream::connect(listener.address())
        .await
        .expect("a connection")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("sent");
}

/// Reads until the text received so far ends with `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let mut buffer = [0; 4_096];
        let read = actix_rt::time::timeout(Duration::from_secs(3), stream.read(&mut buffer));
        let length = read.await.expect("bytes or an end").unwrap_or(0);
        assert!(length > 0, "connection closed after: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    text
}

#[actix_rt::test]
async fn unfinished_head() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    send(&mut stream, "GET /first HTTP/1.1\r\nHost: desk\r\n\r\n").await;
    read_until(&mut stream, "/first").await;
    actix_rt::time::sleep(HEAD_TIMEOUT * 2).await;
    send(&mut stream, "GET /next HTTP/1.1\r\n").await;
    check_end(stream).await;
}

#[actix_rt::test]
async fn slow_answer() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    for _ in 0..2 {
        send(&mut stream, "GET /slow HTTP/1.1\r\nHost: desk\r\n\r\n").await;
        read_until(&mut stream, "/slow").await;
    }
}

#[actix_rt::test]
async fn split_head() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    send(&mut stream, "GET /slow HTTP/1.1\r\nHost: desk\r\n\r\n").await;
    actix_rt::time::sleep(SLOW_TIME / 2).await;
    send(&mut stream, "GET /next HTTP/1.1\r\n").await;
    read_until(&mut stream, "/slow").await;
    actix_rt::time::sleep(HEAD_TIMEOUT / 2).await;
    send(&mut stream, "Host: desk\r\n\r\n").await;
    read_until(&mut stream, "/next").await;
}

#[actix_rt::test]
async fn slow_reader() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    let large = "GET /large HTTP/1.1\r\nHost: desk\r\n\r\n";
    let next = "GET /next HTTP/1.1\r\nHost: desk\r\n\r\n";
    send(&mut stream, &(large.to_owned() + next)).await;
    actix_rt::time::sleep(HEAD_TIMEOUT * 3).await;
    let text = read_until(&mut stream, "/next").await;
    assert!(text.len() > LARGE_BYTES);
}

/// Returns a connection on which a request was answered before its chunked body was sent.
async fn early_answer(listener: &HttpListener) -> TcpStream {
    let mut stream = connect(listener).await;
    let head = "POST /first HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(&mut stream, head).await;
    read_until(&mut stream, "/first").await;
    stream
}

/// Checks that the connection is still used after an idle time.
async fn check_reuse(mut stream: TcpStream) {
    actix_rt::time::sleep(HEAD_TIMEOUT * 2).await;
    send(&mut stream, "GET /next HTTP/1.1\r\nHost: desk\r\n\r\n").await;
    read_until(&mut stream, "/next").await;
}

/// Checks that the connection ends without an answer.
async fn check_end(mut stream: TcpStream) {
    let mut buffer = [0; 512];
    let read = actix_rt::time::timeout(HEAD_TIMEOUT * 4, stream.read(&mut buffer));
    let length = read.await.expect("the connection ends").unwrap_or(0);
    assert_eq!(length, 0);
}

// Guards against the end of a kept connection because the body of an answered request arrives late.
#[actix_rt::test]
async fn unread_body() {
    let listener = start_listener().await;
    let mut stream = early_answer(&listener).await;
    send(&mut stream, "4\r\nbody\r\n0\r\n\r\n").await;
    check_reuse(stream).await;
}

// Guards against the same if the end of the late body arrives in parts.
#[actix_rt::test]
async fn split_body() {
    let listener = start_listener().await;
    let mut stream = early_answer(&listener).await;
    for part in ["4\r\nbody\r\n0\r", "\n\r", "\n"] {
        send(&mut stream, part).await;
        actix_rt::time::sleep(HEAD_TIMEOUT / 5).await;
    }
    check_reuse(stream).await;
}

// Guards against an incomplete head that escapes the timeout because a late body came before it.
#[actix_rt::test]
async fn unfinished_next() {
    let listener = start_listener().await;
    let mut stream = early_answer(&listener).await;
    for part in ["4\r\nbody\r\n0\r\n\r\n", "GET /next HTTP/1.1\r\n"] {
        actix_rt::time::sleep(HEAD_TIMEOUT / 5).await;
        send(&mut stream, part).await;
    }
    check_end(stream).await;
}
