//! Requests whose callers close the connection before the request is read, or while it waits.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_http::{HttpListener, ListenerSettings, ResponseBody};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const REQUEST: &[u8] = b"POST /draft HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbody";
/// Time in which a listener on loopback handles what it has received.
const HANDLING_TIME: Duration = Duration::from_millis(100);

/// Starts a listener whose handler counts its requests twice: when it starts, and when it would send
/// them on after `wait`.
async fn start_listener<Wait, WaitFuture>(
    wait: Wait,
) -> (HttpListener, Rc<Cell<u32>>, Rc<Cell<u32>>)
where
    Wait: Fn() -> WaitFuture + Clone + 'static,
    WaitFuture: Future<Output = ()> + 'static,
{
    let (started, sent) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let counts = (Rc::clone(&started), Rc::clone(&sent));
    let handler = move |_request: Request| {
        let (started, sent) = (Rc::clone(&counts.0), Rc::clone(&counts.1));
        let waiting = wait();
        async move {
            started.set(started.get() + 1);
            waiting.await;
            sent.set(sent.get() + 1);
            Response::with_body(StatusCode::OK, ResponseBody::Full(Bytes::new()))
        }
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::start(address, ListenerSettings::default(), handler)
        .await
        .expect("a listener");
    (listener, started, sent)
}

fn send_request(listener: &HttpListener) -> TcpStream {
    let mut stream = TcpStream::connect(listener.address()).expect("a connection");
    stream.write_all(REQUEST).expect("sent");
    stream
}

/// Guards against requests that are served although their callers have left: a busy process reads
/// request and end of the connection in one go, and its handler ran before the end was acted upon.
#[actix_rt::test]
async fn closed_unread() {
    let (listener, started, _) = start_listener(|| async {}).await;
    // The test does not yield, so that the listener reads nothing until all have closed.
    for _ in 0..8 {
        drop(send_request(&listener));
    }
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(started.get(), 0);
    assert_eq!(listener.open_connections(), 0);
}

/// As `closed_unread`, with callers that only end their side of the connection.
#[actix_rt::test]
async fn ended_unread() {
    let (listener, started, _) = start_listener(|| async {}).await;
    let stream = send_request(&listener);
    stream.shutdown(Shutdown::Write).expect("a shutdown");
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(started.get(), 0);
}

/// As `closed_unread`, with a second request on a connection on which one was answered.
#[actix_rt::test]
async fn closed_reused() {
    let (listener, started, _) = start_listener(|| async {}).await;
    let mut stream = send_request(&listener);
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(started.get(), 1);
    // Unread bytes would turn the close into a reset.
    let mut answer = [0; 1024];
    assert!(stream.read(&mut answer).expect("an answer") > 0);
    stream.write_all(REQUEST).expect("sent");
    drop(stream);
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(started.get(), 1);
}

/// Guards against a waiting request that is sent on in the same turn in which the end of its
/// connection is read: what it waited for arrived together with the end.
#[actix_rt::test]
async fn closed_waiting() {
    let gate = TcpListener::bind("127.0.0.1:0").await.expect("a gate");
    let address = gate.local_addr().expect("an address");
    let mut opener = TcpStream::connect(address).expect("a connection");
    let (waiting, _) = gate.accept().await.expect("a connection");
    let waiting = Rc::new(Cell::new(Some(waiting)));
    let wait = move || {
        let waiting = waiting.take();
        async move {
            let mut waiting = waiting.expect("one request");
            waiting.read_u8().await.expect("a byte");
        }
    };
    let (listener, started, sent) = start_listener(wait).await;
    let stream = send_request(&listener);
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(started.get(), 1);
    // Both arrive before the event loop turns again.
    drop(stream);
    opener.write_all(b"x").expect("sent");
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(sent.get(), 0);
}

/// Guards against a check that takes a connection for ended that is not: requests behind another one
/// on the same connection are answered.
#[actix_rt::test]
async fn open_pipeline() {
    let (listener, _, sent) = start_listener(|| async {}).await;
    let mut stream = send_request(&listener);
    stream.write_all(REQUEST).expect("sent");
    actix_rt::time::sleep(HANDLING_TIME).await;
    assert_eq!(sent.get(), 2);
}
