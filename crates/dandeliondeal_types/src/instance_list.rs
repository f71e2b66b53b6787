//! The interface to the platform's instance list.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{FailureDomain, Incarnation, Region};
use crate::object_store::StoreError;

/// Role of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An instance of the system itself.
    Entry,
    /// A model engine or a replica of a plain service.
    Endpoint,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It runs and accepts new work.
    Live,
    /// It finishes its current work and accepts no new work.
    Leaving,
}

/// One entry of the instance list; the list may lag behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id of the instance or endpoint.
    pub id: Arc<str>,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Whether it accepts new work.
    pub state: InstanceState,
    /// Address for callers of an endpoint, or for peers of an entry instance.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Region it runs in.
    pub region: Region,
    /// Number of the process start; 0 if the instance does not report it.
    pub incarnation: Incarnation,
}

/// The list of live and leaving instances.
pub trait InstanceList: Debug + 'static {
    /// Reads the complete list.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRecord>, StoreError>>;
}
