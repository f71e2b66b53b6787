//! The HTTP interface of a stand-in platform.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use dandeliondeal_types::{InstanceRecord, ObjectValue, PutCondition, StoreVersion};
use serde_json::json;
use tokio::sync::Notify;

use super::instance_history::InstanceHistory;
use super::object_table::{FailedCondition, ObjectTable};
use super::rate_limiter::RateLimiter;
use crate::server::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinServer};

/// Maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 1_048_576;
/// Maximum time that a watch waits for a change.
const MAX_WATCH_DURATION: Duration = Duration::from_mins(1);

/// Settings of a [`PlatformStandin`](super::PlatformStandin).
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Maximum number of writes per second; 0 means no limit.
    pub writes_per_second: u32,
    /// Maximum number of reads, lists and watches per second; 0 means no limit.
    pub reads_per_second: u32,
    /// Initial delay of the instance list; a fault can change it.
    pub list_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            writes_per_second: 400,
            reads_per_second: 2000,
            list_lag: Duration::ZERO,
        }
    }
}

/// Number of received calls by type, including refused calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Watches of one object.
    pub watches: u64,
    /// Lists of objects and of instances.
    pub lists: u64,
    /// Writes and deletions of objects.
    pub writes: u64,
}

/// Handles the HTTP calls to a stand-in platform.
#[derive(Debug)]
pub(crate) struct PlatformHandler {
    pub(crate) table: RefCell<ObjectTable>,
    pub(crate) instances: RefCell<InstanceHistory>,
    pub(crate) counts: Cell<CallCounts>,
    object_changed: Notify,
    read_limiter: RefCell<RateLimiter>,
    write_limiter: RefCell<RateLimiter>,
}

/// A validated write that has not been applied yet.
#[derive(Clone, Debug)]
enum ObjectWrite {
    Put(PutCondition, Arc<str>),
    Delete(StoreVersion),
}

impl PlatformHandler {
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let now = Instant::now();
        Self {
            table: RefCell::new(ObjectTable::default()),
            instances: RefCell::new(InstanceHistory::default()),
            counts: Cell::new(CallCounts::default()),
            object_changed: Notify::new(),
            read_limiter: RefCell::new(RateLimiter::new(settings.reads_per_second, now)),
            write_limiter: RefCell::new(RateLimiter::new(settings.writes_per_second, now)),
        }
    }

    pub(crate) fn put_instance(&self, record: InstanceRecord) {
        let mut table = self.table.borrow_mut();
        table.append_to_ledger("put-instance", &record.id, StoreVersion::default());
        self.instances.borrow_mut().put(record, Instant::now());
    }

    pub(crate) fn remove_instance(&self, id: &str) -> bool {
        let mut table = self.table.borrow_mut();
        table.append_to_ledger("delete-instance", id, StoreVersion::default());
        self.instances.borrow_mut().remove(id, Instant::now())
    }

    async fn read_reply(&self, name: &str, call: &StandinCall) -> StandinReply {
        match call.number("watch") {
            None => {
                self.update_counts(|counts| counts.reads += 1);
                if let Some(reply) = rate_limit_reply(&self.read_limiter) {
                    return reply;
                }
                object_reply(name, self.table.borrow().get(name))
            }
            Some(seen_version) => {
                self.update_counts(|counts| counts.watches += 1);
                if let Some(reply) = rate_limit_reply(&self.read_limiter) {
                    return reply;
                }
                let wait_limit = Duration::from_millis(call.number("limit_ms").unwrap_or(0));
                self.watch_reply(
                    name,
                    seen_version.into(),
                    wait_limit.min(MAX_WATCH_DURATION),
                )
                .await
            }
        }
    }

    async fn watch_reply(
        &self,
        name: &str,
        seen_version: StoreVersion,
        wait_limit: Duration,
    ) -> StandinReply {
        let changed = async {
            while self.table.borrow().version(name) == seen_version {
                self.object_changed.notified().await;
            }
        };
        match timeout(wait_limit, changed).await {
            Ok(()) => object_reply(name, self.table.borrow().get(name)),
            Err(_) => StandinReply::empty(304),
        }
    }

    fn list_reply(&self, call: &StandinCall) -> StandinReply {
        self.update_counts(|counts| counts.lists += 1);
        if let Some(reply) = rate_limit_reply(&self.read_limiter) {
            return reply;
        }
        let prefix = call.parameter("prefix").unwrap_or_default();
        let objects: Vec<_> = self
            .table
            .borrow()
            .list(&prefix)
            .into_iter()
            .map(|value| json!({"name": value.name, "version": value.version, "body": value.body}))
            .collect();
        StandinReply::json(200, &objects)
    }

    fn instances_reply(&self, server: &StandinServer) -> StandinReply {
        self.update_counts(|counts| counts.lists += 1);
        if let Some(reply) = rate_limit_reply(&self.read_limiter) {
            return reply;
        }
        let lag = Duration::from_millis(server.faults().list_lag_milliseconds);
        let records = self.instances.borrow().list(lag, Instant::now());
        StandinReply::json(200, &records)
    }

    fn put_instance_reply(&self, id: &str, call: &StandinCall) -> StandinReply {
        match call.json::<InstanceRecord>() {
            Err(reply) => reply,
            Ok(record) if *record.id != *id => {
                StandinReply::error(400, "malformed", "`id` differs from the path", None)
            }
            Ok(record) => {
                self.put_instance(record);
                StandinReply::empty(204)
            }
        }
    }

    fn write(
        self: Rc<Self>,
        name: &str,
        call: &StandinCall,
        server: &Rc<StandinServer>,
    ) -> HandlerAnswer {
        self.update_counts(|counts| counts.writes += 1);
        if let Some(reply) = rate_limit_reply(&self.write_limiter) {
            return HandlerAnswer::Reply(reply);
        }
        let write = match ObjectWrite::parse(call) {
            Ok(write) => write,
            Err(reply) => return HandlerAnswer::Reply(reply),
        };
        if server.faults_mut().take_delayed_write(call) {
            self.write_after_delay(name.to_owned(), write, server);
            return HandlerAnswer::Silence;
        }
        HandlerAnswer::Reply(self.apply(name, write))
    }

    /// Applies a write after the configured delay if its condition is still met then.
    fn write_after_delay(
        self: Rc<Self>,
        name: String,
        write: ObjectWrite,
        server: &Rc<StandinServer>,
    ) {
        let delay = Duration::from_millis(server.faults().delay_writes_milliseconds);
        let task_server = Rc::clone(server);
        server.spawn(async move {
            sleep(delay).await;
            task_server.wait_while_frozen().await;
            self.apply(&name, write);
        });
    }

    fn apply(&self, name: &str, write: ObjectWrite) -> StandinReply {
        let mut table = self.table.borrow_mut();
        let result = match write {
            ObjectWrite::Put(condition, body) => table
                .put(name, condition, body)
                .map(|version| with_version(StandinReply::empty(200), version)),
            ObjectWrite::Delete(version) => table
                .delete(name, version)
                .map(|()| StandinReply::empty(204)),
        };
        self.object_changed.notify_waiters();
        match result {
            Ok(reply) => reply,
            Err(FailedCondition(None)) => failed_condition_reply(),
            Err(FailedCondition(Some(version))) => with_version(failed_condition_reply(), version),
        }
    }

    fn update_counts<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut CallCounts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

