//! Calls to the peer server with a wrong secret, invalid content or another protocol.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use dandeliondeal_config::SecretText;
use dandeliondeal_peer::{PeerClient, PeerError, PeerHandler, PeerServer, PeerSettings};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClientBuilder;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const METHOD: &str = "echo";
const SECRET: &str = "shared-secret";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns each body unchanged and counts the calls.
#[derive(Clone, Debug, Default)]
struct EchoHandler(Rc<Cell<usize>>);

impl PeerHandler for EchoHandler {
    const METHODS: &'static [&'static str] = &[METHOD];

    async fn handle(&self, _method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        self.0.set(self.0.get() + 1);
        Ok(body.into())
    }
}

fn peer_settings(secret: &str) -> PeerSettings {
    PeerSettings {
        secret: SecretText::new(secret),
        max_message_bytes: 4_096,
        max_connections: 3,
        timeout: ANSWER_TIMEOUT,
    }
}

fn start_server() -> (PeerServer, Rc<Cell<usize>>) {
    let handler = EchoHandler::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = PeerServer::start(listener, &peer_settings(SECRET), handler.clone()).unwrap();
    (server, handler.0)
}

async fn echo(client: &PeerClient, address: SocketAddr, body: &str) -> Result<String, PeerError> {
    client.call(address, METHOD, &body).await
}

#[actix_rt::test]
async fn wrong_secret() {
    let (server, calls) = start_server();
    for secret in ["", "shared-secre", "shared-secret-", "other"] {
        let client = PeerClient::new(peer_settings(secret));
        let answer = echo(&client, server.address(), "x").await;
        assert!(matches!(answer, Err(PeerError::Refused { .. })), "{secret}");
    }
    assert_eq!(calls.get(), 0);
    let client = PeerClient::new(peer_settings(SECRET));
    assert_eq!(echo(&client, server.address(), "x").await.unwrap(), "x");
}

#[actix_rt::test]
async fn malformed_calls() {
    let (server, calls) = start_server();
    let url = format!("ws://{}", server.address());
    let client = WsClientBuilder::default().build(url).await.unwrap();
    let answer = client
        .request::<String, _>("none", rpc_params![SECRET, 1])
        .await;
    assert!(answer.is_err());
    let answer = client
        .request::<String, _>(METHOD, rpc_params![SECRET])
        .await;
    assert!(answer.is_err());
    let answer = client.request::<String, _>(METHOD, rpc_params![7, 1]).await;
    assert!(answer.is_err());
    assert_eq!(calls.get(), 0);
    // The connection stays usable.
    let answer = client
        .request::<u32, _>(METHOD, rpc_params![SECRET, 7])
        .await;
    assert_eq!(answer.unwrap(), 7);
}

#[actix_rt::test]
async fn oversized_message() {
    let (server, calls) = start_server();
    let client = PeerClient::new(PeerSettings {
        max_message_bytes: 1_000_000,
        ..peer_settings(SECRET)
    });
    let answer = echo(&client, server.address(), &"x".repeat(5_000)).await;
    assert!(answer.is_err());
    assert_eq!(calls.get(), 0);
    assert_eq!(echo(&client, server.address(), "x").await.unwrap(), "x");
}

#[actix_rt::test]
async fn other_protocols() {
    let (server, calls) = start_server();
    let client = PeerClient::new(peer_settings(SECRET));
    assert_eq!(echo(&client, server.address(), "x").await.unwrap(), "x");
    for bytes in [
        // Start of a TLS client hello.
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n"[..],
        b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}",
    ] {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut answer = [0; 512];
        let count = timeout(ANSWER_TIMEOUT, stream.read(&mut answer)).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..count.unwrap_or(0)]).into_owned();
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
        assert!(!answer.starts_with("HTTP/1.1 101"), "{answer}");
    }
    assert_eq!(calls.get(), 1);
    assert_eq!(echo(&client, server.address(), "y").await.unwrap(), "y");
}
