//! Reads a request body within bounds of size and time.

use std::time::Duration;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use dandeliondeal_types::RouteError;
use futures_util::StreamExt;

/// Bounds of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodySettings {
    /// Largest body in bytes.
    pub bytes: usize,
    /// Longest time for the whole body to arrive.
    pub time: Duration,
}

impl Default for BodySettings {
    fn default() -> Self {
        Self {
            bytes: 1024 * 1024,
            time: Duration::from_secs(20),
        }
    }
}

/// Reads the whole body.
///
/// # Errors
///
/// An error naming `body` if it is too large, too slow, or breaks off.
pub async fn read_body(payload: Payload, settings: BodySettings) -> Result<Bytes, RouteError> {
    match actix_rt::time::timeout(settings.time, collect(payload, settings.bytes)).await {
        Ok(body) => body,
        Err(_) => Err(invalid(format!(
            "body did not arrive within {:?}",
            settings.time
        ))),
    }
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, RouteError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error: PayloadError| invalid(error.to_string()))?;
        if body.len() + chunk.len() > limit {
            return Err(invalid(format!("body is larger than {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn invalid(message: String) -> RouteError {
    RouteError::invalid_input("body", message)
}
