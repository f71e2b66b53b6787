//! Evidence of other observers in the silence inference, and the sum that a hub passes on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, InstanceId};

use crate::engine_life::{EngineLife, LifeSource};
use crate::silence_inference::{
    MAX_ENTRIES, MAX_REPORTED_CHAINS, MAX_SILENCES, SilenceInference, StreamKey, age_ms,
};
use crate::silence_report::{ObserverReport, SilenceReport, SilentChain};

/// Maximum number of observers whose reports are kept.
const MAX_OBSERVERS: usize = 2_048;

/// Silence that an observer reported.
#[derive(Clone, Debug)]
pub(crate) struct ReportedSilence {
    pub(crate) chain: Vec<EndpointId>,
    pub(crate) since: Instant,
}

/// Evidence of another observer.
#[derive(Clone, Debug)]
pub(crate) struct ObserverEvidence {
    pub(crate) received_at: Instant,
    /// Whether a hub passed the evidence on.
    pub(crate) is_relayed: bool,
    pub(crate) silences: Vec<ReportedSilence>,
}

impl SilenceInference {
    /// Adds the evidence of another observer, which replaces its earlier one.
    pub fn add_report(&mut self, observer: InstanceId, report: &SilenceReport, now: Instant) {
        self.insert_report(observer, report, LifeSource::Member, now);
    }

    /// Adds evidence that the hub of another failure domain passed on.
    ///
    /// It is not passed on again, and yields to what the observer itself reported.
    pub fn add_relayed(&mut self, relayed: &ObserverReport, now: Instant) {
        let age = Duration::from_millis(u64::from(relayed.age_ms));
        let Some(received_at) = now.checked_sub(age) else {
            return;
        };
        let known = self.observers.get(&relayed.observer);
        if known.is_some_and(|known| !known.is_relayed && self.is_current(known, now)) {
            return;
        }
        let observer = InstanceId::clone(&relayed.observer);
        self.insert_report(observer, &relayed.report, LifeSource::Relayed, received_at);
    }

    fn insert_report(
        &mut self,
        observer: InstanceId,
        report: &SilenceReport,
        source: LifeSource,
        received_at: Instant,
    ) {
        let before =
            |age_ms: u32| received_at.checked_sub(Duration::from_millis(u64::from(age_ms)));
        for (engine, age_ms) in report.alive.iter().take(MAX_ENTRIES) {
            if let Some(at) = before(*age_ms) {
                self.record_life(engine, source, at);
            }
        }
        let chains = report.silent.iter().take(MAX_REPORTED_CHAINS);
        let silences = chains.filter_map(|silent| {
            let engines = silent.engines.iter().take(MAX_REPORTED_CHAINS);
            Some(ReportedSilence {
                chain: engines.cloned().collect(),
                since: before(silent.age_ms)?,
            })
        });
        let evidence = ObserverEvidence {
            received_at,
            is_relayed: source == LifeSource::Relayed,
            silences: silences.collect(),
        };
        if self.observers.len() >= MAX_OBSERVERS && !self.observers.contains_key(&observer) {
            return;
        }
        self.observers.insert(observer, evidence);
    }

    /// Returns the evidence of this hub and of the observers that report to it, for other hubs.
    ///
    /// The signs of life of all observers are in the first entry, which is that of `hub`. Each
    /// observer has its own entry for its silences, so that none counts twice if it reports to two
    /// hubs. At most 64 chains are returned.
    pub fn sum_reports(&self, hub: &InstanceId, now: Instant) -> Vec<ObserverReport> {
        let mut own = self.report(now);
        own.alive = self.recent_life(now, EngineLife::own_or_member);
        let mut room = MAX_REPORTED_CHAINS - own.silent.len();
        let mut reports = vec![ObserverReport {
            observer: InstanceId::clone(hub),
            age_ms: 0,
            report: own,
        }];
        let observers = self.observers.iter();
        let members = observers.filter(|(_, evidence)| {
            !evidence.is_relayed && !evidence.silences.is_empty() && self.is_current(evidence, now)
        });
        for (observer, evidence) in members {
            let silences = evidence.silences.iter().take(room);
            let silent = silences.map(|silence| SilentChain {
                engines: silence.chain.clone(),
                age_ms: age_ms(silence.since, evidence.received_at),
            });
            let silent: Vec<SilentChain> = silent.collect();
            room -= silent.len();
            if silent.is_empty() {
                break;
            }
            reports.push(ObserverReport {
                observer: InstanceId::clone(observer),
                age_ms: age_ms(evidence.received_at, now),
                report: SilenceReport {
                    silent,
                    ..SilenceReport::default()
                },
            });
        }
        reports
    }

