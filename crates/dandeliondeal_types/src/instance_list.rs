//! The platform's instance list as an interface.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{FailureDomain, Incarnation, Region};
use crate::object_store::StoreError;

/// What an instance is for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An instance of the system itself.
    Entry,
    /// A model engine or a replica of a plain service.
    Endpoint,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It runs and takes work.
    Live,
    /// It finishes what it has and takes no new work.
    Leaving,
}

/// One line of the instance list. The list lags behind the truth.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance or endpoint.
    pub id: Arc<str>,
    /// What it is for.
    pub role: InstanceRole,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Where it serves: callers' address of an endpoint, peer address of an entry instance.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Region it runs in.
    pub region: Region,
    /// Process start count; 0 where the instance does not tell.
    pub incarnation: Incarnation,
}

/// The list of live and leaving instances.
pub trait InstanceList: Debug + 'static {
    /// Reads the whole list.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRecord>, StoreError>>;
}
