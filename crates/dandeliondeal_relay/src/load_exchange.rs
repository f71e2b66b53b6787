//! Exchange of state between instances: their load, the engines that they found failed, the
//! outcomes of their attempts, and the crashes under prompts. Each instance thus receives the total
//! load of every engine.
//!
//! Each instance reports to one hub in its failure domain, and hubs exchange the totals of their
//! domains. The reply to a report is the total of all instances. There is no consensus: an instance
//! that gets no reply estimates the total from its own load.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_limit::{DemandReport, RateReport};
use dandeliondeal_peer::{PeerClient, PeerError, PeerHandler};
use dandeliondeal_quarantine::CrashReport;
use dandeliondeal_types::{Clock, EndpointId, FailureDomain, InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::admission_news::{apply_news, publish_shares};
use crate::crash_watch::log_changes;
use crate::dialect::FleetDialect;
use crate::endpoint_limits::{set_fleet_rates, update_shares};
use crate::engine_check::{CheckCause, check_engine};
use crate::engine_survey::{SlowEngines, add_slow_engines, apply_slow_engines};
use crate::first_engine_health::AttemptTotals;
use crate::hub_selection::HubSelector;
use crate::instance_registry::PeerInstance;
use crate::link_monitor::LostLinks;
use crate::load_tracker::EngineLoad;
use crate::loss_exchange::{LossExchange, NOTICE_METHOD, WATCH_METHOD};
use crate::relay_context::RelayContext;
use crate::shared_store::{CHANGES_METHOD, FeedTable};
use crate::silence_exchange::SILENCE_METHOD;

/// Method that reports an instance's load to its hub.
const REPORT_METHOD: &str = "load-report";
/// Method that exchanges the totals of two domains between their hubs.
const EXCHANGE_METHOD: &str = "load-exchange";
/// Time between two reports; requests last a second or two, so load changes little in between.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the request for an urgent report to the report, in which further news is collected.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for a hub's reply.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum age of a report or total; an older one means that its instance is gone or unreachable.
pub(crate) const REPORT_MAX_AGE: Duration = Duration::from_millis(1_200);

/// Load on all engines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Load by engine.
    pub engines: BTreeMap<EndpointId, EngineLoad>,
    /// Share of the links between failure domains that is in use.
    pub crossing: f64,
    /// Engines that instances found failed.
    #[serde(default)]
    pub suspects: BTreeSet<EndpointId>,
    /// Outcomes of attempts at the first engines of chains.
    #[serde(default)]
    pub offers: AttemptTotals,
    /// Whether an instance holds the layout lease.
    #[serde(default)]
    pub has_lease: bool,
    /// Crashes of engines under prompts, and what is refused for them.
    #[serde(default, skip_serializing_if = "CrashReport::is_empty")]
    pub crashes: CrashReport,
    /// Limits that endpoints state, with the requests a second that instances send to them.
    #[serde(default, skip_serializing_if = "RateReport::is_empty")]
    pub rates: RateReport,
    /// Instances that cannot reach the endpoints of a service.
    #[serde(default, skip_serializing_if = "LostLinks::is_empty")]
    pub lost_links: LostLinks,
    /// Demand for graded services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub demand: BTreeMap<ServiceId, DemandReport>,
    /// Number of open requests to graded plain services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub open_calls: BTreeMap<ServiceId, f64>,
    /// Engines of graded services that are slow.
    #[serde(default, skip_serializing_if = "SlowEngines::is_empty")]
    pub slow_engines: SlowEngines,
}

impl LoadSummary {
    /// Adds another load that was reported `age` ago.
    pub fn add(&mut self, other: &Self, age: Duration) {
        for (engine, load) in &other.engines {
            let total = self.engines.entry(EndpointId::clone(engine)).or_default();
            total.running += load.running;
            total.tokens += load.tokens;
        }
        self.crossing += other.crossing;
        self.suspects.extend(other.suspects.iter().cloned());
        self.has_lease |= other.has_lease;
        for (engine, counts) in &other.offers {
            let total = self.offers.entry(EndpointId::clone(engine)).or_default();
            total.add(*counts);
        }
        if !other.crashes.is_empty() {
            let mut crashes = other.crashes.clone();
            crashes.add_age(age);
            self.crashes.add(&crashes);
        }
        for (service, instances) in &other.lost_links {
            let total = self.lost_links.entry(ServiceId::clone(service));
            total.or_default().extend(instances.iter().cloned());
        }
        for (service, demand) in &other.demand {
            let total = self.demand.entry(ServiceId::clone(service));
            total.or_default().add(demand);
        }
        for (service, open_calls) in &other.open_calls {
            *self
                .open_calls
                .entry(ServiceId::clone(service))
                .or_default() += open_calls;
        }
        add_slow_engines(&mut self.slow_engines, &other.slow_engines);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        for (endpoint, claim) in &other.rates {
            let mut claim = *claim;
            claim.add_age(age_ms);
            let total = self.rates.entry(EndpointId::clone(endpoint));
            total.and_modify(|total| total.add(&claim)).or_insert(claim);
        }
    }
}

