//! Watches the links of this instance to the endpoints of each service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Clock, EndpointId, InstanceId, ServiceId};
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::sync::{OnceCell, watch};

use crate::endpoint_exchange::{ConnectionChoice, open_connection};
use crate::link_state::{LinkChange, LinkState};
use crate::peer_choice::{HandoverPeer, choose_peer};
use crate::relay_context::RelayContext;

/// Time between two looks at the links.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which open requests of a service get no bytes before its links are suspected.
const SILENCE_LIMIT: Duration = Duration::from_millis(200);
/// Maximum time to connect in a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum time to connect to the first endpoint of a probe, before others are tried as well.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of endpoints that a probe tries.
const PROBE_TARGETS: usize = 3;
/// Share of a service's endpoints that this instance counts as failed from which it is isolated: the
/// few that it reaches seldom make a chain, and other instances may reach all.
const ISOLATION_SHARE: f64 = 0.7;
/// Minimum number of endpoints of a service that can be isolated from.
const MIN_ISOLATION_ENDPOINTS: usize = 3;
/// Time for which no request is handed over after no instance took one.
const HANDOVER_BACKOFF: Duration = Duration::from_millis(500);
/// Time for which an instance that did not take a request is not asked again.
const PEER_EXCLUSION_TIME: Duration = Duration::from_secs(2);

/// Instances that report that they have lost their links, by service.
pub type LostLinks = BTreeMap<ServiceId, BTreeSet<InstanceId>>;

#[derive(Debug, Default)]
struct ServiceLinks {
    state: LinkState,
    /// Number of requests that wait for an endpoint.
    open_requests: usize,
    /// Time of the last bytes from an endpoint, or since which requests are open.
    last_traffic: Option<Instant>,
    /// Whether most endpoints count as failed, as of the last look.
    is_isolated: bool,
    /// Time until which no request is handed over.
    backoff_until: Option<Instant>,
    /// Endpoint that was sent the latest request.
    last_endpoint: Option<EndpointId>,
    /// Probe that is under way.
    probe: Option<Rc<OnceCell<usize>>>,
}

/// Links to the endpoints of all services, as this and the other instances see them.
#[derive(Debug)]
pub struct LinkMonitor {
    services: RefCell<HashMap<ServiceId, ServiceLinks>>,
    peers: RefCell<LostLinks>,
    /// Instances that did not take a request, with the time until which they are not asked.
    unresponsive: RefCell<HashMap<InstanceId, Instant>>,
    /// Number of changes of the links.
    changes: watch::Sender<u64>,
    lost_count: Cell<usize>,
}

impl Default for LinkMonitor {
    fn default() -> Self {
        Self {
            services: RefCell::default(),
            peers: RefCell::default(),
            unresponsive: RefCell::default(),
            changes: watch::Sender::new(0),
            lost_count: Cell::new(0),
        }
    }
}

impl ServiceLinks {
    fn is_lost(&self) -> bool {
        self.state.is_lost() || self.is_isolated
    }
}

impl LinkMonitor {
    /// Returns whether no endpoint of a service can be reached, or too few.
    pub fn is_lost(&self, service: &str) -> bool {
        if !self.has_lost() {
            return false;
        }
        let services = self.services.borrow();
        services.get(service).is_some_and(ServiceLinks::is_lost)
    }

    /// Returns whether the links to any service are lost.
    pub fn has_lost(&self) -> bool {
        self.lost_count.get() > 0
    }

    /// Waits until the links to a service are lost.
    pub async fn wait_until_lost(&self, service: &str) {
        let mut changes = self.changes.subscribe();
        while !self.is_lost(service) {
            // The sender lives as long as this monitor, so the wait does not fail.
            drop(changes.changed().await);
        }
    }

    /// Returns what this instance reports to the others.
    pub fn report(&self, own: &InstanceId) -> LostLinks {
        if self.lost_count.get() == 0 {
            return LostLinks::new();
        }
        let services = self.services.borrow();
        let lost = services.iter().filter(|(_, links)| links.is_lost());
        lost.map(|(service, _)| {
            let instances = BTreeSet::from([InstanceId::clone(own)]);
            (ServiceId::clone(service), instances)
        })
        .collect()
    }

    /// Sets what all instances report.
    pub fn set_fleet(&self, lost: &LostLinks) {
        self.peers.replace(lost.clone());
    }

    /// Records that an endpoint sent bytes.
    pub fn record_traffic(&self, service: &str, now: Instant) {
        if let Some(links) = self.services.borrow_mut().get_mut(service) {
            links.last_traffic = Some(now);
        }
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_request(&self, service: &str, endpoint: &EndpointId) {
        if let Some(links) = self.services.borrow_mut().get_mut(service) {
            links.last_endpoint = Some(EndpointId::clone(endpoint));
        }
    }

    /// Does not hand over requests for a service for a while, as no instance took one.
    ///
    /// Lost links are no reason to wait: which instances have theirs is known within moments.
    pub fn back_off(&self, service: &str, now: Instant) {
        let mut services = self.services.borrow_mut();
        let links = services.get_mut(service);
        if let Some(links) = links.filter(|links| !links.state.is_lost()) {
            links.backoff_until = Some(now + HANDOVER_BACKOFF);
        }
    }

    fn is_backing_off(&self, service: &str, now: Instant) -> bool {
        let services = self.services.borrow();
        let until = services.get(service).and_then(|links| links.backoff_until);
        until.is_some_and(|until| now < until)
    }

    /// Does not hand requests over to an instance for a while.
    pub fn exclude_peer(&self, peer: &InstanceId, now: Instant) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.insert(InstanceId::clone(peer), now + PEER_EXCLUSION_TIME);
    }

