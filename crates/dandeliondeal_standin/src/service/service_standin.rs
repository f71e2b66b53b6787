//! The handle to a stand-in service.

use std::net::SocketAddr;
use std::rc::Rc;

use super::service_handler::ServiceHandler;
use super::{ServiceEntry, ServiceSettings};
use crate::server::StandinServer;
use crate::{FaultChange, StandinError, StandinFaults};

/// A stand-in plain service that records each call that runs.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    handler: Rc<ServiceHandler>,
    server: Rc<StandinServer>,
}

impl ServiceStandin {
    /// Starts a service on the current actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if the service cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Panics outside a running `actix_rt` system.
    pub fn start(settings: ServiceSettings) -> Result<Self, StandinError> {
        let listen = settings.listen;
        let handler = Rc::new(ServiceHandler::new(settings));
        let server = StandinServer::start(listen, &handler)?;
        Ok(Self { handler, server })
    }

    /// Returns every call that ran, in order.
    pub fn ledger(&self) -> Vec<ServiceEntry> {
        self.handler.ledger.borrow().clone()
    }
}

crate::server::standin_handle!(ServiceStandin);
