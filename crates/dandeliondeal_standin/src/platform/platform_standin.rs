//! The handle of a stand-in platform.

use std::net::SocketAddr;
use std::rc::Rc;

use dandeliondeal_types::{InstanceRecord, ObjectValue};

use super::platform_handler::PlatformHandler;
use super::{CallCounts, PlatformEntry, PlatformSettings};
use crate::shell::StandinShell;
use crate::{FaultChange, StandinError, StandinFaults};

/// A platform with an object API and an instance list.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    handler: Rc<PlatformHandler>,
    shell: Rc<StandinShell>,
}

impl PlatformStandin {
    /// Starts a platform on the present arbiter.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if it cannot listen on its address.
    ///
    /// # Panics
    ///
    /// Outside a running `actix_rt` system.
    pub fn start(settings: PlatformSettings) -> Result<Self, StandinError> {
        let handler = Rc::new(PlatformHandler::new(&settings));
        let shell = StandinShell::start(settings.listen, &handler)?;
        let lag = u64::try_from(settings.list_lag.as_millis()).unwrap_or(u64::MAX);
        shell.set_faults(FaultChange {
            list_lag_milliseconds: Some(lag),
            ..FaultChange::default()
        });
        Ok(Self { handler, shell })
    }

    /// Every write that took effect, in order.
    pub fn ledger(&self) -> Vec<PlatformEntry> {
        self.handler.table.borrow().ledger.clone()
    }

    /// Calls by class since the start.
    pub fn counts(&self) -> CallCounts {
        self.handler.counts.get()
    }

    /// Reads an object past the socket.
    pub fn object(&self, name: &str) -> Option<ObjectValue> {
        self.handler.table.borrow().get(name)
    }

    /// Enters or replaces a record of the instance list.
    pub fn put_instance(&self, record: InstanceRecord) {
        self.handler.put_instance(record);
    }

    /// Removes a record from the instance list.
    pub fn remove_instance(&self, id: &str) {
        self.handler.remove_instance(id);
    }
}

crate::shell::standin_handle!(PlatformStandin);
