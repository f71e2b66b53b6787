//! Engines that disappeared or appeared a short time ago.
//!
//! Most engines that fail return within seconds. The layout counts them as present for that time,
//! so that other engines keep their layers instead of moving back and forth. A new engine often
//! replaces one that is about to leave. It waits a moment for a place that becomes free, because an
//! engine that has loaded other layers has to move soon after.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineState;
use dandeliondeal_types::EndpointId;

/// Time for which an absent engine counts as present in the layout.
const RETURN_GRACE: Duration = Duration::from_secs(5);
/// Time for which a new engine waits for another one to leave.
///
/// An engine that is replaced announces its leave about a second after its successor registered.
const PLACE_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a place that became free is kept for a new engine.
const PLACE_MAX_AGE: Duration = Duration::from_secs(8);

/// An engine with the times of its presence.
#[derive(Clone, Debug)]
struct EnginePresence {
    state: EngineState,
    address: SocketAddr,
    since: Instant,
    last: Instant,
    is_admitted: bool,
}

/// Presence of one service's engines.
#[derive(Debug, Default)]
pub struct EngineAbsence {
    engines: HashMap<EndpointId, EnginePresence>,
    /// Times at which engines that held layers left.
    free_places: VecDeque<Instant>,
}

impl EngineAbsence {
    /// Records the engines that are present, and returns those that are absent but may return.
    ///
    /// An engine does not return if it is leaving, or if another engine uses its address.
    pub fn update<Leaving>(
        &mut self,
        present: &[(EngineState, SocketAddr)],
        is_leaving: Leaving,
        now: Instant,
    ) -> Vec<EngineState>
    where
        Leaving: Fn(&EndpointId) -> bool,
    {
        for (state, address) in present {
            let id = EndpointId::clone(&state.id);
            let presence = self.engines.entry(id).or_insert_with(|| EnginePresence {
                state: state.clone(),
                address: *address,
                since: now,
                last: now,
                is_admitted: false,
            });
            presence.state = state.clone();
            presence.address = *address;
            presence.last = now;
        }
        let addresses: HashSet<SocketAddr> = present.iter().map(|(_, address)| *address).collect();
        let free_places = &mut self.free_places;
        self.engines.retain(|id, presence| {
            if presence.last == now {
                return true;
            }
            let may_return = now.saturating_duration_since(presence.last) < RETURN_GRACE
                && presence.state.held_range.is_some()
                && !addresses.contains(&presence.address)
                && !is_leaving(id);
            if !may_return && presence.state.held_range.is_some() {
                free_places.push_back(now);
            }
            may_return
        });
        let absent = self.engines.values();
        let absent = absent.filter(|presence| presence.last != now);
        absent.map(|presence| presence.state.clone()).collect()
    }

    /// Returns whether an engine without layers may get some now.
    ///
    /// Call [`Self::update`] with the engine first.
    pub fn admit(&mut self, engine: &str, now: Instant) -> bool {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= PLACE_MAX_AGE;
        while self.free_places.front().is_some_and(is_old) {
            self.free_places.pop_front();
        }
        let Some(presence) = self.engines.get_mut(engine) else {
            return true;
        };
        if !presence.is_admitted {
            let has_waited = now.saturating_duration_since(presence.since) >= PLACE_WAIT;
            presence.is_admitted = self.free_places.pop_front().is_some() || has_waited;
        }
        presence.is_admitted
    }
}