    fn with_links<Result, Use>(&self, service: &ServiceId, call: Use) -> Result
    where
        Use: FnOnce(&mut ServiceLinks) -> Result,
    {
        let mut services = self.services.borrow_mut();
        call(services.entry(ServiceId::clone(service)).or_default())
    }
}

/// Counts a request as waiting for endpoints of a service until it is dropped.
#[derive(Debug)]
pub struct LinkUse<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    service: ServiceId,
}

impl<Time, Dialect> LinkUse<Time, Dialect>
where
    Time: Clock,
{
    /// Counts a request until the value is dropped.
    pub fn start(context: &RelayContext<Time, Dialect>, service: &ServiceId) -> Self {
        let now = context.now();
        context.links().with_links(service, |links| {
            if links.open_requests == 0 {
                links.last_traffic = Some(now);
            }
            links.open_requests += 1;
        });
        Self {
            context: context.clone(),
            service: ServiceId::clone(service),
        }
    }
}

impl<Time, Dialect> Drop for LinkUse<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        self.context.links().with_links(&self.service, |links| {
            links.open_requests = links.open_requests.saturating_sub(1);
        });
    }
}

/// Returns an instance that can take requests for a service, if there is one.
pub(crate) fn find_peer<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
) -> Option<HandoverPeer>
where
    Time: Clock,
{
    let now = context.now();
    let links = context.links();
    let mut unresponsive = links.unresponsive.borrow_mut();
    unresponsive.retain(|_, until| now < *until);
    let excluded: BTreeSet<InstanceId> = unresponsive.keys().cloned().collect();
    let reported = links.peers.borrow();
    let nobody = BTreeSet::new();
    let without_links = reported.get(service).unwrap_or(&nobody);
    let instance = &context.settings().instance;
    let own = (&*instance.id, &*instance.failure_domain);
    let peers = context.peers();
    context.with_rng(|random| choose_peer(&peers, own, without_links, &excluded, random))
}

/// Returns whether a request has to be handed over: the links to its service are lost here, and
/// another instance may have them.
pub(crate) fn needs_handover<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
) -> bool
where
    Time: Clock,
{
    let links = context.links();
    links.is_lost(service)
        && !links.is_backing_off(service, context.now())
        && find_peer(context, service).is_some()
}

/// Returns whether a request has to be handed over after it found no endpoint; probes the links if
/// that was not done lately.
pub(crate) async fn check_handover<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
) -> bool
where
    Time: Clock,
{
    let now = context.now();
    let links = context.links();
    let is_lost = links.is_lost(service);
    if !is_lost && links.with_links(service, |links| links.state.is_probe_due(true, now)) {
        probe_links(context, service).await;
    }
    needs_handover(context, service)
}

/// Waits until the links to a service are lost, another instance may have them, and the request has
/// been silent since `active_at` for longer than the usual pause between events.
pub(crate) async fn wait_for_lost_links<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
    active_at: Instant,
) where
    Time: Clock,
{
    loop {
        context.links().wait_until_lost(service).await;
        let silence = context.now().saturating_duration_since(active_at);
        if silence >= SILENCE_LIMIT && needs_handover(context, service) {
            return;
        }
        let pause = SILENCE_LIMIT.saturating_sub(silence).max(WATCH_INTERVAL);
        actix_rt::time::sleep(pause).await;
    }
}

/// Probes the links until the task is dropped.
pub(crate) async fn watch_links<Time, Dialect>(context: RelayContext<Time, Dialect>)
where
    Time: Clock,
    Dialect: 'static,
{
    loop {
        actix_rt::time::sleep(WATCH_INTERVAL).await;
        let now = context.now();
        let services: Vec<ServiceId> = {
            let services = context.links().services.borrow();
            let is_silent = |links: &ServiceLinks| {
                let since = links.last_traffic.unwrap_or(now);
                links.open_requests > 0 && now.saturating_duration_since(since) >= SILENCE_LIMIT
            };
            let due = services
                .iter()
                .filter(|(_, links)| links.state.is_probe_due(is_silent(links), now));
            due.map(|(service, _)| ServiceId::clone(service)).collect()
        };
        for service in services {
            start_probe(&context, service);
        }
        update_isolation(&context);
    }
}

