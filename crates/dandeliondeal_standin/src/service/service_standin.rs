//! The handle of a stand-in service.

use std::net::SocketAddr;
use std::rc::Rc;

use super::service_handler::ServiceHandler;
use super::{ServiceEntry, ServiceSettings};
use crate::shell::StandinShell;
use crate::{FaultChange, StandinError, StandinFaults};

/// A plain service that counts each call that runs.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    handler: Rc<ServiceHandler>,
    shell: Rc<StandinShell>,
}

impl ServiceStandin {
    /// Starts a service on the present arbiter.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if it cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Outside a running `actix_rt` system.
    pub fn start(settings: ServiceSettings) -> Result<Self, StandinError> {
        let listen = settings.listen;
        let handler = Rc::new(ServiceHandler::new(settings));
        let shell = StandinShell::start(listen, &handler)?;
        Ok(Self { handler, shell })
    }

    /// Every call that ran, in order.
    pub fn ledger(&self) -> Vec<ServiceEntry> {
        self.handler.ledger.borrow().clone()
    }
}

crate::shell::standin_handle!(ServiceStandin);
