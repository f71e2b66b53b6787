//! Health and load of all endpoints as observed by one instance, and endpoint selection.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::ChartError;
use dandeliondeal_types::{EndpointId, InstanceId};
use rand::Rng;

use crate::endpoint_group::EndpointGroup;
use crate::endpoint_health::EndpointHealth;
use crate::endpoint_load::OtherLoad;
use crate::endpoint_profile::{CallResult, EndpointProfile, FailureSignal};
use crate::endpoint_slot::EndpointSlot;
use crate::health_chart::{HealthState, HealthTable, health_table};
use crate::load_report::LoadReport;
use crate::monitor_settings::MonitorSettings;
use crate::monitor_view::{FullView, SampledView};
use crate::sample_rank::{SampleScore, rank_samples};

/// Maximum random draws per sampled endpoint before the whole subset is searched.
const MAX_DRAWS_PER_SAMPLE: usize = 8;

/// Tracks health and load of all endpoints for one instance.
///
/// Events are reported with [`EndpointMonitor::record_start`], [`EndpointMonitor::record_finish`],
/// [`EndpointMonitor::record_report`], [`EndpointMonitor::record_listing`] and
/// [`EndpointMonitor::tick`]. Endpoints are selected with [`EndpointMonitor::choose`] for plain
/// services, or through [`EndpointMonitor::view`] for planning.
#[derive(Clone, Debug)]
pub struct EndpointMonitor {
    instance: InstanceId,
    instance_count: usize,
    settings: MonitorSettings,
    table: Arc<HealthTable>,
    slots: Vec<EndpointSlot>,
    slot_indexes: HashMap<EndpointId, usize>,
    groups: HashMap<Arc<str>, EndpointGroup>,
}

impl EndpointMonitor {
    /// Creates a monitor for `instance` without any endpoints.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the health chart is invalid.
    pub fn new(instance: InstanceId, settings: MonitorSettings) -> Result<Self, ChartError> {
        Ok(Self {
            instance,
            instance_count: 1,
            settings,
            table: health_table()?,
            slots: Vec::new(),
            slot_indexes: HashMap::new(),
            groups: HashMap::new(),
        })
    }

    /// Replaces the endpoints with those of a new sheet.
    ///
    /// Endpoints that are in both sheets keep their health and load.
    pub fn replace<Profiles>(&mut self, profiles: Profiles, now: Instant)
    where
        Profiles: IntoIterator<Item = EndpointProfile>,
    {
        let mut existing: HashMap<EndpointId, EndpointSlot> = self
            .slots
            .drain(..)
            .map(|slot| (Arc::clone(&slot.profile.id), slot))
            .collect();
        for profile in profiles {
            let slot = match existing.remove(&profile.id) {
                Some(mut slot) => {
                    slot.profile = profile;
                    slot
                }
                None => EndpointSlot::new(profile, &self.table, &self.settings.health, now),
            };
            self.slots.push(slot);
        }
        self.rebuild_groups();
    }

    /// Sets the number of entry instances, which determines the size of the subsets.
    pub fn set_instance_count(&mut self, instance_count: usize) {
        if self.instance_count != instance_count {
            self.instance_count = instance_count;
            self.rebuild_groups();
        }
    }

    /// Forgets the health of a group's endpoints, and returns their ids.
    pub fn reset_group(&mut self, group: &str, now: Instant) -> Vec<EndpointId> {
        let slots = self.slots.iter_mut();
        let members = slots.filter(|slot| *slot.profile.group == *group);
        let reset = members.map(|slot| {
            slot.health = EndpointHealth::new(Arc::clone(&self.table), &self.settings.health, now);
            Arc::clone(&slot.profile.id)
        });
        reset.collect()
    }

    /// Records the start of a call to an endpoint.
    pub fn record_start(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(&index) = self.slot_indexes.get(endpoint) {
            let others = self.estimate_others(index, now);
            self.slots[index].record_start(others, now);
        }
    }

    /// Records the end of a call that started at `started`.
    pub fn record_finish(
        &mut self,
        endpoint: &EndpointId,
        started: Instant,
        result: CallResult,
        now: Instant,
    ) {
        let Some(&index) = self.slot_indexes.get(endpoint) else {
            return;
        };
        let allows_failure = match result {
            CallResult::Failed(FailureSignal::Refused) => true,
            CallResult::Failed(_) => self.allows_failure(index),
            CallResult::Answered | CallResult::Cancelled => false,
        };
        self.slots[index].record_finish(started, result, allows_failure, &self.settings, now);
    }

