//! The HTTP calls of a stand-in platform.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use dandeliondeal_types::{InstanceRecord, ObjectValue, PutCondition, Version};
use serde_json::json;
use tokio::sync::Notify;

use super::call_rate::CallRate;
use super::instance_history::InstanceHistory;
use super::object_table::{FailedCondition, ObjectTable};
use crate::shell::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinShell};

/// Largest object.
const OBJECT_LIMIT_BYTES: usize = 1_048_576;
/// Longest watch.
const WATCH_LIMIT: Duration = Duration::from_mins(1);

/// Settings of a [`PlatformStandin`](super::PlatformStandin).
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Writes allowed each second; 0 means no limit.
    pub writes_per_second: u32,
    /// Reads, lists and watches allowed each second; 0 means no limit.
    pub reads_per_second: u32,
    /// Age of the instance list until a fault changes it.
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

/// How many calls of each class came in, also those that were refused.
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

/// A platform behind its socket.
#[derive(Debug)]
pub(crate) struct PlatformHandler {
    pub(crate) table: RefCell<ObjectTable>,
    pub(crate) instances: RefCell<InstanceHistory>,
    pub(crate) counts: Cell<CallCounts>,
    changed: Notify,
    read_rate: RefCell<CallRate>,
    write_rate: RefCell<CallRate>,
}

/// A checked write that is ready to take effect.
#[derive(Clone, Debug)]
enum ObjectWrite {
    Put(PutCondition, Arc<str>),
    Delete(Version),
}

