//! How the end of an answer is known, byte by byte.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use dandeliondeal_http::{AnswerHead, BodyFraming, EndpointConnection, LinkError, OutboundRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What an endpoint does after it wrote its answer.
#[derive(Clone, Copy)]
enum AnswerEnd {
    Keep,
    Close,
    Reset,
}

/// An endpoint that answers every connection with the same bytes.
async fn endpoint(answer: &'static str, end: AnswerEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.expect("written");
            match end {
                AnswerEnd::Keep => {
                    actix_rt::spawn(async move {
                        actix_rt::time::sleep(Duration::from_secs(5)).await;
                        drop(stream);
                    });
                }
                AnswerEnd::Close => drop(stream),
                AnswerEnd::Reset => {
                    actix_rt::time::sleep(Duration::from_millis(30)).await;
                    let socket = stream.into_std().expect("a socket");
                    let socket = socket2::Socket::from(socket);
                    socket.set_linger(Some(Duration::ZERO)).expect("linger");
                }
            }
        }
    });
    address
}

async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await.expect("readable") == 0 {
            return;
        }
        request.push(byte[0]);
    }
}

fn request() -> OutboundRequest {
    OutboundRequest {
        method: Method::GET,
        uri: Uri::from_static("/x?y=1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

async fn ask(
    answer: &'static str,
    end: AnswerEnd,
) -> (EndpointConnection, Result<(AnswerHead, Bytes), LinkError>) {
    let address = endpoint(answer, end).await;
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("connected");
    connection.send(&request()).await.expect("sent");
    let result = async {
        let head = connection.read_head().await?;
        let body = connection.read_body(1_000).await?;
        Ok((head, body))
    };
    let result = result.await;
    (connection, result)
}

#[actix_rt::test]
async fn with_length() {
    let (connection, result) = ask(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        AnswerEnd::Keep,
    )
    .await;
    let (head, body) = result.expect("whole");
    assert_eq!(head.framing, BodyFraming::Marked);
    assert_eq!(body, "hello");
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn in_chunks() {
    let (connection, result) = ask(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        AnswerEnd::Keep,
    )
    .await;
    assert_eq!(result.expect("whole").1, "hello");
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn without_length() {
    let (connection, result) = ask("HTTP/1.1 200 OK\r\n\r\nhello", AnswerEnd::Close).await;
    let (head, body) = result.expect("whole");
    assert_eq!(head.framing, BodyFraming::ConnectionEnd);
    assert_eq!(body, "hello");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn reset_without_length() {
    let (_, result) = ask("HTTP/1.1 200 OK\r\n\r\nhel", AnswerEnd::Reset).await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn short_length() {
    let (_, result) = ask(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        AnswerEnd::Close,
    )
    .await;
    assert!(!result.expect_err("cut").is_not_written());
}

#[actix_rt::test]
async fn cut_chunks() {
    let (_, result) = ask(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        AnswerEnd::Close,
    )
    .await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn bytes_left_over() {
    let (connection, result) = ask(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        AnswerEnd::Keep,
    )
    .await;
    assert_eq!(result.expect("whole").1, "ok");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn no_answer_at_all() {
    let (_, result) = ask("this is not HTTP\r\n\r\n", AnswerEnd::Keep).await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn closing_endpoint() {
    let (connection, result) = ask(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        AnswerEnd::Keep,
    )
    .await;
    assert_eq!(result.expect("whole").1, "ok");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn empty_answer() {
    let (connection, result) = ask(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        AnswerEnd::Keep,
    )
    .await;
    assert_eq!(result.expect("whole").0.framing, BodyFraming::Empty);
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let limit = Duration::from_secs(1);
    let error = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect_err("nobody listens");
    assert!(error.is_not_written());
}

#[actix_rt::test]
async fn late_answer_skipped() {
    let address = endpoint(
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew",
        AnswerEnd::Keep,
    )
    .await;
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("connected");
    connection.send(&request()).await.expect("sent");
    connection.read_head().await.expect("a head");
    assert_eq!(connection.read_body(10).await.expect("whole"), "old");
    connection.skip_answer();
    connection.read_head().await.expect("the next head");
    assert_eq!(connection.read_body(10).await.expect("whole"), "new");
}
