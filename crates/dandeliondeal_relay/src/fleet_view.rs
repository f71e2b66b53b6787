//! Registered endpoints with the health that this instance observed.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, FailureSignal, HealthState,
};
use dandeliondeal_chart::ChartError;
use dandeliondeal_layout::{
    ChainGraph, ChainHop, EngineChain, EngineNode, EngineProfile, EngineState,
};
use dandeliondeal_limit::EndpointBackoffs;
use dandeliondeal_route::RouteTable;
use dandeliondeal_types::{EndpointId, EndpointRecord, InstanceId, ServiceId, StoreEra};
use rand::Rng;

use crate::acknowledged_leaves::AcknowledgedLeaves;
use crate::departed_records::DepartedRecords;
pub use crate::fleet_change::FleetChange;
use crate::fleet_health;
use crate::load_tracker::LoadTracker;

/// Time after a store outage for which missing registrations are kept.
///
/// Registrations that expired during the outage are renewed within two seconds of its end; those
/// still missing after that are gone.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Assumed duration of a call to a plain service until one is measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Registered endpoints, their health and their speed.
#[derive(Debug)]
pub struct FleetView {
    records: HashMap<EndpointId, EndpointRecord>,
    /// Endpoints whose registration is missing since a store outage, with the time until which they
    /// are kept.
    lapsing: HashMap<EndpointId, Instant>,
    pub(crate) plain: EndpointMonitor,
    engines: EndpointMonitor,
    slowness: HashMap<EndpointId, (f64, Instant)>,
    engine_services: HashSet<ServiceId>,
    /// Engines excluded from new chains, with the end of the exclusion.
    pub(crate) excluded: HashMap<EndpointId, Instant>,
    /// Registrations of processes in whose place another one has started since
    /// [`Self::take_superseded`], each with that of the later process.
    superseded: Vec<(EndpointRecord, EndpointRecord)>,
    /// Registrations that went away.
    departed: DepartedRecords,
    /// Endpoints that a restored store lists although they leave.
    pub(crate) leaves: AcknowledgedLeaves,
    /// Pauses that endpoints asked this instance to make.
    pub(crate) backoffs: EndpointBackoffs,
}

/// Time for which an engine's reported slowness is used; reports are at most one second apart.
const SLOWNESS_MAX_AGE: Duration = Duration::from_secs(3);

impl FleetView {
    /// Creates an empty view for `instance`.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the health chart is invalid.
    pub fn new(instance: &InstanceId) -> Result<Self, ChartError> {
        Ok(Self {
            records: HashMap::new(),
            lapsing: HashMap::new(),
            plain: fleet_health::plain_monitor(instance)?,
            engines: fleet_health::engine_monitor(instance)?,
            slowness: HashMap::new(),
            engine_services: HashSet::new(),
            excluded: HashMap::new(),
            superseded: Vec::new(),
            departed: DepartedRecords::default(),
            leaves: AcknowledgedLeaves::default(),
            backoffs: EndpointBackoffs::default(),
        })
    }

    /// Updates which services run on model engines.
    pub fn set_services(&mut self, table: &RouteTable, now: Instant) {
        let engines = table.services().filter(|rule| rule.engine.is_some());
        self.engine_services = engines.map(|rule| ServiceId::clone(&rule.id)).collect();
        self.rebuild(now);
    }

    /// Sets the number of instances.
    pub fn set_instance_count(&mut self, instance_count: usize) {
        fleet_health::set_instance_count(&mut self.plain, instance_count);
    }

    /// Records the era in which the store was read.
    pub fn record_store_era(&mut self, era: StoreEra, now: Instant) {
        self.leaves.record_era(era, now);
    }

