//! How the end of a response is determined, tested on exact bytes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use dandeliondeal_http::{
    BodyFraming, ConnectionError, EndpointConnection, OutboundRequest, ResponseHead,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What an endpoint does to the connection after it wrote its response.
#[derive(Clone, Copy)]
enum ConnectionEnding {
    KeepOpen,
    Close,
    Reset,
}

/// Starts an endpoint that sends the same bytes on every connection.
async fn start_endpoint(response: &'static str, end: ConnectionEnding) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            stream
                .write_all(response.as_bytes())
                .await
                .expect("the response is written");
            match end {
                ConnectionEnding::KeepOpen => {
                    actix_rt::spawn(async move {
                        actix_rt::time::sleep(Duration::from_secs(5)).await;
                        drop(stream);
                    });
                }
                ConnectionEnding::Close => drop(stream),
                ConnectionEnding::Reset => {
                    actix_rt::time::sleep(Duration::from_millis(30)).await;
                    let socket = stream.into_std().expect("a socket");
                    let socket = socket2::Socket::from(socket);
                    socket
                        .set_linger(Some(Duration::ZERO))
                        .expect("the linger time is set");
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
        if stream.read(&mut byte).await.expect("request bytes") == 0 {
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

async fn exchange(
    response: &'static str,
    end: ConnectionEnding,
) -> (
    EndpointConnection,
    Result<(ResponseHead, Bytes), ConnectionError>,
) {
    let address = start_endpoint(response, end).await;
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("a connection");
    connection
        .send(&request())
        .await
        .expect("the request is sent");
    let result = async {
        let head = connection.read_head().await?;
        let body = connection.read_body(1_000).await?;
        Ok((head, body))
    };
    let result = result.await;
    (connection, result)
}

#[actix_rt::test]
async fn content_length() {
    let (connection, result) = exchange(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        ConnectionEnding::KeepOpen,
    )
    .await;
    let (head, body) = result.expect("a complete response");
    assert_eq!(head.framing, BodyFraming::Delimited);
    assert_eq!(body, "hello");
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn chunked_body() {
    let (connection, result) = exchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ConnectionEnding::KeepOpen,
    )
    .await;
    assert_eq!(result.expect("a complete response").1, "hello");
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn body_until_close() {
    let (connection, result) =
        exchange("HTTP/1.1 200 OK\r\n\r\nhello", ConnectionEnding::Close).await;
    let (head, body) = result.expect("a complete response");
    assert_eq!(head.framing, BodyFraming::UntilClose);
    assert_eq!(body, "hello");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn body_until_reset() {
    let (_, result) = exchange("HTTP/1.1 200 OK\r\n\r\nhel", ConnectionEnding::Reset).await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn truncated_body() {
    let (_, result) = exchange(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        ConnectionEnding::Close,
    )
    .await;
    assert!(!result.expect_err("the body is truncated").is_before_write());
}

#[actix_rt::test]
async fn truncated_chunks() {
    let (_, result) = exchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        ConnectionEnding::Close,
    )
    .await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn leftover_bytes() {
    let (connection, result) = exchange(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        ConnectionEnding::KeepOpen,
    )
    .await;
    assert_eq!(result.expect("a complete response").1, "ok");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn invalid_response() {
    let (_, result) = exchange("this is not HTTP\r\n\r\n", ConnectionEnding::KeepOpen).await;
    assert!(result.is_err());
}

#[actix_rt::test]
async fn connection_close() {
    let (connection, result) = exchange(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        ConnectionEnding::KeepOpen,
    )
    .await;
    assert_eq!(result.expect("a complete response").1, "ok");
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn empty_response() {
    let (connection, result) = exchange(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        ConnectionEnding::KeepOpen,
    )
    .await;
    assert_eq!(
        result.expect("a complete response").0.framing,
        BodyFraming::Empty
    );
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let limit = Duration::from_secs(1);
    let error = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect_err("the port is closed");
    assert!(error.is_before_write());
}

#[actix_rt::test]
async fn skipped_response() {
    let address = start_endpoint(
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold\
         HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew",
        ConnectionEnding::KeepOpen,
    )
    .await;
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("a connection");
    connection
        .send(&request())
        .await
        .expect("the request is sent");
    connection.read_head().await.expect("a head");
    assert_eq!(
        connection.read_body(10).await.expect("a complete response"),
        "old"
    );
    connection.expect_next_response();
    connection.read_head().await.expect("the next head");
    assert_eq!(
        connection.read_body(10).await.expect("a complete response"),
        "new"
    );
}

// A response whose body has a framing that the HTTP library doesn't read counted as complete and
// empty, so that its caller got a success without the body.
#[actix_rt::test]
async fn unknown_framing() {
    for response in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nUpgrade: websocket\r\nContent-Length: 5\r\n\r\nhello",
    ] {
        let (connection, result) = exchange(response, ConnectionEnding::Close).await;
        let error = result.expect_err("the body is not read");
        assert!(error.to_string().contains("framing"), "{error}");
        assert!(!connection.is_reusable());
    }
}
