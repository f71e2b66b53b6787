//! A small deployment on loopback: routers as separate processes, replicas, and the record.

use std::collections::HashMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Wire, call, encode};
use crate::store::{Door, Store};

/// Record of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: String) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line));
        now
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:8.3}  {line}\n"))
            .collect();
        fs::write(path, text).expect("the record is written");
    }
}

/// Router process; it is killed when this is dropped.
pub struct Router {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
}

impl Router {
    /// Starts a router with the command and the settings template of the deploy file.
    pub fn start(name: &str, zone: &str, door: &Door) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        // The metrics port is fixed, so that each router has a loopback address of its own.
        let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
        let process = u64::from(std::process::id());
        let ip = format!(
            "127.{}.{}.{}",
            1 + process / 250 % 250,
            1 + process % 250,
            number
        );
        let ports = free_ports(&ip);
        let fields = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("region", "tbilisi".to_owned()),
            ("listen.front", format!("{ip}:{}", ports[0])),
            ("listen.ready", format!("{ip}:{}", ports[1])),
            ("ip", ip.clone()),
            ("inner-ports.0", ports[2].to_string()),
            ("inner-ports.1", ports[3].to_string()),
            ("platform.addr", door.address.to_string()),
            ("platform.reads-per-s", "2000".to_owned()),
            ("platform.writes-per-s", "400".to_owned()),
            ("bounds.budget-ratio", "0.2".to_owned()),
            ("bounds.retry-slack", "202".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("limits.cpu-share", "0.25".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/router.ini").expect("the settings template");
        for (field, value) in &fields {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(
            !text.contains("{{"),
            "a field of the template is unknown:\n{text}"
        );
        let settings = folder.join("settings.ini");
        fs::write(&settings, text).expect("the settings are written");
        let log = fs::File::create(folder.join("log")).expect("a log");
        let child = Command::new("target/release/dandeliondeal-router")
            .env("DANDELIONDEAL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the router starts; build it first");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            child,
            callers: address(ports[0]),
            readiness: address(ports[1]),
            folder,
        }
    }

    /// Waits until the router says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let request = encode("GET /ready HTTP/1.1", &[("Host", "router".to_owned())], b"");
        for _ in 0..200 {
            let answer = call(self.readiness, &request, Duration::from_millis(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

static NEXT_ADDRESS: AtomicU64 = AtomicU64::new(1);

/// Returns four free ports below the range from which the system takes ports of its own accord.
fn free_ports(ip: &str) -> Vec<u16> {
    let first = 20_000 + u16::try_from(std::process::id() % 9_000).expect("a port");
    let listeners = (first..30_000).filter_map(|port| TcpListener::bind((ip, port)).ok());
    // All are held until four are found, so that none is returned twice.
    let listeners: Vec<TcpListener> = listeners.take(4).collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"));
    addresses.map(|address| address.port()).collect()
}

/// Request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub has_ended: bool,
}

/// Replica of a plain service, which registers itself in the store.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    zone: String,
    pub address: SocketAddr,
    born: u64,
    work: Duration,
    record: Record,
    store: Store,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    is_deregistered: Arc<AtomicBool>,
    is_drain_written: Arc<AtomicBool>,
    writes: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Record,
        store: &Store,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: u64::try_from(born).expect("a time"),
            work,
            record: record.clone(),
            store: store.clone(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            is_deregistered: Arc::default(),
            is_drain_written: Arc::default(),
            writes: Arc::default(),
            running: Arc::default(),
            streams: Arc::default(),
            arrivals: Arc::default(),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let writing = replica.clone();
        thread::spawn(move || {
            while !writing.has_ended.load(Ordering::SeqCst) {
                writing.register();
                thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    /// Writes the entry of the replica into the store, which changes only with more than `seq`.
    fn register(&self) {
        if self.is_deregistered.load(Ordering::SeqCst) {
            return;
        }
        let seq = self.writes.fetch_add(1, Ordering::SeqCst) + 1;
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        if seq > 1 && self.is_drain_written.swap(is_leaving, Ordering::SeqCst) == is_leaving {
            return;
        }
        let state = if is_leaving { "draining" } else { "ready" };
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        self.store.write("servers", &self.id, &spec);
    }

    /// Reports that the replica drains; its answers say so from now on.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.register();
    }

    /// Removes the entry of the replica without a report that it drains; it goes on serving.
    pub fn deregister(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.is_deregistered.store(true, Ordering::SeqCst);
        self.store.delete("servers", &self.id);
    }

    /// Ends the replica: its entry is removed, and its connections are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.store.delete("servers", &self.id);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.streams.lock().unwrap().push(stream);
        }
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            let answer = self.answer(&request);
            if self.has_ended.load(Ordering::SeqCst) || wire.send(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let is_leaving = || self.is_leaving.load(Ordering::SeqCst);
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let mut headers = vec![("Replica-Id", self.id.clone())];
        if is_leaving() {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        if request.target().1 == "/health" {
            let status = if is_leaving() { 503 } else { 200 };
            return encode(&format!("HTTP/1.1 {status} X"), &headers, b"");
        }
        let expected = request.header("expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.add(format!(
                "{} rejects {id}: another replica is expected",
                self.id
            ));
            headers.push(("Not-Executed", "1".to_owned()));
            return encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let at = self.record.add(format!("{} runs {id}", self.id));
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at,
                id: id.clone(),
                has_ended: false,
            });
            arrivals.len() - 1
        };
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.has_ended.load(Ordering::SeqCst) {
            self.record
                .add(format!("{} has ended while it ran {id}", self.id));
            return Vec::new();
        }
        self.arrivals.lock().unwrap()[index].has_ended = true;
        headers.push(("Attempt-Id", id.clone()));
        headers.push(("Replica-Seal", format!("{}.{id}", self.id)));
        headers.push(("Replica-Load", format!("{running},0,6")));
        if is_leaving() {
            if !headers.iter().any(|(name, _)| *name == "Server-Leaving") {
                headers.push(("Server-Leaving", "1".to_owned()));
            }
            headers.push(("Connection", "close".to_owned()));
        }
        encode(
            "HTTP/1.1 200 OK",
            &headers,
            format!("done by {}", self.id).as_bytes(),
        )
    }
}

/// Answer that a caller got, or the reason why there is none.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: f64,
    pub ended_at: f64,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub headers: HashMap<String, String>,
}

/// Sends requests one after the other over a kept connection until `is_over` is set.
pub fn run_caller(
    router: SocketAddr,
    name: &str,
    start_line: &str,
    pause: Duration,
    record: &Record,
    outcomes: &Mutex<Vec<Outcome>>,
    is_over: &AtomicBool,
) {
    let mut kept: Option<Wire> = None;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number:04}");
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("Attempt-Id", id.clone()),
            ("Deadline-Ms", "1500".to_owned()),
            ("Api-Key", "key-1".to_owned()),
        ];
        let request = encode(start_line, &headers, b"");
        let connection = kept.take().map_or_else(|| Wire::connect(router), Ok);
        let sent_at = record.add(format!("caller sends {id}"));
        let answer = connection.and_then(|mut wire| {
            wire.stream
                .set_read_timeout(Some(Duration::from_millis(1600)))?;
            wire.send(&request)?;
            let answer = wire.read()?;
            let closes = |answer: &Message| {
                answer
                    .header("connection")
                    .is_some_and(|text| text.eq_ignore_ascii_case("close"))
            };
            if answer.as_ref().is_some_and(|answer| !closes(answer)) {
                kept = Some(wire);
            }
            Ok(answer)
        });
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map_or(0, Message::status);
        let headers: HashMap<String, String> = answer
            .map(|answer| answer.headers)
            .unwrap_or_default()
            .into_iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), value))
            .collect();
        let of = headers.get("replica-id").map_or("-", String::as_str);
        let leaving = if headers.contains_key("server-leaving") {
            ", Server-Leaving"
        } else {
            ""
        };
        let ended_at = record.add(format!("caller gets {status} for {id} of {of}{leaving}"));
        outcomes.lock().unwrap().push(Outcome {
            id,
            sent_at,
            ended_at,
            status,
            headers,
        });
        thread::sleep(pause);
    }
}

/// Configuration of a small deployment with two plain services.
///
/// Its routes lead to `service`, one of the two.
pub fn plain_config(version: u64, service: &str) -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r{}\",\"host\":\"desk.example\",\"path-prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout-ms\":800,\"slo-ms\":100,\"priority\":2,\
             \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":false}}",
            prefix.trim_matches('/')
        )
    };
    let rule = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"workshop\",\"api-keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("/deposit/", "unsafe", 1),
        route("/status/", "safe", 2),
        rule("order-desk"),
        rule("order-desk-b")
    )
}
