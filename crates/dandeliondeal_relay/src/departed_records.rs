//! Registrations that went away while nothing else is known of their processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointRecord;

/// Time for which a registration is remembered; it covers the restart of a process.
const MEMORY_TIME: Duration = Duration::from_secs(30);
/// Maximum number of registrations that are remembered.
const MAX_RECORDS: usize = 256;

/// Latest registration that went away, by address.
#[derive(Debug, Default)]
pub(crate) struct DepartedRecords {
    records: HashMap<SocketAddr, (EndpointRecord, Instant)>,
}

impl DepartedRecords {
    /// Remembers a registration, unless its process was about to stop.
    pub(crate) fn add(&mut self, record: &EndpointRecord, now: Instant) {
        if record.is_draining {
            return;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY_TIME;
        self.records.retain(|_, (_, at)| is_recent(*at));
        if self.records.len() < MAX_RECORDS {
            let departed = (record.clone(), now);
            self.records.insert(record.address, departed);
        }
    }

    /// Removes and returns the registration of an earlier process at the address of `record`, which
    /// has ended as its address is in use again.
    pub(crate) fn take_replaced(&mut self, record: &EndpointRecord) -> Option<EndpointRecord> {
        let (departed, _) = self.records.remove(&record.address)?;
        // A registration that came back after an outage of the store is the same process.
        (departed.started_at_ms < record.started_at_ms).then_some(departed)
    }
}
