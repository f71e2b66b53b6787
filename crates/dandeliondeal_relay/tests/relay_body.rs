//! A stream appears complete to its caller only if its end was stated.

use std::future::poll_fn;
use std::pin::Pin;

use actix_http::body::MessageBody;
use bytes::Bytes;
use dandeliondeal_relay::relay_body::{RelayBody, StreamPart};
use tokio::sync::mpsc;

async fn next_chunk(body: &mut RelayBody) -> Option<Result<Bytes, ()>> {
    let chunk = poll_fn(|context| Pin::new(&mut *body).poll_next(context)).await;
    chunk.map(|result| result.map_err(|_error| ()))
}

fn events() -> Bytes {
    Bytes::from("id: 0\n\n")
}

#[actix_rt::test]
async fn complete_stream() {
    let (sender, receiver) = mpsc::channel(2);
    let mut body = RelayBody::Stream(receiver);
    for part in [StreamPart::Events(events()), StreamPart::End] {
        sender.try_send(part).expect("sent");
    }
    assert_eq!(next_chunk(&mut body).await, Some(Ok(events())));
    assert_eq!(next_chunk(&mut body).await, None);
}

// A task that ended without stating the end of its stream, such as by a panic, made the stream
// appear complete.
#[actix_rt::test]
async fn dropped_sender() {
    let (sender, receiver) = mpsc::channel(2);
    let mut body = RelayBody::Stream(receiver);
    sender.try_send(StreamPart::Events(events())).expect("sent");
    drop(sender);
    assert_eq!(next_chunk(&mut body).await, Some(Ok(events())));
    assert_eq!(next_chunk(&mut body).await, Some(Err(())));
}
