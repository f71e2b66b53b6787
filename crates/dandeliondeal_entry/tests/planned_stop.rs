//! A planned stop under load cuts off no request, also while the balancer lags.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use common::{completion, engine, settings, sheet};
use dandeliondeal_config::{EntrySettings, StopSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::{EngineStandin, ServiceSettings, ServiceStandin};
use dandeliondeal_types::{LayerRange, SystemClock};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::oneshot;

const BALANCER_LAG: Duration = Duration::from_millis(400);

/// An entry instance on a thread of its own: when its stop is over, its connections are gone, as
/// those of a process that ends.
struct EntryThread {
    callers: SocketAddr,
    operators: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl EntryThread {
    /// Starts the instance before two engines of four layers each.
    async fn start(layer_microseconds: u64) -> Self {
        let mut engines = Vec::new();
        let mut ranges = Vec::new();
        for range in [LayerRange::new(0, 4), LayerRange::new(4, 8)] {
            let mut settings = engine(range);
            settings.layer_microseconds = layer_microseconds;
            engines.push(EngineStandin::start(settings).unwrap());
            ranges.push(range);
        }
        let service = ServiceStandin::start(ServiceSettings::default()).unwrap();
        let mut sheet = sheet(&engines, &ranges, service.address());
        let route = sheet.routes["desk"].clone();
        sheet.routes.insert(long_route().into(), route);
        let (stop, stopped) = oneshot::channel();
        let (addresses, started) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let settings = EntrySettings {
                    stop: StopSettings {
                        balancer_lag: BALANCER_LAG,
                        ..StopSettings::default()
                    },
                    ..settings()
                };
                let entry = EntryServer::start(settings, SystemClock).await.unwrap();
                entry.install(Arc::new(sheet));
                addresses
                    .send((entry.caller_address(), entry.operator_address()))
                    .unwrap();
                stopped.await.unwrap();
                entry.stop().await;
            });
        });
        let (callers, operators) = started.await.unwrap();
        Self {
            callers,
            operators,
            stop,
            thread,
        }
    }

    fn completions(&self) -> String {
        format!("http://{}/v1/completions", self.callers)
    }
}

/// A route whose name stands in each chunk, so that an answer outgrows the sockets' buffers.
fn long_route() -> String {
    "long-route-".repeat(400)
}

/// Asks for a stream of `count` tokens on a new connection and tells whether it came whole.
async fn is_whole_stream(url: String, count: u32, pause: Duration) -> bool {
    let client = Client::builder()
        .connector(Connector::new().conn_keep_alive(Duration::ZERO))
        .disable_timeout()
        .finish();
    let request = client
        .post(url)
        .insert_header(("authorization", "Bearer key-a"));
    let Ok(mut answer) = request.send_body(completion("copper", count, true)).await else {
        return false;
    };
    let mut body = Vec::new();
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else {
            return false;
        };
        body.extend_from_slice(&chunk);
        actix_rt::time::sleep(pause).await;
    }
    body.ends_with(b"data: [DONE]\n\n")
}

#[actix_rt::test]
async fn open_streams() {
    let entry = EntryThread::start(100).await;
    let url = entry.completions();
    let streams: Vec<_> = (0..20)
        .map(|_| actix_rt::spawn(is_whole_stream(url.clone(), 300, Duration::ZERO)))
        .collect();
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    entry.stop.send(()).unwrap();
    for stream in streams {
        assert!(stream.await.unwrap(), "a stream was cut off");
    }
}

#[actix_rt::test]
async fn slow_reader() {
    let entry = EntryThread::start(0).await;
    let body = completion("copper", 1_400, true).replace("desk", &long_route());
    // A small window keeps most of the answer at the instance until the caller reads on.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(entry.callers).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer key-a\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    entry.stop.send(()).unwrap();
    actix_rt::time::sleep(BALANCER_LAG + Duration::from_secs(2)).await;
    let mut answer = Vec::new();
    let mut chunk = [0; 16_384];
    loop {
        match caller.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
        }
        actix_rt::time::sleep(Duration::from_millis(4)).await;
    }
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.contains("data: [DONE]"), "the answer was cut off");
}

#[actix_rt::test]
async fn lagging_balancer() {
    let entry = EntryThread::start(100).await;
    let url = entry.completions();
    let ready = format!("http://{}/health/ready", entry.operators);
    let is_stopping = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let (url, is_stopping) = (url.clone(), Rc::clone(&is_stopping));
            actix_rt::spawn(async move {
                // The balancer sends new connections until it notices, well within its lag.
                let mut whole = 0;
                let mut stopped_at: Option<Instant> = None;
                loop {
                    if is_stopping.get() {
                        let since = *stopped_at.get_or_insert_with(Instant::now);
                        if since.elapsed() > BALANCER_LAG / 2 {
                            return whole;
                        }
                    }
                    assert!(is_whole_stream(url.clone(), 20, Duration::ZERO).await);
                    whole += 1;
                }
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    is_stopping.set(true);
    entry.stop.send(()).unwrap();
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let client = Client::default();
    let health = client.get(ready).send().await.unwrap();
    assert_eq!(health.status().as_u16(), 503, "not ready at once");
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
    while !entry.thread.is_finished() {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = client.post(url).send_body("").await;
    assert!(refused.is_err(), "a stopped instance accepts nothing");
}
