//! Stand-in for a replica of a plain service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Request, Response, Server};
use crate::record::Record;
use crate::store::Store;

/// Request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub tenant: String,
    /// Milliseconds since the start of the record at which the request arrived.
    pub at_ms: u64,
    /// Whether the answer was sent; a replica that exits before loses the work.
    pub is_answered: bool,
}

#[derive(Default)]
struct ReplicaState {
    is_leaving: AtomicBool,
    has_exited: AtomicBool,
    running: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

pub struct Replica {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    state: Arc<ReplicaState>,
    server: Server,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let state = Arc::new(ReplicaState::default());
        let (shared, record, own_id) = (Arc::clone(&state), Arc::clone(record), id.to_owned());
        let server = Server::start(address, move |request| {
            handle(&shared, &record, &own_id, work, request)
        });
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = u64::try_from(born.unwrap_or_default().as_millis()).unwrap_or(0);
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            state,
            server: server.expect("a free port for a replica"),
        }
    }

    /// Writes the registration.
    pub fn register(&self, store: &Store) -> u64 {
        let is_leaving = self.state.is_leaving.load(Ordering::SeqCst);
        let (state, seq) = if is_leaving { ("draining", 2) } else { ("ready", 1) };
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service,
            self.server.address(),
            self.zone,
            self.born
        );
        store.write("servers", &self.id, &spec)
    }

    /// Begins to leave: says so in all answers from now on, and goes on serving.
    pub fn leave(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Exits as soon as it works on a request that must not be repeated, or after `limit`.
    pub fn exit(&self, limit: Duration) {
        let until = std::time::Instant::now() + limit;
        while self.state.running.load(Ordering::SeqCst) == 0 && std::time::Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        self.state.has_exited.store(true, Ordering::SeqCst);
        self.server.stop();
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }
}

fn handle(
    state: &ReplicaState,
    record: &Record,
    id: &str,
    work: Duration,
    request: &Request,
) -> Option<Response> {
    let leaving = state.is_leaving.load(Ordering::SeqCst);
    let mark = |response: Response| {
        if leaving {
            response.with_header("Server-Leaving", "1")
        } else {
            response
        }
    };
    if request.path == "/health" {
        let status = if leaving { 503 } else { 200 };
        return Some(mark(Response::new(status, "").with_header("Replica-Id", id)));
    }
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    if request.header("expect-replica").is_some_and(|expected| expected != id) {
        let response = Response::new(421, "").with_header("Attempt-Id", &attempt);
        return Some(mark(response.with_header("Not-Executed", "1")));
    }
    let tenant = request.header("tenant").unwrap_or("-").to_owned();
    let index = {
        let mut runs = state.runs.lock().unwrap();
        runs.push(Run {
            request: attempt.clone(),
            tenant: tenant.clone(),
            at_ms: record.now_ms(),
            is_answered: false,
        });
        runs.len() - 1
    };
    record.line(&format!(
        "run      replica={id} request={attempt} path={} tenant={tenant} leaving={leaving}",
        request.path
    ));
    let unsafe_count = u64::from(request.method == "POST");
    state.running.fetch_add(unsafe_count, Ordering::SeqCst);
    thread::sleep(work);
    state.running.fetch_sub(unsafe_count, Ordering::SeqCst);
    if state.has_exited.load(Ordering::SeqCst) {
        return None;
    }
    state.runs.lock().unwrap()[index].is_answered = true;
    let body = format!("done by {id} for {attempt}");
    let response = Response::new(200, &body)
        .with_header("Attempt-Id", &attempt)
        .with_header("Replica-Seal", &format!("seal.{id}.{attempt}"))
        .with_header("Replica-Load", "1,0,6");
    Some(mark(response))
}
