//! An entry instance: its listeners, and its planned stop.

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

/// Connections open at once on the operators' address.
const OPERATOR_CONNECTIONS: usize = 64;
/// Time between two looks at whether requests are still open.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry instance on the current arbiter.
#[derive(Debug)]
pub struct EntryServer<ClockSource> {
    context: EntryContext<ClockSource>,
    callers: HttpListener,
    operators: HttpListener,
    link: Option<PeerLink<ClockSource>>,
    endpoint_watch: Option<JoinHandle<()>>,
    orders: Option<(OrderRunner<ClockSource>, JoinHandle<()>)>,
}

impl<ClockSource> EntryServer<ClockSource>
where
    ClockSource: Clock,
{
    /// Binds the addresses of `settings` and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns why the instance cannot start.
    pub async fn start(settings: EntrySettings, clock: ClockSource) -> Result<Self, EntryError> {
        let bounds = ListenerSettings {
            connections: usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
            header_time: settings.limits.header_time,
            ..ListenerSettings::default()
        };
        let listen = settings.listen.clone();
        let context = EntryContext::new(settings, clock)?;
        let caller_context = context.clone();
        let callers = HttpListener::start(listen.callers, bounds, move |request| {
            caller_api::handle(caller_context.clone(), request)
        })
        .await?;
        let operator_bounds = ListenerSettings {
            connections: OPERATOR_CONNECTIONS,
            ..bounds
        };
        let operator_context = context.clone();
        let operators = HttpListener::start(listen.operators, operator_bounds, move |request| {
            std::future::ready(operator_api::handle(&operator_context, &request))
        })
        .await?;
        actix_rt::spawn(load_poll::run(
            context.monitor().downgrade(),
            context.pool().clone(),
            context.table().clone(),
            context.clock().clone(),
        ));
        Ok(Self {
            context,
            callers,
            operators,
            link: None,
            endpoint_watch: None,
            orders: None,
        })
    }

    /// Starts to contend for the lease of orders, and to give orders while it is held.
    ///
    /// # Errors
    ///
    /// A chart is wrong.
    pub fn give_orders(&mut self) -> Result<(), EntryError> {
        let context = self.context.clone();
        let runner = OrderRunner::new(context, LeaseSettings::default(), OrderSettings::default())?;
        let task = runner.start();
        self.orders = Some((runner, task));
        Ok(())
    }

    /// Joins the other instances, puts in force what the platform has accepted, and notes which
    /// endpoints leave.
    ///
    /// # Errors
    ///
    /// If the peers' address cannot be bound.
    pub fn join_fleet(&mut self) -> Result<(), EntryError> {
        self.join_fleet_by(FanOut::Ring)
    }

    /// As [`EntryServer::join_fleet`], with a choice of whom heartbeats go to.
    ///
    /// # Errors
    ///
    /// If the peers' address cannot be bound.
    pub fn join_fleet_by(&mut self, fan_out: FanOut) -> Result<(), EntryError> {
        self.link = Some(PeerLink::start(self.context.clone(), fan_out)?);
        self.endpoint_watch = Some(actix_rt::spawn(watch_endpoints(self.context.clone())));
        Ok(())
    }

    /// The links to the other instances, after [`EntryServer::join_fleet`].
    pub fn link(&self) -> Option<&PeerLink<ClockSource>> {
        self.link.as_ref()
    }

    /// The address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The shared state of the instance.
    pub fn context(&self) -> &EntryContext<ClockSource> {
        &self.context
    }

    /// Puts a sheet in force if its revision is higher, and tells whether it did.
    pub fn install(&self, sheet: Arc<SheetModel>) -> bool {
        self.context.install(sheet)
    }

    /// Stops as planned: not ready at once, accepting while the balancer lags, then every open
    /// request finishes.
    pub async fn stop(self) {
        let settings = self.context.settings().stop.clone();
        self.drain(DrainEvent::Stop);
        if let Some(link) = &self.link {
            link.leave();
        }
        if let Some((runner, task)) = &self.orders {
            task.abort();
            runner.stop().await;
        }
        actix_rt::time::sleep(settings.balancer_lag).await;
        self.callers.close();
        self.drain(DrainEvent::BalancerMoved);
        let limit = self.context.clock().now() + settings.drain_limit;
        while self.is_busy() && self.context.clock().now() < limit {
            actix_rt::time::sleep(IDLE_INTERVAL).await;
        }
        self.drain(DrainEvent::Idle);
        if let Some(link) = &self.link {
            link.stop();
        }
        if let Some(watch) = &self.endpoint_watch {
            watch.abort();
        }
        self.operators.close();
    }

    /// A connection closes once its answer has left, so an open one may still hold an answer.
    fn is_busy(&self) -> bool {
        self.context.registry().borrow().open() > 0
            || self.context.claims().backlog() > 0
            || self.callers.open_connections() > 0
    }

    fn drain(&self, event: DrainEvent) -> DrainState {
        let state = self.context.drain().borrow_mut().apply(event);
        tracing::info!(?event, ?state, "drain");
        state
    }
}
