//! Learns from the platform's instance list which engines are leaving, and how many instances
//! share them.

use std::time::Duration;

use dandeliondeal_types::{Clock, InstanceList, InstanceRecord, InstanceRole, InstanceState};

use crate::entry_context::EntryContext;

/// Longest time between two reads, so that a leaving engine gets no session 3 s after the list
/// shows it.
const MOST_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the instance list again and again; while it cannot be read, what was known stays.
pub async fn watch_endpoints<ClockSource>(context: EntryContext<ClockSource>)
where
    ClockSource: Clock,
{
    let interval = context.settings().membership.list_interval;
    loop {
        match context.platform().instances().await {
            Ok(records) => note(&context, &records),
            Err(error) => tracing::debug!(%error, "instance list not read"),
        }
        actix_rt::time::sleep(interval.min(MOST_INTERVAL)).await;
    }
}

fn note<ClockSource>(context: &EntryContext<ClockSource>, records: &[InstanceRecord])
where
    ClockSource: Clock,
{
    let entries = records
        .iter()
        .filter(|record| record.role == InstanceRole::Entry && record.state == InstanceState::Live);
    context.set_instances(u32::try_from(entries.count()).unwrap_or(u32::MAX));
    let endpoints = records
        .iter()
        .filter(|record| record.role == InstanceRole::Endpoint);
    for record in endpoints {
        let is_leaving = record.state == InstanceState::Leaving;
        context.engines().set_leaving(&record.id, is_leaving);
        context.monitor().listed(&record.id, is_leaving);
    }
}