    /// Records an answer within a call, such as one step of a session, as evidence of a live
    /// endpoint.
    pub fn record_step_answer(&mut self, endpoint: &EndpointId, started: Instant, now: Instant) {
        if let Some(&index) = self.slot_indexes.get(endpoint) {
            let health = &mut self.slots[index].health;
            health.record_answer(started, &self.settings.health, now);
        }
    }

    /// Records an endpoint's load report.
    pub fn record_report(&mut self, endpoint: &EndpointId, report: LoadReport) {
        let Some(&index) = self.slot_indexes.get(endpoint) else {
            return;
        };
        let slot = &mut self.slots[index];
        let previous = slot.load.reported_others();
        slot.load.record_report(report);
        let current = slot.load.reported_others();
        if let Some(group) = self.groups.get_mut(&slot.profile.group) {
            group.update_mean_load(slot.profile.capacity, previous, current);
        }
    }

    /// Records whether the instance list shows an endpoint as leaving.
    pub fn record_listing(&mut self, endpoint: &EndpointId, is_leaving: bool, now: Instant) {
        if let Some(&index) = self.slot_indexes.get(endpoint) {
            let health = &mut self.slots[index].health;
            health.record_listing(is_leaving, &self.settings.health, now);
        }
    }

    /// Applies the transitions that depend on elapsed time. Call this a few times per second.
    pub fn tick(&mut self, now: Instant) {
        for index in 0..self.slots.len() {
            let overdue_calls = self.slots[index].overdue_calls(&self.settings.health, now);
            if overdue_calls > 0 {
                let allows_failure = self.allows_failure(index);
                let settings = &self.settings.health;
                let health = &mut self.slots[index].health;
                health.record_overdue(overdue_calls, allows_failure, settings, now);
            }
            self.slots[index].health.tick(&self.settings.health, now);
        }
        for group in self.groups.values_mut() {
            let throughputs = group
                .subset
                .iter()
                .map(|&index| self.slots[index].throughput());
            group.highest_throughput = throughputs.fold(0.0, f64::max);
        }
    }

