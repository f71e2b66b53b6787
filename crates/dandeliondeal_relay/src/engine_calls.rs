//! Control calls to engines: reports and orders.
//!
//! Concurrent requests that need a report of the same engine share one call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{EngineReport, FleetDialect, OrderReply};
use crate::endpoint_exchange::{CONNECT_TIMEOUT, ConnectionChoice, open_connection};
use crate::relay_context::RelayContext;

/// Maximum wait for a report; a reachable engine answers it without queueing.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for the reply to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum wait for the body of a conflict, which only names the engine at fault.
const CONFLICT_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of the body of a conflict in bytes.
const MAX_CONFLICT_BYTES: usize = 4 * 1024;
/// Time for which a report is reused.
///
/// A report is already about 200 ms old when it arrives, and each call for one is charged like a
/// probe.
const REPORT_CACHE_TIME: Duration = Duration::from_millis(300);
/// Maximum size of a report in bytes; it fits one in which every request of the engine is stalled.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Interval at which a request checks whether another request's report call has finished.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of an engine's most recent report call.
#[derive(Clone, Debug)]
struct ReportEntry {
    asked_at: Instant,
    state: ReportState,
}

#[derive(Clone, Debug)]
enum ReportState {
    Pending,
    Received(Instant, Rc<EngineReport>),
    Failed(Instant),
}

/// Cache of the engines' reports.
#[derive(Debug, Default)]
pub struct ReportCache {
    entries: RefCell<HashMap<EndpointId, ReportEntry>>,
}

impl ReportCache {
    /// Returns a report that is at most `REPORT_CACHE_TIME` old; `None` if the engine does not
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
        self.fetch_since(context, engine, address, None).await
    }

    /// Returns a report that the engine is asked for now; `None` if it does not answer.
    ///
    /// An earlier report does not show whether the engine still answers.
    pub async fn fetch_new<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        engine: &EndpointId,
        address: SocketAddr,
    ) -> Option<Rc<EngineReport>>
    where
        Time: Clock,
        Dialect: FleetDialect,
    {
        let now = context.now();
        self.fetch_since(context, engine, address, Some(now)).await
    }

    /// Returns a report that is at most `REPORT_CACHE_TIME` old and was not asked for before `since`.
    async fn fetch_since<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        engine: &EndpointId,
        address: SocketAddr,
        since: Option<Instant>,
    ) -> Option<Rc<EngineReport>>
    where
        Time: Clock,
        Dialect: FleetDialect,
    {
        loop {
            let now = context.now();
            let entry = self.entries.borrow().get(engine).cloned();
            let entry = entry.filter(|entry| since.is_none_or(|since| entry.asked_at >= since));
            match entry.map(|entry| (entry.asked_at, entry.state)) {
                Some((_, ReportState::Received(at, report))) if now - at < REPORT_CACHE_TIME => {
                    return Some(report);
                }
                Some((_, ReportState::Failed(at))) if now - at < REPORT_CACHE_TIME => return None,
                Some((asked_at, ReportState::Pending)) if now - asked_at < REPORT_TIMEOUT * 2 => {
                    actix_rt::time::sleep(REPORT_POLL_INTERVAL).await;
                }
                _ => break,
            }
        }
        let asked_at = context.now();
        let insert = |state| self.insert(engine, ReportEntry { asked_at, state });
        insert(ReportState::Pending);
        let report = request_report(context, engine, address).await;
        let now = context.now();
        match report {
            Ok(report) => {
                let report = Rc::new(report);
                insert(ReportState::Received(now, Rc::clone(&report)));
                let mut fleet = context.fleet().borrow_mut();
                fleet.set_slowness(engine, report.slowness, now);
                drop(fleet);
                context.silences().record_alive(engine, asked_at);
                Some(report)
            }
            Err(error) => {
                tracing::info!(%engine, %error, "engine report failed");
                insert(ReportState::Failed(now));
                None
            }
        }
    }

    /// Records the state of a call, unless a later call has been made.
    fn insert(&self, engine: &EndpointId, entry: ReportEntry) {
        let mut entries = self.entries.borrow_mut();
        let latest = entries.get(engine).map(|latest| latest.asked_at);
        if latest.is_none_or(|latest| latest <= entry.asked_at) {
            entries.insert(EndpointId::clone(engine), entry);
        }
    }

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.entries.borrow_mut().remove(engine);
    }
}

/// Requests a report from an engine.
///
/// # Errors
///
/// Returns [`ConnectionError`] if the engine does not answer or its report cannot be decoded.
pub async fn request_report<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    address: SocketAddr,
) -> Result<EngineReport, ConnectionError>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let exchange = async {
        let mut connection = open_connection(
            context,
            engine,
            address,
            // A report has no id, so a late response on a used connection could be read as one.
            ConnectionChoice::New,
            REPORT_TIMEOUT,
        )
        .await?;
        let request = context.dialect().write_report_request(address);
        connection.send(&request).await?;
        let head = connection.read_head().await?;
        let body = connection.read_body(MAX_REPORT_BYTES).await?;
        if !head.status.is_success() {
            return Err(ConnectionError::after_write(&format!(
                "status {}",
                head.status
            )));
        }
        let report = context.dialect().read_report(engine, &body);
        report.map_err(|error| ConnectionError::after_write(&error))
    };
    match timeout(REPORT_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(ConnectionError::after_write(
            "timed out waiting for the report",
        )),
    }
}

/// Sends an order over a new connection and reads the engine's reply.
///
/// # Errors
///
/// Returns [`ConnectionError`] if no reply was received. The engine may still carry out the order,
/// now or later.
pub async fn send_order<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    address: SocketAddr,
    order: &OutboundRequest,
) -> Result<OrderReply, ConnectionError>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let call = async {
        let now = context.now();
        let mut connection = EndpointConnection::connect(address, CONNECT_TIMEOUT, now).await?;
        connection.send(order).await?;
        let head = connection.read_head().await?;
        Ok(context.dialect().read_order_reply(head.status))
    };
    match timeout(ORDER_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_elapsed) => Err(ConnectionError::after_write(
            "timed out waiting for the reply",
        )),
    }
}

/// Sends an order to move a request; returns the reply, with the address of the engine at fault if a
/// conflict names one.
///
/// # Errors
///
/// Returns [`ConnectionError`] if no reply was received, as [`send_order`].
pub async fn send_move_order<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    address: SocketAddr,
    order: &OutboundRequest,
) -> Result<(OrderReply, Option<SocketAddr>), ConnectionError>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let call = async {
        let now = context.now();
        let mut connection = EndpointConnection::connect(address, CONNECT_TIMEOUT, now).await?;
        connection.send(order).await?;
        let head = connection.read_head().await?;
        let reply = context.dialect().read_order_reply(head.status);
        if reply != OrderReply::Conflict {
            return Ok((reply, None));
        }
        let body = timeout(
            CONFLICT_BODY_TIMEOUT,
            connection.read_body(MAX_CONFLICT_BYTES),
        )
        .await;
        let body = body.ok().and_then(Result::ok).unwrap_or_default();
        Ok((reply, context.dialect().read_conflict(&body)))
    };
    match timeout(ORDER_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_elapsed) => Err(ConnectionError::after_write(
            "timed out waiting for the reply",
        )),
    }
}