    /// Returns whether an engine has given a sign of life after `at`.
    pub fn is_alive_since(&self, engine: &EndpointId, at: Instant) -> bool {
        let latest = self.alive.get(engine).and_then(EngineLife::latest);
        latest.is_some_and(|latest| latest > at)
    }

    /// Returns whether one of this observer's streams runs through an engine.
    pub fn has_stream(&self, engine: &EndpointId) -> bool {
        let mut streams = self.streams.values();
        streams.any(|stream| stream.chain.contains(engine))
    }

    /// Returns whether one of this observer's streams has shown within the delivery window that an
    /// engine is alive.
    pub fn is_seen_alive(&self, engine: &EndpointId, now: Instant) -> bool {
        let own = self.alive.get(engine).and_then(EngineLife::own);
        own.is_some_and(|at| now.saturating_duration_since(at) <= self.settings.delivery_window)
    }

    /// Returns whether any silence, of an own stream or a reported one, is known.
    pub fn has_silences(&self, now: Instant) -> bool {
        self.all_silences(now).next().is_some()
    }

    /// Returns whether the signs of life of other observers may decide on a suspicion.
    ///
    /// That is so if an engine may explain so many silences that it would be suspected if all other
    /// engines of these chains were known to be alive.
    pub fn needs_signs(&self, now: Instant) -> bool {
        let error_rate = self.settings.error_rate;
        let max_weight = self.settings.loss_probability * error_rate / (1.0 - error_rate);
        let chance = self.chance();
        let mut weights: HashMap<&EndpointId, f64> = HashMap::new();
        for (chain, since) in self.all_silences(now).take(MAX_SILENCES) {
            for engine in chain {
                if self.may_explain(engine, since, now) {
                    let weight = weights.entry(engine).or_insert(1.0);
                    *weight *= chance;
                    if *weight < max_weight {
                        return true;
                    }
                }
            }
        }
        false
    }

    /// Records that another instance suspects an engine.
    pub fn add_suspicion(&mut self, engine: &EndpointId, now: Instant) {
        let told_time = self.settings.told_time;
        self.told
            .retain(|_, at| now.saturating_duration_since(*at) < told_time);
        if self.told.len() < MAX_ENTRIES {
            self.told.insert(EndpointId::clone(engine), now);
        }
    }

    /// Returns the engines that another instance suspects and that gave no sign of life meanwhile.
    pub fn told_suspects(&self, now: Instant) -> impl Iterator<Item = &EndpointId> {
        let is_told = move |(engine, told_at): &(&EndpointId, &Instant)| {
            let age = now.saturating_duration_since(**told_at);
            age < self.settings.told_time && !self.is_seen_alive(engine, now)
        };
        self.told.iter().filter(is_told).map(|(engine, _)| engine)
    }

    /// Returns the time without an event after which a stream follows the suspicion of another
    /// instance.
    pub fn told_limit(&self, stream: StreamKey) -> Duration {
        let evidence = self.streams.get(&stream);
        let interval = evidence.map_or(Duration::ZERO, |evidence| evidence.mean_interval);
        let usual = interval.mul_f64(self.settings.interval_factor);
        usual.clamp(
            self.settings.delivery_window,
            self.settings.max_silence_limit,
        )
    }

    /// Returns whether the silences of an observer are recent, and this instance was not paused
    /// since.
    pub(crate) fn is_current(&self, evidence: &ObserverEvidence, now: Instant) -> bool {
        let age = now.saturating_duration_since(evidence.received_at);
        age <= self.settings.silence_age && !self.is_paused(now)
    }
}
