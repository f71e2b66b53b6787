//! Evidence on silent streams that instances exchange.

use std::collections::BTreeMap;
use std::time::Instant;

use dandeliondeal_types::{EndpointId, InstanceId};
use serde::{Deserialize, Serialize};

/// Chain of a silent stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentChain {
    /// Engines of the chain.
    pub engines: Vec<EndpointId>,
    /// Milliseconds since the stream's last event.
    pub age_ms: u32,
}

/// Evidence of one observer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilenceReport {
    /// Chains of silent streams; empty if the observer accuses nobody.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<SilentChain>,
    /// Milliseconds since the last sign of life of each engine.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub alive: BTreeMap<EndpointId, u32>,
}

impl SilenceReport {
    /// Returns whether no stream is silent.
    pub fn is_empty(&self) -> bool {
        self.silent.is_empty()
    }
}

/// Evidence of one observer that a hub passes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObserverReport {
    /// The observer.
    pub observer: InstanceId,
    /// Milliseconds since the hub received the report.
    #[serde(default)]
    pub age_ms: u32,
    /// The evidence, with ages at the time at which the hub received it.
    pub report: SilenceReport,
}

/// Engine that is probably lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The engine.
    pub engine: EndpointId,
    /// Upper bound on the probability that the engine is sound.
    pub sound_probability: f64,
    /// Number of silent streams that the loss of the engine explains.
    pub silent_streams: usize,
    /// Start of the earliest of these silences.
    pub since: Instant,
}
