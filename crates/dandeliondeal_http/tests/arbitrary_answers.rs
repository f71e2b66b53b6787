//! Reading of arbitrary bytes, cut at arbitrary places, ends without a panic.

use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bolero_generator::TypeGenerator;
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Maximum body size that the test accepts.
const BODY_LIMIT: usize = 1_000;
/// Maximum time to read the answers of a connection that the endpoint closes.
const READ_TIME: Duration = Duration::from_secs(5);

/// Part of an answer; arbitrary sequences of parts reach most states of the reader.
#[derive(Clone, Debug, TypeGenerator)]
enum AnswerPart {
    StatusLine(u8),
    ContentLength(u8),
    Chunked,
    OtherHeader(u8),
    HeadEnd,
    ChunkSize(u8),
    ChunkExtension,
    LastChunk,
    Text(u8),
    Bytes(Vec<u8>),
}

impl AnswerPart {
    fn write(&self, output: &mut Vec<u8>) {
        let text = match self {
            Self::StatusLine(code) => {
                let codes = [100, 101, 102, 103, 200, 201, 204, 304, 421, 500, 503, 99];
                let version = if code % 8 == 0 { "1.0" } else { "1.1" };
                let code = codes[usize::from(*code) % codes.len()];
                format!("HTTP/{version} {code} Status\r\n")
            }
            Self::ContentLength(length) => format!("Content-Length: {}\r\n", length % 8),
            Self::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::OtherHeader(index) => {
                let headers = [
                    "Connection: close",
                    "Connection: upgrade",
                    "Upgrade: websocket",
                    "Transfer-Encoding: identity",
                    "Content-Length: 18446744073709551615",
                    "A: b",
                ];
                format!("{}\r\n", headers[usize::from(*index) % headers.len()])
            }
            Self::HeadEnd => "\r\n".to_owned(),
            Self::ChunkSize(size) => format!("{:x}\r\n", size % 8),
            Self::ChunkExtension => "2;a=b\r\n".to_owned(),
            Self::LastChunk => "0\r\n\r\n".to_owned(),
            Self::Text(length) => "x".repeat(usize::from(length % 8)),
            Self::Bytes(bytes) => {
                output.extend_from_slice(bytes);
                return;
            }
        };
        output.extend_from_slice(text.as_bytes());
    }
}

// A state of the HTTP library that it does not expect panicked, which ends the task of a request
// without an answer to its caller.
#[test]
fn arbitrary_bytes() {
    bolero::check!()
        .with_type::<(Vec<AnswerPart>, u8, bool)>()
        .cloned()
        .for_each(|(parts, piece_bytes, is_head_request)| {
            let mut answer = Vec::new();
            for part in &parts {
                part.write(&mut answer);
            }
            let piece_bytes = usize::from(piece_bytes).max(1);
            actix_rt::System::new().block_on(read_bytes(answer, piece_bytes, is_head_request));
        });
}

/// Sends `answer` in pieces, closes the connection, and reads all answers.
async fn read_bytes(answer: Vec<u8>, piece_bytes: usize, is_head_request: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let writer = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        drop(stream.read(&mut [0; 1_024]).await);
        for piece in answer.chunks(piece_bytes) {
            // A reader that found an error closes the connection.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            actix_rt::task::yield_now().await;
        }
    });
    let read = actix_rt::time::timeout(READ_TIME, read_answers(address, is_head_request)).await;
    drop(read.expect("reading ends"));
    writer.await.expect("the endpoint does not panic");
}

async fn read_answers(
    address: std::net::SocketAddr,
    is_head_request: bool,
) -> Result<(), ConnectionError> {
    let mut connection = EndpointConnection::connect(address, READ_TIME, Instant::now()).await?;
    let method = if is_head_request {
        Method::HEAD
    } else {
        Method::GET
    };
    let request = OutboundRequest {
        method,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    connection.send(&request).await?;
    loop {
        connection.read_head().await?;
        let body = connection.read_body(BODY_LIMIT).await?;
        assert!(body.len() <= BODY_LIMIT);
        connection.expect_next_response();
    }
}
