//! A planned stop under load interrupts no request, even if the load balancer reacts late.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use common::{completion, engine_settings, test_settings, test_sheet};
use dandeliondeal_config::{EntrySettings, StopSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::{EngineStandin, ServiceSettings, ServiceStandin};
use dandeliondeal_types::{LayerRange, SystemClock};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::oneshot;

/// Time that the load balancer may take to stop sending new connections.
const BALANCER_LAG: Duration = Duration::from_millis(400);

/// An entry instance on its own thread.
///
/// When its stop has finished, its connections are closed, as when a process exits.
struct EntryThread {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl EntryThread {
    /// Starts the instance, and two engines of four layers each.
    async fn start(layer_microseconds: u64) -> Self {
        let mut engines = Vec::new();
        let mut ranges = Vec::new();
        for range in [LayerRange::new(0, 4), LayerRange::new(4, 8)] {
            let mut settings = engine_settings(range);
            settings.layer_microseconds = layer_microseconds;
            engines.push(EngineStandin::start(settings).unwrap());
            ranges.push(range);
        }
        let service = ServiceStandin::start(ServiceSettings::default()).unwrap();
        let mut sheet = test_sheet(&engines, &ranges, service.address());
        let route = sheet.routes["desk"].clone();
        sheet.routes.insert(long_route_name().into(), route);
        let (stop, stop_requested) = oneshot::channel();
        let (address_sender, address_receiver) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let settings = EntrySettings {
                    stop: StopSettings {
                        balancer_lag: BALANCER_LAG,
                        ..StopSettings::default()
                    },
                    ..test_settings()
                };
                let entry = EntryServer::start(settings, SystemClock).await.unwrap();
                entry.install(Arc::new(sheet));
                address_sender
                    .send((entry.caller_address(), entry.operator_address()))
                    .unwrap();
                stop_requested.await.unwrap();
                entry.stop().await;
            });
        });
        let (caller_address, operator_address) = address_receiver.await.unwrap();
        Self {
            caller_address,
            operator_address,
            stop,
            thread,
        }
    }

    fn completions_url(&self) -> String {
        format!("http://{}/v1/completions", self.caller_address)
    }
}

/// Returns the name of a route, long enough that a streamed answer exceeds the socket buffers.
///
/// Each chunk of the answer contains the name.
fn long_route_name() -> String {
    "long-route-".repeat(400)
}

/// Requests a stream of `count` tokens on a new connection; returns whether it arrived in full.
async fn reads_full_stream(url: String, count: u32, pause: Duration) -> bool {
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
    let url = entry.completions_url();
    let streams: Vec<_> = (0..20)
        .map(|_| actix_rt::spawn(reads_full_stream(url.clone(), 300, Duration::ZERO)))
        .collect();
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    entry.stop.send(()).unwrap();
    for stream in streams {
        assert!(stream.await.unwrap(), "a stream was interrupted");
    }
}

#[actix_rt::test]
async fn slow_reader() {
    let entry = EntryThread::start(0).await;
    let body = completion("copper", 1_400, true).replace("desk", &long_route_name());
    // With a small receive window, most of the answer stays at the instance until the caller reads.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(entry.caller_address).await.unwrap();
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
    assert!(
        answer.contains("data: [DONE]"),
        "the answer was interrupted"
    );
}

#[actix_rt::test]
async fn lagging_balancer() {
    let entry = EntryThread::start(100).await;
    let url = entry.completions_url();
    let readiness_url = format!("http://{}/health/ready", entry.operator_address);
    let is_stopping = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let (url, is_stopping) = (url.clone(), Rc::clone(&is_stopping));
            actix_rt::spawn(async move {
                // The balancer opens new connections for half of the lag allowed to it.
                let mut full_count = 0;
                let mut stopped_at: Option<Instant> = None;
                loop {
                    if is_stopping.get() {
                        let since = *stopped_at.get_or_insert_with(Instant::now);
                        if since.elapsed() > BALANCER_LAG / 2 {
                            return full_count;
                        }
                    }
                    assert!(reads_full_stream(url.clone(), 20, Duration::ZERO).await);
                    full_count += 1;
                }
            })
        })
        .collect();
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    is_stopping.set(true);
    entry.stop.send(()).unwrap();
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let client = Client::default();
    let health = client.get(readiness_url).send().await.unwrap();
    assert_eq!(
        health.status().as_u16(),
        503,
        "not ready immediately after the stop starts"
    );
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
    while !entry.thread.is_finished() {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = client.post(url).send_body("").await;
    assert!(refused.is_err(), "a stopped instance accepts nothing");
}