/// Report of an instance to its hub, or of a hub to another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadReport {
    /// Id of the instance, or the failure domain that a hub reports for.
    from: InstanceId,
    work: LoadSummary,
}

/// Reports that a hub received, with their times.
#[derive(Clone, Debug, Default)]
pub struct HubState {
    instances: HashMap<InstanceId, (Instant, LoadSummary)>,
    domains: HashMap<FailureDomain, (Instant, LoadSummary)>,
}

impl HubState {
    /// Records the load of an instance of this domain.
    pub fn record_instance(&mut self, instance: InstanceId, load: LoadSummary, now: Instant) {
        self.instances.insert(instance, (now, load));
    }

    /// Records the total of another domain.
    pub fn record_domain(&mut self, domain: FailureDomain, load: LoadSummary, now: Instant) {
        self.domains.insert(domain, (now, load));
    }

    /// Returns the total of this domain's instances.
    pub fn domain_total(&mut self, now: Instant) -> LoadSummary {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        self.instances.retain(|_, (at, _)| is_recent(*at));
        let mut total = LoadSummary::default();
        for (at, load) in self.instances.values() {
            total.add(load, now.saturating_duration_since(*at));
        }
        total
    }

    /// Returns the total of all instances.
    pub fn fleet_total(&mut self, now: Instant) -> LoadSummary {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        let mut total = self.domain_total(now);
        self.domains.retain(|_, (at, _)| is_recent(*at));
        for (at, load) in self.domains.values() {
            total.add(load, now.saturating_duration_since(*at));
        }
        total
    }
}

/// Exchanges load with the other instances; clones share the state.
#[derive(Debug)]
pub struct LoadExchange<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    client: PeerClient,
    hub_state: Rc<RefCell<HubState>>,
    hubs: HubSelector<Time, Dialect>,
    feeds: FeedTable,
    losses: LossExchange<Time, Dialect>,
}

impl<Time, Dialect> Clone for LoadExchange<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            client: self.client.clone(),
            hub_state: Rc::clone(&self.hub_state),
            hubs: self.hubs.clone(),
            feeds: self.feeds.clone(),
            losses: self.losses.clone(),
        }
    }
}

