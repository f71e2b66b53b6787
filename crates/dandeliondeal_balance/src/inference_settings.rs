//! Parameters of the silence inference.

use std::time::Duration;

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
    /// Maximum age of the signs of life in a report; observers report at least this often while
    /// asked.
    pub reported_life_age: Duration,
    /// Time for which the suspicion of another instance is followed; the check of the engine takes
    /// as long.
    pub told_time: Duration,
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
            reported_life_age: Duration::from_millis(200),
            told_time: Duration::from_millis(300),
            loss_probability: 0.005,
            error_rate: 0.01,
            min_silent_share: 0.005,
            measurement_time: Duration::from_mins(1),
        }
    }
}
