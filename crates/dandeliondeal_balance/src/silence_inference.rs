//! Infers lost engines from streams that fall silent together.
//!
//! An engine is suspected if the silences of its streams are unlikely to have another cause: chance,
//! at the rate that is measured on sound chains, or the loss of other engines. Silences that a
//! suspected engine explains no longer count against others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, InstanceId};

use crate::silence_odds::{CauseWeights, sound_probability};
use crate::silence_report::{SilenceReport, SilentChain, Suspicion};

/// Identifier of a stream at one observer.
pub type StreamKey = u64;

/// Maximum number of streams, and of engines, about which evidence is kept.
const MAX_ENTRIES: usize = 8_192;
/// Maximum number of observers whose reports are kept.
const MAX_OBSERVERS: usize = 2_048;
/// Maximum number of silent chains in a report, and of engines in each.
const MAX_REPORTED_CHAINS: usize = 64;
/// Weight of the latest interval in a stream's mean interval.
const INTERVAL_WEIGHT: f64 = 0.25;
/// Maximum number of silences that are weighed at a time.
const MAX_SILENCES: usize = 1_024;

/// Parameters of the inference.
#[derive(Clone, Copy, Debug)]
pub struct InferenceSettings {
    /// Minimum time without an event after which a stream counts as silent.
    pub silence_limit: Duration,
    /// Maximum of that time.
    pub max_silence_limit: Duration,
    /// Multiple of a stream's mean interval between events after which it counts as silent.
    ///
    /// A sound chain's interval is at most 60 ms, so it matters only for slow chains.
    pub interval_factor: f64,
    /// Time for which a delivery shows that the engines of its chain are alive.
    pub delivery_window: Duration,
    /// Time by which a delivery has to follow a stream's last event to clear its engines of the
    /// stream's silence.
    ///
    /// An event can pass an engine one interval before its delivery, and the silent stream's last
    /// event one interval before the loss. An interval is at most 60 ms.
    pub clearing_delay: Duration,
    /// Delay of the own timer above which the observer counts as paused.
    pub timer_limit: Duration,
    /// Time after a pause for which the observer accuses nobody.
    pub pause_recovery: Duration,
    /// Maximum age of reported silences; observers with silent streams report every 100 ms.
    pub silence_age: Duration,
    /// Maximum age of reports.
    pub report_age: Duration,
    /// Prior probability that a given engine was lost, if any stream is silent.
    pub loss_probability: f64,
    /// Probability that an engine is sound below which it is suspected.
    pub error_rate: f64,
    /// Probability that a stream of a sound chain is silent at a given time, until it is measured,
    /// and the minimum of the measured one.
    pub min_silent_share: f64,
    /// Time over which the silent share is measured; weight of the initial value.
    pub measurement_time: Duration,
}

impl Default for InferenceSettings {
    fn default() -> Self {
        Self {
            silence_limit: Duration::from_millis(100),
            max_silence_limit: Duration::from_millis(400),
            interval_factor: 1.6,
            delivery_window: Duration::from_millis(60),
            clearing_delay: Duration::from_millis(120),
            timer_limit: Duration::from_millis(100),
            pause_recovery: Duration::from_millis(250),
            silence_age: Duration::from_millis(250),
            report_age: Duration::from_secs(1),
            loss_probability: 0.005,
            error_rate: 0.01,
            min_silent_share: 0.005,
            measurement_time: Duration::from_mins(1),
        }
    }
}

/// Stream that has delivered an event.
#[derive(Clone, Debug)]
struct StreamEvidence {
    chain: Vec<EndpointId>,
    delivered_at: Instant,
    /// Mean of the recent intervals between events; 0 before the second event.
    mean_interval: Duration,
    is_silent: bool,
}

/// Silence that an observer reported.
#[derive(Clone, Debug)]
struct ReportedSilence {
    chain: Vec<EndpointId>,
    since: Instant,
}

#[derive(Clone, Debug)]
struct ObserverEvidence {
    received_at: Instant,
    silences: Vec<ReportedSilence>,
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
    settings: InferenceSettings,
    streams: HashMap<StreamKey, StreamEvidence>,
    silent_count: usize,
    /// Last delivery of any stream of this observer.
    delivered_at: Option<Instant>,
    /// Last sign of life of each engine.
    alive: HashMap<EndpointId, Instant>,
    observers: HashMap<InstanceId, ObserverEvidence>,
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
        if let Some(at) = self.alive.get_mut(engine) {
            *at = now.max(*at);
        } else if self.alive.len() < MAX_ENTRIES {
            self.alive.insert(EndpointId::clone(engine), now);
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

    /// Adds the evidence of another observer, which replaces its earlier one.
    pub fn add_report(&mut self, observer: InstanceId, report: &SilenceReport, now: Instant) {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        for (engine, age_ms) in report.alive.iter().take(MAX_ENTRIES) {
            if let Some(at) = before(*age_ms) {
                self.record_alive(engine, at);
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
            received_at: now,
            silences: silences.collect(),
        };
        if self.observers.len() >= MAX_OBSERVERS && !self.observers.contains_key(&observer) {
            return;
        }
        self.observers.insert(observer, evidence);
    }

    /// Returns the evidence of this observer's own streams.
    pub fn report(&self, now: Instant) -> SilenceReport {
        let age_ms = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let recent = |at: &Instant| now.saturating_duration_since(*at) < self.settings.report_age;
        let silences = self.own_silences(now).take(MAX_REPORTED_CHAINS);
        let alive = self.alive.iter().filter(|(_, at)| recent(at));
        SilenceReport {
            silent: silences
                .map(|(chain, since)| SilentChain {
                    engines: chain.to_vec(),
                    age_ms: age_ms(since),
                })
                .collect(),
            alive: alive
                .map(|(engine, at)| (EndpointId::clone(engine), age_ms(*at)))
                .collect(),
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
        self.alive.retain(|_, at| is_recent(*at));
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
    fn own_silences(&self, now: Instant) -> impl Iterator<Item = (&[EndpointId], Instant)> {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let may_accuse = !is_paused && self.silent_count < self.streams.len();
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

    fn all_silences(&self, now: Instant) -> impl Iterator<Item = (&[EndpointId], Instant)> {
        let max_age = self.settings.silence_age;
        let recent = self
            .observers
            .values()
            .filter(move |evidence| now.saturating_duration_since(evidence.received_at) <= max_age);
        let reported = recent.flat_map(|evidence| evidence.silences.iter());
        let reported = reported.map(|silence| (&*silence.chain, silence.since));
        self.own_silences(now).chain(reported)
    }

    /// Returns whether the loss of an engine may explain a silence that began at `since`.
    fn may_explain(&self, engine: &EndpointId, since: Instant, now: Instant) -> bool {
        let Some(alive_at) = self.alive.get(engine) else {
            return true;
        };
        now.saturating_duration_since(*alive_at) > self.settings.delivery_window
            && alive_at.saturating_duration_since(since) <= self.settings.clearing_delay
    }
}
