//! Body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;

/// Error for a response that ended early; the connection is closed so that the response does not
/// appear complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the response ended before it was complete")]
pub struct IncompleteResponse;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum RelayBody {
    /// Complete body.
    Complete(Bytes),
    /// Chunks sent as they arrive; an error closes the connection.
    Stream(mpsc::Receiver<Result<Bytes, IncompleteResponse>>),
    /// Closes the connection at once.
    Cut,
}

impl MessageBody for RelayBody {
    type Error = IncompleteResponse;

    fn size(&self) -> BodySize {
        match self {
            Self::Complete(content) => BodySize::Sized(content.len() as u64),
            Self::Stream(_) | Self::Cut => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Complete(content) if content.is_empty() => Poll::Ready(None),
            Self::Complete(content) => Poll::Ready(Some(Ok(std::mem::take(content)))),
            Self::Stream(chunks) => chunks.poll_recv(context),
            Self::Cut => Poll::Ready(Some(Err(IncompleteResponse))),
        }
    }
}
