//! A connection to an endpoint that carries one request at a time.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, StatusCode, Uri};
use actix_rt::time::timeout;
use bytes::{Buf, Bytes, BytesMut};
use dandeliondeal_types::{Clock, check_answer_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::connection_error::ConnectionError;

/// Maximum size in bytes of a buffered head or chunk; a longer one breaks the connection.
///
/// A quarter of a megabyte is far above any response head and bounds memory per connection.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Maximum number of interim (1xx) heads before the final one.
const MAX_INTERIM_HEADS: usize = 8;
/// Maximum size in bytes of chunk sizes, chunk extensions and trailers beyond the usual size.
const MAX_EXTRA_FRAMING_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are read from a connection that is about to be closed; it fits a head.
const ARRIVED_BYTES: usize = 4 * 1024;
/// Usual maximum size in bytes of the framing of one chunk.
const USUAL_FRAMING_BYTES: usize = 256;

/// A request to send to an endpoint.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, exactly as the caller sent them.
    pub uri: Uri,
    /// All headers except those that describe the body's framing.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By `Content-Length` or by the last chunk of a chunked encoding.
    Delimited,
    /// By a regular close of the connection; a reset is an error.
    UntilClose,
    /// The response has no body.
    Empty,
}

/// Head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
}

#[derive(Debug)]
enum ReadState {
    /// No request is in progress.
    Idle,
    /// A request was sent; the head of its response comes next.
    Head(ClientCodec),
    /// The head was read; the body comes next.
    Body(PayloadCodec),
    /// The body extends to the end of the connection.
    ///
    /// The HTTP library treats such a response to an HTTP/1.1 request as empty, so this state reads
    /// the body without its codec.
    UntilClose,
    /// The connection failed; nothing more can be read.
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
/// Dropping it closes the connection and thereby cancels the request at the endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Rest of the current request that is not written yet.
    unwritten: Bytes,
    state: ReadState,
    /// Whether the endpoint keeps the connection open after the current response.
    is_keep_alive: bool,
    /// Whether the current request was written completely.
    is_request_written: bool,
    /// Whether the current request has the method HEAD, whose responses have no body.
    is_head_request: bool,
    /// Number of interim heads before the current response.
    interim_heads: usize,
    /// Framing of the current body beyond the usual size of its chunks, in bytes.
    extra_framing_bytes: usize,
    opened_at: Instant,
    idle_since: Instant,
}

