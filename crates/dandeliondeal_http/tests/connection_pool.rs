//! Idle connections are reused only if they are certain to be open.

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

/// Starts an endpoint that responds once and closes the connection on a signal.
async fn start_endpoint() -> (SocketAddr, oneshot::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (close_sender, close_receiver) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 512];
        let byte_count = stream.read(&mut request).await.expect("request bytes");
        assert!(byte_count > 0);
        let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the response is written");
        drop(close_receiver.await);
    });
    (address, close_sender)
}

/// Returns a connection on which one request has been completed.
async fn used_connection(address: SocketAddr) -> EndpointConnection {
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now())
        .await
        .expect("a connection");
    let request = OutboundRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    connection
        .send(&request)
        .await
        .expect("the request is sent");
    connection.read_head().await.expect("a head");
    connection
}

#[actix_rt::test]
async fn reused_connection() {
    let (address, _close) = start_endpoint().await;
    let mut pool = ConnectionPool::new(PoolSettings::default(), ManualClock::default());
    let id = EndpointId::from("one");
    pool.put(&id, used_connection(address).await);
    assert!(pool.take("one").is_some());
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn expired_connection() {
    let (address, _close) = start_endpoint().await;
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(PoolSettings::default(), clock.clone());
    let id = EndpointId::from("one");
    pool.put(&id, used_connection(address).await);
    clock.advance(Duration::from_secs(2));
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn closed_connection() {
    let (address, close_sender) = start_endpoint().await;
    let mut pool = ConnectionPool::new(PoolSettings::default(), ManualClock::default());
    let id = EndpointId::from("one");
    pool.put(&id, used_connection(address).await);
    close_sender.send(()).expect("the endpoint waits");
    // Waits for the closing of the connection to arrive over loopback.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert!(pool.take("one").is_none());
}

#[actix_rt::test]
async fn full_pool() {
    let settings = PoolSettings {
        max_idle_per_endpoint: 1,
        ..PoolSettings::default()
    };
    let mut pool = ConnectionPool::new(settings, ManualClock::default());
    let id = EndpointId::from("one");
    let mut close_senders = Vec::new();
    for _ in 0..3 {
        let (address, close_sender) = start_endpoint().await;
        close_senders.push(close_sender);
        pool.put(&id, used_connection(address).await);
    }
    assert_eq!(pool.len(), 1);
    pool.close_endpoint("one");
    assert!(pool.is_empty());
}