    /// Selects an endpoint of a group for one call.
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
        let endpoints = self.sample_ranked(group, is_repeatable, random, now);
        endpoints.into_iter().next()
    }

    /// Samples endpoints of a group for one call and returns them best first.
    pub fn sample_ranked<Source>(
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
            .map(|index| self.score(index, now))
            .collect();
        rank_samples(&scores, self.instance_count == 1)
            .into_iter()
            .map(|index| Arc::clone(&self.slots[index].profile.id))
            .collect()
    }

    /// Returns the endpoints that one request may use, for the planner.
    ///
    /// `seed` has to differ between requests.
    pub fn view(&self, is_repeatable: bool, seed: u64, now: Instant) -> SampledView<'_> {
        SampledView::new(self, is_repeatable, seed, now)
    }

    /// Returns every usable endpoint, for a planner that found no path through the sampled
    /// endpoints.
    pub fn full_view(&self, is_repeatable: bool, now: Instant) -> FullView<'_> {
        FullView::new(self, is_repeatable, now)
    }

    /// Returns the health state of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<HealthState> {
        self.slot_index(endpoint)
            .map(|index| self.slots[index].health.state())
    }

    /// Returns the number of open calls of this instance at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.slot_index(endpoint)
            .map_or(0, |index| self.slots[index].load.in_flight())
    }

    /// Selects at most `count` endpoints to ask for a load report, least recently asked first.
    ///
    /// Only endpoints in this instance's subsets are selected. An endpoint that doesn't answer is
    /// asked again only after the others.
    pub fn report_targets(&mut self, count: usize, now: Instant) -> Vec<EndpointId> {
        let mut targets: Vec<usize> = self
            .groups
            .values()
            .flat_map(|group| group.subset.iter().copied())
            .collect();
        targets.sort_by_key(|&index| self.slots[index].load_requested);
        targets.truncate(count);
        for &index in &targets {
            self.slots[index].load_requested = Some(now);
        }
        targets
            .into_iter()
            .map(|index| Arc::clone(&self.slots[index].profile.id))
            .collect()
    }

    /// Returns all endpoints with state and number of open calls, for status pages and metrics.
    pub fn states(&self) -> impl Iterator<Item = (&EndpointId, HealthState, u32)> {
        self.slots.iter().map(|slot| {
            let state = slot.health.state();
            (&slot.profile.id, state, slot.load.in_flight())
        })
    }

    pub(crate) fn slot_index(&self, endpoint: &EndpointId) -> Option<usize> {
        self.slot_indexes.get(endpoint).copied()
    }

    pub(crate) fn group_name(&self, index: usize) -> &Arc<str> {
        &self.slots[index].profile.group
    }

    /// Returns whether a new request may be sent to an endpoint.
    pub fn is_usable(&self, endpoint: &EndpointId, is_repeatable: bool) -> bool {
        self.slot_index(endpoint)
            .is_some_and(|index| self.slots[index].health.is_usable(is_repeatable))
    }

    pub(crate) fn expected_wait(&self, endpoint: &EndpointId, now: Instant) -> Duration {
        let Some(index) = self.slot_index(endpoint) else {
            return Duration::ZERO;
        };
        let slot = &self.slots[index];
        let capacity = slot.capacity(&self.settings.health, now);
        slot.load
            .expected_wait(self.estimate_others(index, now), capacity)
            .mul_f64(self.health_penalty(index))
    }

    /// Samples a few usable endpoints of a group, in no particular order.
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
        let count = self.settings.selection.samples;
        if group.subset.len() <= count {
            return self.search_group(group, is_repeatable, random);
        }
        let mut sampled = Vec::with_capacity(count);
        for _ in 0..count * MAX_DRAWS_PER_SAMPLE {
            let index = group.subset[random.random_range(0..group.subset.len())];
            let endpoint = &self.slots[index];
            // Endpoints differ in speed, so each is sampled in proportion to its throughput.
            let is_accepted =
                random.random::<f64>() * group.highest_throughput < endpoint.throughput();
            let is_eligible = is_accepted && endpoint.health.is_preferred(is_repeatable);
            if is_eligible && !sampled.contains(&index) {
                sampled.push(index);
            }
            if sampled.len() == count {
                return sampled;
            }
        }
        if sampled.is_empty() {
            self.search_group(group, is_repeatable, random)
        } else {
            sampled
        }
    }

    /// Searches the subset and then the whole group, each from a random start position.
    fn search_group<Source>(
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
                let rotated = members[start..].iter().chain(&members[..start]).copied();
                rotated.filter(|&index| self.slots[index].health.is_usable(is_repeatable))
            };
            let preferred =
                usable().filter(|&index| self.slots[index].health.is_preferred(is_repeatable));
            let count = self.settings.selection.samples;
            let mut selected: Vec<usize> = preferred.take(count).collect();
            if selected.is_empty() {
                selected = usable().take(count).collect();
            }
            if !selected.is_empty() {
                return selected;
            }
        }
        Vec::new()
    }

    fn score(&self, index: usize, now: Instant) -> SampleScore {
        let slot = &self.slots[index];
        let capacity = slot.capacity(&self.settings.health, now);
        let others = self.estimate_others(index, now);
        let load = &slot.load;
        SampleScore {
            slot: index,
            completion: load.expected_completion(&slot.profile, others, capacity),
            service_time: load.service_time(),
            queue: load.expected_queue(others, capacity),
            freshness: load.freshness(&self.settings.selection, now),
            penalty: self.health_penalty(index),
        }
    }

    fn health_penalty(&self, index: usize) -> f64 {
        match self.slots[index].health.state() {
            HealthState::Suspected => self.settings.selection.suspicion_penalty,
            _ => 1.0,
        }
    }

    fn estimate_others(&self, index: usize, now: Instant) -> OtherLoad {
        let slot = &self.slots[index];
        let group = self.groups.get(&slot.profile.group);
        let mean_load = group.map_or(0.0, EndpointGroup::mean_load);
        let mean_calls = mean_load * f64::from(slot.profile.capacity);
        slot.load
            .estimate_others(mean_calls, &self.settings.selection, now)
    }

    /// Returns whether one more endpoint of the group may count as failed on indirect evidence.
    ///
    /// Many failures in one group are more likely caused by load than by dead endpoints.
    fn allows_failure(&self, index: usize) -> bool {
        let Some(group) = self.groups.get(self.group_name(index)) else {
            return true;
        };
        let is_unavailable = |&&index: &&usize| {
            let state = self.slots[index].health.state();
            matches!(state, HealthState::Failed | HealthState::Testing)
        };
        let unavailable = group.members.iter().filter(is_unavailable).count() + 1;
        unavailable as f64 <= self.settings.health.max_failed_share * group.members.len() as f64
    }

    fn rebuild_groups(&mut self) {
        self.slot_indexes = self
            .slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (Arc::clone(&slot.profile.id), index))
            .collect();
        self.groups = EndpointGroup::build_groups(
            &self.instance,
            self.instance_count,
            &self.slots,
            &self.settings.selection,
        );
    }
}
