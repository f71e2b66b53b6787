//! Load that this instance puts on each engine, with an estimate of the load from other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::load_exchange::{LoadSummary, REPORT_MAX_AGE};

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Number of requests that run on the engine.
    pub running: f64,
    /// Number of tokens that these requests will use in total.
    pub tokens: f64,
}

#[derive(Clone, Copy, Debug)]
struct ReportedRequests {
    running: f64,
    local_at_report: f64,
    reported_at: Instant,
}

#[derive(Debug, Default)]
struct TrackerState {
    local: HashMap<EndpointId, EngineLoad>,
    /// Running requests of all instances, as the first engines of chains report them.
    reported: HashMap<EndpointId, ReportedRequests>,
    /// Reported share of each engine's memory that is in use, and the time of the report.
    fills: HashMap<EndpointId, (f64, Instant)>,
    /// Seconds of transfers between failure domains, decaying with [`CROSSING_DECAY_TIME`].
    crossing: f64,
    crossing_updated_at: Option<Instant>,
    /// Load of the other instances, and the time at which it was valid.
    peers: Option<(Instant, LoadSummary)>,
}

/// Load of the engines; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    state: Rc<RefCell<TrackerState>>,
}

/// Load of one request on the engines of its chain, released when dropped.
#[derive(Debug)]
pub struct LoadReservation {
    tracker: LoadTracker,
    engines: Vec<EndpointId>,
    tokens: f64,
}

/// Time constant with which transfers decay in the estimated use of the links.
const CROSSING_DECAY_TIME: Duration = Duration::from_secs(2);
/// Time for which a reported number of running requests is used.
///
/// Engines report it with each response, and it changes within about the duration of a request.
const REPORTED_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a reported memory fill is used; about a quarter of the requests that hold the
/// memory end within it.
const FILL_MAX_AGE: Duration = Duration::from_millis(500);

impl LoadTracker {
    /// Adds a request of `tokens` tokens on a chain.
    pub fn reserve(&self, chain: &EngineChain, tokens: f64) -> LoadReservation {
        let engines: Vec<EndpointId> = chain
            .hops
            .iter()
            .map(|hop| EndpointId::clone(&hop.id))
            .collect();
        let mut state = self.state.borrow_mut();
        for engine in &engines {
            let load = state.local.entry(EndpointId::clone(engine)).or_default();
            load.running += 1.0;
            load.tokens += tokens;
        }
        drop(state);
        LoadReservation {
            tracker: self.clone(),
            engines,
            tokens,
        }
    }

    /// Records the number of requests that a first engine runs for all instances.
    pub fn set_running(&self, engine: &EndpointId, running: u32, now: Instant) {
        let mut state = self.state.borrow_mut();
        let local_at_report = state.local.get(engine).map_or(0.0, |load| load.running);
        let reported = ReportedRequests {
            running: f64::from(running),
            local_at_report,
            reported_at: now,
        };
        state.reported.insert(EndpointId::clone(engine), reported);
    }

    /// Records the share of an engine's memory that it reports as in use, from 0 to 1.
    pub fn record_fill(&self, engine: &EndpointId, fill: f64, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.fills.insert(EndpointId::clone(engine), (fill, now));
    }

    /// Returns the share of its memory that an engine recently reported as in use; 0 if there is no
    /// recent report.
    pub fn fill(&self, engine: &str, now: Instant) -> f64 {
        let state = self.state.borrow();
        let entry = state.fills.get(engine);
        let recent = entry.filter(|(_, at)| now.saturating_duration_since(*at) < FILL_MAX_AGE);
        recent.map_or(0.0, |(fill, _)| *fill)
    }

    /// Records that a request's prompt is transferred between failure domains for `seconds` in
    /// total.
    pub fn record_crossing(&self, seconds: f64, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.crossing = state.decayed_crossing(now) + seconds;
        state.crossing_updated_at = Some(now);
    }

