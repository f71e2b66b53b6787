//! Control calls to engines: reports and orders.
//!
//! Concurrent requests that need a report of the same engine share one call.

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

/// Maximum wait for a report; a reachable engine answers it without queueing.
pub(crate) const REPORT_LIMIT: Duration = Duration::from_millis(300);
/// Maximum wait for the reply to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a report is reused.
///
/// A report is already about 200 ms old when it arrives, and each call for one is charged like a
/// probe.
const REPORT_LIFE: Duration = Duration::from_millis(300);
/// Maximum size of a report in bytes; it fits one in which every request of the engine is stalled.
const REPORT_BYTES: usize = 256 * 1024;
/// Interval at which a request checks whether another request's report call has finished.
const SHARED_PAUSE: Duration = Duration::from_millis(20);

/// State of an engine's most recent report call.
#[derive(Clone, Debug)]
enum ReportSlot {
    Asked(Instant),
    Known(Instant, Rc<EngineReport>),
    Silent(Instant),
}

/// Cache of the engines' reports.
#[derive(Debug, Default)]
pub struct EngineReports {
    slots: RefCell<HashMap<EndpointId, ReportSlot>>,
}

impl EngineReports {
    /// Returns a report that is at most [`REPORT_CACHE_TIME`] old; `None` if the engine does not
    /// answer.
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

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.slots.borrow_mut().remove(engine);
    }
}

/// Requests a report from an engine.
///
/// # Errors
///
/// Returns [`LinkError`] if the engine does not answer or its report cannot be decoded.
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

/// Sends an order over a new connection and reads the engine's reply.
///
/// # Errors
///
/// Returns [`LinkError`] if no reply was received. The engine may still carry out the order, now or
/// later.
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
