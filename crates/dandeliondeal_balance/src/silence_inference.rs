//! Infers lost engines from streams that fall silent together.
//!
//! An engine is suspected if the silences of its streams are unlikely to have another cause: chance,
//! at the rate that is measured on sound chains, or the loss of other engines. Silences that a
//! suspected engine explains no longer count against others.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, InstanceId};

use crate::engine_life::{EngineLife, LifeSource};
use crate::inference_settings::InferenceSettings;
use crate::reported_silences::ObserverEvidence;
use crate::silence_odds::{CauseWeights, sound_probability};
use crate::silence_report::{SilenceReport, SilentChain, Suspicion};

/// Identifier of a stream at one observer.
pub type StreamKey = u64;

/// Maximum number of streams, and of engines, about which evidence is kept.
pub(crate) const MAX_ENTRIES: usize = 8_192;
/// Maximum number of silent chains in a report, and of engines in each.
pub(crate) const MAX_REPORTED_CHAINS: usize = 64;
/// Weight of the latest interval in a stream's mean interval.
const INTERVAL_WEIGHT: f64 = 0.25;
/// Maximum number of silences that are weighed at a time.
pub(crate) const MAX_SILENCES: usize = 1_024;

/// Stream that has delivered an event.
#[derive(Clone, Debug)]
pub(crate) struct StreamEvidence {
    pub(crate) chain: Vec<EndpointId>,
    delivered_at: Instant,
    /// Mean of the recent intervals between events; 0 before the second event.
    pub(crate) mean_interval: Duration,
    is_silent: bool,
}

/// Share of the stream time of sound chains that is silent, over a decaying window.
#[derive(Clone, Copy, Debug)]
struct SilentShare {
    silent_seconds: f64,
    total_seconds: f64,
}

/// Evidence of one observer, or the sum of several observers.
#[derive(Clone, Debug)]
pub struct SilenceInference {
    pub(crate) settings: InferenceSettings,
    pub(crate) streams: HashMap<StreamKey, StreamEvidence>,
    silent_count: usize,
    /// Last delivery of any stream of this observer.
    delivered_at: Option<Instant>,
    /// Last signs of life of each engine.
    pub(crate) alive: HashMap<EndpointId, EngineLife>,
    /// Engines that another instance suspects, with the time at which this one was told.
    pub(crate) told: HashMap<EndpointId, Instant>,
    pub(crate) observers: HashMap<InstanceId, ObserverEvidence>,
    silent_share: SilentShare,
    paused_until: Option<Instant>,
}

impl Default for SilenceInference {
    fn default() -> Self {
        Self::new(InferenceSettings::default())
    }
}

impl SilenceInference {
    /// Creates an inference without evidence.
    pub fn new(settings: InferenceSettings) -> Self {
        let total_seconds = settings.measurement_time.as_secs_f64();
        Self {
            settings,
            streams: HashMap::new(),
            silent_count: 0,
            delivered_at: None,
            alive: HashMap::new(),
            told: HashMap::new(),
            observers: HashMap::new(),
            silent_share: SilentShare {
                silent_seconds: total_seconds * settings.min_silent_share,
                total_seconds,
            },
            paused_until: None,
        }
    }

    /// Records that a stream is silent since its event at `since`.
    ///
    /// The call is ignored if the stream is not silent for long enough or has delivered meanwhile.
    pub fn record_silent(
        &mut self,
        stream: StreamKey,
        chain: &[EndpointId],
        since: Instant,
        now: Instant,
    ) {
        if now.saturating_duration_since(since) < self.silence_limit(stream) {
            return;
        }
        if !self.streams.contains_key(&stream) {
            self.insert_stream(stream, chain, since);
        }
        if let Some(evidence) = self.streams.get_mut(&stream)
            && !evidence.is_silent
            && evidence.delivered_at <= since
        {
            evidence.is_silent = true;
            self.silent_count += 1;
        }
    }

    /// Records that a stream delivered an event: all engines of its chain are alive.
    ///
    /// Allocates only for the first event of a stream, an engine or a new chain.
    pub fn record_delivery(&mut self, stream: StreamKey, chain: &[EndpointId], now: Instant) {
        for engine in chain {
            self.record_alive(engine, now);
        }
        self.delivered_at = Some(now);
        let Some(evidence) = self.streams.get_mut(&stream) else {
            self.insert_stream(stream, chain, now);
            return;
        };
        if evidence.is_silent {
            evidence.is_silent = false;
            self.silent_count -= 1;
        }
        let interval = now.saturating_duration_since(evidence.delivered_at);
        evidence.delivered_at = now;
        evidence.mean_interval = if evidence.mean_interval.is_zero() {
            interval
        } else {
            evidence.mean_interval.mul_f64(1.0 - INTERVAL_WEIGHT)
                + interval.mul_f64(INTERVAL_WEIGHT)
        };
        if *evidence.chain != *chain {
            evidence.chain = chain.to_vec();
        }
        self.record_interval(interval);
    }

