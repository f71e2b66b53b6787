//! Decides for a hub which suspicions it publishes, and how often its members report.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, InstanceId};

use crate::silence_inference::SilenceInference;
use crate::silence_report::Suspicion;

/// Parameters of a hub.
#[derive(Clone, Copy, Debug)]
pub struct HubSettings {
    /// Minimum share of the members that a hub has heard of recently when it publishes a suspicion.
    ///
    /// The streams that show that an engine is alive may be those of members that were not heard yet.
    pub heard_share: f64,
    /// Maximum age of such a report.
    pub heard_age: Duration,
    /// Time after which a member that no longer waits for news of this hub is not counted.
    pub member_time: Duration,
    /// Minimum time between two suspicions of one engine.
    pub publish_interval: Duration,
    /// Minimum time between two times at which a hub asks for reports because of a single silence.
    ///
    /// Streams pause by chance, so that most single silences are no loss. After a loss, the signs of
    /// life are known 20 to 30 ms earlier than if the hub asked at the second silence.
    pub early_interval: Duration,
    /// Time for which it asks then.
    pub early_time: Duration,
    /// Minimum interval at which members without silent streams report.
    pub min_interval: Duration,
    /// Reports a second of members without silent streams that a hub with a tenth of a core handles
    /// beside its requests.
    pub report_rate: f64,
}

impl Default for HubSettings {
    fn default() -> Self {
        Self {
            heard_share: 0.5,
            heard_age: Duration::from_millis(150),
            member_time: Duration::from_millis(1_500),
            publish_interval: Duration::from_secs(1),
            early_interval: Duration::from_secs(1),
            early_time: Duration::from_millis(30),
            min_interval: Duration::from_millis(50),
            report_rate: 600.0,
        }
    }
}

/// Member that waits for news of a hub.
#[derive(Clone, Copy, Debug)]
struct HubMember {
    waits_since: Instant,
    reported_at: Option<Instant>,
}

/// Members of a hub, and what it has published.
#[derive(Clone, Debug, Default)]
pub struct SilenceHub {
    settings: HubSettings,
    members: HashMap<InstanceId, HubMember>,
    published: HashMap<EndpointId, Instant>,
    /// Last time at which the hub asked because of a single silence.
    asked_early_at: Option<Instant>,
}

impl SilenceHub {
    /// Creates a hub without members.
    pub fn new(settings: HubSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a member that reports silences waits for news of this hub.
    pub fn record_member(&mut self, member: &InstanceId, now: Instant) {
        if let Some(known) = self.members.get_mut(member) {
            known.waits_since = now;
            return;
        }
        let member_time = self.settings.member_time;
        self.members
            .retain(|_, known| now.saturating_duration_since(known.waits_since) <= member_time);
        let known = HubMember {
            waits_since: now,
            reported_at: None,
        };
        self.members.insert(InstanceId::clone(member), known);
    }

    /// Records that a member reported.
    pub fn record_report(&mut self, member: &InstanceId, now: Instant) {
        if let Some(known) = self.members.get_mut(member) {
            known.reported_at = Some(now);
        }
    }

    /// Returns the interval at which members without silent streams report.
    pub fn report_interval(&self) -> Duration {
        let members = self.members.len() as f64;
        let needed = Duration::from_secs_f64(members / self.settings.report_rate.max(1.0));
        needed.max(self.settings.min_interval)
    }

    /// Returns whether the members have to report their signs of life.
    pub fn needs_reports(&mut self, inference: &SilenceInference, now: Instant) -> bool {
        if inference.needs_signs(now) {
            return true;
        }
        if !inference.has_silences(now) {
            return false;
        }
        let HubSettings {
            early_interval,
            early_time,
            ..
        } = self.settings;
        let age = self
            .asked_early_at
            .map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age >= early_interval) {
            self.asked_early_at = Some(now);
            return true;
        }
        age.is_some_and(|age| age < early_time)
    }

    /// Returns the suspicions that have to be published now, each at most once a second.
    pub fn take_suspicions(
        &mut self,
        inference: &mut SilenceInference,
        now: Instant,
    ) -> Vec<Suspicion> {
        let suspicions = inference.suspects(now);
        if suspicions.is_empty() || !self.has_heard_members(now) {
            return Vec::new();
        }
        let interval = self.settings.publish_interval;
        self.published
            .retain(|_, at| now.saturating_duration_since(*at) < interval);
        let news = suspicions.into_iter().filter(|suspicion| {
            let is_new = !self.published.contains_key(&suspicion.engine);
            if is_new {
                let engine = EndpointId::clone(&suspicion.engine);
                self.published.insert(engine, now);
            }
            is_new
        });
        news.collect()
    }

    /// Returns the engines that were published and have given a sign of life since.
    pub fn take_withdrawn(&self, inference: &SilenceInference) -> Vec<EndpointId> {
        let alive = self
            .published
            .iter()
            .filter(|(engine, at)| inference.is_alive_since(engine, **at));
        alive.map(|(engine, _)| EndpointId::clone(engine)).collect()
    }

    fn has_heard_members(&self, now: Instant) -> bool {
        let HubSettings {
            member_time,
            heard_age,
            heard_share,
            ..
        } = self.settings;
        let (mut heard, mut total) = (0_u32, 0_u32);
        for member in self.members.values() {
            if now.saturating_duration_since(member.waits_since) > member_time {
                continue;
            }
            let age = member
                .reported_at
                .map(|at| now.saturating_duration_since(at));
            total += 1;
            heard += u32::from(age.is_some_and(|age| age <= heard_age));
        }
        f64::from(heard) >= f64::from(total) * heard_share
    }
}
