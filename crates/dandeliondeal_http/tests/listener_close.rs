//! A closing listener answers the requests that reached it, and closes idle connections.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_http::{HttpListener, ListenerSettings, ResponseBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time that the handler takes for a request to `/slow`.
const SLOW_TIME: Duration = Duration::from_millis(300);
/// Time for which the process is busy, longer than the callers' tolerance for a lost request.
const BUSY_TIME: Duration = Duration::from_millis(250);
/// Time after the close at which a request arrives.
const LATE_TIME: Duration = Duration::from_millis(150);
/// Maximum time for a connection to end.
const READ_LIMIT: Duration = Duration::from_secs(3);

async fn start_listener() -> HttpListener {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpListener::start(address, ListenerSettings::default(), handle_request)
        .await
        .expect("a listener")
}

/// Answers with the path as body.
async fn handle_request(request: Request) -> Response<ResponseBody> {
    let path = request.path().to_owned();
    match path.as_str() {
        "/slow" => actix_rt::time::sleep(SLOW_TIME).await,
        "/stream" => return Response::with_body(StatusCode::OK, slow_stream()),
        "/panic" => panic!("handler of the test panics"),
        _ => {}
    }
    Response::with_body(StatusCode::OK, ResponseBody::Full(Bytes::from(path)))
}

/// Returns a body whose second and last chunk comes later.
fn slow_stream() -> ResponseBody {
    let (sender, receiver) = mpsc::channel(2);
    actix_rt::spawn(async move {
        sender.send(Bytes::from("begin")).await.expect("a caller");
        actix_rt::time::sleep(SLOW_TIME).await;
        sender.send(Bytes::from("end")).await.expect("a caller");
    });
    ResponseBody::Stream(receiver)
}

fn request_text(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: desk\r\n\r\n")
}

async fn connect(listener: &HttpListener) -> TcpStream {
    TcpStream::connect(listener.address())
        .await
        .expect("a connection")
}

/// Reads until the connection ends.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset leaves the bytes that arrived before it.
    let read = actix_rt::time::timeout(READ_LIMIT, stream.read_to_end(&mut bytes)).await;
    drop(read.expect("the connection ends"));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns a connection on which one request has been answered.
async fn used_connection(listener: &HttpListener) -> TcpStream {
    let mut stream = connect(listener).await;
    let request = request_text("/first");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    while !text.ends_with("/first") {
        let mut buffer = [0; 512];
        let length = stream.read(&mut buffer).await.expect("an answer");
        assert!(length > 0, "connection closed after: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    stream
}

#[actix_rt::test]
async fn idle_connections() {
    let listener = start_listener().await;
    let mut used = used_connection(&listener).await;
    let mut fresh = connect(&listener).await;
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(listener.open_connections(), 2);
    listener.close();
    assert_eq!(read_to_end(&mut used).await, "");
    assert_eq!(read_to_end(&mut fresh).await, "");
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(listener.open_connections(), 0);
}

#[actix_rt::test]
async fn open_request() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    let request = request_text("/slow");
    stream.write_all(request.as_bytes()).await.expect("sent");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    listener.close();
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with("/slow"), "answer: {answer}");
    assert!(answer.contains("connection: close"), "answer: {answer}");
}

#[actix_rt::test]
async fn open_stream() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    let request = request_text("/stream");
    stream.write_all(request.as_bytes()).await.expect("sent");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    listener.close();
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with("end\r\n0\r\n\r\n"), "answer: {answer}");
}

// A request that waited in the socket's buffer while the process was busy was discarded when the
// listener closed: the connection counted as idle, and its last bytes were not served.
#[actix_rt::test]
async fn unread_request() {
    let listener = start_listener().await;
    let stream = used_connection(&listener).await;
    let mut stream = stream.into_std().expect("a blocking stream");
    let request = request_text("/next");
    stream.write_all(request.as_bytes()).expect("sent");
    std::thread::sleep(BUSY_TIME);
    listener.close();
    let mut stream = TcpStream::from_std(stream).expect("a stream");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with("/next"), "answer: {answer:?}");
}

// A connection that was not accepted yet was reset with its request when the listener closed.
#[actix_rt::test]
async fn pending_connection() {
    let listener = start_listener().await;
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let mut stream = std::net::TcpStream::connect(listener.address()).expect("a connection");
    let request = request_text("/next");
    stream.write_all(request.as_bytes()).expect("sent");
    std::thread::sleep(BUSY_TIME);
    listener.close();
    stream.set_nonblocking(true).expect("a mode");
    let mut stream = TcpStream::from_std(stream).expect("a stream");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with("/next"), "answer: {answer:?}");
}

// A request that had been read behind another one was dropped without an answer after the answer to
// the first one.
#[actix_rt::test]
async fn queued_request() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    let requests = request_text("/slow") + &request_text("/next");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    listener.close();
    let answers = read_to_end(&mut stream).await;
    assert!(answers.contains("/slow"), "answers: {answers}");
    assert!(answers.ends_with("/next"), "answers: {answers}");
}

// A panic closed the connection without an answer, and the connection counted as open for good.
#[actix_rt::test]
async fn handler_panic() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    let request = request_text("/panic");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let answer = read_to_end(&mut stream).await;
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(listener.open_connections(), 0);
    assert!(answer.starts_with("HTTP/1.1 502 "), "answer: {answer:?}");
}

// Guards against the reset of a connection that was accepted while the listener closed and whose
// request arrives later, as over a slow link.
#[actix_rt::test]
async fn late_request() {
    let listener = start_listener().await;
    let mut stream = connect(&listener).await;
    listener.close();
    actix_rt::time::sleep(LATE_TIME).await;
    let request = request_text("/next");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let answer = read_to_end(&mut stream).await;
    assert!(answer.ends_with("/next"), "answer: {answer:?}");
    assert!(answer.contains("connection: close"), "answer: {answer}");
}

// Shows that a kept connection may close under the next request, which then has not run: no handler
// sees it, and no part of an answer arrives.
#[actix_rt::test]
async fn late_reuse() {
    let listener = start_listener().await;
    let mut stream = used_connection(&listener).await;
    listener.close();
    actix_rt::time::sleep(LATE_TIME).await;
    let request = request_text("/panic");
    drop(stream.write_all(request.as_bytes()).await);
    assert_eq!(read_to_end(&mut stream).await, "");
}