impl CallHandler for PlatformHandler {
    async fn handle(self: Rc<Self>, call: StandinCall, server: Rc<StandinServer>) -> HandlerAnswer {
        let object = call.path.strip_prefix("/objects/");
        let instance = call.path.strip_prefix("/instances/");
        let reply = match (call.method.as_str(), object, instance) {
            ("GET", Some(name), _) => self.read_reply(name, &call).await,
            ("PUT" | "DELETE", Some(name), _) => return self.write(name, &call, &server),
            ("PUT", _, Some(id)) => self.put_instance_reply(id, &call),
            ("DELETE", _, Some(id)) => {
                let is_removed = self.remove_instance(id);
                StandinReply::empty(if is_removed { 204 } else { 404 })
            }
            ("GET", ..) if call.path == "/objects" => self.list_reply(&call),
            ("GET", ..) if call.path == "/instances" => self.instances_reply(&server),
            _ => StandinReply::path_not_found(&call),
        };
        HandlerAnswer::Reply(reply)
    }

    fn ledger_lines(&self) -> String {
        crate::server::standin_call::json_lines(&self.table.borrow().ledger)
    }
}

impl ObjectWrite {
    fn parse(call: &StandinCall) -> Result<Self, StandinReply> {
        let condition = parse_condition(call)?;
        if call.method == "DELETE" {
            return match condition {
                PutCondition::Version(version) => Ok(Self::Delete(version)),
                PutCondition::Absent => Err(missing_condition_reply()),
            };
        }
        if call.body.len() > MAX_OBJECT_BYTES {
            return Err(StandinReply::error(413, "size", "object too large", None));
        }
        let body = std::str::from_utf8(&call.body)
            .map_err(|error| StandinReply::error(400, "malformed", &error.to_string(), None))?;
        Ok(Self::Put(condition, body.into()))
    }
}

fn rate_limit_reply(limiter: &RefCell<RateLimiter>) -> Option<StandinReply> {
    let is_allowed = limiter.borrow_mut().try_acquire(Instant::now());
    (!is_allowed).then(|| {
        StandinReply::error(429, "rate", "too many calls", None)
            .with_header("retry-after", "1".to_owned())
    })
}

fn parse_condition(call: &StandinCall) -> Result<PutCondition, StandinReply> {
    match (call.header("if-match"), call.header("if-none-match")) {
        (Some(etag), None) => etag
            .trim_matches('"')
            .parse::<u64>()
            .map(|revision| PutCondition::Version(revision.into()))
            .map_err(|_| StandinReply::error(400, "malformed", "`If-Match`", None)),
        (None, Some("*")) => Ok(PutCondition::Absent),
        _ => Err(missing_condition_reply()),
    }
}

fn missing_condition_reply() -> StandinReply {
    StandinReply::error(428, "condition", "a write needs a condition", None)
}

fn failed_condition_reply() -> StandinReply {
    StandinReply::error(412, "condition", "the condition does not hold", None)
}

fn object_reply(name: &str, value: Option<ObjectValue>) -> StandinReply {
    match value {
        None => StandinReply::error(404, "absent", &format!("no object {name}"), None),
        Some(value) => {
            let reply = StandinReply::text(200, "text/plain", value.body.as_bytes().to_vec());
            with_version(reply, value.version)
        }
    }
}

fn with_version(reply: StandinReply, version: StoreVersion) -> StandinReply {
    reply.with_header("etag", format!("\"{}\"", version.revision))
}
