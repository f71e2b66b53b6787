//! The body of a response: complete, or a stream of chunks.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// Body of a response to a caller or operator.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body.
    Whole(Bytes),
    /// Chunks as they are produced.
    ///
    /// The receiver is dropped when the caller disconnects, which the producer notices.
    Stream(mpsc::Receiver<Bytes>),
}

impl<Content> From<Content> for ReplyBody
where
    Content: Into<Bytes>,
{
    fn from(content: Content) -> Self {
        Self::Whole(content.into())
    }
}

impl MessageBody for ReplyBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(content) => BodySize::Sized(content.len() as u64),
            Self::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.get_mut() {
            Self::Whole(content) if content.is_empty() => Poll::Ready(None),
            Self::Whole(content) => Poll::Ready(Some(Ok(std::mem::take(content)))),
            Self::Stream(chunks) => chunks.poll_recv(context).map(|chunk| chunk.map(Ok)),
        }
    }
}
