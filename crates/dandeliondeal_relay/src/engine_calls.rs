//! Calls to engines beside requests: reports, and orders.
//!
//! A report is asked for once by all requests that want one at the same time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use dandeliondeal_http::{EndpointConnection, LinkError, OutboundRequest};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{EngineReport, FleetDialect, OrderReply};
use crate::endpoint_link::{CONNECT_LIMIT, LinkChoice, open};
use crate::relay_context::RelayContext;

/// Longest wait for a report; an engine in reach answers without a queue.
pub(crate) const REPORT_LIMIT: Duration = Duration::from_millis(300);
/// Longest wait for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(600);
/// A report is used again for this long. It is some 200 ms old when it comes, and each is priced
/// as a probe.
const REPORT_LIFE: Duration = Duration::from_millis(300);
/// Longest report, in bytes: one with every request of an engine stalled.
const REPORT_BYTES: usize = 256 * 1024;
/// Pause between two looks at a report that another request asked for.
const SHARED_PAUSE: Duration = Duration::from_millis(20);

/// What is known of an engine from its last report.
#[derive(Clone, Debug)]
enum ReportSlot {
    Asked(Instant),
    Known(Instant, Rc<EngineReport>),
    Silent(Instant),
}

/// Reports by engine.
#[derive(Debug, Default)]
pub struct EngineReports {
    slots: RefCell<HashMap<EndpointId, ReportSlot>>,
}

impl EngineReports {
    /// An engine's report, at most [`REPORT_LIFE`] old; `None` if the engine does not answer.
    pub async fn fetch<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        engine: &EndpointId,
        address: SocketAddr,
    ) -> Option<Rc<EngineReport>>
    where
        Time: Clock,
        Dialect: FleetDialect,
    {
        loop {
            let now = context.now();
            let slot = self.slots.borrow().get(engine).cloned();
            match slot {
                Some(ReportSlot::Known(at, report)) if now - at < REPORT_LIFE => {
                    return Some(report);
                }
                Some(ReportSlot::Silent(at)) if now - at < REPORT_LIFE => return None,
                Some(ReportSlot::Asked(at)) if now - at < REPORT_LIMIT * 2 => {
                    actix_rt::time::sleep(SHARED_PAUSE).await;
                }
                _ => break,
            }
        }
        self.set(engine, ReportSlot::Asked(context.now()));
        let report = ask(context, engine, address).await;
        let now = context.now();
        match report {
            Ok(report) => {
                let report = Rc::new(report);
                self.set(engine, ReportSlot::Known(now, Rc::clone(&report)));
                let mut fleet = context.fleet().borrow_mut();
                fleet.set_slowness(engine, report.slowness, now);
                drop(fleet);
                Some(report)
            }
            Err(error) => {
                tracing::info!(%engine, %error, "engine does not report");
                self.set(engine, ReportSlot::Silent(now));
                None
            }
        }
    }

    fn set(&self, engine: &EndpointId, slot: ReportSlot) {
        let mut slots = self.slots.borrow_mut();
        slots.insert(EndpointId::clone(engine), slot);
    }

    /// Forgets an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.slots.borrow_mut().remove(engine);
    }
}

/// Asks an engine for its report.
///
/// # Errors
///
/// The engine does not answer, or answers what cannot be read.
pub async fn ask<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    address: SocketAddr,
) -> Result<EngineReport, LinkError>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let exchange = async {
        let mut connection = open(context, engine, address, LinkChoice::Idle, REPORT_LIMIT).await?;
        let request = context.dialect().write_report(address);
        connection.send(&request).await?;
        let head = connection.read_head().await?;
        let body = connection.read_body(REPORT_BYTES).await?;
        if !head.status.is_success() {
            return Err(LinkError::written(&format!("status {}", head.status)));
        }
        context.pool().borrow_mut().put(engine, connection);
        let report = context.dialect().read_report(engine, &body);
        report.map_err(|error| LinkError::written(&error))
    };
    match timeout(REPORT_LIMIT, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(LinkError::written("no report in time")),
    }
}

/// Sends an order over a connection of its own and reads what the engine says to it.
///
/// # Errors
///
/// No answer came: the order may have begun, or begin later.
pub async fn send_order<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    address: SocketAddr,
    order: &OutboundRequest,
) -> Result<OrderReply, LinkError>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let call = async {
        let now = context.now();
        let mut connection = EndpointConnection::connect(address, CONNECT_LIMIT, now).await?;
        connection.send(order).await?;
        let head = connection.read_head().await?;
        Ok(context.dialect().read_order(head.status))
    };
    match timeout(ORDER_LIMIT, call).await {
        Ok(result) => result,
        Err(_elapsed) => Err(LinkError::written("no answer in time")),
    }
}
