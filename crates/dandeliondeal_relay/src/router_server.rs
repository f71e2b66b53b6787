//! Router process: listeners, background tasks and graceful shutdown.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_config::RouterSettings;
use dandeliondeal_http::{HttpListener, ListenerSettings};
use dandeliondeal_peer::{PeerClient, PeerServer, PeerSettings};
use dandeliondeal_store::{CallClass, LeaseSettings, PlatformClient, StoreDialect};
use dandeliondeal_types::{Clock, Incarnation, ReadFreshness};
use tokio::task::JoinHandle;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::engine_check::retest_engines;
use crate::engine_survey::run_survey;
use crate::fleet_sinks::{ConfigSink, EndpointSink};
use crate::handover_entrance::HandoverEntrance;
use crate::hub_selection::HubSelector;
use crate::instance_registry;
use crate::layout_controller::LayoutController;
use crate::link_monitor::watch_links;
use crate::load_exchange::LoadExchange;
use crate::loss_exchange::LossExchange;
use crate::process_watch::run_process_watch;
use crate::quarantine_store::run_quarantine_store;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_error::RelayError;
use crate::request_handler::handle_request;
use crate::request_intake::RequestOrigin;
use crate::shared_store::{FeedTable, SharedStore};
use crate::silence_watch::watch_timer;
use crate::store_watch::follow_kind;

/// Name of the lease that allows sending layer orders.
const LAYOUT_LEASE: &str = "leases/layout";
/// Time for which the lease is valid without renewal; short, because repairs wait for it after its
/// holder fails.
const LEASE_TERM: Duration = Duration::from_secs(3);
/// Allowance for the difference in speed between the instances' clocks.
const LEASE_CLOCK_MARGIN: Duration = Duration::from_millis(300);
/// Time between two renewals of the lease; two may fail within its term.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// Gap between two clock readings above which the process counts as having been paused.
const MAX_CLOCK_GAP: Duration = Duration::from_millis(1_500);
/// Time between two sweeps of idle connections and expired registrations.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the load balancer may still send connections after readiness ends.
///
/// It covers two readiness checks of the balancer, which are a second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Part of a short grace period that this margin may take, as a divisor; requests that are open before
/// the last sixth of the period must not be cut off.
const GRACE_MARGIN_DIVISOR: u32 = 8;
/// Time before the exit at which requests without a response get a final one, in which it is written
/// to the caller.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(300);
/// Time between two checks whether open requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// File descriptors reserved for files, the store, peers and endpoints.
const RESERVED_DESCRIPTORS: u64 = 1_500;

/// Running router.
#[derive(Debug)]
pub struct RouterServer<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    callers: HttpListener,
    readiness: HttpListener,
    metrics: HttpListener,
    peers: PeerServer,
    handover: HttpListener,
    tasks: Vec<JoinHandle<()>>,
}

impl<Time, Dialect> RouterServer<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Starts the listeners and the background tasks.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if an address cannot be bound or a state chart is invalid.
    pub async fn start<WireFormat>(
        settings: RouterSettings,
        clock: Time,
        dialect: Dialect,
        store: PlatformClient<Time, WireFormat>,
        incarnation: Incarnation,
    ) -> Result<Self, RelayError>
    where
        WireFormat: StoreDialect,
    {
        let context = RelayContext::new(settings, clock, dialect, incarnation)?;
        let peer_settings = PeerSettings::default();
        let peer_client = PeerClient::new(peer_settings.clone());
        let hubs = HubSelector::new(context.clone());
        let feeds = FeedTable::default();
        let shared_store = SharedStore::new(
            context.clone(),
            store.clone(),
            peer_client.clone(),
            hubs.clone(),
            feeds.clone(),
        );
        let mut tasks = start_tasks(&context, &store, &shared_store, incarnation)?;
        let addresses = context.settings().endpoints.clone();
        let descriptors = context.settings().machine.descriptors;
        let limits = ListenerSettings {
            max_connections: usize::try_from(
                descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64),
            )
            .unwrap_or(usize::MAX),
            ..ListenerSettings::default()
        };
        tasks.push(actix_rt::spawn(run_survey(context.clone(), hubs.clone())));
        let losses = LossExchange::new(context.clone(), peer_client.clone());
        let exchange = LoadExchange::new(context.clone(), peer_client, hubs, feeds, losses.clone());
        let listener = std::net::TcpListener::bind(addresses.peers)?;
        let peers = PeerServer::start(listener, &peer_settings, exchange.clone())?;
        tasks.push(actix_rt::spawn(exchange.run()));
        tasks.push(actix_rt::spawn(losses.run()));
        let handler_context = context.clone();
        let serve_caller = move |request: Request| {
            handle_request(handler_context.clone(), request, RequestOrigin::Caller)
        };
        let callers = HttpListener::start(addresses.callers, limits, serve_caller).await?;
        let entrance = HandoverEntrance::new(context.clone());
        let serve_handover = move |request: Request| entrance.clone().serve(request);
        let handover = HttpListener::start(addresses.handover, limits, serve_handover).await?;
        let handler_context = context.clone();
        let serve_readiness = move |_request: Request| {
            let response = readiness_response(&handler_context);
            async move { response }
        };
        let readiness = HttpListener::start(addresses.readiness, limits, serve_readiness).await?;
        let handler_context = context.clone();
        let serve_metrics = move |_request: Request| {
            let response = metrics_response(&handler_context);
            async move { response }
        };
        let metrics = HttpListener::start(addresses.metrics, limits, serve_metrics).await?;
        Ok(Self {
            context,
            callers,
            readiness,
            metrics,
            peers,
            handover,
            tasks,
        })
    }

    /// Returns the state shared by all requests.
    pub fn context(&self) -> &RelayContext<Time, Dialect> {
        &self.context
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> std::net::SocketAddr {
        self.callers.address()
    }

    /// Returns the address for requests that other instances hand over.
    pub fn handover_address(&self) -> std::net::SocketAddr {
        self.handover.address()
    }

    /// Returns the address of the readiness check.
    pub fn readiness_address(&self) -> std::net::SocketAddr {
        self.readiness.address()
    }

    /// Returns the address of the metrics.
    pub fn metrics_address(&self) -> std::net::SocketAddr {
        self.metrics.address()
    }

    /// Shuts down gracefully.
    ///
    /// Readiness ends at once, but requests that are likely to end in time are still served until the
    /// load balancer notices. Then no new connections are accepted, and open requests may finish within
    /// the grace period. A response that a caller has not read yet is an open request. Shortly before
    /// the grace period ends, requests without a response get a final one.
    pub async fn stop(self) {
        let started = self.context.now();
        let grace = self.context.settings().allowances.grace;
        let limit = grace.saturating_sub(GRACE_MARGIN.min(grace / GRACE_MARGIN_DIVISOR));
        let response_limit = limit.saturating_sub(RESPONSE_WRITE_TIME);
        self.context.request_stop(started + response_limit);
        actix_rt::time::sleep(BALANCER_LAG.min(response_limit)).await;
        self.callers.close();
        self.handover.close();
        loop {
            // Connections end only after the listener's task has run.
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
            let elapsed = self.context.now().saturating_duration_since(started);
            let open = self.context.metrics().open_requests.get();
            let connections = self.callers.open_connections() + self.handover.open_connections();
            if elapsed >= limit || (open <= 0 && connections == 0) {
                self.context.record_exit();
                tracing::info!(open, connections, elapsed_ms = %elapsed.as_millis(), "stopped");
                break;
            }
            let is_ending = elapsed >= response_limit;
            if is_ending && self.context.request_final_responses() {
                tracing::info!(open, connections, "requests without a response are ended");
            }
        }
        for task in &self.tasks {
            task.abort();
        }
        self.peers.stop();
        self.readiness.close();
        self.metrics.close();
    }
}

