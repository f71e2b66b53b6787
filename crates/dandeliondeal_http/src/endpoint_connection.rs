//! One connection to an endpoint, one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, StatusCode, Uri};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use dandeliondeal_types::Clock;
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

/// Longest head or chunk that is buffered before the connection counts as broken, in bytes; a
/// quarter of a megabyte is far above any answer head and bounds memory for each connection.
const BUFFER_LIMIT: usize = 256 * 1024;

/// What went wrong on a connection.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct LinkError {
    is_written: bool,
    message: Arc<str>,
}

impl LinkError {
    /// No byte of the request was written.
    pub fn not_written<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_written: false,
            message: reason.to_string().into(),
        }
    }

    /// The request may have reached the endpoint.
    pub fn written<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_written: true,
            message: reason.to_string().into(),
        }
    }

    /// Whether surely no byte of the request was written.
    pub fn is_not_written(&self) -> bool {
        !self.is_written
    }
}

/// A request as it is written to an endpoint.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Method.
    pub method: Method,
    /// Path and query, byte for byte as the caller sent them.
    pub uri: Uri,
    /// All headers but those that frame the body.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By its length or by a last chunk.
    Marked,
    /// By the orderly end of the connection.
    ConnectionEnd,
    /// There is no body.
    Empty,
}

/// Head of an answer.
#[derive(Debug)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// How the body ends.
    pub framing: BodyFraming,
}

#[derive(Debug)]
enum ReadState {
    /// No request is open.
    Idle,
    /// A request was written; its answer's head is due.
    Head(ClientCodec),
    /// The body is due.
    Body(PayloadCodec),
    /// The body goes on to the end of the connection; the library takes such an answer to an
    /// HTTP/1.1 request for an empty one.
    Rest,
    /// Nothing more can be read.
    Broken,
}

struct PayloadCodec(ClientPayloadCodec);

impl std::fmt::Debug for PayloadCodec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PayloadCodec")
    }
}

/// A connection that carries one request at a time.
///
/// Dropping it closes the connection, which cancels the request at the endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    stream: TcpStream,
    buffer: BytesMut,
    state: ReadState,
    /// Whether the peer keeps the connection after the present answer.
    is_kept: bool,
    /// Whether the present request's body was written to its end.
    is_whole: bool,
    idle_since: Instant,
}

