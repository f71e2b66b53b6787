//! Load that this instance puts on each engine, with an estimate of the load from other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::load_share::{REPORT_LIFE, WorkSum};

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineWork {
    /// Number of requests that run on the engine.
    pub running: f64,
    /// Number of tokens that these requests will use in total.
    pub tokens: f64,
}

#[derive(Clone, Copy, Debug)]
struct StatedWork {
    running: f64,
    own_then: f64,
    at: Instant,
}

#[derive(Debug, Default)]
struct BookState {
    own: HashMap<EndpointId, EngineWork>,
    /// Running requests of all instances, as the first engines of chains report them.
    stated: HashMap<EndpointId, StatedWork>,
    /// Reported share of each engine's memory that is in use, and the time of the report.
    fills: HashMap<EndpointId, (f64, Instant)>,
    /// Seconds of transfers between failure domains, decaying with [`CROSSING_DECAY_TIME`].
    crossing: f64,
    crossing_at: Option<Instant>,
    /// Load of the other instances, and the time at which it was valid.
    others: Option<(Instant, WorkSum)>,
}

/// Load of the engines; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    state: Rc<RefCell<BookState>>,
}

/// Load of one request on the engines of its chain, released when dropped.
#[derive(Debug)]
pub struct LoadTicket {
    book: LoadBook,
    engines: Vec<EndpointId>,
    tokens: f64,
}

/// Time constant with which transfers decay in the estimated use of the links.
const CROSSING_FADE: Duration = Duration::from_secs(2);
/// Time for which a reported number of running requests is used.
///
/// Engines report it with each response, and it changes within about the duration of a request.
const STATED_LIFE: Duration = Duration::from_millis(1_500);
/// Time for which a reported memory fill is used; about a quarter of the requests that hold the
/// memory end within it.
const FILL_LIFE: Duration = Duration::from_millis(500);

impl LoadBook {
    /// Adds a request of `tokens` tokens on a chain.
    pub fn enter(&self, chain: &EngineChain, tokens: f64) -> LoadTicket {
        let engines: Vec<EndpointId> = chain
            .hops
            .iter()
            .map(|hop| EndpointId::clone(&hop.id))
            .collect();
        let mut state = self.state.borrow_mut();
        for engine in &engines {
            let work = state.own.entry(EndpointId::clone(engine)).or_default();
            work.running += 1.0;
            work.tokens += tokens;
        }
        drop(state);
        LoadTicket {
            book: self.clone(),
            engines,
            tokens,
        }
    }

    /// Records the number of requests that a first engine runs for all instances.
    pub fn state(&self, engine: &EndpointId, running: u32, now: Instant) {
        let mut state = self.state.borrow_mut();
        let own_then = state.own.get(engine).map_or(0.0, |work| work.running);
        let stated = StatedWork {
            running: f64::from(running),
            own_then,
            at: now,
        };
        state.stated.insert(EndpointId::clone(engine), stated);
    }

    /// Records the share of an engine's memory that it reports as in use, from 0 to 1.
    pub fn set_fill(&self, engine: &EndpointId, fill: f64, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.fills.insert(EndpointId::clone(engine), (fill, now));
    }

    /// Returns the share of its memory that an engine recently reported as in use; 0 if there is no
    /// recent report.
    pub fn fill(&self, engine: &str, now: Instant) -> f64 {
        let state = self.state.borrow();
        let known = state.fills.get(engine);
        let fresh = known.filter(|(_, at)| now.saturating_duration_since(*at) < FILL_LIFE);
        fresh.map_or(0.0, |(fill, _)| *fill)
    }

    /// Records that a request's prompt is transferred between failure domains for `seconds` in
    /// total.
    pub fn cross(&self, seconds: f64, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.crossing = state.crossing_left(now) + seconds;
        state.crossing_at = Some(now);
    }

