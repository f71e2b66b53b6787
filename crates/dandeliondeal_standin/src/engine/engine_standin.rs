//! The handle to a stand-in engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use dandeliondeal_types::{RequestId, SessionStatus};

use super::engine_handler::EngineHandler;
use super::{EngineEntry, EngineSettings};
use crate::server::StandinServer;
use crate::{FaultChange, StandinError, StandinFaults};

/// A stand-in model engine whose answers depend on every layer that runs.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    handler: Rc<EngineHandler>,
    server: Rc<StandinServer>,
}

impl EngineStandin {
    /// Starts an engine on the current actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if the engine cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Panics outside a running `actix_rt` system.
    pub fn start(settings: EngineSettings) -> Result<Self, StandinError> {
        let listen = settings.listen;
        let handler = Rc::new(EngineHandler::new(settings));
        let server = StandinServer::start(listen, &handler)?;
        Ok(Self { handler, server })
    }

    /// Returns every position that ran, in order.
    pub fn ledger(&self) -> Vec<EngineEntry> {
        self.handler.core.borrow().ledger.clone()
    }

    /// Empties the ledger.
    pub fn clear_ledger(&self) {
        self.handler.core.borrow_mut().ledger.clear();
    }

    /// Returns the status of a session, or `None` if there is no such session.
    pub fn session(&self, request: &RequestId) -> Option<SessionStatus> {
        let mut core = self.handler.core.borrow_mut();
        core.status(request, Instant::now())
    }

    /// Returns the current number of sessions.
    pub fn session_count(&self) -> usize {
        let mut core = self.handler.core.borrow_mut();
        core.session_count(Instant::now())
    }
}

crate::server::standin_handle!(EngineStandin);
