//! Idle connections are used again only while they are surely open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use dandeliondeal_http::{ConnectionPool, EndpointConnection, OutboundRequest, PoolSettings};
use dandeliondeal_types::{EndpointId, ManualClock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// An endpoint that answers once and closes when it is told to.
async fn endpoint() -> (SocketAddr, oneshot::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (close, closed) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut request = [0; 512];
        let count = stream.read(&mut request).await.expect("readable");
        assert!(count > 0);
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer.as_bytes()).await.expect("written");
        drop(closed.await);
    });
    (address, close)
}

async fn answered(address: SocketAddr) -> EndpointConnection {
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("connected");
    let request = OutboundRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    connection.send(&request).await.expect("sent");
    connection.read_head().await.expect("a head");
    connection
}

#[actix_rt::test]
async fn kept_connection() {
    let (address, _close) = endpoint().await;
    let mut pool = ConnectionPool::new(PoolSettings::default(), ManualClock::default());
    let id = EndpointId::from("one");
    pool.put(&id, answered(address).await);
    assert!(pool.take("one").is_some());
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn old_connection() {
    let (address, _close) = endpoint().await;
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(PoolSettings::default(), clock.clone());
    let id = EndpointId::from("one");
    pool.put(&id, answered(address).await);
    clock.advance(Duration::from_secs(2));
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn closed_connection() {
    let (address, close) = endpoint().await;
    let mut pool = ConnectionPool::new(PoolSettings::default(), ManualClock::default());
    let id = EndpointId::from("one");
    pool.put(&id, answered(address).await);
    close.send(()).expect("the endpoint waits");
    // The close arrives over loopback.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn bounded_pool() {
    let settings = PoolSettings {
        endpoint_limit: 1,
        ..PoolSettings::default()
    };
    let mut pool = ConnectionPool::new(settings, ManualClock::default());
    let id = EndpointId::from("one");
    let mut closes = Vec::new();
    for _ in 0..3 {
        let (address, close) = endpoint().await;
        closes.push(close);
        pool.put(&id, answered(address).await);
    }
    assert_eq!(pool.len(), 1);
    pool.forget("one");
    assert!(pool.is_empty());
}
