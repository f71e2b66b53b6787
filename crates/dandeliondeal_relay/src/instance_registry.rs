//! The instances of the system, each an object in the store.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{Clock, KindStore, ObjectStore, PutCondition, StoreError};
use serde::{Deserialize, Serialize};

use crate::relay_context::RelayContext;

/// Kind of the objects under which instances register.
const REGISTRY_KIND: &str = "routers";
/// Time between two counts of the instances; they change a few times a day.
const COUNT_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two tries to register.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What an instance registers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct InstanceEntry {
    address: Arc<str>,
    failure_domain: Arc<str>,
}

/// Registers this instance and counts all instances until the task is dropped.
///
/// Entries of instances that were killed stay; they only make each instance's share smaller.
pub async fn keep_count<Time, Dialect, Store>(context: RelayContext<Time, Dialect>, store: Store)
where
    Time: Clock,
    Store: ObjectStore + KindStore,
{
    register(&context, &store).await;
    let mut known = None;
    loop {
        match store.snapshot(REGISTRY_KIND).await {
            Ok(snapshot) => {
                let count = snapshot.objects.len();
                if known != Some(count) {
                    known = Some(count);
                    tracing::info!(count, revision = snapshot.version, "instances counted");
                    context.set_instances(count);
                }
            }
            Err(error) => tracing::info!(%error, "instances not counted"),
        }
        actix_rt::time::sleep(context.jitter(COUNT_INTERVAL)).await;
    }
}

async fn register<Time, Dialect, Store>(context: &RelayContext<Time, Dialect>, store: &Store)
where
    Time: Clock,
    Store: ObjectStore,
{
    let settings = context.settings();
    let name = format!("{REGISTRY_KIND}/{}", settings.instance.id);
    let entry = InstanceEntry {
        address: settings.endpoints.peers.to_string().into(),
        failure_domain: Arc::clone(&settings.instance.failure_domain),
    };
    let body: Arc<str> = serde_json::to_string(&entry).unwrap_or_default().into();
    loop {
        match store
            .put(&name, PutCondition::Absent, Arc::clone(&body))
            .await
        {
            // It stands there from an earlier start of the same instance.
            Ok(_) | Err(StoreError::Conflict { .. }) => return,
            Err(error) => {
                tracing::info!(%error, "instance not registered");
                actix_rt::time::sleep(context.jitter(RETRY_INTERVAL)).await;
            }
        }
    }
}