/// Decides anew from which services this instance is isolated.
fn update_isolation<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let links = context.links();
    let services: Vec<ServiceId> = links.services.borrow().keys().cloned().collect();
    for service in services {
        let (failed, total) = context.fleet().borrow().failed_count(&service);
        let is_isolated =
            total >= MIN_ISOLATION_ENDPOINTS && failed as f64 >= total as f64 * ISOLATION_SHARE;
        let was_isolated = links.with_links(&service, |links| {
            std::mem::replace(&mut links.is_isolated, is_isolated)
        });
        if was_isolated == is_isolated {
            continue;
        }
        let count = links.lost_count.get();
        links.lost_count.set(if is_isolated {
            count + 1
        } else {
            count.saturating_sub(1)
        });
        tracing::info!(%service, failed, total, is_isolated, "isolation from endpoints changed");
        links.changes.send_modify(|count| *count += 1);
        context.request_report();
    }
}

fn start_probe<Time, Dialect>(context: &RelayContext<Time, Dialect>, service: ServiceId)
where
    Time: Clock,
    Dialect: 'static,
{
    let context = context.clone();
    actix_rt::spawn(async move { probe_links(&context, &service).await });
}

/// Returns how many of a few endpoints of a service accept a connection now.
///
/// Calls at the same time share one probe.
pub(crate) async fn probe_links<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
) -> usize
where
    Time: Clock,
{
    let now = context.now();
    let probe = context.links().with_links(service, |links| {
        links.state.record_probe(now);
        let probe = links.probe.get_or_insert_default();
        Rc::clone(probe)
    });
    let connected = *probe.get_or_init(|| run_probe(context, service)).await;
    context.links().with_links(service, |links| {
        let is_current = |current: &Rc<OnceCell<usize>>| Rc::ptr_eq(current, &probe);
        if links.probe.as_ref().is_some_and(is_current) {
            links.probe = None;
        }
    });
    connected
}

async fn run_probe<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
) -> usize
where
    Time: Clock,
{
    let targets = probe_targets(context, service);
    let connect = |(endpoint, address): &(EndpointId, SocketAddr), limit| {
        let (endpoint, address) = (EndpointId::clone(endpoint), *address);
        async move {
            let choice = ConnectionChoice::New;
            let opened = open_connection(context, &endpoint, address, choice, limit).await;
            usize::from(opened.is_ok())
        }
    };
    // One connection shows that the links are there, and each is work for an endpoint.
    let (first, others) = targets.split_at(targets.len().min(1));
    let mut connected = 0;
    for target in first {
        connected += connect(target, FIRST_PROBE_TIMEOUT).await;
    }
    if connected == 0 {
        let connects = others.iter().map(|target| connect(target, PROBE_TIMEOUT));
        connected += join_all(connects).await.into_iter().sum::<usize>();
    }
    let now = context.now();
    let change = context.links().with_links(service, |links| {
        links.state.record_result(targets.len(), connected, now)
    });
    match change {
        Some(LinkChange::Lost) => record_loss(context, service, targets.len()),
        Some(LinkChange::Restored(lost_time)) => record_return(context, service, lost_time),
        None => {}
    }
    connected
}

/// Selects endpoints of a service: the one that was used last, then others at random, those in good
/// health first.
fn probe_targets<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
) -> Vec<(EndpointId, SocketAddr)>
where
    Time: Clock,
{
    let last_endpoint = {
        let services = context.links().services.borrow();
        let links = services.get(service);
        links.and_then(|links| links.last_endpoint.clone())
    };
    let fleet = context.fleet().borrow();
    let records = fleet.records();
    let members = records.filter(|record| *record.service == *service && !record.is_draining);
    let members = members.map(|record| (EndpointId::clone(&record.id), record.address));
    let (mut targets, mut failed): (Vec<_>, Vec<_>) =
        members.partition(|(endpoint, _)| !fleet.is_failed(endpoint));
    context.with_rng(|random| {
        targets.shuffle(random);
        failed.shuffle(random);
    });
    targets.append(&mut failed);
    targets.sort_by_key(|(endpoint, _)| Some(endpoint) != last_endpoint.as_ref());
    targets.truncate(PROBE_TARGETS);
    targets
}

fn record_loss<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
    tried: usize,
) where
    Time: Clock,
{
    let links = context.links();
    links.lost_count.set(links.lost_count.get() + 1);
    context.metrics().lost_services.inc();
    // Idle connections use the same links.
    context.pool().borrow_mut().clear();
    tracing::warn!(%service, tried, "links to endpoints lost");
    links.changes.send_modify(|count| *count += 1);
    context.request_report();
}

fn record_return<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
    lost_time: Duration,
) where
    Time: Clock,
{
    let links = context.links();
    links
        .lost_count
        .set(links.lost_count.get().saturating_sub(1));
    context.metrics().lost_services.dec();
    let now = context.now();
    // What failed behind lost links tells nothing about the endpoints.
    let reset = context.fleet().borrow_mut().reset_health(service, now);
    for endpoint in &reset {
        context.first_engines().forget(endpoint);
    }
    let lost_ms = u64::try_from(lost_time.as_millis()).unwrap_or(u64::MAX);
    tracing::warn!(%service, lost_ms, endpoints = reset.len(), "links to endpoints restored");
    links.changes.send_modify(|count| *count += 1);
    context.request_report();
}
