//! Counts the sessions of this instance at each engine, for planning.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{EndpointId, EndpointView};

/// Expected wait per session that this instance has at an engine.
const WAIT_PER_SESSION: Duration = Duration::from_micros(50);

/// Session count and leaving state of each engine; clones share it.
#[derive(Clone, Debug, Default)]
pub struct EngineUse {
    sessions: Rc<RefCell<HashMap<EndpointId, u32>>>,
    leaving: Rc<RefCell<HashSet<EndpointId>>>,
}

/// Engines that one session occupies; released on drop.
#[derive(Debug)]
pub struct EngineUseGuard {
    engines: EngineUse,
    endpoints: Vec<EndpointId>,
}

impl EngineUse {
    /// Creates the guard of one session, which occupies no engine yet.
    pub fn new_guard(&self) -> EngineUseGuard {
        EngineUseGuard {
            engines: self.clone(),
            endpoints: Vec::new(),
        }
    }

    /// Sets whether an engine is leaving.
    pub fn set_leaving(&self, endpoint: &EndpointId, is_leaving: bool) {
        let mut leaving = self.leaving.borrow_mut();
        if is_leaving {
            leaving.insert(Arc::clone(endpoint));
        } else {
            leaving.remove(endpoint);
        }
    }

    /// Returns whether an engine is leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.leaving.borrow().contains(endpoint)
    }

    /// Returns the number of sessions of this instance at an engine.
    pub fn sessions(&self, endpoint: &EndpointId) -> u32 {
        self.sessions
            .borrow()
            .get(endpoint)
            .copied()
            .unwrap_or_default()
    }

    fn update_counts(&self, endpoints: &[EndpointId], is_added: bool) {
        let mut sessions = self.sessions.borrow_mut();
        for endpoint in endpoints {
            let count = sessions.entry(Arc::clone(endpoint)).or_default();
            *count = if is_added {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        }
    }
}

impl EndpointView for EngineUse {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        !self.is_leaving(endpoint)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        WAIT_PER_SESSION * self.sessions(endpoint)
    }
}

impl EngineUseGuard {
    /// Replaces the engines that the session occupies.
    pub fn replace<'stage, Endpoints>(&mut self, endpoints: Endpoints)
    where
        Endpoints: Iterator<Item = &'stage EndpointId> + Clone,
    {
        if endpoints.clone().eq(self.endpoints.iter()) {
            return;
        }
        self.engines.update_counts(&self.endpoints, false);
        self.endpoints = endpoints.cloned().collect();
        self.engines.update_counts(&self.endpoints, true);
    }
}

impl Drop for EngineUseGuard {
    fn drop(&mut self) {
        self.engines.update_counts(&self.endpoints, false);
    }
}