    /// Returns the share of the links between failure domains that all instances use.
    pub fn link_utilisation(&self, ratio: f64, now: Instant) -> f64 {
        let state = self.state.borrow();
        let local = state.decayed_crossing(now) / CROSSING_DECAY_TIME.as_secs_f64();
        let fleet = match state.recent_peers(now) {
            Some(peers) => local + peers.crossing,
            None => local * ratio,
        };
        fleet.clamp(0.0, 1.0)
    }

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        let mut state = self.state.borrow_mut();
        state.reported.remove(engine);
        state.fills.remove(engine);
    }

    /// Returns this instance's own load on all engines.
    pub fn local_load(&self, now: Instant) -> LoadSummary {
        let state = self.state.borrow();
        let engines = state.local.iter();
        LoadSummary {
            engines: engines
                .map(|(engine, load)| (EndpointId::clone(engine), *load))
                .collect(),
            crossing: state.decayed_crossing(now) / CROSSING_DECAY_TIME.as_secs_f64(),
            ..LoadSummary::default()
        }
    }

    /// Sets the load of all instances; `local` is the part of this instance in it.
    pub fn set_fleet_load(&self, fleet: &LoadSummary, local: &LoadSummary, at: Instant) {
        let mut peers = fleet.clone();
        for (engine, load) in &local.engines {
            if let Some(peer) = peers.engines.get_mut(engine) {
                peer.running = (peer.running - load.running).max(0.0);
                peer.tokens = (peer.tokens - load.tokens).max(0.0);
            }
        }
        peers.crossing = (peers.crossing - local.crossing).max(0.0);
        self.state.borrow_mut().peers = Some((at, peers));
    }

    /// Estimates the load of all instances on an engine.
    ///
    /// A recent load report from the other instances takes precedence. Otherwise the number that
    /// the engine itself reported is corrected by the requests that this instance started or ended
    /// since. For engines without a recent report, this instance's own load is multiplied by
    /// `ratio`.
    pub fn engine_load(&self, engine: &str, ratio: f64, now: Instant) -> EngineLoad {
        let state = self.state.borrow();
        let local = state.local.get(engine).copied().unwrap_or_default();
        if let Some(peers) = state.recent_peers(now) {
            let peers = peers.engines.get(engine).copied().unwrap_or_default();
            return EngineLoad {
                running: local.running + peers.running,
                tokens: local.tokens + peers.tokens,
            };
        }
        let reported = state.reported.get(engine);
        let recent = reported.filter(|reported| {
            now.saturating_duration_since(reported.reported_at) < REPORTED_MAX_AGE
        });
        let running = match recent {
            Some(reported) => {
                (reported.running + local.running - reported.local_at_report).max(local.running)
            }
            None => local.running * ratio,
        };
        let mean = if local.running > 0.0 {
            local.tokens / local.running
        } else {
            state.mean_tokens()
        };
        EngineLoad {
            running,
            tokens: running * mean,
        }
    }

    /// Estimates the ratio of the load of all instances to this instance's own, from the engines'
    /// reports.
    pub fn fleet_ratio(&self, instance_count: usize, now: Instant) -> f64 {
        let state = self.state.borrow();
        let mut fleet = 0.0;
        let mut local = 0.0;
        for (engine, reported) in &state.reported {
            if now.saturating_duration_since(reported.reported_at) < REPORTED_MAX_AGE {
                fleet += reported.running;
                local += state.local.get(engine).map_or(0.0, |load| load.running);
            }
        }
        let max_ratio = instance_count.max(1) as f64;
        if local < 1.0 {
            return max_ratio;
        }
        (fleet / local).clamp(1.0, max_ratio)
    }

    /// Returns the age of the other instances' load; `None` if it is unknown or too old.
    pub fn peer_load_age(&self, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        state.recent_peers(now)?;
        let (at, _) = state.peers.as_ref()?;
        Some(now.saturating_duration_since(*at))
    }

    /// Returns this instance's own load on an engine.
    pub fn local_engine_load(&self, engine: &str) -> EngineLoad {
        let state = self.state.borrow();
        state.local.get(engine).copied().unwrap_or_default()
    }
}

impl TrackerState {
    fn decayed_crossing(&self, now: Instant) -> f64 {
        let elapsed = self
            .crossing_updated_at
            .map(|at| now.saturating_duration_since(at));
        let decay = elapsed.unwrap_or_default().as_secs_f64() / CROSSING_DECAY_TIME.as_secs_f64();
        self.crossing * (-decay).exp()
    }

    /// Returns the load of the other instances unless it is too old.
    fn recent_peers(&self, now: Instant) -> Option<&LoadSummary> {
        let (at, load) = self.peers.as_ref()?;
        (now.saturating_duration_since(*at) < REPORT_MAX_AGE).then_some(load)
    }

    fn mean_tokens(&self) -> f64 {
        let running: f64 = self.local.values().map(|load| load.running).sum();
        let tokens: f64 = self.local.values().map(|load| load.tokens).sum();
        if running > 0.0 { tokens / running } else { 0.0 }
    }
}

impl Drop for LoadReservation {
    fn drop(&mut self) {
        let mut state = self.tracker.state.borrow_mut();
        for engine in &self.engines {
            let Some(load) = state.local.get_mut(engine) else {
                continue;
            };
            load.running -= 1.0;
            load.tokens -= self.tokens;
            if load.running < 0.5 {
                state.local.remove(engine);
            }
        }
    }
}
