//! The handle to a stand-in platform.

use std::net::SocketAddr;
use std::rc::Rc;

use dandeliondeal_types::{InstanceRecord, ObjectValue};

use super::platform_handler::PlatformHandler;
use super::{CallCounts, PlatformEntry, PlatformSettings};
use crate::server::StandinServer;
use crate::{FaultChange, StandinError, StandinFaults};

/// A stand-in platform with an object API and an instance list.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    handler: Rc<PlatformHandler>,
    server: Rc<StandinServer>,
}

impl PlatformStandin {
    /// Starts a platform on the current actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if the platform cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Panics outside a running `actix_rt` system.
    pub fn start(settings: PlatformSettings) -> Result<Self, StandinError> {
        let handler = Rc::new(PlatformHandler::new(&settings));
        let server = StandinServer::start(settings.listen, &handler)?;
        let lag_milliseconds = u64::try_from(settings.list_lag.as_millis()).unwrap_or(u64::MAX);
        server.set_faults(FaultChange {
            list_lag_milliseconds: Some(lag_milliseconds),
            ..FaultChange::default()
        });
        Ok(Self { handler, server })
    }

    /// Returns every write that took effect, in order.
    pub fn ledger(&self) -> Vec<PlatformEntry> {
        self.handler.table.borrow().ledger.clone()
    }

    /// Returns the number of calls by type since the start.
    pub fn counts(&self) -> CallCounts {
        self.handler.counts.get()
    }

    /// Returns an object without a call over the socket.
    pub fn object(&self, name: &str) -> Option<ObjectValue> {
        self.handler.table.borrow().get(name)
    }

    /// Adds a record to the instance list or replaces it.
    pub fn put_instance(&self, record: InstanceRecord) {
        self.handler.put_instance(record);
    }

    /// Removes a record from the instance list.
    pub fn remove_instance(&self, id: &str) {
        self.handler.remove_instance(id);
    }
}

crate::server::standin_handle!(PlatformStandin);
