//! The body of a response: complete, or a stream of chunks.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// Body of a response to a caller or operator.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Full(Bytes),
    /// Chunks as they are produced.
    ///
    /// The receiver is dropped when the caller disconnects, which the producer notices.
    Stream(mpsc::Receiver<Bytes>),
}

impl<Content> From<Content> for ResponseBody
where
    Content: Into<Bytes>,
{
    fn from(content: Content) -> Self {
        Self::Full(content.into())
    }
}

impl MessageBody for ResponseBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        match self {
            Self::Full(content) => BodySize::Sized(content.len() as u64),
            Self::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.get_mut() {
            Self::Full(content) if content.is_empty() => Poll::Ready(None),
            Self::Full(content) => Poll::Ready(Some(Ok(std::mem::take(content)))),
            Self::Stream(chunks) => chunks.poll_recv(context).map(|chunk| chunk.map(Ok)),
        }
    }
}
