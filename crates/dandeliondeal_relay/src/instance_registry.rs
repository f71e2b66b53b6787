//! Registry of the instances in the store, with one object for each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    Clock, FailureDomain, InstanceId, KindStore, ObjectStore, ObjectValue, PutCondition,
    ReadFreshness, StoreError,
};
use serde::{Deserialize, Serialize};

use crate::relay_context::RelayContext;

/// Kind of the store objects with which instances register.
const REGISTRY_KIND: &str = "routers";
/// Maximum time between two counts of the instances, which change a few times a day.
const MAX_COUNT_INTERVAL: Duration = Duration::from_secs(8);
/// Time until the second count; it is short because instances often start together, and each needs
/// one call to register.
const INITIAL_COUNT_INTERVAL: Duration = Duration::from_millis(700);
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
/// shared budgets.
pub async fn run_registry<Time, Dialect, Store>(context: RelayContext<Time, Dialect>, store: Store)
where
    Time: Clock,
    Store: ObjectStore + KindStore,
{
    register(&context, &store).await;
    let mut last_count = None;
    let mut interval = INITIAL_COUNT_INTERVAL;
    loop {
        let list = store.snapshot(REGISTRY_KIND, ReadFreshness::Relaxed);
        match list.await {
            Ok(snapshot) => {
                let peers = snapshot.objects.iter().filter_map(decode_entry);
                let peers: Vec<PeerInstance> = peers.collect();
                let count = peers.len();
                if last_count != Some(count) {
                    last_count = Some(count);
                    tracing::info!(
                        count,
                        revision = snapshot.version.revision,
                        "instances counted"
                    );
                }
                context.set_peers(peers);
            }
            Err(error) => tracing::info!(%error, "instances cannot be listed"),
        }
        actix_rt::time::sleep(context.jitter(interval)).await;
        interval = (interval * 2).min(MAX_COUNT_INTERVAL);
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
