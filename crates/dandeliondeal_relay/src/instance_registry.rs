//! Registry of the instances in the store, with one object for each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    Clock, FailureDomain, InstanceId, KindStore, ObjectStore, ObjectValue, PutCondition,
    ReadFreshness, StoreError, StoreVersion,
};
use serde::{Deserialize, Serialize};

use crate::peer_roster::PeerRoster;
use crate::relay_context::RelayContext;

/// Kind of the store objects with which instances register.
const REGISTRY_KIND: &str = "routers";
/// Maximum time between two counts of the instances, which change a few times a day.
const MAX_COUNT_INTERVAL: Duration = Duration::from_secs(8);
/// Time until the second count; it is short because instances often start together, and each needs
/// one call to register.
const INITIAL_COUNT_INTERVAL: Duration = Duration::from_millis(700);
/// Mean delay between the news of a restore of the store and the check of the registration.
const RESTORE_CHECK_DELAY: Duration = Duration::from_millis(500);
/// Time between two attempts to register.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Registered instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInstance {
    /// Id of the instance.
    pub id: InstanceId,
    /// Address for calls from other instances.
    pub address: SocketAddr,
    /// Address for requests that other instances hand over; `None` for an earlier version.
    pub handover: Option<SocketAddr>,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Processor time that the instance may use, in thousandths of a core; `None` for an earlier
    /// version.
    pub processor_milli: Option<u32>,
}

/// Registration of an instance, as stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceEntry {
    address: SocketAddr,
    #[serde(default)]
    handover: Option<SocketAddr>,
    failure_domain: Arc<str>,
    /// In thousandths of a core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    processor_milli: Option<u32>,
}

/// Registers this instance and counts all instances until the task is dropped.
///
/// Registrations of killed instances are not removed; they only reduce each instance's share of the
/// shared budgets. A registration that is missing in the list was lost when the store was restored from
/// a copy, and is written again.
pub async fn run_registry<Time, Dialect, Store>(context: RelayContext<Time, Dialect>, store: Store)
where
    Time: Clock,
    Store: ObjectStore + KindStore,
{
    register(&context, &store).await;
    let own_id = &context.settings().instance.id;
    let mut roster = PeerRoster::default();
    let mut last_count = None;
    let mut interval = INITIAL_COUNT_INTERVAL;
    let mut freshness = ReadFreshness::Relaxed;
    let mut was_listed = false;
    loop {
        let era = context.store_era();
        let mut is_lost = false;
        match store.snapshot(REGISTRY_KIND, freshness).await {
            Ok(snapshot) => {
                let StoreVersion { era, revision } = snapshot.version;
                let is_listed = snapshot.objects.iter().any(|object| object.name == *own_id);
                // A relaxed list may be from before the registration.
                is_lost = !is_listed && freshness == ReadFreshness::Latest;
                freshness = if was_listed && !is_listed && !is_lost {
                    ReadFreshness::Latest
                } else {
                    ReadFreshness::Relaxed
                };
                was_listed |= is_listed;
                let peers = snapshot.objects.iter().filter_map(decode_entry);
                let peers = roster.update(peers.collect(), era, context.now());
                let count = peers.len();
                if last_count != Some(count) {
                    last_count = Some(count);
                    let listed = snapshot.objects.len();
                    tracing::info!(count, listed, revision, era, "instances counted");
                }
                context.set_peers(peers);
            }
            Err(error) => tracing::info!(%error, "instances cannot be listed"),
        }
        if is_lost {
            tracing::info!("registration of this instance is missing; registering again");
            register(&context, &store).await;
            interval = INITIAL_COUNT_INTERVAL;
        }
        tokio::select! {
            () = actix_rt::time::sleep(context.jitter(interval)) => {
                interval = (interval * 2).min(MAX_COUNT_INTERVAL);
            }
            () = context.wait_for_era_after(era) => {
                // All instances learn of a restore at once. A relaxed list may still hold what is lost.
                actix_rt::time::sleep(context.jitter(RESTORE_CHECK_DELAY)).await;
                freshness = ReadFreshness::Latest;
                interval = INITIAL_COUNT_INTERVAL;
            }
        }
    }
}

/// Converts cores to thousandths of a core.
fn processor_milli(cores: f64) -> Option<u32> {
    let duration = Duration::try_from_secs_f64(cores).ok()?;
    u32::try_from(duration.as_millis()).ok()
}

fn decode_entry(object: &ObjectValue) -> Option<PeerInstance> {
    let entry: InstanceEntry = serde_json::from_str(&object.body)
        .inspect_err(
            |error| tracing::warn!(instance = %object.name, %error, "registration skipped"),
        )
        .ok()?;
    Some(PeerInstance {
        id: InstanceId::clone(&object.name),
        address: entry.address,
        handover: entry.handover,
        failure_domain: entry.failure_domain,
        processor_milli: entry.processor_milli,
    })
}

fn is_entry(object: &ObjectValue, entry: &InstanceEntry) -> bool {
    serde_json::from_str::<InstanceEntry>(&object.body).is_ok_and(|stored| stored == *entry)
}

async fn register<Time, Dialect, Store>(context: &RelayContext<Time, Dialect>, store: &Store)
where
    Time: Clock,
    Store: ObjectStore,
{
    let settings = context.settings();
    let name = format!("{REGISTRY_KIND}/{}", settings.instance.id);
    let entry = InstanceEntry {
        address: settings.endpoints.peers,
        handover: Some(settings.endpoints.handover),
        failure_domain: Arc::clone(&settings.instance.failure_domain),
        processor_milli: processor_milli(settings.machine.processor),
    };
    let body: Arc<str> = serde_json::to_string(&entry).unwrap_or_default().into();
    let mut condition = PutCondition::Absent;
    loop {
        let error = match store.put(&name, condition, Arc::clone(&body)).await {
            Ok(_) => return,
            Err(StoreError::Conflict { .. }) => match store.get(&name).await {
                // An earlier start of the same instance has already registered it.
                Ok(Some(object)) if is_entry(&object, &entry) => return,
                Ok(object) => {
                    condition = object.map_or(PutCondition::Absent, |object| {
                        PutCondition::Version(object.version)
                    });
                    continue;
                }
                Err(error) => error,
            },
            Err(error) => error,
        };
        tracing::info!(%error, "instance registration failed; retrying");
        actix_rt::time::sleep(context.jitter(REGISTER_RETRY_INTERVAL)).await;
    }
}
