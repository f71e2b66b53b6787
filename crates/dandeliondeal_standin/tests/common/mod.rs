//! HTTP calls over raw connections, so that tests control and observe each connection.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which a connection without an answer counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A received HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap().to_owned()
    }

    pub fn etag(&self) -> Option<u64> {
        let line = self.head.lines().find(|line| line.starts_with("etag"))?;
        line.split('"').nth(1)?.parse().ok()
    }
}

/// An open HTTP connection.
pub struct Connection(TcpStream);

impl Connection {
    pub async fn open(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    pub async fn send(&mut self, method_path: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!(
            "{method_path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Returns the next answer, or `None` if the connection closes without one.
    pub async fn receive(&mut self) -> Option<Answer> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            match self.0.read_u8().await {
                Ok(byte) => bytes.push(byte),
                Err(_) => return None,
            }
        }
        let head = String::from_utf8(bytes).unwrap().to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().unwrap());
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.ok()?;
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = String::from_utf8(body).unwrap();
        Some(Answer { status, head, body })
    }

    pub async fn call(&mut self, method_path: &str, headers: &str, body: &str) -> Answer {
        self.send(method_path, headers, body).await;
        timeout(ANSWER_TIMEOUT, self.receive())
            .await
            .unwrap()
            .unwrap()
    }

    /// Returns whether the connection stays open without an answer.
    pub async fn is_silent(&mut self) -> bool {
        timeout(SILENCE_TIMEOUT, self.receive()).await.is_err()
    }

    /// Returns whether the connection closes without an answer.
    pub async fn is_closed(&mut self) -> bool {
        timeout(ANSWER_TIMEOUT, self.receive())
            .await
            .unwrap()
            .is_none()
    }
}

/// Sends a call over a new connection and returns the answer.
pub async fn call(address: SocketAddr, method_path: &str, headers: &str, body: &str) -> Answer {
    Connection::open(address)
        .await
        .call(method_path, headers, body)
        .await
}

/// Sets faults with an HTTP call.
pub async fn set_faults(address: SocketAddr, faults: &str) {
    assert_eq!(call(address, "POST /faults", "", faults).await.status, 200);
}

/// Waits until `condition` returns true.
pub async fn wait_until<Condition>(condition: Condition)
where
    Condition: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(ANSWER_TIMEOUT, wait).await.unwrap();
}
