//! Bodies that are read at the same time share a limit of memory.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_http::{BodyMemory, ConnectionError, EndpointConnection, OutboundRequest};

const MEMORY: usize = 1024 * 1024;

/// Starts an endpoint whose responses state `length` bytes, of which it sends `sent`.
fn start_endpoint(length: usize, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 4_096];
                let read = stream.read(&mut buffer);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                let response = [head.into_bytes(), vec![b'x'; sent]].concat();
                if read.is_ok() && stream.write_all(&response).is_ok() {
                    drop(stream.read(&mut buffer));
                }
            });
        }
    });
    address
}

async fn read_body(address: SocketAddr, memory: &BodyMemory) -> Result<Bytes, ConnectionError> {
    let limit = Duration::from_secs(1);
    let mut connection = EndpointConnection::connect(address, limit, Instant::now()).await?;
    let request = OutboundRequest {
        method: Method::GET,
        uri: "/".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    connection.send(&request).await?;
    connection.read_head().await?;
    connection.read_body_within(8 * MEMORY, memory).await
}

/// Guards against responses that each are bounded but together take all memory, and against a limit
/// that breaks ordinary responses as well, or is not given back.
#[actix_rt::test]
async fn shared_limit() {
    let memory = BodyMemory::new(MEMORY);
    let (endless, small) = (
        start_endpoint(64 * MEMORY, MEMORY * 3 / 4),
        start_endpoint(9, 9),
    );
    let pending = {
        let memory = memory.clone();
        actix_rt::spawn(async move { read_body(endless, &memory).await })
    };
    while memory.held() < MEMORY / 2 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let error = read_body(endless, &memory)
        .await
        .expect_err("no memory is left");
    assert!(error.to_string().contains("no memory"), "{error}");
    assert!(memory.held() <= MEMORY);
    assert_eq!(memory.denials(), 1);
    assert_eq!(
        read_body(small, &memory).await.expect("a small body").len(),
        9
    );
    pending.abort();
    drop(pending.await);
    assert_eq!(memory.held(), 0);
}