    /// Records a sign of life of an engine, such as its report.
    pub fn record_alive(&mut self, engine: &EndpointId, now: Instant) {
        self.record_life(engine, LifeSource::Own, now);
        if self.told.get(engine).is_some_and(|told_at| *told_at < now) {
            self.told.remove(engine);
        }
    }

    pub(crate) fn record_life(&mut self, engine: &EndpointId, source: LifeSource, at: Instant) {
        if let Some(life) = self.alive.get_mut(engine) {
            life.record(source, at);
        } else if self.alive.len() < MAX_ENTRIES {
            let life = EngineLife::new(source, at);
            self.alive.insert(EndpointId::clone(engine), life);
        }
    }

    /// Removes a stream that has ended or waits for another chain.
    pub fn remove_stream(&mut self, stream: StreamKey) {
        if let Some(evidence) = self.streams.remove(&stream)
            && evidence.is_silent
        {
            self.silent_count -= 1;
        }
    }

    /// Records by how much a timer of the observer was late.
    pub fn record_timer(&mut self, lateness: Duration, now: Instant) {
        if lateness > self.settings.timer_limit {
            self.paused_until = Some(now + self.settings.pause_recovery);
        }
    }

    /// Returns the evidence of this observer's own streams.
    pub fn report(&self, now: Instant) -> SilenceReport {
        let silences = self.own_silences(now).take(MAX_REPORTED_CHAINS);
        SilenceReport {
            silent: silences
                .map(|(chain, since)| SilentChain {
                    engines: chain.to_vec(),
                    age_ms: age_ms(since, now),
                })
                .collect(),
            alive: self.recent_life(now, EngineLife::own),
        }
    }

    /// Returns the time without an event after which a stream counts as silent.
    pub fn silence_limit(&self, stream: StreamKey) -> Duration {
        let InferenceSettings {
            silence_limit,
            max_silence_limit,
            interval_factor,
            ..
        } = self.settings;
        let evidence = self.streams.get(&stream);
        let interval = evidence.map(|evidence| evidence.mean_interval);
        let interval = interval.filter(|interval| !interval.is_zero());
        // The interval of a new stream may be that of a slow chain.
        let usual = interval.unwrap_or(silence_limit).mul_f64(interval_factor);
        usual.clamp(silence_limit, max_silence_limit)
    }

    /// Returns the number of this observer's silent streams.
    pub fn silent_count(&self) -> usize {
        self.silent_count
    }

    /// Returns the suspected engines, the most probable one first, and forgets old evidence.
    pub fn suspects(&mut self, now: Instant) -> Vec<Suspicion> {
        let report_age = self.settings.report_age;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= report_age;
        self.alive
            .retain(|_, life| life.latest().is_some_and(is_recent));
        self.observers
            .retain(|_, evidence| is_recent(evidence.received_at));
        let mut engines: Vec<&EndpointId> = Vec::new();
        let mut indices: HashMap<&EndpointId, usize> = HashMap::new();
        let mut silences: Vec<(Vec<usize>, Instant)> = Vec::new();
        for (chain, since) in self.all_silences(now).take(MAX_SILENCES) {
            let candidates = chain
                .iter()
                .filter(|engine| self.may_explain(engine, since, now));
            let candidates = candidates.map(|engine| {
                *indices.entry(engine).or_insert_with(|| {
                    engines.push(engine);
                    engines.len() - 1
                })
            });
            silences.push((candidates.collect(), since));
        }
        let weights = CauseWeights {
            loss: self.settings.loss_probability,
            chance: self.chance(),
        };
        let error_rate = self.settings.error_rate;
        let mut suspicions: Vec<Suspicion> = Vec::new();
        loop {
            let mut evidence: Vec<Vec<usize>> = vec![Vec::new(); engines.len()];
            for (silence, (candidates, _)) in silences.iter().enumerate() {
                for candidate in candidates {
                    evidence[*candidate].push(silence);
                }
            }
            let weighed = evidence.iter().enumerate().filter(|(_, own)| own.len() > 1);
            let weighed = weighed.map(|(engine, own)| {
                let own: Vec<&[usize]> = own.iter().map(|index| &*silences[*index].0).collect();
                (
                    engine,
                    sound_probability(engine, &own, weights, error_rate),
                    own.len(),
                )
            });
            let likely = weighed.filter(|(_, sound, _)| *sound < error_rate);
            let best = likely.min_by(|left, right| {
                let by_count = right.2.cmp(&left.2);
                by_count.then(left.1.total_cmp(&right.1))
            });
            let Some((engine, sound_probability, silent_streams)) = best else {
                return suspicions;
            };
            let explained = silences.iter().filter(|(own, _)| own.contains(&engine));
            let since = explained.map(|(_, since)| *since).min().unwrap_or(now);
            suspicions.push(Suspicion {
                engine: EndpointId::clone(engines[engine]),
                sound_probability,
                silent_streams,
                since,
            });
            silences.retain(|(candidates, _)| !candidates.contains(&engine));
        }
    }