    /// Applies the full list of registrations; missing ones are kept until `lapse_until` if it is
    /// set.
    pub fn replace(
        &mut self,
        records: Vec<EndpointRecord>,
        lapse_until: Option<Instant>,
        now: Instant,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let present: HashSet<EndpointId> = records
            .iter()
            .map(|record| EndpointId::clone(&record.id))
            .collect();
        for record in records {
            changes.extend(self.insert(record, now));
        }
        let missing: Vec<EndpointId> = self
            .records
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            changes.push(self.remove(&id, lapse_until, now));
        }
        self.leaves.retain(&present);
        self.rebuild(now);
        changes
    }

    /// Applies one registration.
    pub fn update(&mut self, record: EndpointRecord, now: Instant) -> Option<FleetChange> {
        let change = self.insert(record, now);
        self.rebuild(now);
        change
    }

    /// Applies the removal of a registration; it is kept until `lapse_until` if that is set.
    pub fn delete(
        &mut self,
        id: &str,
        lapse_until: Option<Instant>,
        now: Instant,
    ) -> Option<FleetChange> {
        let id = EndpointId::from(id);
        self.leaves.release(&id);
        let change = self
            .records
            .contains_key(&id)
            .then(|| self.remove(&id, lapse_until, now));
        self.rebuild(now);
        change
    }

    fn insert(&mut self, record: EndpointRecord, now: Instant) -> Option<FleetChange> {
        let id = EndpointId::clone(&record.id);
        let previous = self.records.get(&id);
        if previous.is_some_and(|previous| record.is_older_than(previous)) {
            return None;
        }
        if self.leaves.hold(&record, now) {
            return None;
        }
        self.lapsing.remove(&id);
        if previous.is_some_and(|previous| record.has_same_content(previous)) {
            self.records.insert(id, record);
            return None;
        }
        let is_draining =
            record.is_draining && previous.is_none_or(|previous| !previous.is_draining);
        let is_new_start =
            previous.is_some_and(|previous| previous.started_at_ms != record.started_at_ms);
        if is_new_start {
            self.slowness.remove(&id);
            self.backoffs.record_restart(&id, now);
            let former = previous.cloned();
            self.superseded
                .extend(former.map(|former| (former, record.clone())));
        }
        self.excluded.remove(&id);
        self.remove_superseded(&record);
        let departed = self.departed.take_replaced(&record);
        self.superseded
            .extend(departed.map(|departed| (departed, record.clone())));
        if is_draining {
            self.leaves.add(&record, now);
        }
        self.records.insert(EndpointId::clone(&id), record);
        Some(if is_draining {
            FleetChange::Draining(id)
        } else {
            FleetChange::Changed(id)
        })
    }

    /// Removes endpoints with the same address and an earlier process start than `record`.
    fn remove_superseded(&mut self, record: &EndpointRecord) {
        self.records.retain(|id, existing| {
            let is_superseded = existing.address == record.address
                && existing.started_at_ms < record.started_at_ms
                && *id != record.id;
            if is_superseded {
                tracing::info!(endpoint = %id, by = %record.id, "registration superseded");
                self.superseded.push((existing.clone(), record.clone()));
            }
            !is_superseded
        });
    }

    /// Returns the registrations of processes in whose place another one has started since the last
    /// call, each with that of the later process.
    pub fn take_superseded(&mut self) -> Vec<(EndpointRecord, EndpointRecord)> {
        std::mem::take(&mut self.superseded)
    }

    fn remove(
        &mut self,
        id: &EndpointId,
        lapse_until: Option<Instant>,
        now: Instant,
    ) -> FleetChange {
        let is_draining = self
            .records
            .get(id)
            .is_some_and(|record| record.is_draining);
        if let Some(until) = lapse_until.filter(|until| !is_draining && now < *until) {
            self.lapsing.entry(EndpointId::clone(id)).or_insert(until);
            return FleetChange::Lapsing(EndpointId::clone(id));
        }
        if let Some(record) = self.records.remove(id) {
            self.departed.add(&record, now);
            self.leaves.add(&record, now);
        }
        self.lapsing.remove(id);
        self.slowness.remove(id);
        FleetChange::Gone(EndpointId::clone(id))
    }

    /// Applies the changes that depend on time alone, such as expired grace periods.
    pub fn tick(&mut self, now: Instant) -> Vec<FleetChange> {
        let expired: Vec<EndpointId> = self
            .lapsing
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| EndpointId::clone(id))
            .collect();
        let changes: Vec<FleetChange> = expired
            .iter()
            .map(|id| self.remove(id, None, now))
            .collect();
        let due = self.leaves.take_due(now);
        let is_changed = !changes.is_empty() || !due.is_empty();
        for record in due {
            tracing::info!(endpoint = %record.id, "registration is used again");
            self.insert(record, now);
        }
        if is_changed {
            self.rebuild(now);
        }
        self.plain.tick(now);
        self.engines.tick(now);
        changes
    }

    fn rebuild(&mut self, now: Instant) {
        let profile = |record: &EndpointRecord| EndpointProfile {
            id: EndpointId::clone(&record.id),
            group: Arc::clone(&record.service),
            accelerator: record.accelerator.clone().unwrap_or_else(|| "plain".into()),
            capacity: record.slots.max(1),
            link_delay: Duration::ZERO,
            service_time: DEFAULT_SERVICE_TIME,
        };
        let usable = || self.records.values().filter(|record| !record.is_draining);
        let is_engine = |record: &&EndpointRecord| self.engine_services.contains(&record.service);
        let engines: Vec<EndpointProfile> = usable().filter(is_engine).map(profile).collect();
        let plain: Vec<EndpointProfile> = usable()
            .filter(|record| !is_engine(record))
            .map(profile)
            .collect();
        self.engines.replace(engines, now);
        self.plain.replace(plain, now);
    }

    /// Returns the record of an endpoint.
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id)
    }

    /// Returns whether an endpoint belongs to a service that runs on engines.
    pub fn is_engine(&self, record: &EndpointRecord) -> bool {
        self.engine_services.contains(&record.service)
    }

    /// Returns the number of registered endpoints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns endpoints of a plain service for one call, the best first.
    pub fn ranked<Source>(
        &self,
        service: &str,
        is_repeatable: bool,
        random: &mut Source,
        now: Instant,
    ) -> Vec<EndpointRecord>
    where
        Source: Rng,
    {
        let ids = self
            .plain
            .sample_ranked(service, is_repeatable, random, now);
        ids.iter()
            .filter_map(|id| self.records.get(id).cloned())
            .collect()
    }

    /// Records the start of a call to an endpoint.
    pub fn call_started(&mut self, endpoint: &EndpointId, now: Instant) {
        self.plain.record_start(endpoint, now);
        self.engines.record_start(endpoint, now);
    }

    /// Records the end of a call that started at `started`.
    pub fn call_finished(
        &mut self,
        endpoint: &EndpointId,
        started: Instant,
        result: CallResult,
        now: Instant,
    ) {
        self.plain.record_finish(endpoint, started, result, now);
        self.engines.record_finish(endpoint, started, result, now);
    }

    /// Marks an engine as failed, on evidence that it does not do its part.
    pub fn mark_failed(&mut self, engine: &EndpointId, now: Instant) {
        let failure = CallResult::Failed(FailureSignal::Refused);
        self.engines.record_start(engine, now);
        self.engines.record_finish(engine, now, failure, now);
    }

    /// Records the slowness that an engine reported.
    pub fn set_slowness(&mut self, engine: &EndpointId, slowness: f64, now: Instant) {
        if self.records.contains_key(engine) {
            let slowness = (slowness.max(1.0), now);
            self.slowness.insert(EndpointId::clone(engine), slowness);
        }
    }

    /// Returns whether this instance considers the engine usable.
    ///
    /// A failed engine becomes usable again only after a check, never through a request.
    pub fn is_usable(&self, engine: &EndpointId) -> bool {
        let state = self.engines.state(engine);
        state != Some(HealthState::Testing) && self.engines.is_usable(engine, true)
    }

    /// Returns whether this instance counts an endpoint as failed.
    pub fn is_failed(&self, endpoint: &EndpointId) -> bool {
        let is_failed = |state| matches!(state, Some(HealthState::Failed | HealthState::Testing));
        is_failed(self.engines.state(endpoint)) || is_failed(self.plain.state(endpoint))
    }

    /// Returns the number of endpoints of a service that this instance counts as failed, and of all.
    pub fn failed_count(&self, service: &str) -> (usize, usize) {
        let members = self.engines_of(service);
        members.fold((0, 0), |(failed, total), record| {
            (failed + usize::from(self.is_failed(&record.id)), total + 1)
        })
    }

    /// Forgets what was observed of the endpoints of a service, and returns them.
    pub fn reset_health(&mut self, service: &str, now: Instant) -> Vec<EndpointId> {
        let mut reset = self.engines.reset_group(service, now);
        reset.extend(self.plain.reset_group(service, now));
        reset
    }

    /// Returns the failed engines that are due for a check.
    pub fn engines_due_for_check(&self) -> Vec<EndpointId> {
        let states = self.engines.states();
        states
            .filter(|(_, state, _)| *state == HealthState::Testing)
            .map(|(engine, _, _)| EndpointId::clone(engine))
            .collect()
    }

    /// Returns the first engine of a chain that is marked as failed.
    ///
    /// An engine that drains or is no longer listed does not count as failed, because it still
    /// finishes its running requests.
    pub fn first_failed(&self, chain: &EngineChain) -> Option<EndpointId> {
        let is_failed = |hop: &&ChainHop| self.engines.state(&hop.id) == Some(HealthState::Failed);
        let failed = chain.hops.iter().find(is_failed);
        failed.map(|hop| EndpointId::clone(&hop.id))
    }

    /// Builds the graph of a service's usable engines with their load.
    pub fn chain_graph(
        &self,
        service: &str,
        profile: &EngineProfile,
        tracker: &LoadTracker,
        instance_count: usize,
        excluded_engines: &[EndpointId],
        now: Instant,
    ) -> ChainGraph {
        let ratio = tracker.fleet_ratio(instance_count, now);
        let nodes = self.engines_of(service).filter_map(|record| {
            let range = record.layers?;
            if self
                .excluded
                .get(&record.id)
                .is_some_and(|until| now < *until)
            {
                return None;
            }
            let card = profile.card(record.accelerator.as_ref()?)?;
            if excluded_engines.contains(&record.id) || !self.is_usable(&record.id) {
                return None;
            }
            let load = tracker.engine_load(&record.id, ratio, now);
            let token_capacity = profile.token_capacity(card, range.len());
            Some(EngineNode {
                id: EndpointId::clone(&record.id),
                address: record.address,
                failure_domain: Arc::clone(&record.failure_domain),
                range,
                step_seconds: profile.step_time(card, range.len()).as_secs_f64(),
                prompt_token_seconds: profile.prefill_time(card, range.len(), 1_000).as_secs_f64()
                    / 1e3,
                token_capacity,
                committed_tokens: load
                    .tokens
                    .max(tracker.fill(&record.id, now) * token_capacity),
                running_requests: load.running,
                slowness: self.slowness_of(&record.id, now),
            })
        });
        ChainGraph::new(profile.layers, nodes.collect())
    }

    /// Returns the number of tokens that fit into an engine's memory beside its layers.
    pub fn token_capacity(&self, engine: &str, profile: &EngineProfile) -> Option<f64> {
        let record = self.records.get(engine)?;
        let card = profile.card(record.accelerator.as_ref()?)?;
        Some(profile.token_capacity(card, record.layers?.len()))
    }

    fn slowness_of(&self, engine: &str, now: Instant) -> f64 {
        let entry = self.slowness.get(engine);
        let recent = entry.filter(|(_, at)| now.saturating_duration_since(*at) < SLOWNESS_MAX_AGE);
        recent.map_or(1.0, |(slowness, _)| *slowness)
    }

    /// Returns the engines of a service that accept new requests, for the layout planner.
    pub fn engine_states(&self, service: &str) -> Vec<EngineState> {
        let states = self.engines_of(service).filter_map(|record| {
            Some(EngineState {
                id: EndpointId::clone(&record.id),
                failure_domain: Arc::clone(&record.failure_domain),
                kind: Arc::clone(record.accelerator.as_ref()?),
                held_range: record.layers.filter(|layers| !layers.is_empty()),
            })
        });
        states.collect()
    }

    fn engines_of(&self, service: &str) -> impl Iterator<Item = &EndpointRecord> {
        self.records
            .values()
            .filter(move |record| *record.service == *service && !record.is_draining)
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }
}