impl PlatformHandler {
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let now = Instant::now();
        Self {
            table: RefCell::new(ObjectTable::default()),
            instances: RefCell::new(InstanceHistory::default()),
            counts: Cell::new(CallCounts::default()),
            changed: Notify::new(),
            read_rate: RefCell::new(CallRate::new(settings.reads_per_second, now)),
            write_rate: RefCell::new(CallRate::new(settings.writes_per_second, now)),
        }
    }

    pub(crate) fn put_instance(&self, record: InstanceRecord) {
        let mut table = self.table.borrow_mut();
        table.record("put-instance", &record.id, 0);
        self.instances.borrow_mut().put(record, Instant::now());
    }

    pub(crate) fn remove_instance(&self, id: &str) -> bool {
        let mut table = self.table.borrow_mut();
        table.record("delete-instance", id, 0);
        self.instances.borrow_mut().remove(id, Instant::now())
    }

    async fn read_reply(&self, name: &str, call: &StandinCall) -> StandinReply {
        match call.number("watch") {
            None => {
                self.count(|counts| counts.reads += 1);
                if let Some(reply) = over_rate(&self.read_rate) {
                    return reply;
                }
                object_reply(name, self.table.borrow().get(name))
            }
            Some(seen) => {
                self.count(|counts| counts.watches += 1);
                if let Some(reply) = over_rate(&self.read_rate) {
                    return reply;
                }
                let limit = Duration::from_millis(call.number("limit_ms").unwrap_or(0));
                self.watch_reply(name, seen, limit.min(WATCH_LIMIT)).await
            }
        }
    }

    async fn watch_reply(&self, name: &str, seen: Version, limit: Duration) -> StandinReply {
        let changed = async {
            while self.table.borrow().version(name) == seen {
                self.changed.notified().await;
            }
        };
        match timeout(limit, changed).await {
            Ok(()) => object_reply(name, self.table.borrow().get(name)),
            Err(_) => StandinReply::empty(304),
        }
    }

    fn list_reply(&self, call: &StandinCall) -> StandinReply {
        self.count(|counts| counts.lists += 1);
        if let Some(reply) = over_rate(&self.read_rate) {
            return reply;
        }
        let prefix = call.parameter("prefix").unwrap_or_default();
        let values: Vec<_> = self
            .table
            .borrow()
            .list(&prefix)
            .into_iter()
            .map(|value| json!({"name": value.name, "version": value.version, "body": value.body}))
            .collect();
        StandinReply::json(200, &values)
    }

    fn instances_reply(&self, shell: &StandinShell) -> StandinReply {
        self.count(|counts| counts.lists += 1);
        if let Some(reply) = over_rate(&self.read_rate) {
            return reply;
        }
        let lag = Duration::from_millis(shell.faults().list_lag_milliseconds);
        let list = self.instances.borrow().list(lag, Instant::now());
        StandinReply::json(200, &list)
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
        shell: &Rc<StandinShell>,
    ) -> HandlerAnswer {
        self.count(|counts| counts.writes += 1);
        if let Some(reply) = over_rate(&self.write_rate) {
            return HandlerAnswer::Reply(reply);
        }
        let write = match ObjectWrite::read(call) {
            Ok(write) => write,
            Err(reply) => return HandlerAnswer::Reply(reply),
        };
        if shell.faults_mut().take_delayed_write(call) {
            self.write_later(name.to_owned(), write, shell);
            return HandlerAnswer::Silence;
        }
        HandlerAnswer::Reply(self.apply(name, write))
    }

    /// Lets a write take effect after the delay in force, if its condition still holds then.
    fn write_later(self: Rc<Self>, name: String, write: ObjectWrite, shell: &Rc<StandinShell>) {
        let delay = Duration::from_millis(shell.faults().delay_writes_milliseconds);
        let task_shell = Rc::clone(shell);
        shell.spawn(async move {
            sleep(delay).await;
            task_shell.wait_thaw().await;
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
        self.changed.notify_waiters();
        match result {
            Ok(reply) => reply,
            Err(FailedCondition(None)) => condition_failed(),
            Err(FailedCondition(Some(version))) => with_version(condition_failed(), version),
        }
    }

    fn count<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut CallCounts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

impl CallHandler for PlatformHandler {
    async fn handle(self: Rc<Self>, call: StandinCall, shell: Rc<StandinShell>) -> HandlerAnswer {
        let object = call.path.strip_prefix("/objects/");
        let instance = call.path.strip_prefix("/instances/");
        let reply = match (call.method.as_str(), object, instance) {
            ("GET", Some(name), _) => self.read_reply(name, &call).await,
            ("PUT" | "DELETE", Some(name), _) => return self.write(name, &call, &shell),
            ("PUT", _, Some(id)) => self.put_instance_reply(id, &call),
            ("DELETE", _, Some(id)) => {
                let is_known = self.remove_instance(id);
                StandinReply::empty(if is_known { 204 } else { 404 })
            }
            ("GET", ..) if call.path == "/objects" => self.list_reply(&call),
            ("GET", ..) if call.path == "/instances" => self.instances_reply(&shell),
            _ => StandinReply::no_such_path(&call),
        };
        HandlerAnswer::Reply(reply)
    }

    fn ledger_lines(&self) -> String {
        crate::shell::standin_call::json_lines(&self.table.borrow().ledger)
    }
}

impl ObjectWrite {
    fn read(call: &StandinCall) -> Result<Self, StandinReply> {
        let condition = condition_of(call)?;
        if call.method == "DELETE" {
            return match condition {
                PutCondition::Version(version) => Ok(Self::Delete(version)),
                PutCondition::Absent => Err(no_condition()),
            };
        }
        if call.body.len() > OBJECT_LIMIT_BYTES {
            return Err(StandinReply::error(413, "size", "object too large", None));
        }
        let body = std::str::from_utf8(&call.body)
            .map_err(|error| StandinReply::error(400, "malformed", &error.to_string(), None))?;
        Ok(Self::Put(condition, body.into()))
    }
}

fn over_rate(rate: &RefCell<CallRate>) -> Option<StandinReply> {
    let is_allowed = rate.borrow_mut().take(Instant::now());
    (!is_allowed).then(|| {
        StandinReply::error(429, "rate", "too many calls", None)
            .with_header("retry-after", "1".to_owned())
    })
}

fn condition_of(call: &StandinCall) -> Result<PutCondition, StandinReply> {
    match (call.header("if-match"), call.header("if-none-match")) {
        (Some(tag), None) => tag
            .trim_matches('"')
            .parse()
            .map(PutCondition::Version)
            .map_err(|_| StandinReply::error(400, "malformed", "`If-Match`", None)),
        (None, Some("*")) => Ok(PutCondition::Absent),
        _ => Err(no_condition()),
    }
}

fn no_condition() -> StandinReply {
    StandinReply::error(428, "condition", "a write needs a condition", None)
}

fn condition_failed() -> StandinReply {
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

fn with_version(reply: StandinReply, version: Version) -> StandinReply {
    reply.with_header("etag", format!("\"{version}\""))
}