impl<Time, Dialect> LoadExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    /// Creates an exchange that does nothing until [`Self::run`].
    ///
    /// `feeds` serves store changes to the members that use this instance as their hub, `losses`
    /// notices of lost engines.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        client: PeerClient,
        hubs: HubSelector<Time, Dialect>,
        feeds: FeedTable,
        losses: LossExchange<Time, Dialect>,
    ) -> Self {
        Self {
            context,
            client,
            hub_state: Rc::default(),
            hubs,
            feeds,
            losses,
        }
    }

    /// Sends reports until the task is dropped.
    pub async fn run(self) {
        loop {
            let pause = self.context.jitter(REPORT_INTERVAL);
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                () = self.context.wait_for_report_request() => {
                    actix_rt::time::sleep(URGENT_REPORT_DELAY).await;
                }
            }
            self.send_report().await;
        }
    }

    async fn send_report(&self) {
        let settings = &self.context.settings().instance;
        let sent_at = self.context.now();
        let Some(hub) = self.hubs.hub_of(&settings.failure_domain) else {
            self.context.pauses().record_report(sent_at);
            return;
        };
        let mut local = self.context.tracker().local_load(sent_at);
        local.suspects = self
            .context
            .engine_checks()
            .suspects(sent_at)
            .into_iter()
            .collect();
        local.offers = self.context.first_engines().local_counts(sent_at);
        local.has_lease = self.context.holds_lease();
        local.crashes = self.context.crashes().borrow().report(sent_at);
        local.rates = self.context.rates().borrow().report(sent_at);
        local.lost_links = self.context.links().report(&settings.id);
        local.slow_engines = self.context.survey().slow_engines(sent_at);
        self.context.admission().write_report(&mut local, sent_at);
        let id = InstanceId::clone(&settings.id);
        let mut is_exchanged = true;
        let fleet = if hub.id == id {
            self.hub_state
                .borrow_mut()
                .record_instance(id, local.clone(), sent_at);
            is_exchanged = self.exchange_domains().await;
            Some(self.hub_state.borrow_mut().fleet_total(self.context.now()))
        } else {
            let report = LoadReport {
                from: id,
                work: local.clone(),
            };
            self.call_hub(&hub, REPORT_METHOD, &report).await
        };
        self.context.crashes().borrow_mut().refresh(sent_at);
        if fleet.is_none() {
            update_shares(&self.context);
        }
        if let Some(fleet) = fleet {
            let now = self.context.now();
            let crashes = self.context.crashes();
            crashes.borrow_mut().add_report(&fleet.crashes, now);
            if is_exchanged {
                self.context.pauses().record_report(sent_at);
            }
            self.context.links().set_fleet(&fleet.lost_links);
            apply_slow_engines(&self.context, &fleet.slow_engines);
            set_fleet_rates(&self.context, &fleet.rates, &local.rates);
            self.context
                .tracker()
                .set_fleet_load(&fleet, &local, sent_at);
            apply_news(&self.context, &fleet, &local);
            let health = self.context.first_engines();
            health.set_fleet(&fleet.offers, &local.offers, sent_at);
            if fleet.has_lease {
                self.context.record_lease_holder(sent_at);
            }
            self.check_suspects(&fleet);
        }
        publish_shares(&self.context);
        log_changes(&self.context);
    }

    /// Checks the engines that other instances found failed and this one still uses.
    fn check_suspects(&self, fleet: &LoadSummary) {
        for engine in &fleet.suspects {
            if self.context.fleet().borrow().is_usable(engine) {
                check_engine(&self.context, engine, CheckCause::Suspicion);
            }
        }
    }

    /// Exchanges this domain's total with the hubs of all other domains concurrently; returns whether
    /// one of them answered, or there is none.
    async fn exchange_domains(&self) -> bool {
        let own_domain = FailureDomain::clone(&self.context.settings().instance.failure_domain);
        let peers = self.context.peers();
        let mut domains: Vec<&FailureDomain> = peers
            .iter()
            .map(|peer| &peer.failure_domain)
            .filter(|domain| **domain != own_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let report = LoadReport {
            from: own_domain,
            work: self.hub_state.borrow_mut().domain_total(self.context.now()),
        };
        let calls = domains.into_iter().map(|domain| async {
            let hub = self.hubs.hub_of(domain)?;
            let total = self.call_hub(&hub, EXCHANGE_METHOD, &report).await?;
            let now = self.context.now();
            let domain = FailureDomain::clone(domain);
            self.hub_state
                .borrow_mut()
                .record_domain(domain, total, now);
            Some(())
        });
        let results = futures_util::future::join_all(calls).await;
        results.is_empty() || results.iter().any(Option::is_some)
    }

    async fn call_hub(
        &self,
        hub: &PeerInstance,
        method: &'static str,
        report: &LoadReport,
    ) -> Option<LoadSummary> {
        let address: SocketAddr = hub.address;
        let reply = self
            .client
            .call_with_timeout(address, method, report, REPORT_TIMEOUT);
        match reply.await {
            Ok(total) => Some(total),
            Err(error) => {
                tracing::info!(hub = %hub.id, %error, "hub does not answer; another is taken");
                self.hubs.exclude(&hub.id);
                None
            }
        }
    }
}

impl<Time, Dialect> PeerHandler for LoadExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    const METHODS: &'static [&'static str] = &[
        REPORT_METHOD,
        EXCHANGE_METHOD,
        CHANGES_METHOD,
        NOTICE_METHOD,
        WATCH_METHOD,
        SILENCE_METHOD,
    ];

    async fn handle(&self, method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        if method == CHANGES_METHOD {
            return self.feeds.answer_member(&self.context, &body).await;
        }
        if matches!(method, NOTICE_METHOD | WATCH_METHOD | SILENCE_METHOD) {
            return self.losses.handle(method, body).await;
        }
        let refuse = |error: serde_json::Error| PeerError::refused(method, error.to_string());
        let report: LoadReport = serde_json::from_str(&body).map_err(refuse)?;
        let now = self.context.now();
        let mut hub = self.hub_state.borrow_mut();
        let total = if method == EXCHANGE_METHOD {
            hub.record_domain(report.from, report.work, now);
            hub.domain_total(now)
        } else {
            hub.record_instance(report.from, report.work, now);
            hub.fleet_total(now)
        };
        serde_json::to_string(&total).map_err(refuse)
    }
}
