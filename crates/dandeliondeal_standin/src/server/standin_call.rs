//! An HTTP call to a stand-in and the reply to it.

use std::time::Instant;

use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{HttpMessage, Request, Response, ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A call that has been read completely from its connection.
#[derive(Clone, Debug)]
pub(crate) struct StandinCall {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Time at which the call was read, before any delay by a freeze.
    pub(crate) received_at: Instant,
}

impl StandinCall {
    /// Reads the whole call.
    pub(crate) async fn read(mut request: Request) -> Result<Self, StandinReply> {
        let body = read_body(&mut request).await?;
        Ok(Self {
            method: request.method().to_string(),
            path: percent_decode(request.path()),
            query: request.uri().query().unwrap_or_default().to_owned(),
            headers: request.headers().clone(),
            body,
            received_at: Instant::now(),
        })
    }

    /// Returns the value of a query parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
    }

    /// Returns the value of a numeric query parameter.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns the value of a header as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<Value>(&self) -> Result<Value, StandinReply>
    where
        Value: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|error| StandinReply::error(400, "malformed", &error.to_string(), None))
    }
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub(crate) struct StandinReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl StandinReply {
    pub(crate) fn empty(status: u16) -> Self {
        Self::text(status, "text/plain", String::new())
    }

    pub(crate) fn text<Body>(status: u16, content_type: &'static str, body: Body) -> Self
    where
        Body: Into<Bytes>,
    {
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub(crate) fn json<Value>(status: u16, value: &Value) -> Self
    where
        Value: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::text(status, "application/json", body)
    }

    pub(crate) fn error(status: u16, code: &str, message: &str, expected: Option<u64>) -> Self {
        let error = json!({"code": code, "message": message, "expected": expected});
        Self::json(status, &json!({ "error": error }))
    }

    pub(crate) fn path_not_found(call: &StandinCall) -> Self {
        let message = format!("no {} {}", call.method, call.path);
        Self::error(404, "path", &message, None)
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Creates the HTTP response; `is_last` makes the server close the connection after it.
    pub(crate) fn into_response(self, is_last: bool) -> Response<Bytes> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        let mut builder = ResponseBuilder::new(status);
        builder.insert_header((CONTENT_TYPE, self.content_type));
        for (name, value) in self.headers {
            builder.insert_header((name, value));
        }
        if is_last {
            builder.force_close();
        }
        builder.finish().set_body(self.body)
    }
}

async fn read_body(request: &mut Request) -> Result<Bytes, StandinReply> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.map_err(|error| body_error_reply(&error))?);
        if body.len() > MAX_BODY_BYTES {
            let message = format!("body above {MAX_BODY_BYTES} bytes");
            return Err(StandinReply::error(413, "size", &message, None));
        }
    }
    Ok(body.freeze())
}

fn body_error_reply(error: &PayloadError) -> StandinReply {
    StandinReply::error(400, "malformed", &error.to_string(), None)
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escape = (first == b'%')
            .then(|| parse_hexadecimal_byte(tail))
            .flatten();
        bytes.push(escape.unwrap_or(first));
        rest = if escape.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parse_hexadecimal_byte(digits: &[u8]) -> Option<u8> {
    let pair = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(pair, 16).ok()
}

/// Serialises the entries as JSON, one line per entry.
pub(crate) fn json_lines<Entry>(entries: &[Entry]) -> String
where
    Entry: Serialize,
{
    let mut lines = String::new();
    for line in entries
        .iter()
        .filter_map(|entry| serde_json::to_string(entry).ok())
    {
        lines.push_str(&line);
        lines.push('\n');
    }
    lines
}