    /// Returns the share of the links between failure domains that all instances use.
    pub fn crossing_load(&self, scale: f64, now: Instant) -> f64 {
        let state = self.state.borrow();
        let own = state.crossing_left(now) / CROSSING_FADE.as_secs_f64();
        let all = match state.told(now) {
            Some(others) => own + others.crossing,
            None => own * scale,
        };
        all.clamp(0.0, 1.0)
    }

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        let mut state = self.state.borrow_mut();
        state.stated.remove(engine);
        state.fills.remove(engine);
    }

    /// Returns this instance's own load on all engines.
    pub fn own_sum(&self, now: Instant) -> WorkSum {
        let state = self.state.borrow();
        let engines = state.own.iter();
        WorkSum {
            engines: engines
                .map(|(engine, work)| (EndpointId::clone(engine), *work))
                .collect(),
            crossing: state.crossing_left(now) / CROSSING_FADE.as_secs_f64(),
            ..WorkSum::default()
        }
    }

    /// Sets the load of all instances; `local` is the part of this instance in it.
    pub fn set_fleet(&self, all: &WorkSum, own: &WorkSum, at: Instant) {
        let mut others = all.clone();
        for (engine, work) in &own.engines {
            if let Some(sum) = others.engines.get_mut(engine) {
                sum.running = (sum.running - work.running).max(0.0);
                sum.tokens = (sum.tokens - work.tokens).max(0.0);
            }
        }
        others.crossing = (others.crossing - own.crossing).max(0.0);
        self.state.borrow_mut().others = Some((at, others));
    }

    /// Estimates the load of all instances on an engine.
    ///
    /// A recent load report from the other instances takes precedence. Otherwise the number that
    /// the engine itself reported is corrected by the requests that this instance started or ended
    /// since. For engines without a recent report, this instance's own load is multiplied by
    /// `scale`.
    pub fn work(&self, engine: &str, scale: f64, now: Instant) -> EngineWork {
        let state = self.state.borrow();
        let own = state.own.get(engine).copied().unwrap_or_default();
        if let Some(others) = state.told(now) {
            let others = others.engines.get(engine).copied().unwrap_or_default();
            return EngineWork {
                running: own.running + others.running,
                tokens: own.tokens + others.tokens,
            };
        }
        let stated = state.stated.get(engine);
        let fresh = stated.filter(|stated| now.saturating_duration_since(stated.at) < STATED_LIFE);
        let running = match fresh {
            Some(stated) => (stated.running + own.running - stated.own_then).max(own.running),
            None => own.running * scale,
        };
        let mean = if own.running > 0.0 {
            own.tokens / own.running
        } else {
            state.usual_tokens()
        };
        EngineWork {
            running,
            tokens: running * mean,
        }
    }

    /// Estimates the ratio of the load of all instances to this instance's own, from the engines'
    /// reports.
    pub fn scale(&self, instances: usize, now: Instant) -> f64 {
        let state = self.state.borrow();
        let mut all = 0.0;
        let mut own = 0.0;
        for (engine, stated) in &state.stated {
            if now.saturating_duration_since(stated.at) < STATED_LIFE {
                all += stated.running;
                own += state.own.get(engine).map_or(0.0, |work| work.running);
            }
        }
        let most = instances.max(1) as f64;
        if own < 1.0 {
            return most;
        }
        (all / own).clamp(1.0, most)
    }

    /// Returns the age of the other instances' load; `None` if it is unknown or too old.
    pub fn told_age(&self, now: Instant) -> Option<Duration> {
        let state = self.state.borrow();
        state.told(now)?;
        let (at, _) = state.others.as_ref()?;
        Some(now.saturating_duration_since(*at))
    }

    /// Returns this instance's own load on an engine.
    pub fn own(&self, engine: &str) -> EngineWork {
        let state = self.state.borrow();
        state.own.get(engine).copied().unwrap_or_default()
    }
}

impl BookState {
    fn crossing_left(&self, now: Instant) -> f64 {
        let since = self.crossing_at.map(|at| now.saturating_duration_since(at));
        let fade = since.unwrap_or_default().as_secs_f64() / CROSSING_FADE.as_secs_f64();
        self.crossing * (-fade).exp()
    }

    /// Returns the load of the other instances unless it is too old.
    fn told(&self, now: Instant) -> Option<&WorkSum> {
        let (at, work) = self.others.as_ref()?;
        (now.saturating_duration_since(*at) < REPORT_LIFE).then_some(work)
    }

    fn usual_tokens(&self) -> f64 {
        let running: f64 = self.own.values().map(|work| work.running).sum();
        let tokens: f64 = self.own.values().map(|work| work.tokens).sum();
        if running > 0.0 { tokens / running } else { 0.0 }
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        let mut state = self.book.state.borrow_mut();
        for engine in &self.engines {
            let Some(work) = state.own.get_mut(engine) else {
                continue;
            };
            work.running -= 1.0;
            work.tokens -= self.tokens;
            if work.running < 0.5 {
                state.own.remove(engine);
            }
        }
    }
}
