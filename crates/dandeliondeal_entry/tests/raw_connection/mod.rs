//! A caller that writes its own bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::timeout;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::KEY;

/// Path of completions.
pub const COMPLETIONS: &str = "/v1/completions";

/// Longest wait for an answer, or for the end of the connection.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// A connection of which the test writes every byte.
pub struct RawConnection(TcpStream);

impl RawConnection {
    pub async fn open(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).await.is_ok()
    }

    pub async fn send_completion(&mut self, headers: &str, body: &[u8]) {
        let length = body.len();
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n{headers}content-length: {length}\r\n\r\n"
        );
        self.send(head.as_bytes()).await;
        self.send(body).await;
    }

    /// Status and body of the next answer; `None` if the connection ends first.
    pub async fn receive(&mut self) -> Option<(u16, String)> {
        timeout(PATIENCE, self.read_answer())
            .await
            .expect("an answer or an end")
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
