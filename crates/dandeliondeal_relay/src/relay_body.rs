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

/// Part of a stream to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamPart {
    /// Next events.
    Events(Bytes),
    /// End of a complete stream.
    End,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum RelayBody {
    /// Complete body.
    Complete(Bytes),
    /// Events sent as they arrive.
    ///
    /// If the sender is dropped before [`StreamPart::End`], the response is incomplete and the
    /// connection is closed.
    Stream(mpsc::Receiver<StreamPart>),
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
            Self::Stream(parts) => parts.poll_recv(context).map(|part| match part {
                Some(StreamPart::Events(events)) => Some(Ok(events)),
                Some(StreamPart::End) => None,
                None => Some(Err(IncompleteResponse)),
            }),
            Self::Cut => Poll::Ready(Some(Err(IncompleteResponse))),
        }
    }
}
