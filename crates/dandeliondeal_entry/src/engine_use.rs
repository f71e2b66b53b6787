//! Sessions of this instance at each engine, as planning sees them.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{EndpointId, EndpointView};

/// Wait that planning expects for each session that an engine has from this instance.
const SESSION_WAIT: Duration = Duration::from_micros(50);

/// Counts sessions by engine and knows which engines leave; clones share it.
#[derive(Clone, Debug, Default)]
pub struct EngineUse {
    sessions: Rc<RefCell<HashMap<EndpointId, u32>>>,
    leaving: Rc<RefCell<HashSet<EndpointId>>>,
}

/// The engines that one session occupies, given back when it is dropped.
#[derive(Debug)]
pub struct EngineHold {
    engines: EngineUse,
    held: Vec<EndpointId>,
}

impl EngineUse {
    /// Starts to count the engines of one session.
    pub fn hold(&self) -> EngineHold {
        EngineHold {
            engines: self.clone(),
            held: Vec::new(),
        }
    }

    /// Notes whether an engine is leaving.
    pub fn set_leaving(&self, endpoint: &EndpointId, is_leaving: bool) {
        let mut leaving = self.leaving.borrow_mut();
        if is_leaving {
            leaving.insert(Arc::clone(endpoint));
        } else {
            leaving.remove(endpoint);
        }
    }

    /// Whether an engine was seen leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.leaving.borrow().contains(endpoint)
    }

    /// Sessions of this instance at an engine.
    pub fn sessions(&self, endpoint: &EndpointId) -> u32 {
        self.sessions
            .borrow()
            .get(endpoint)
            .copied()
            .unwrap_or_default()
    }

    fn count(&self, endpoints: &[EndpointId], is_start: bool) {
        let mut sessions = self.sessions.borrow_mut();
        for endpoint in endpoints {
            let count = sessions.entry(Arc::clone(endpoint)).or_default();
            *count = if is_start {
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
        SESSION_WAIT * self.sessions(endpoint)
    }
}

impl EngineHold {
    /// Notes the engines that the session occupies now.
    pub fn set<'stage, Endpoints>(&mut self, endpoints: Endpoints)
    where
        Endpoints: Iterator<Item = &'stage EndpointId> + Clone,
    {
        if endpoints.clone().eq(self.held.iter()) {
            return;
        }
        self.engines.count(&self.held, false);
        self.held = endpoints.cloned().collect();
        self.engines.count(&self.held, true);
    }
}

impl Drop for EngineHold {
    fn drop(&mut self) {
        self.engines.count(&self.held, false);
    }
}
