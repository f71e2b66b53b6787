//! Reads a request body within limits on size and time.

use std::time::Duration;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use dandeliondeal_types::RouteError;
use futures_util::StreamExt;

/// Limits on the size and arrival time of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodySettings {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum time until the whole body has arrived.
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
/// Returns an error with the field `body` if the body is too large, too slow or incomplete.
pub async fn read_body(payload: Payload, settings: BodySettings) -> Result<Bytes, RouteError> {
    match actix_rt::time::timeout(settings.time, read_chunks(payload, settings.bytes)).await {
        Ok(body) => body,
        Err(_) => Err(body_error(format!(
            "body did not arrive within {:?}",
            settings.time
        ))),
    }
}

async fn read_chunks(mut payload: Payload, limit: usize) -> Result<Bytes, RouteError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error: PayloadError| body_error(error.to_string()))?;
        if body.len() + chunk.len() > limit {
            return Err(body_error(format!("body is larger than {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn body_error(message: String) -> RouteError {
    RouteError::invalid_input("body", message)
}
