//! The HTTP interface of a stand-in service.

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

use crate::server::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinServer};

/// Header in which the router sends the request id.
const REQUEST_ID_HEADER: &str = "dandeliondeal-request-id";
/// Header in which the caller sends a key that identifies the request across retries.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Settings of a [`ServiceStandin`](super::ServiceStandin).
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Name that the service returns in its answers.
    pub name: ServiceId,
    /// Whether the service can report, by request id, if a call ran.
    pub settles: bool,
    /// Delay before a call takes effect.
    pub duration: Duration,
    /// Maximum number of concurrent calls; further calls get status 429.
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

/// Ledger entry for one call that ran on a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Id of the request; empty if the call had none.
    pub request: RequestId,
    /// Idempotency key of the caller; empty if the call had none.
    pub key: Arc<str>,
    /// Method of the call.
    pub method: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
    /// Query string of the call without the `?`; empty if there was none.
    pub query: Arc<str>,
}

/// The recorded outcome of a request id.
#[derive(Clone, Debug)]
enum CallRecord {
    Ran { status: u16, body: Arc<str> },
    Refused,
}

/// Handles the HTTP calls to a stand-in service.
#[derive(Debug)]
pub(crate) struct ServiceHandler {
    settings: ServiceSettings,
    pub(crate) ledger: RefCell<Vec<ServiceEntry>>,
    records: RefCell<HashMap<RequestId, CallRecord>>,
    running_calls: RefCell<usize>,
}

impl ServiceHandler {
    pub(crate) fn new(settings: ServiceSettings) -> Self {
        Self {
            settings,
            ledger: RefCell::new(Vec::new()),
            records: RefCell::new(HashMap::new()),
            running_calls: RefCell::new(0),
        }
    }

    async fn call_reply(&self, call: &StandinCall, server: &StandinServer) -> StandinReply {
        if *self.running_calls.borrow() >= self.settings.capacity {
            return StandinReply::error(429, "busy", "no free place", None);
        }
        *self.running_calls.borrow_mut() += 1;
        if !self.settings.duration.is_zero() {
            sleep(self.settings.duration).await;
            server.wait_while_frozen().await;
        }
        *self.running_calls.borrow_mut() -= 1;
        self.run_call(call)
    }

    /// Appends a call to the ledger, unless its request id has been settled as not run.
    fn run_call(&self, call: &StandinCall) -> StandinReply {
        let request: RequestId = call.header(REQUEST_ID_HEADER).unwrap_or_default().into();
        if let Some(CallRecord::Refused) = self.records.borrow().get(&request) {
            return StandinReply::error(409, "settled", "settled as not run", None);
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.push(ServiceEntry {
            request: Arc::clone(&request),
            key: call
                .header(IDEMPOTENCY_KEY_HEADER)
                .unwrap_or_default()
                .into(),
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
            let record = CallRecord::Ran {
                status: 200,
                body: body.to_string().into(),
            };
            self.records.borrow_mut().insert(request, record);
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
    async fn handle(self: Rc<Self>, call: StandinCall, server: Rc<StandinServer>) -> HandlerAnswer {
        let settled_request = call.path.strip_prefix("/settlements/");
        let reply = match (call.method.as_str(), settled_request) {
            ("PUT", Some(request)) if self.settings.settles => self.settlement_reply(request),
            (_, Some(_)) => StandinReply::path_not_found(&call),
            _ => self.call_reply(&call, &server).await,
        };
        HandlerAnswer::Reply(reply)
    }

    fn ledger_lines(&self) -> String {
        crate::server::standin_call::json_lines(&self.ledger.borrow())
    }
}
