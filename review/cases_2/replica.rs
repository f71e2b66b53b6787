//! Stand-in for a replica of a plain service.

use std::net::SocketAddr;
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
}

pub struct Replica {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    runs: Arc<Mutex<Vec<Run>>>,
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
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (shared, record, own_id) = (Arc::clone(&runs), Arc::clone(record), id.to_owned());
        let server = Server::start(address, move |request| {
            Some(handle(&shared, &record, &own_id, work, request))
        });
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = u64::try_from(born.unwrap_or_default().as_millis()).unwrap_or(0);
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            runs,
            server: server.expect("a free port for a replica"),
        }
    }

    /// Writes the registration.
    pub fn register(&self, store: &Store) -> u64 {
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":{}}}",
            self.service,
            self.server.address(),
            self.zone,
            self.born
        );
        store.write("servers", &self.id, &spec)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn handle(
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    id: &str,
    work: Duration,
    request: &Request,
) -> Response {
    if request.path == "/health" {
        return Response::new(200, "").with_header("Replica-Id", id);
    }
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    if request
        .header("expect-replica")
        .is_some_and(|expected| expected != id)
    {
        let response = Response::new(421, "").with_header("Attempt-Id", &attempt);
        return response.with_header("Not-Executed", "1");
    }
    let tenant = request.header("tenant").unwrap_or("-").to_owned();
    record.line(&format!(
        "run      replica={id} request={attempt} path={} tenant={tenant}",
        request.path
    ));
    runs.lock().unwrap().push(Run {
        request: attempt.clone(),
        tenant,
    });
    thread::sleep(work);
    let body = format!("done by {id} for {attempt}");
    Response::new(200, &body)
        .with_header("Attempt-Id", &attempt)
        .with_header("Replica-Seal", &format!("seal.{id}.{attempt}"))
        .with_header("Replica-Load", "1,0,6")
}
