//! Reads from the platform's instance list which endpoints are leaving, and how many entry
//! instances share them.

use std::time::Duration;

use dandeliondeal_types::{Clock, InstanceList, InstanceRecord, InstanceRole, InstanceState};

use crate::entry_context::EntryContext;

/// Maximum time between two reads of the instance list.
///
/// A leaving engine must get no new session more than 3 s after the list shows it as leaving.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the instance list; while it cannot be read, the last state stays in force.
pub async fn watch_endpoints<ClockSource>(context: EntryContext<ClockSource>)
where
    ClockSource: Clock,
{
    let interval = context.settings().membership.list_interval;
    loop {
        match context.platform().instances().await {
            Ok(records) => apply_list(&context, &records),
            Err(error) => tracing::debug!(%error, "instance list could not be read"),
        }
        actix_rt::time::sleep(interval.min(MAX_READ_INTERVAL)).await;
    }
}

fn apply_list<ClockSource>(context: &EntryContext<ClockSource>, records: &[InstanceRecord])
where
    ClockSource: Clock,
{
    let entries = records
        .iter()
        .filter(|record| record.role == InstanceRole::Entry && record.state == InstanceState::Live);
    context.set_instance_count(u32::try_from(entries.count()).unwrap_or(u32::MAX));
    let endpoints = records
        .iter()
        .filter(|record| record.role == InstanceRole::Endpoint);
    for record in endpoints {
        let is_leaving = record.state == InstanceState::Leaving;
        context.engine_use().set_leaving(&record.id, is_leaving);
        context.monitor().set_leaving(&record.id, is_leaving);
    }
}