fn start_tasks<Time, Dialect, WireFormat>(
    context: &RelayContext<Time, Dialect>,
    store: &PlatformClient<Time, WireFormat>,
    shared_store: &SharedStore<Time, Dialect, PlatformClient<Time, WireFormat>>,
    incarnation: Incarnation,
) -> Result<Vec<JoinHandle<()>>, RelayError>
where
    Time: Clock,
    Dialect: FleetDialect,
    WireFormat: StoreDialect,
{
    let lease = LeaseSettings {
        name: LAYOUT_LEASE.into(),
        instance: context.settings().instance.id.clone(),
        incarnation,
        term: LEASE_TERM,
        clock_margin: LEASE_CLOCK_MARGIN,
        renewal_interval: LEASE_RENEWAL_INTERVAL,
        max_clock_gap: MAX_CLOCK_GAP,
    };
    let leases = store.with_class(CallClass::Leases);
    let controller = LayoutController::new(context.clone(), leases, lease)?;
    let config = ConfigSink::new(context.clone());
    let endpoints = EndpointSink::new(context.clone());
    let status = store.with_class(CallClass::Status);
    Ok(vec![
        actix_rt::spawn(follow_kind(
            context.clone(),
            shared_store.clone(),
            Dialect::CONFIG_KIND,
            ReadFreshness::Latest,
            config,
        )),
        actix_rt::spawn(follow_kind(
            context.clone(),
            shared_store.clone(),
            Dialect::ENDPOINT_KIND,
            // The list of a large fleet has many pages, and relaxed reads are charged less.
            ReadFreshness::Relaxed,
            endpoints,
        )),
        actix_rt::spawn(run_quarantine_store(context.clone(), status.clone())),
        actix_rt::spawn(instance_registry::run_registry(context.clone(), status)),
        actix_rt::spawn(controller.run()),
        actix_rt::spawn(sweep(context.clone())),
        actix_rt::spawn(run_process_watch(context.clone())),
        actix_rt::spawn(watch_links(context.clone())),
        actix_rt::spawn(watch_timer(context.clone())),
    ])
}

async fn sweep<Time, Dialect>(context: RelayContext<Time, Dialect>)
where
    Time: Clock,
    Dialect: FleetDialect,
{
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        context.check_pause();
        context.pool().borrow_mut().close_expired();
        let now = context.now();
        context.held_runs().borrow_mut().sweep(now);
        let changes = context.fleet().borrow_mut().tick(now);
        for change in changes {
            tracing::info!(?change, "registration was not renewed after the outage");
        }
        retest_engines(&context);
    }
}

fn readiness_response<Time, Dialect>(context: &RelayContext<Time, Dialect>) -> Response<RelayBody>
where
    Time: Clock,
{
    let is_ready =
        !context.is_stopping() && context.table().is_some() && !context.fleet().borrow().is_empty();
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Response::with_body(status, RelayBody::Complete(Bytes::new()))
}

fn metrics_response<Time, Dialect>(context: &RelayContext<Time, Dialect>) -> Response<RelayBody>
where
    Time: Clock,
{
    context.update_repeat_metrics();
    context.metrics().bodies.update(context.body_memory());
    let (status, text) = match context.metrics().encode() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => {
            tracing::warn!(%error, "metrics cannot be encoded");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    let mut response = Response::with_body(status, RelayBody::Complete(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
