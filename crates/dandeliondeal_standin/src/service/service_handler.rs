//! The HTTP calls of a stand-in service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use dandeliondeal_types::{RequestId, ServiceId};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::shell::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinShell};

/// Header in which the router names the request.
const REQUEST_HEADER: &str = "dandeliondeal-request-id";
/// Header in which the caller names the request across retries.
const KEY_HEADER: &str = "idempotency-key";

/// Settings of a [`ServiceStandin`](super::ServiceStandin).
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Name that it puts into its answers.
    pub name: ServiceId,
    /// Whether it tells, by request id, if a call ran.
    pub settles: bool,
    /// Time before a call takes effect.
    pub duration: Duration,
    /// Calls at once; the others get 429.
    pub capacity: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "order-desk".into(),
            settles: true,
            duration: Duration::ZERO,
            capacity: 64,
        }
    }
}

/// One call that ran at a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The request, empty if the call named none.
    pub request: RequestId,
    /// The caller's idempotency key, empty if there was none.
    pub key: Arc<str>,
    /// Method of the call.
    pub method: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
    /// Query of the call without its `?`, empty if there was none.
    pub query: Arc<str>,
}

/// What is known of a request id.
#[derive(Clone, Debug)]
enum CallRecord {
    Ran { status: u16, body: Arc<str> },
    Refused,
}

/// A service behind its socket.
#[derive(Debug)]
pub(crate) struct ServiceHandler {
    settings: ServiceSettings,
    pub(crate) ledger: RefCell<Vec<ServiceEntry>>,
    records: RefCell<HashMap<RequestId, CallRecord>>,
    running: RefCell<usize>,
}

impl ServiceHandler {
    pub(crate) fn new(settings: ServiceSettings) -> Self {
        Self {
            settings,
            ledger: RefCell::new(Vec::new()),
            records: RefCell::new(HashMap::new()),
            running: RefCell::new(0),
        }
    }

    async fn call_reply(&self, call: &StandinCall, shell: &StandinShell) -> StandinReply {
        if *self.running.borrow() >= self.settings.capacity {
            return StandinReply::error(429, "busy", "no free place", None);
        }
        *self.running.borrow_mut() += 1;
        if !self.settings.duration.is_zero() {
            sleep(self.settings.duration).await;
            shell.wait_thaw().await;
        }
        *self.running.borrow_mut() -= 1;
        self.run_call(call)
    }

    /// The effect of a call: one ledger line, unless its request id was settled before.
    fn run_call(&self, call: &StandinCall) -> StandinReply {
        let request: RequestId = call.header(REQUEST_HEADER).unwrap_or_default().into();
        if let Some(CallRecord::Refused) = self.records.borrow().get(&request) {
            return StandinReply::error(409, "settled", "settled as not run", None);
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.push(ServiceEntry {
            request: Arc::clone(&request),
            key: call.header(KEY_HEADER).unwrap_or_default().into(),
            method: call.method.as_str().into(),
            path: call.path.as_str().into(),
            query: call.query.as_str().into(),
        });
        let body = json!({
            "service": self.settings.name,
            "method": call.method,
            "path": call.path,
            "number": ledger.len(),
            "received": String::from_utf8_lossy(&call.body),
        });
        if !request.is_empty() {
            let ran = CallRecord::Ran {
                status: 200,
                body: body.to_string().into(),
            };
            self.records.borrow_mut().insert(request, ran);
        }
        StandinReply::json(200, &body)
    }

    fn settlement_reply(&self, request: &str) -> StandinReply {
        let mut records = self.records.borrow_mut();
        let record = records.entry(request.into()).or_insert(CallRecord::Refused);
        match record {
            CallRecord::Refused => StandinReply::json(200, &json!({"ran": false})),
            CallRecord::Ran { status, body } => {
                StandinReply::json(200, &json!({"ran": true, "status": status, "body": body}))
            }
        }
    }
}

impl CallHandler for ServiceHandler {
    async fn handle(self: Rc<Self>, call: StandinCall, shell: Rc<StandinShell>) -> HandlerAnswer {
        let settled = call.path.strip_prefix("/settlements/");
        let reply = match (call.method.as_str(), settled) {
            ("PUT", Some(request)) if self.settings.settles => self.settlement_reply(request),
            (_, Some(_)) => StandinReply::no_such_path(&call),
            _ => self.call_reply(&call, &shell).await,
        };
        HandlerAnswer::Reply(reply)
    }

    fn ledger_lines(&self) -> String {
        crate::shell::standin_call::json_lines(&self.ledger.borrow())
    }
}