    /// Returns the probability that a stream of a sound chain is silent at a given time.
    pub fn chance(&self) -> f64 {
        let share = self.silent_share.silent_seconds / self.silent_share.total_seconds;
        share.clamp(self.settings.min_silent_share, 1.0)
    }

    fn insert_stream(&mut self, stream: StreamKey, chain: &[EndpointId], delivered_at: Instant) {
        if self.streams.len() >= MAX_ENTRIES {
            return;
        }
        let evidence = StreamEvidence {
            chain: chain.to_vec(),
            delivered_at,
            mean_interval: Duration::ZERO,
            is_silent: false,
        };
        self.streams.insert(stream, evidence);
    }

    /// Adds the interval between two events of a stream to the silent share.
    fn record_interval(&mut self, interval: Duration) {
        let seconds = interval.as_secs_f64();
        let silent = interval.saturating_sub(self.settings.silence_limit);
        let share = &mut self.silent_share;
        share.silent_seconds += silent.as_secs_f64();
        share.total_seconds += seconds;
        let excess = share.total_seconds / self.settings.measurement_time.as_secs_f64();
        if excess > 1.0 {
            share.silent_seconds /= excess;
            share.total_seconds /= excess;
        }
    }

    /// Returns the own silences in which this observer may accuse an engine.
    ///
    /// A delivery of another stream has to show that this observer still received events when the
    /// silent stream's next one was due.
    pub(crate) fn own_silences(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&[EndpointId], Instant)> {
        let may_accuse = !self.is_paused(now) && self.silent_count < self.streams.len();
        let window = self.settings.delivery_window;
        let is_witnessed = move |since: Instant| {
            let delivered_at = self.delivered_at.filter(|_| may_accuse);
            delivered_at.is_some_and(|at| at.saturating_duration_since(since) > window)
        };
        let streams = self.streams.values();
        let silent =
            streams.filter(move |stream| stream.is_silent && is_witnessed(stream.delivered_at));
        silent.map(|stream| (&*stream.chain, stream.delivered_at))
    }

    pub(crate) fn all_silences(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&[EndpointId], Instant)> {
        let observers = self.observers.values();
        let recent = observers.filter(move |evidence| self.is_current(evidence, now));
        let reported = recent.flat_map(|evidence| evidence.silences.iter());
        let reported = reported.map(|silence| (&*silence.chain, silence.since));
        self.own_silences(now).chain(reported)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub(crate) fn recent_life<Source>(
        &self,
        now: Instant,
        source: Source,
    ) -> BTreeMap<EndpointId, u32>
    where
        Source: Fn(&EngineLife) -> Option<Instant>,
    {
        let max_age = self.settings.reported_life_age;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= max_age;
        let alive = self.alive.iter();
        alive
            .filter_map(|(engine, life)| {
                let at = source(life).filter(is_recent)?;
                Some((EndpointId::clone(engine), age_ms(at, now)))
            })
            .collect()
    }

    /// Returns whether the loss of an engine may explain a silence that began at `since`.
    pub(crate) fn may_explain(&self, engine: &EndpointId, since: Instant, now: Instant) -> bool {
        let Some(alive_at) = self.alive.get(engine).and_then(EngineLife::latest) else {
            return true;
        };
        now.saturating_duration_since(alive_at) > self.settings.delivery_window
            && alive_at.saturating_duration_since(since) <= self.settings.clearing_delay
    }
}

pub(crate) fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}
