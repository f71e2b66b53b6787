//! Exchange of state between instances: their load, the engines that they found failed, and the
//! outcomes of their attempts. With it each instance knows the total load of every engine.
//!
//! Each instance reports to one hub in its failure domain, and hubs exchange the totals of their
//! domains. The reply to a report is the total of all instances. There is no consensus: an instance
//! that gets no reply estimates the total from its own load.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_peer::{PeerClient, PeerError, PeerHandler};
use dandeliondeal_types::{Clock, EndpointId, FailureDomain, InstanceId};
use serde::{Deserialize, Serialize};

use crate::dialect::FleetDialect;
use crate::engine_check::{CheckCause, check_engine};
use crate::first_health::OfferSum;
use crate::hub_choice::HubChoice;
use crate::instance_registry::PeerInstance;
use crate::load_book::EngineWork;
use crate::relay_context::RelayContext;
use crate::shared_store::{FEED_METHOD, FeedTable};

/// Method that reports an instance's load to its hub.
const REPORT_METHOD: &str = "load-report";
/// Method that exchanges the totals of two domains between their hubs.
const EXCHANGE_METHOD: &str = "load-exchange";
/// Time between two reports; requests last a second or two, so load changes little in between.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum wait for a hub's reply.
const REPORT_LIMIT: Duration = Duration::from_millis(300);
/// Maximum age of a report or total; an older one means that its instance is gone or unreachable.
pub(crate) const REPORT_LIFE: Duration = Duration::from_millis(1_200);

/// Load on all engines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkSum {
    /// Load by engine.
    pub engines: BTreeMap<EndpointId, EngineWork>,
    /// Share of the links between failure domains that is in use.
    pub crossing: f64,
    /// Engines that instances found failed.
    #[serde(default)]
    pub suspects: BTreeSet<EndpointId>,
    /// Outcomes of attempts at the first engines of chains.
    #[serde(default)]
    pub offers: OfferSum,
}

impl WorkSum {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        for (engine, work) in &other.engines {
            let sum = self.engines.entry(EndpointId::clone(engine)).or_default();
            sum.running += work.running;
            sum.tokens += work.tokens;
        }
        self.crossing += other.crossing;
        self.suspects.extend(other.suspects.iter().cloned());
        for (engine, counts) in &other.offers {
            let sum = self.offers.entry(EndpointId::clone(engine)).or_default();
            sum.add(*counts);
        }
    }
}

/// Report of an instance to its hub, or of a hub to another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WorkReport {
    /// Id of the instance, or the failure domain that a hub reports for.
    from: InstanceId,
    work: WorkSum,
}

/// Reports that a hub received, with their times.
#[derive(Clone, Debug, Default)]
pub struct HubState {
    instances: HashMap<InstanceId, (Instant, WorkSum)>,
    domains: HashMap<FailureDomain, (Instant, WorkSum)>,
}

impl HubState {
    /// Records the load of an instance of this domain.
    pub fn report(&mut self, instance: InstanceId, work: WorkSum, now: Instant) {
        self.instances.insert(instance, (now, work));
    }

    /// Records the total of another domain.
    pub fn exchange(&mut self, domain: FailureDomain, work: WorkSum, now: Instant) {
        self.domains.insert(domain, (now, work));
    }

    /// Returns the total of this domain's instances.
    pub fn own(&mut self, now: Instant) -> WorkSum {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= REPORT_LIFE;
        self.instances.retain(|_, (at, _)| is_fresh(*at));
        let mut sum = WorkSum::default();
        for (_, work) in self.instances.values() {
            sum.add(work);
        }
        sum
    }

    /// Returns the total of all instances.
    pub fn all(&mut self, now: Instant) -> WorkSum {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= REPORT_LIFE;
        let mut sum = self.own(now);
        self.domains.retain(|_, (at, _)| is_fresh(*at));
        for (_, work) in self.domains.values() {
            sum.add(work);
        }
        sum
    }
}

/// Exchanges load with the other instances; clones share the state.
#[derive(Debug)]
pub struct LoadShare<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    client: PeerClient,
    hub: Rc<RefCell<HubState>>,
    hubs: HubChoice<Time, Dialect>,
    feeds: FeedTable,
}

impl<Time, Dialect> Clone for LoadShare<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            client: self.client.clone(),
            hub: Rc::clone(&self.hub),
            hubs: self.hubs.clone(),
            feeds: self.feeds.clone(),
        }
    }
}

