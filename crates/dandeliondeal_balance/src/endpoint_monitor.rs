//! Everything that one instance knows of its endpoints, and the choice between them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::ChartError;
use dandeliondeal_types::{EndpointId, InstanceId};
use rand::Rng;

use crate::endpoint_group::EndpointGroup;
use crate::endpoint_load::OtherWork;
use crate::endpoint_profile::{CallResult, EndpointProfile, FailureSignal};
use crate::endpoint_slot::EndpointSlot;
use crate::health_chart::{HealthState, HealthTable, health_table};
use crate::load_report::LoadReport;
use crate::monitor_settings::MonitorSettings;
use crate::monitor_view::{MonitorView, WholeView};
use crate::sample_rank::{SampleScore, rank_samples};

/// Random picks for each sample before the whole subset is searched.
const PICKS_PER_SAMPLE: usize = 8;

/// Health and load of all endpoints, as one instance knows them.
///
/// It is told what happens ([`EndpointMonitor::started`], [`EndpointMonitor::finished`],
/// [`EndpointMonitor::reported`], [`EndpointMonitor::listed`], [`EndpointMonitor::tick`]) and asked with
/// [`EndpointMonitor::choose`] for plain services or [`EndpointMonitor::view`] for planning.
#[derive(Clone, Debug)]
pub struct EndpointMonitor {
    instance: InstanceId,
    instances: usize,
    settings: MonitorSettings,
    table: Arc<HealthTable>,
    slots: Vec<EndpointSlot>,
    index: HashMap<EndpointId, usize>,
    groups: HashMap<Arc<str>, EndpointGroup>,
}

impl EndpointMonitor {
    /// Makes an empty monitor for `instance`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the health chart is unsound.
    pub fn new(instance: InstanceId, settings: MonitorSettings) -> Result<Self, ChartError> {
        Ok(Self {
            instance,
            instances: 1,
            settings,
            table: health_table()?,
            slots: Vec::new(),
            index: HashMap::new(),
            groups: HashMap::new(),
        })
    }

    /// Takes the endpoints of a new sheet; what is known of those that stay is kept.
    pub fn replace<Profiles>(&mut self, profiles: Profiles, now: Instant)
    where
        Profiles: IntoIterator<Item = EndpointProfile>,
    {
        let mut kept: HashMap<EndpointId, EndpointSlot> = self
            .slots
            .drain(..)
            .map(|slot| (Arc::clone(&slot.profile.id), slot))
            .collect();
        for profile in profiles {
            let slot = match kept.remove(&profile.id) {
                Some(mut slot) => {
                    slot.profile = profile;
                    slot
                }
                None => EndpointSlot::new(profile, &self.table, &self.settings.health, now),
            };
            self.slots.push(slot);
        }
        self.rebuild();
    }

    /// Notes how many entry instances there are, from which the size of the subsets follows.
    pub fn set_instances(&mut self, instances: usize) {
        if self.instances != instances {
            self.instances = instances;
            self.rebuild();
        }
    }

    /// Notes that a call to an endpoint starts.
    pub fn started(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(&slot) = self.index.get(endpoint) {
            let others = self.others(slot, now);
            self.slots[slot].started(others, now);
        }
    }

    /// Notes that a call that started at `started` ended.
    pub fn finished(
        &mut self,
        endpoint: &EndpointId,
        started: Instant,
        result: CallResult,
        now: Instant,
    ) {
        let Some(&index) = self.index.get(endpoint) else {
            return;
        };
        let allows_failure = match result {
            CallResult::Failed(FailureSignal::Refused) => true,
            CallResult::Failed(_) => self.allows_failure(index),
            CallResult::Answered | CallResult::Cancelled => false,
        };
        self.slots[index].finished(started, result, allows_failure, &self.settings, now);
    }

    /// Notes an answer within a call, such as one step of a session: the endpoint is alive.
    pub fn step_answered(&mut self, endpoint: &EndpointId, started: Instant, now: Instant) {
        if let Some(&slot) = self.index.get(endpoint) {
            let health = &mut self.slots[slot].health;
            health.answered(started, &self.settings.health, now);
        }
    }

    /// Takes in an endpoint's report of its load.
    pub fn reported(&mut self, endpoint: &EndpointId, report: LoadReport) {
        let Some(&index) = self.index.get(endpoint) else {
            return;
        };
        let slot = &mut self.slots[index];
        let before = slot.load.reported_others();
        slot.load.report(report);
        let after = slot.load.reported_others();
        if let Some(group) = self.groups.get_mut(&slot.profile.group) {
            group.update_mean(slot.profile.capacity, before, after);
        }
    }