impl EndpointConnection {
    /// Connects to `address`, with `limit` as the timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or timed out; nothing was written.
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, ConnectionError> {
        let result = timeout(limit, TcpStream::connect(address)).await;
        let stream = match result {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectionError::refused(&error));
            }
            Ok(Err(error)) => return Err(ConnectionError::before_write(&error)),
            Err(_elapsed) => {
                let text = format!("no connection within {} ms", limit.as_millis());
                return Err(ConnectionError::before_write(&text));
            }
        };
        // TCP_NODELAY only reduces latency, so a failure to set it is ignored.
        drop(stream.set_nodelay(true));
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            unwritten: Bytes::new(),
            state: ReadState::Idle,
            is_keep_alive: false,
            is_request_written: true,
            is_head_request: false,
            interim_heads: 0,
            extra_framing_bytes: 0,
            opened_at: now,
            idle_since: now,
        })
    }

    /// Sends a request.
    ///
    /// Stops writing if the response begins before the request is written completely; the
    /// connection is not reusable in this case.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed; part of the request may have been written.
    pub async fn send(&mut self, request: &OutboundRequest) -> Result<(), ConnectionError> {
        self.queue_request(request)?;
        self.write_queued().await
    }

    /// Encodes a request, which [`Self::read_head`] writes before it reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be encoded; nothing was written.
    pub fn queue_request(&mut self, request: &OutboundRequest) -> Result<(), ConnectionError> {
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = request.uri.clone();
        head.headers = request.headers.clone();
        let body_size = if request.body.is_empty() && request.method == Method::GET {
            BodySize::None
        } else {
            BodySize::Sized(request.body.len() as u64)
        };
        let mut codec = ClientCodec::default();
        let mut output = BytesMut::with_capacity(1024 + request.body.len());
        let message = Message::Item((RequestHeadType::Owned(head), body_size));
        codec
            .encode(message, &mut output)
            .map_err(|error| ConnectionError::before_write(&error))?;
        output.extend_from_slice(&request.body);
        self.state = ReadState::Head(codec);
        self.is_keep_alive = false;
        self.is_request_written = false;
        self.is_head_request = request.method == Method::HEAD;
        self.interim_heads = 0;
        self.unwritten = output.freeze();
        Ok(())
    }

    /// Writes the rest of the queued request, or until bytes arrive. Cancel safe.
    async fn write_queued(&mut self) -> Result<(), ConnectionError> {
        if self.unwritten.is_empty() {
            return Ok(());
        }
        let (mut reader, mut writer) = self.stream.split();
        while !self.unwritten.is_empty() {
            tokio::select! {
                biased;
                written = writer.write(&self.unwritten) => match written {
                    Ok(count) if count > 0 => self.unwritten.advance(count),
                    Ok(_) => return Err(ConnectionError::after_write("connection closed while writing")),
                    Err(error) => return Err(ConnectionError::after_write(&error)),
                },
                read = reader.read_buf(&mut self.buffer) => {
                    // An interim head, the response or the end of the connection arrived before the
                    // request was written completely.
                    return match read {
                        Ok(count) if count > 0 => Ok(()),
                        Ok(_) => Err(ConnectionError::after_write("connection closed while writing")),
                        Err(error) => Err(ConnectionError::after_write(&error)),
                    };
                }
            }
        }
        self.is_request_written = true;
        Ok(())
    }

    /// Reads the head of a response. Cancel safe: a later call continues.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ended or the data is not a valid response.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        let head = loop {
            let ReadState::Head(codec) = &mut self.state else {
                return Err(ConnectionError::after_write(
                    "no answer is due on this connection",
                ));
            };
            if !self.buffer.is_empty() {
                match codec.decode(&mut self.buffer) {
                    Ok(Some(head)) if head.status.is_informational() => {
                        self.interim_heads += 1;
                        if let Err(error) = check_interim_head(codec, self.interim_heads) {
                            self.state = ReadState::Broken;
                            return Err(error);
                        }
                        continue;
                    }
                    Ok(Some(head)) => {
                        if let Err(error) = check_answer_status(head.status.as_u16()) {
                            self.state = ReadState::Broken;
                            return Err(ConnectionError::invalid_answer(&error));
                        }
                        break head;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        self.state = ReadState::Broken;
                        return Err(ConnectionError::invalid_answer(&error));
                    }
                }
            }
            if !self.unwritten.is_empty() {
                self.write_queued().await?;
                continue;
            }
            if self.fill_buffer().await? == 0 {
                self.state = ReadState::Broken;
                return Err(ConnectionError::after_write(
                    "connection closed before the answer",
                ));
            }
        };
        let state = std::mem::replace(&mut self.state, ReadState::Broken);
        let ReadState::Head(codec) = state else {
            return Err(ConnectionError::after_write("the answer broke off"));
        };
        let is_delimited = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        let is_bodiless = self.is_head_request
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            )
            || has_zero_length(&head.headers);
        self.is_keep_alive = codec.keep_alive();
        let framing = match codec.message_type() {
            MessageType::None if is_bodiless => BodyFraming::Empty,
            // The codec skips bodies with other transfer encodings or after a switch of protocols.
            MessageType::None if is_delimited => {
                return Err(ConnectionError::invalid_answer(
                    "the answer's body has an unknown framing",
                ));
            }
            _ if is_delimited => BodyFraming::Delimited,
            _ => BodyFraming::UntilClose,
        };
        self.extra_framing_bytes = 0;
        self.state = match framing {
            BodyFraming::Empty => ReadState::Idle,
            BodyFraming::Delimited => ReadState::Body(PayloadCodec(codec.into_payload_codec())),
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Ok(ResponseHead {
            status: head.status,
            headers: head.headers.clone(),
            framing,
        })
    }

    /// Reads the next chunk of the body.
    ///
    /// Returns `None` after a body that ended as its framing requires.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end of the body.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            match &mut self.state {
                ReadState::Idle => return Ok(None),
                ReadState::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                ReadState::UntilClose => {}
                ReadState::Body(codec) => {
                    let buffered_bytes = self.buffer.len();
                    match codec.0.decode(&mut self.buffer) {
                        Ok(Some(Some(chunk))) => {
                            let framing = buffered_bytes - self.buffer.len() - chunk.len();
                            self.count_framing(framing)?;
                            let extra = &mut self.extra_framing_bytes;
                            *extra = extra.saturating_sub(USUAL_FRAMING_BYTES);
                            return Ok(Some(chunk));
                        }
                        Ok(Some(None)) => {
                            self.state = ReadState::Idle;
                            return Ok(None);
                        }
                        Ok(None) => self.count_framing(buffered_bytes - self.buffer.len())?,
                        Err(error) => {
                            self.state = ReadState::Broken;
                            return Err(ConnectionError::invalid_answer(&error));
                        }
                    }
                }
                ReadState::Head(_) | ReadState::Broken => {
                    return Err(ConnectionError::after_write("the answer broke off"));
                }
            }
            if self.fill_buffer().await? == 0 {
                let state = std::mem::replace(&mut self.state, ReadState::Broken);
                return match state {
                    ReadState::UntilClose => Ok(None),
                    _ => Err(ConnectionError::after_write(
                        "connection closed within the body",
                    )),
                };
            }
        }
    }

    /// Counts bytes that frame the body: the codec consumes them without a limit of its own.
    fn count_framing(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        self.extra_framing_bytes += bytes;
        if self.extra_framing_bytes <= MAX_EXTRA_FRAMING_BYTES {
            return Ok(());
        }
        self.state = ReadState::Broken;
        let text = format!("more than {MAX_EXTRA_FRAMING_BYTES} bytes of framing between chunks");
        Err(ConnectionError::invalid_answer(&text))
    }

    /// Reads the complete body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer or the connection failed before its end.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, ConnectionError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk().await? {
            if body.len() + chunk.len() > limit {
                let text = format!("answer longer than {limit} bytes");
                return Err(ConnectionError::invalid_answer(&text));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Prepares to read another response, because the previous one belonged to an earlier request.
    pub fn expect_next_response(&mut self) {
        if matches!(self.state, ReadState::Idle) {
            self.state = ReadState::Head(ClientCodec::default());
            self.interim_heads = 0;
        }
    }

    async fn fill_buffer(&mut self) -> Result<usize, ConnectionError> {
        if self.buffer.len() >= MAX_BUFFERED_BYTES {
            self.state = ReadState::Broken;
            return Err(ConnectionError::invalid_answer(
                "an answer's head or chunk is too long",
            ));
        }
        let read = self.stream.read_buf(&mut self.buffer).await;
        read.map_err(|error: io::Error| {
            self.state = ReadState::Broken;
            ConnectionError::after_write(&error)
        })
    }

    /// Reads the bytes that have arrived, without waiting for more, and drops what is not written yet;
    /// returns whether there is something to decode.
    ///
    /// Meant for a connection that is about to be closed. The socket is read even if the runtime has
    /// not noticed yet that it is readable.
    pub fn read_arrived(&mut self) -> bool {
        self.unwritten.clear();
        if let Ok(socket) = self.stream.as_fd().try_clone_to_owned() {
            let mut socket = std::net::TcpStream::from(socket);
            let mut bytes = [0; ARRIVED_BYTES];
            // An error means that nothing has arrived or that the connection broke.
            let count = socket.read(&mut bytes).unwrap_or(0);
            self.buffer.extend_from_slice(&bytes[..count]);
        }
        !self.buffer.is_empty()
    }

    /// Keeps the connection from being used for another request.
    pub fn forbid_reuse(&mut self) {
        self.is_keep_alive = false;
    }

    /// Returns whether the connection can carry another request.
    ///
    /// This requires that the request was written completely, the response ended as its framing
    /// requires, no bytes are left over, and the endpoint keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        matches!(self.state, ReadState::Idle)
            && self.is_keep_alive
            && self.is_request_written
            && self.buffer.is_empty()
    }

    /// Returns whether neither data nor an end of stream arrived while the connection was idle.
    pub fn has_nothing_to_read(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the endpoint closes an idle connection, or sends something unasked.
    pub async fn wait_until_closed(&self) {
        // An error means that the connection is of no use either.
        while self.stream.readable().await.is_ok() && self.has_nothing_to_read() {}
    }

    /// Records that the connection is idle from now on.
    pub fn mark_idle<Time>(&mut self, clock: &Time)
    where
        Time: Clock,
    {
        self.idle_since = clock.now();
    }

    /// Returns the time at which the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the time since which the connection is idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }
}

/// Returns whether a response's headers state that it has no body.
fn has_zero_length(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
    length == Some(0)
}

/// Checks whether the final head may follow an interim one.
///
/// The codec keeps the state of an interim head with a body or a switch of protocols, and would
/// panic at the next head.
fn check_interim_head(codec: &ClientCodec, count: usize) -> Result<(), ConnectionError> {
    if !matches!(codec.message_type(), MessageType::None) {
        return Err(ConnectionError::invalid_answer(
            "an interim head announces a body",
        ));
    }
    if count > MAX_INTERIM_HEADS {
        let text = format!("more than {MAX_INTERIM_HEADS} interim heads");
        return Err(ConnectionError::invalid_answer(&text));
    }
    Ok(())
}
