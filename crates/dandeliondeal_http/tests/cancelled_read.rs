//! Reads of a response that are cancelled and continued.

use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use dandeliondeal_http::{EndpointConnection, OutboundRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time between two parts of the response.
const PART_INTERVAL: Duration = Duration::from_millis(40);

// Guards against a response that is lost because a wait for it was cancelled.
#[actix_rt::test]
async fn cancelled_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    // Larger than the socket buffers, so that the request is written in parts.
    let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
    let expected_bytes = body.len();
    let endpoint = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        actix_rt::time::sleep(PART_INTERVAL).await;
        let mut received = Vec::new();
        while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            stream.read_buf(&mut received).await.expect("the head");
        }
        let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let head_bytes = head_end.expect("a head") + 4;
        while received.len() < head_bytes + expected_bytes {
            stream.read_buf(&mut received).await.expect("the body");
        }
        for part in [
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 20",
            "0 OK\r\nContent-Le",
            "ngth: 4\r\n\r\ndo",
            "ne",
        ] {
            stream.write_all(part.as_bytes()).await.expect("sent");
            actix_rt::time::sleep(PART_INTERVAL).await;
        }
        stream
    });
    let request = OutboundRequest {
        method: Method::POST,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body,
    };
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("a connection");
    connection.queue_request(&request).expect("queued");
    let mut cancellations = 0;
    let head = loop {
        let read = actix_rt::time::timeout(Duration::from_millis(7), connection.read_head());
        match read.await {
            Ok(head) => break head.expect("a head"),
            Err(_elapsed) => cancellations += 1,
        }
    };
    assert!(cancellations >= 5, "{cancellations} cancellations");
    assert_eq!(head.status, StatusCode::OK);
    let response = connection.read_body(100).await.expect("a body");
    assert_eq!(response, "done");
    assert!(connection.is_reusable());
    drop(endpoint.await.expect("the endpoint's task"));
}

// Guards against a request that stays incomplete because bytes arrive while it is written.
#[actix_rt::test]
async fn interim_during_write() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    // Larger than the socket buffers, so that the request is written in parts.
    let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
    let expected_bytes = body.len();
    let endpoint = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        stream.write_all(interim.as_bytes()).await.expect("sent");
        let mut received = 0;
        let mut buffer = vec![0; 64 * 1024];
        while received < expected_bytes {
            received += stream.read(&mut buffer).await.expect("the request");
        }
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        stream.write_all(answer.as_bytes()).await.expect("sent");
        stream
    });
    let request = OutboundRequest {
        method: Method::POST,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body,
    };
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("a connection");
    let exchange = async {
        connection.send(&request).await.expect("sent");
        connection.read_head().await.expect("a head")
    };
    let head = actix_rt::time::timeout(Duration::from_secs(2), exchange).await;
    assert_eq!(head.expect("an answer").status, StatusCode::OK);
    drop(endpoint.await.expect("the endpoint's task"));
}
