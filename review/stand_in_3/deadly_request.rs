//! A request that was answered before crashes each replica that runs it, and comes again and again.
//!
//! The replicas of the plain service are processes of their own, which end as the request says. Each
//! one starts again after some seconds, at its address and under its id.

use std::io::{self, BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, send, write_config};
use crate::http;
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// Path of the request that crashes replicas.
const DEADLY_PATH: &str = "/status/17";
/// Copies of the request a second: 0.28 of 3 a second, as if it were the hot one of its kind.
const DEADLY_RATE: f64 = 0.84;
/// Time in which the request is answered, before it begins to crash replicas.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Time for which the replicas run before the traffic starts.
const LEAD_TIME: Duration = Duration::from_secs(3);
/// Duration of the traffic, in seconds.
const CASE_TIME: f64 = 45.0;
/// Usual requests a second at the service: order-status and deposit-confirm of one zone.
const USUAL_RATE: f64 = 3.2;
/// Time for which a replica is away after a crash.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Time from a replica's start to the first write of its entry, within `heartbeat-ms`.
const FIRST_WRITE: Duration = Duration::from_millis(800);
/// Time between two writes (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a replica runs the deadly request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Duration of a usual call.
const CALL_TIME: Duration = Duration::from_millis(15);
/// `stable-window-ms`.
const STABLE_WINDOW: f64 = 3.0;
/// Headers of the requests.
const DEADLINE: &str = "Deadline-Ms: 1500\r\n";
/// Retries that may still reach replicas after that time.
const MAX_LATE: usize = 3;

/// What happened to the replicas, in seconds of the record.
#[derive(Default)]
struct Events {
    ends: Vec<f64>,
    deadly_runs: Vec<f64>,
}

/// Serves as a replica process: its id, its port, and the Unix time in milliseconds from which the deadly
/// request crashes it.
pub fn serve_replica(arguments: &[String]) -> io::Result<()> {
    let [id, port, deadly_from] = arguments else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let listener = TcpListener::bind(("127.0.0.1", port.parse().unwrap_or(0)))?;
    println!("up {}", listener.local_addr()?.port());
    let deadly_from: u64 = deadly_from.parse().unwrap_or(u64::MAX);
    let id: Arc<str> = id.as_str().into();
    http::serve(listener, move |message, stream| {
        if message
            .header("expect-replica")
            .is_some_and(|expected| *expected != *id)
        {
            return http::respond(stream, 421, &format!("Replica-Id: {id}\r\n"), b"");
        }
        let attempt = message.header("attempt-id").unwrap_or("");
        let (_, path) = message.request();
        if path == DEADLY_PATH && unix_ms() >= deadly_from {
            println!("deadly {attempt}");
            std::thread::sleep(CRASH_DELAY);
            std::process::exit(1);
        }
        println!("runs {attempt}");
        std::thread::sleep(CALL_TIME);
        let headers =
            format!("Attempt-Id: {attempt}\r\nReplica-Seal: {id}\r\nReplica-Load: 1,0,6\r\n");
        http::respond(stream, 200, &headers, &[b'a'; 800])
    });
    Ok(())
}

/// Starts the process of one replica again whenever it ends, and writes its entry.
#[derive(Clone)]
struct Keeper {
    id: String,
    store: Store,
    record: Record,
    deadly_from: u64,
    events: Arc<Mutex<Events>>,
    is_over: Arc<AtomicBool>,
    child: Arc<Mutex<Option<Child>>>,
}