impl EndpointConnection {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// The connection was refused or not made in time; nothing was written.
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, LinkError> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(LinkError::not_written(&error)),
            Err(_elapsed) => {
                let text = format!("no connection within {} ms", limit.as_millis());
                return Err(LinkError::not_written(&text));
            }
        };
        // Without it requests are only slower.
        drop(stream.set_nodelay(true));
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            state: ReadState::Idle,
            is_kept: false,
            is_whole: true,
            idle_since: now,
        })
    }

    /// Writes a request.
    ///
    /// Stops writing when the answer begins before the body is written whole; the connection is
    /// not kept then.
    ///
    /// # Errors
    ///
    /// The connection broke; part of the request may have been written.
    pub async fn send(&mut self, request: &OutboundRequest) -> Result<(), LinkError> {
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = request.uri.clone();
        head.headers = request.headers.clone();
        let length = if request.body.is_empty() && request.method == Method::GET {
            BodySize::None
        } else {
            BodySize::Sized(request.body.len() as u64)
        };
        let mut codec = ClientCodec::default();
        let mut output = BytesMut::with_capacity(1024 + request.body.len());
        let item = Message::Item((RequestHeadType::Owned(head), length));
        codec
            .encode(item, &mut output)
            .map_err(|error| LinkError::not_written(&error))?;
        output.extend_from_slice(&request.body);
        self.state = ReadState::Head(codec);
        self.is_kept = false;
        self.is_whole = false;
        self.write(&output).await
    }

    async fn write(&mut self, output: &[u8]) -> Result<(), LinkError> {
        let mut rest = output;
        let (mut reader, mut writer) = self.stream.split();
        while !rest.is_empty() {
            tokio::select! {
                biased;
                written = writer.write(rest) => match written {
                    Ok(count) if count > 0 => rest = &rest[count..],
                    Ok(_) => return Err(LinkError::written("connection closed while writing")),
                    Err(error) => return Err(LinkError::written(&error)),
                },
                read = reader.read_buf(&mut self.buffer) => {
                    // The answer, or the end of the connection, comes before the body is written.
                    return match read {
                        Ok(count) if count > 0 => Ok(()),
                        Ok(_) => Err(LinkError::written("connection closed while writing")),
                        Err(error) => Err(LinkError::written(&error)),
                    };
                }
            }
        }
        self.is_whole = true;
        Ok(())
    }

    /// Reads the head of an answer.
    ///
    /// # Errors
    ///
    /// The connection ended, or sent what is no answer.
    pub async fn read_head(&mut self) -> Result<AnswerHead, LinkError> {
        let ReadState::Head(mut codec) = std::mem::replace(&mut self.state, ReadState::Broken)
        else {
            return Err(LinkError::written("no answer is due on this connection"));
        };
        let head = loop {
            if !self.buffer.is_empty() {
                match codec.decode(&mut self.buffer) {
                    // An interim answer; the final one follows.
                    Ok(Some(head)) if head.status.is_informational() => continue,
                    Ok(Some(head)) => break head,
                    Ok(None) => {}
                    Err(error) => return Err(LinkError::written(&error)),
                }
            }
            if self.fill().await? == 0 {
                return Err(LinkError::written("connection closed before the answer"));
            }
        };
        let is_marked = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        let is_bodiless = matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        self.is_kept = codec.keep_alive();
        let framing = match codec.message_type() {
            MessageType::None if is_marked || is_bodiless => BodyFraming::Empty,
            _ if is_marked => BodyFraming::Marked,
            _ => BodyFraming::ConnectionEnd,
        };
        self.state = match framing {
            BodyFraming::Empty => ReadState::Idle,
            BodyFraming::Marked => ReadState::Body(PayloadCodec(codec.into_payload_codec())),
            BodyFraming::ConnectionEnd => ReadState::Rest,
        };
        Ok(AnswerHead {
            status: head.status,
            headers: head.headers.clone(),
            framing,
        })
    }

    /// Reads on in the body; `None` once the body ended as its framing says.
    ///
    /// # Errors
    ///
    /// The body broke off.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, LinkError> {
        loop {
            match &mut self.state {
                ReadState::Idle => return Ok(None),
                ReadState::Rest if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                ReadState::Rest => {}
                ReadState::Body(codec) => match codec.0.decode(&mut self.buffer) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        self.state = ReadState::Idle;
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(error) => {
                        self.state = ReadState::Broken;
                        return Err(LinkError::written(&error));
                    }
                },
                ReadState::Head(_) | ReadState::Broken => {
                    return Err(LinkError::written("the answer broke off"));
                }
            }
            if self.fill().await? == 0 {
                let state = std::mem::replace(&mut self.state, ReadState::Broken);
                return match state {
                    ReadState::Rest => Ok(None),
                    _ => Err(LinkError::written("connection closed within the body")),
                };
            }
        }
    }

    /// Reads a body of at most `limit` bytes to its end.
    ///
    /// # Errors
    ///
    /// The body broke off or is longer.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, LinkError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk().await? {
            if body.len() + chunk.len() > limit {
                let text = format!("answer longer than {limit} bytes");
                return Err(LinkError::written(&text));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Makes ready to read one more answer: the last one belonged to an earlier request.
    pub fn skip_answer(&mut self) {
        if matches!(self.state, ReadState::Idle) {
            self.state = ReadState::Head(ClientCodec::default());
        }
    }

    async fn fill(&mut self) -> Result<usize, LinkError> {
        if self.buffer.len() >= BUFFER_LIMIT {
            self.state = ReadState::Broken;
            return Err(LinkError::written("an answer's head or chunk is too long"));
        }
        let read = self.stream.read_buf(&mut self.buffer).await;
        read.map_err(|error: io::Error| {
            self.state = ReadState::Broken;
            LinkError::written(&error)
        })
    }

    /// Whether the connection may carry another request: the answer ended as framed, nothing
    /// was left over, and the peer keeps the connection.
    pub fn is_reusable(&self) -> bool {
        matches!(self.state, ReadState::Idle)
            && self.is_kept
            && self.is_whole
            && self.buffer.is_empty()
    }

    /// Whether nothing arrived while the connection was idle, neither bytes nor its end.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Notes that the connection is idle from now on.
    pub fn rest<Time>(&mut self, clock: &Time)
    where
        Time: Clock,
    {
        self.idle_since = clock.now();
    }

    /// Since when the connection is idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }
}
