//! A connection on which a test writes arbitrary bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::KEY;

/// Path of the completions API.
pub const COMPLETIONS: &str = "/v1/completions";

/// Maximum wait for an answer, or for the end of the connection.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A TCP connection to the caller API, without an HTTP client.
pub struct RawConnection(TcpStream);

impl RawConnection {
    pub async fn open(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    /// Sends `bytes`, and returns whether the connection accepted them.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).await.is_ok()
    }

    /// Sends a completion request with extra header lines and a body.
    pub async fn send_completion(&mut self, headers: &str, body: &[u8]) {
        let length = body.len();
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}content-length: {length}\r\n\r\n"
        );
        self.send(head.as_bytes()).await;
        self.send(body).await;
    }

    /// Returns status and body of the next answer; `None` if the connection ends first.
    pub async fn receive(&mut self) -> Option<(u16, String)> {
        timeout(WAIT_LIMIT, self.read_answer())
            .await
            .expect("an answer, or the end of the connection")
    }

    async fn read_answer(&mut self) -> Option<(u16, String)> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |length| length.parse().unwrap());
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.ok()?;
        Some((status, String::from_utf8(body).unwrap()))
    }
}
