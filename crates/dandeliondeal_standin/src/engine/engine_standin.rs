//! The handle of a stand-in engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use dandeliondeal_types::{RequestId, SessionStatus};

use super::engine_handler::EngineHandler;
use super::{EngineEntry, EngineSettings};
use crate::shell::StandinShell;
use crate::{FaultChange, StandinError, StandinFaults};

/// A model engine that serves the engine protocol and really depends on every layer.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    handler: Rc<EngineHandler>,
    shell: Rc<StandinShell>,
}

impl EngineStandin {
    /// Starts an engine on the present arbiter.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if it cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Outside a running `actix_rt` system.
    pub fn start(settings: EngineSettings) -> Result<Self, StandinError> {
        let listen = settings.listen;
        let handler = Rc::new(EngineHandler::new(settings));
        let shell = StandinShell::start(listen, &handler)?;
        Ok(Self { handler, shell })
    }

    /// Every position that ran, in order.
    pub fn ledger(&self) -> Vec<EngineEntry> {
        self.handler.core.borrow().ledger.clone()
    }

    /// Empties the ledger.
    pub fn clear_ledger(&self) {
        self.handler.core.borrow_mut().ledger.clear();
    }

    /// Where a session stands.
    pub fn session(&self, request: &RequestId) -> Option<SessionStatus> {
        let mut core = self.handler.core.borrow_mut();
        core.status(request, Instant::now())
    }

    /// Number of sessions now.
    pub fn session_count(&self) -> usize {
        let mut core = self.handler.core.borrow_mut();
        core.session_count(Instant::now())
    }
}

crate::shell::standin_handle!(EngineStandin);