impl<Time, Dialect> LoadShare<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    /// Creates an exchange that does nothing until [`Self::run`].
    ///
    /// `feeds` serves store changes to the members that use this instance as their hub.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        client: PeerClient,
        hubs: HubChoice<Time, Dialect>,
        feeds: FeedTable,
    ) -> Self {
        Self {
            context,
            client,
            hub: Rc::default(),
            hubs,
            feeds,
        }
    }

    /// Sends reports until the task is dropped.
    pub async fn run(self) {
        loop {
            let pause = self.context.jitter(REPORT_INTERVAL);
            actix_rt::time::sleep(pause).await;
            self.report().await;
        }
    }

    async fn report(&self) {
        let settings = &self.context.settings().instance;
        let Some(hub) = self.hubs.hub_of(&settings.failure_domain) else {
            return;
        };
        let sent = self.context.now();
        let mut work = self.context.book().own_sum(sent);
        work.suspects = self.context.checks().suspects(sent).into_iter().collect();
        work.offers = self.context.firsts().own_sum(sent);
        let id = InstanceId::clone(&settings.id);
        let all = if hub.id == id {
            self.hub.borrow_mut().report(id, work.clone(), sent);
            self.exchange().await;
            Some(self.hub.borrow_mut().all(self.context.now()))
        } else {
            let report = WorkReport {
                from: id,
                work: work.clone(),
            };
            self.call(&hub, REPORT_METHOD, &report).await
        };
        if let Some(all) = all {
            self.context.book().set_fleet(&all, &work, sent);
            let firsts = self.context.firsts();
            firsts.set_fleet(&all.offers, &work.offers, sent);
            self.check_suspects(&all);
        }
    }

    /// Checks the engines that other instances found failed and this one still uses.
    fn check_suspects(&self, all: &WorkSum) {
        for engine in &all.suspects {
            if self.context.fleet().borrow().is_sound(engine) {
                check_engine(&self.context, engine, CheckCause::Suspicion);
            }
        }
    }

    /// Exchanges this domain's total with the hubs of all other domains concurrently.
    async fn exchange(&self) {
        let own = FailureDomain::clone(&self.context.settings().instance.failure_domain);
        let peers = self.context.peers();
        let mut domains: Vec<&FailureDomain> = peers
            .iter()
            .map(|peer| &peer.failure_domain)
            .filter(|domain| **domain != own)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let report = WorkReport {
            from: own,
            work: self.hub.borrow_mut().own(self.context.now()),
        };
        let calls = domains.into_iter().map(|domain| async {
            let hub = self.hubs.hub_of(domain)?;
            let sum = self.call(&hub, EXCHANGE_METHOD, &report).await?;
            let now = self.context.now();
            let domain = FailureDomain::clone(domain);
            self.hub.borrow_mut().exchange(domain, sum, now);
            Some(())
        });
        futures_util::future::join_all(calls).await;
    }

    async fn call(
        &self,
        hub: &PeerInstance,
        method: &'static str,
        report: &WorkReport,
    ) -> Option<WorkSum> {
        let address: SocketAddr = hub.address;
        let reply = self
            .client
            .call_within(address, method, report, REPORT_LIMIT);
        match reply.await {
            Ok(sum) => Some(sum),
            Err(error) => {
                tracing::info!(hub = %hub.id, %error, "hub does not answer; another is taken");
                self.hubs.avoid(&hub.id);
                None
            }
        }
    }
}

impl<Time, Dialect> PeerHandler for LoadShare<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    const METHODS: &'static [&'static str] = &[REPORT_METHOD, EXCHANGE_METHOD, FEED_METHOD];

    async fn handle(&self, method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        if method == FEED_METHOD {
            return self.feeds.answer(&self.context, &body).await;
        }
        let refused = |error: serde_json::Error| PeerError::refused(method, error.to_string());
        let report: WorkReport = serde_json::from_str(&body).map_err(refused)?;
        let now = self.context.now();
        let mut hub = self.hub.borrow_mut();
        let sum = if method == EXCHANGE_METHOD {
            hub.exchange(report.from, report.work, now);
            hub.own(now)
        } else {
            hub.report(report.from, report.work, now);
            hub.all(now)
        };
        serde_json::to_string(&sum).map_err(refused)
    }
}
