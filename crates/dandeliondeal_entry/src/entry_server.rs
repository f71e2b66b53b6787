//! Start, listeners and planned stop of an entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::EntrySettings;
use dandeliondeal_order::OrderSettings;
use dandeliondeal_peer::FanOut;
use dandeliondeal_store::LeaseSettings;
use dandeliondeal_types::{Clock, SheetModel};
use tokio::task::JoinHandle;

use crate::drain_state::{DrainEvent, DrainState};
use crate::endpoint_watch::watch_endpoints;
use crate::entry_context::{EntryContext, EntryError};
use crate::order_runner::OrderRunner;
use crate::peer_link::PeerLink;
use crate::{caller_api, load_poll, operator_api};
use dandeliondeal_http::{HttpListener, ListenerSettings};

/// Maximum number of open connections at the operators' address.
const OPERATOR_CONNECTIONS: usize = 64;
/// Time between two checks for open requests during a planned stop.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry instance on the current actix arbiter.
#[derive(Debug)]
pub struct EntryServer<ClockSource> {
    context: EntryContext<ClockSource>,
    caller_listener: HttpListener,
    operator_listener: HttpListener,
    link: Option<PeerLink<ClockSource>>,
    endpoint_watch: Option<JoinHandle<()>>,
    orders: Option<(OrderRunner<ClockSource>, JoinHandle<()>)>,
}

impl<ClockSource> EntryServer<ClockSource>
where
    ClockSource: Clock,
{
    /// Binds the addresses in `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Returns the reason why the instance cannot start.
    pub async fn start(settings: EntrySettings, clock: ClockSource) -> Result<Self, EntryError> {
        let caller_settings = ListenerSettings {
            max_connections: usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
            head_timeout: settings.limits.header_time,
            ..ListenerSettings::default()
        };
        let listen = settings.listen.clone();
        let context = EntryContext::new(settings, clock)?;
        let caller_context = context.clone();
        let caller_listener =
            HttpListener::start(listen.callers, caller_settings, move |request| {
                caller_api::handle(caller_context.clone(), request)
            })
            .await?;
        let operator_settings = ListenerSettings {
            max_connections: OPERATOR_CONNECTIONS,
            ..caller_settings
        };
        let operator_context = context.clone();
        let operator_listener =
            HttpListener::start(listen.operators, operator_settings, move |request| {
                std::future::ready(operator_api::handle(&operator_context, &request))
            })
            .await?;
        actix_rt::spawn(load_poll::poll_loads(
            context.monitor().downgrade(),
            context.pool().clone(),
            context.table().clone(),
            context.clock().clone(),
        ));
        Ok(Self {
            context,
            caller_listener,
            operator_listener,
            link: None,
            endpoint_watch: None,
            orders: None,
        })
    }

    /// Starts to contend for the order lease, and to send orders to engines while holding it.
    ///
    /// # Errors
    ///
    /// Returns an error if a chart is invalid.
    pub fn start_order_runner(&mut self) -> Result<(), EntryError> {
        let context = self.context.clone();
        let runner = OrderRunner::new(context, LeaseSettings::default(), OrderSettings::default())?;
        let task = runner.start();
        self.orders = Some((runner, task));
        Ok(())
    }

    /// Joins the other instances, and starts to apply accepted revisions and to poll the instance
    /// list.
    ///
    /// # Errors
    ///
    /// Returns an error if the peers' address cannot be bound or a chart is invalid.
    pub fn join_fleet(&mut self) -> Result<(), EntryError> {
        self.join_fleet_with_fan_out(FanOut::Ring)
    }

    /// Same as [`EntryServer::join_fleet`], with a given fan-out of heartbeats.
    ///
    /// # Errors
    ///
    /// Returns an error if the peers' address cannot be bound or a chart is invalid.
    pub fn join_fleet_with_fan_out(&mut self, fan_out: FanOut) -> Result<(), EntryError> {
        self.link = Some(PeerLink::start(self.context.clone(), fan_out)?);
        self.endpoint_watch = Some(actix_rt::spawn(watch_endpoints(self.context.clone())));
        Ok(())
    }

    /// Returns the link to the other instances; `None` before [`EntryServer::join_fleet`].
    pub fn link(&self) -> Option<&PeerLink<ClockSource>> {
        self.link.as_ref()
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_listener.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_listener.address()
    }

    /// Returns the shared state of the instance.
    pub fn context(&self) -> &EntryContext<ClockSource> {
        &self.context
    }

    /// Puts a sheet in force if its revision is higher; returns whether it did.
    pub fn install(&self, sheet: Arc<SheetModel>) -> bool {
        self.context.install(sheet)
    }

    /// Runs a planned stop.
    ///
    /// Reports not ready at once, accepts requests until the load balancer has had time to notice,
    /// then waits for open requests up to the drain limit.
    pub async fn stop(self) {
        let settings = self.context.settings().stop.clone();
        self.apply_drain(DrainEvent::Stop);
        if let Some(link) = &self.link {
            link.leave();
        }
        if let Some((runner, task)) = &self.orders {
            task.abort();
            runner.stop().await;
        }
        actix_rt::time::sleep(settings.balancer_lag).await;
        self.caller_listener.close();
        self.apply_drain(DrainEvent::BalancerMoved);
        let limit = self.context.clock().now() + settings.drain_limit;
        while self.is_busy() && self.context.clock().now() < limit {
            actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        self.apply_drain(DrainEvent::Idle);
        if let Some(link) = &self.link {
            link.stop();
        }
        if let Some(watch) = &self.endpoint_watch {
            watch.abort();
        }
        self.operator_listener.close();
    }

    /// Returns whether requests, claim records or caller connections are still open.
    ///
    /// A connection closes after its answer was sent, so an open one may still have an answer to
    /// send.
    fn is_busy(&self) -> bool {
        self.context.registry().borrow().open_count() > 0
            || self.context.claims().backlog() > 0
            || self.caller_listener.open_connections() > 0
    }

    fn apply_drain(&self, event: DrainEvent) -> DrainState {
        let state = self.context.drain().borrow_mut().apply(event);
        tracing::info!(?event, ?state, "drain");
        state
    }
}
