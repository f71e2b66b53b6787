//! Stand-ins for replicas: of a plain service, and engines that hold layers.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Message};
use crate::json::Value;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Duration of a call to the plain service.
const CALL_TIME: Duration = Duration::from_millis(15);
/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(25);
/// Time to load layers before the first request.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Tokens in an event.
const EVENT_TOKENS: u64 = 4;

#[derive(Debug, Default)]
struct State {
    writes: u64,
    orders: u64,
    fence: u64,
    layers: Option<(u64, u64)>,
    running: u64,
}

/// A replica; clones share it.
#[derive(Clone)]
pub struct Replica {
    id: Arc<str>,
    service: Arc<str>,
    /// Kind of the card of an engine.
    kind: Option<Arc<str>>,
    born_ms: u64,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Replica {
    /// Starts a replica, which registers itself in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        kind: Option<&str>,
    ) -> Self {
        let replica = Self {
            id: id.into(),
            service: service.into(),
            kind: kind.map(Into::into),
            born_ms: crate::record::unix_ms(),
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let served = replica.clone();
        let address = http::listen(move |message, stream| served.serve(message, stream));
        let beating = replica.clone();
        std::thread::spawn(move || {
            loop {
                beating.register(address);
                std::thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    /// Returns whether an engine holds layers.
    pub fn is_loaded(&self) -> bool {
        self.state.lock().expect("state").layers.is_some()
    }

    fn layers_text(state: &State) -> String {
        state.layers.map_or_else(String::new, |(from, to)| {
            format!(",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}")
        })
    }

    fn register(&self, address: SocketAddr) {
        let mut state = self.state.lock().expect("state");
        state.writes += 1;
        let kind = self.kind.as_ref().map_or_else(String::new, |kind| {
            format!(
                ",\"stage\":\"unified\",\"models\":[],\"kind\":\"{kind}\"{}",
                Self::layers_text(&state)
            )
        });
        let slots = if self.kind.is_some() { 192 } else { 6 };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{address}\",\"zone\":\"isani\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{},\"born\":{}{kind}}}",
            self.service, state.writes, self.born_ms
        );
        drop(state);
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        match message.request() {
            ("GET", "/report") => {
                return http::respond(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    self.report().as_bytes(),
                );
            }
            ("POST", "/order") => return http::respond(stream, self.take_order(message), "", b""),
            ("GET", "/health") => {
                return http::respond(stream, 200, &format!("Replica-Id: {}\r\n", self.id), b"");
            }
            _ => {}
        }
        if message
            .header("expect-replica")
            .is_some_and(|id| *id != *self.id)
        {
            return http::respond(stream, 421, &format!("Replica-Id: {}\r\n", self.id), b"");
        }
        let attempt = message.header("attempt-id").unwrap_or("").to_owned();
        self.record
            .add(&format!("replica {} runs {attempt}", self.id));
        if self.kind.is_some() {
            self.state.lock().expect("state").running += 1;
            let result = self.write_stream(message, &attempt, stream);
            self.state.lock().expect("state").running -= 1;
            return result;
        }
        std::thread::sleep(CALL_TIME);
        let headers = format!(
            "Attempt-Id: {attempt}\r\nReplica-Seal: {}\r\nReplica-Load: 1,0,6\r\n",
            self.id
        );
        http::respond(stream, 200, &headers, &[b'a'; 800])
    }

    fn report(&self) -> String {
        let state = self.state.lock().expect("state");
        format!(
            "{{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"seq\":{},\"waiting\":0,\"running\":{},\"kv-used\":{},\"kv-total\":8000000,\"handles\":0,\"pace\":1.0,\"born\":{}{}}}",
            state.orders,
            state.running,
            state.running * 20_000,
            self.born_ms,
            Self::layers_text(&state)
        )
    }

    fn take_order(&self, message: &Message) -> u16 {
        let Some(order) = Value::parse(&String::from_utf8_lossy(&message.body)) else {
            return 400;
        };
        let number = |name: &str| order.get(name).and_then(Value::number);
        let mut state = self.state.lock().expect("state");
        let fence = number("fence").unwrap_or(0);
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        let (Some("place"), Some(from), Some(to)) = (
            order.get("op").and_then(Value::text),
            number("from"),
            number("to"),
        ) else {
            return 404;
        };
        if number("expect").is_some_and(|expected| expected != state.orders) {
            return 409;
        }
        if state.layers == Some((from, to)) {
            return 200;
        }
        state.orders += 1;
        let loading = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LOAD_TIME);
            loading.state.lock().expect("state").layers = Some((from, to));
        });
        202
    }

    fn write_stream(
        &self,
        message: &Message,
        attempt: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let counts = message
            .header("token-counts")
            .and_then(|counts| counts.split_once(','));
        let tokens: u64 = counts
            .and_then(|(_, tokens)| tokens.parse().ok())
            .unwrap_or(EVENT_TOKENS);
        let first = message
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0_u64);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Seal: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in first + 1..=tokens.div_ceil(EVENT_TOKENS) {
            std::thread::sleep(EVENT_TIME);
            let event = format!("id: {event}\ndata: {attempt}-{event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