    /// Notes what the instance list says of an endpoint.
    pub fn listed(&mut self, endpoint: &EndpointId, is_leaving: bool, now: Instant) {
        if let Some(&slot) = self.index.get(endpoint) {
            let health = &mut self.slots[slot].health;
            health.listed(is_leaving, &self.settings.health, now);
        }
    }

    /// Moves on what only time moves; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        for index in 0..self.slots.len() {
            let overdue = self.slots[index].overdue(&self.settings.health, now);
            if overdue > 0 {
                let allows_failure = self.allows_failure(index);
                let settings = &self.settings.health;
                let health = &mut self.slots[index].health;
                health.overdue(overdue, allows_failure, settings, now);
            }
            self.slots[index].health.tick(&self.settings.health, now);
        }
        for group in self.groups.values_mut() {
            let rates = group.subset.iter().map(|&slot| self.slots[slot].rate());
            group.best_rate = rates.fold(0.0, f64::max);
        }
    }

    /// Chooses an endpoint of a group for one call.
    pub fn choose<Source>(
        &self,
        group: &str,
        is_repeatable: bool,
        random: &mut Source,
        now: Instant,
    ) -> Option<EndpointId>
    where
        Source: Rng,
    {
        let endpoints = self.ranked(group, is_repeatable, random, now);
        endpoints.into_iter().next()
    }

    /// The sampled endpoints of a group for one call, the best first.
    pub fn ranked<Source>(
        &self,
        group: &str,
        is_repeatable: bool,
        random: &mut Source,
        now: Instant,
    ) -> Vec<EndpointId>
    where
        Source: Rng,
    {
        let slots = self.sample(group, is_repeatable, random);
        let scores: Vec<SampleScore> = slots
            .into_iter()
            .map(|slot| self.score(slot, now))
            .collect();
        rank_samples(&scores, self.instances == 1)
            .into_iter()
            .map(|slot| Arc::clone(&self.slots[slot].profile.id))
            .collect()
    }

    /// The endpoints that one request may use, for the planner; `seed` differs for each request.
    pub fn view(&self, is_repeatable: bool, seed: u64, now: Instant) -> MonitorView<'_> {
        MonitorView::new(self, is_repeatable, seed, now)
    }

    /// Every usable endpoint, for a planner that found no way through the sampled ones.
    pub fn whole_view(&self, is_repeatable: bool, now: Instant) -> WholeView<'_> {
        WholeView::new(self, is_repeatable, now)
    }

    /// Health of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<HealthState> {
        self.slot_of(endpoint)
            .map(|slot| self.slots[slot].health.state())
    }

    /// Open calls of this instance at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.slot_of(endpoint)
            .map_or(0, |slot| self.slots[slot].load.in_flight())
    }

    /// The endpoints whose load is worth asking for, the one with the oldest report first.
    ///
    /// Only endpoints of this instance's subsets are named, at most `count` of them. An endpoint
    /// that does not answer is asked again only after the others.
    pub fn report_targets(&mut self, count: usize, now: Instant) -> Vec<EndpointId> {
        let mut targets: Vec<usize> = self
            .groups
            .values()
            .flat_map(|group| group.subset.iter().copied())
            .collect();
        targets.sort_by_key(|&slot| self.slots[slot].asked);
        targets.truncate(count);
        for &slot in &targets {
            self.slots[slot].asked = Some(now);
        }
        targets
            .into_iter()
            .map(|slot| Arc::clone(&self.slots[slot].profile.id))
            .collect()
    }

    /// Endpoints with their state and open calls, for status pages and metrics.
    pub fn states(&self) -> impl Iterator<Item = (&EndpointId, HealthState, u32)> {
        self.slots.iter().map(|slot| {
            let state = slot.health.state();
            (&slot.profile.id, state, slot.load.in_flight())
        })
    }

    pub(crate) fn slot_of(&self, endpoint: &EndpointId) -> Option<usize> {
        self.index.get(endpoint).copied()
    }

    pub(crate) fn group_of(&self, slot: usize) -> &Arc<str> {
        &self.slots[slot].profile.group
    }

    /// Whether new work may be sent to an endpoint.
    pub fn is_usable(&self, endpoint: &EndpointId, is_repeatable: bool) -> bool {
        self.slot_of(endpoint)
            .is_some_and(|slot| self.slots[slot].health.is_usable(is_repeatable))
    }

    pub(crate) fn expected_wait(&self, endpoint: &EndpointId, now: Instant) -> Duration {
        let Some(index) = self.slot_of(endpoint) else {
            return Duration::ZERO;
        };
        let slot = &self.slots[index];
        let capacity = slot.capacity(&self.settings.health, now);
        slot.load
            .expected_wait(self.others(index, now), capacity)
            .mul_f64(self.penalty(index))
    }

    /// Samples a few endpoints that may be used, without order.
    pub(crate) fn sample<Source>(
        &self,
        group: &str,
        is_repeatable: bool,
        random: &mut Source,
    ) -> Vec<usize>
    where
        Source: Rng,
    {
        let Some(group) = self.groups.get(group) else {
            return Vec::new();
        };
        let count = self.settings.choice.samples;
        if group.subset.len() <= count {
            return self.search(group, is_repeatable, random);
        }
        let mut sampled = Vec::with_capacity(count);
        for _ in 0..count * PICKS_PER_SAMPLE {
            let slot = group.subset[random.random_range(0..group.subset.len())];
            let endpoint = &self.slots[slot];
            // Speeds differ: each endpoint is sampled as often as its throughput allows.
            let is_drawn = random.random::<f64>() * group.best_rate < endpoint.rate();
            let is_fit = is_drawn && endpoint.health.is_preferred(is_repeatable);
            if is_fit && !sampled.contains(&slot) {
                sampled.push(slot);
            }
            if sampled.len() == count {
                return sampled;
            }
        }
        if sampled.is_empty() {
            self.search(group, is_repeatable, random)
        } else {
            sampled
        }
    }

    /// Searches the subset, then the group, from a random place on.
    fn search<Source>(
        &self,
        group: &EndpointGroup,
        is_repeatable: bool,
        random: &mut Source,
    ) -> Vec<usize>
    where
        Source: Rng,
    {
        for members in [&group.subset, &group.members] {
            let start = random.random_range(0..members.len());
            let usable = || {
                let turned = members[start..].iter().chain(&members[..start]).copied();
                turned.filter(|&slot| self.slots[slot].health.is_usable(is_repeatable))
            };
            let preferred =
                usable().filter(|&slot| self.slots[slot].health.is_preferred(is_repeatable));
            let count = self.settings.choice.samples;
            let mut found: Vec<usize> = preferred.take(count).collect();
            if found.is_empty() {
                found = usable().take(count).collect();
            }
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    fn score(&self, index: usize, now: Instant) -> SampleScore {
        let slot = &self.slots[index];
        let capacity = slot.capacity(&self.settings.health, now);
        let others = self.others(index, now);
        let load = &slot.load;
        SampleScore {
            slot: index,
            completion: load.expected_completion(&slot.profile, others, capacity),
            service: load.service_time(),
            queue: load.expected_queue(others, capacity),
            freshness: load.freshness(&self.settings.choice, now),
            penalty: self.penalty(index),
        }
    }

    fn penalty(&self, slot: usize) -> f64 {
        match self.slots[slot].health.state() {
            HealthState::Suspected => self.settings.choice.suspicion_penalty,
            _ => 1.0,
        }
    }

    fn others(&self, index: usize, now: Instant) -> OtherWork {
        let slot = &self.slots[index];
        let group = self.groups.get(&slot.profile.group);
        let per_place = group.map_or(0.0, EndpointGroup::mean);
        let usual = per_place * f64::from(slot.profile.capacity);
        slot.load.others(usual, &self.settings.choice, now)
    }

    /// Whether one more endpoint of the group may count as failed without proof.
    fn allows_failure(&self, index: usize) -> bool {
        let Some(group) = self.groups.get(self.group_of(index)) else {
            return true;
        };
        let is_out = |&&slot: &&usize| {
            let state = self.slots[slot].health.state();
            matches!(state, HealthState::Failed | HealthState::Testing)
        };
        let out = group.members.iter().filter(is_out).count() + 1;
        out as f64 <= self.settings.health.failed_share * group.members.len() as f64
    }

    fn rebuild(&mut self) {
        self.index = self
            .slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (Arc::clone(&slot.profile.id), index))
            .collect();
        self.groups = EndpointGroup::build(
            &self.instance,
            self.instances,
            &self.slots,
            &self.settings.choice,
        );
    }
}