impl Keeper {
    fn start_child(&self, port: u16) -> io::Result<BufReader<ChildStdout>> {
        let mut child = Command::new(std::env::current_exe()?)
            .args([
                "replica",
                &self.id,
                &port.to_string(),
                &self.deadly_from.to_string(),
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        *self.child.lock().expect("child") = Some(child);
        Ok(BufReader::new(output))
    }

    /// Runs the replica until the case is over.
    fn run(&self) {
        let mut port = 0;
        while !self.is_over.load(Relaxed) {
            let Ok(mut output) = self.start_child(port) else {
                return;
            };
            let mut line = String::new();
            let _ = output.read_line(&mut line);
            port = line
                .trim()
                .strip_prefix("up ")
                .and_then(|port| port.parse().ok())
                .unwrap_or(port);
            self.record
                .add(&format!("replica {} starts at port {port}", self.id));
            let is_up = Arc::new(AtomicBool::new(true));
            let beating = self.beat(port, Arc::clone(&is_up));
            for line in output.lines().map_while(Result::ok) {
                self.record.add(&format!("replica {}: {line}", self.id));
                if line.starts_with("deadly") {
                    let now = self.record.seconds();
                    self.events.lock().expect("events").deadly_runs.push(now);
                }
            }
            is_up.store(false, Relaxed);
            let _ = beating.join();
            if let Some(mut child) = self.child.lock().expect("child").take() {
                let _ = child.wait();
            }
            if self.is_over.load(Relaxed) {
                return;
            }
            self.record.say(&format!("replica {} has crashed", self.id));
            let now = self.record.seconds();
            self.events.lock().expect("events").ends.push(now);
            std::thread::sleep(DOWN_TIME);
        }
    }

    /// Writes the entry of a process that has just started, until it ends.
    fn beat(&self, port: u16, is_up: Arc<AtomicBool>) -> JoinHandle<()> {
        let (id, store, born) = (self.id.clone(), self.store.clone(), unix_ms());
        std::thread::spawn(move || {
            let mut next = Instant::now() + FIRST_WRITE;
            let mut writes = 0;
            while is_up.load(Relaxed) {
                if Instant::now() >= next {
                    writes += 1;
                    next += HEARTBEAT;
                    let entry = format!(
                        "{{\"service\":\"order-desk\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"isani\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{writes},\"born\":{born}}}"
                    );
                    store.put("servers", &id, &entry);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    }
}

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let config = write_config(1, 800, 110);
    let deployment =
        Deployment::start_without_desk(record, &config, &["a100", "a100", "l4", "l4"])?;
    let lead_ms = u64::try_from((LEAD_TIME + SOUND_TIME).as_millis()).unwrap_or(0);
    let deadly_from = if has_trouble {
        unix_ms() + lead_ms
    } else {
        u64::MAX
    };
    let (events, is_over) = (Arc::default(), Arc::default());
    let keepers: Vec<Keeper> = (1..=3)
        .map(|index| Keeper {
            id: format!("i-desk-{index}"),
            store: deployment.store.clone(),
            record: record.clone(),
            deadly_from,
            events: Arc::clone(&events),
            is_over: Arc::clone(&is_over),
            child: Arc::default(),
        })
        .collect();
    let usual_served = AtomicU64::new(0);
    let usual_sent = std::thread::scope(|scope| {
        for keeper in &keepers {
            scope.spawn(|| keeper.run());
        }
        std::thread::sleep(LEAD_TIME);
        let started = Instant::now();
        let (mut next_deadly, mut next_usual, mut usual_sent) = (0.0, 0.0, 0_u64);
        let mut turn = 0;
        while started.elapsed().as_secs_f64() < CASE_TIME {
            let now = started.elapsed().as_secs_f64();
            turn += 1;
            let machine = &deployment.machines[turn % 2];
            if now >= next_deadly {
                next_deadly += 1.0 / DEADLY_RATE;
                scope.spawn(|| send(machine, record, ("GET", DEADLY_PATH, DEADLINE), b""));
            } else if now >= next_usual {
                next_usual += 1.0 / USUAL_RATE;
                usual_sent += 1;
                let path = format!("/status/u{usual_sent}");
                let usual_served = &usual_served;
                scope.spawn(move || {
                    let status = send(machine, record, ("GET", &path, DEADLINE), b"");
                    usual_served.fetch_add(u64::from(status == 200), Relaxed);
                });
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_secs(1));
        is_over.store(true, Relaxed);
        for keeper in &keepers {
            if let Some(child) = keeper.child.lock().expect("child").as_mut() {
                let _ = child.kill();
            }
        }
        usual_sent
    });
    let events = events.lock().expect("events");
    let third_end = events.ends.get(2).copied();
    let is_late = |run: &&f64| third_end.is_some_and(|end| **run > end + STABLE_WINDOW);
    let late = events.deadly_runs.iter().filter(is_late).count();
    record.say(&format!(
        "{} replicas ended; the request reached replicas {late} times later than {STABLE_WINDOW} s after the third end, {MAX_LATE} allowed",
        events.ends.len()
    ));
    record.say(&format!(
        "{} of {usual_sent} usual requests were served",
        usual_served.load(Relaxed)
    ));
    Ok(if late > MAX_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
