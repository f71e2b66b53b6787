//! What an accepted sheet says, checked and ready to be put in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::LayerRange;
use crate::id::{
    AcceleratorKind, EndpointId, FailureDomain, ModelId, OrganisationId, PipelineId, Region,
    Revision, RouteId, ServiceId,
};

/// Everything that operators create, at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SheetModel {
    /// Revision; 0 is the empty sheet before the first acceptance.
    pub revision: Revision,
    /// Routes, which callers name as `model`.
    pub routes: BTreeMap<RouteId, RouteEntry>,
    /// Pipelines.
    pub pipelines: BTreeMap<PipelineId, PipelineEntry>,
    /// Models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Engines and replicas of services.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Plain services.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Limits by organisation; no entry means no limit.
    pub limits: BTreeMap<OrganisationId, LimitEntry>,
    /// Accelerator kinds.
    pub accelerators: BTreeMap<AcceleratorKind, AcceleratorEntry>,
    /// Failure domains and the region of each.
    pub failure_domains: BTreeMap<FailureDomain, Region>,
    /// Links between failure domains, in both directions; a missing one has the default cost.
    pub links: Vec<LinkEntry>,
}

/// A route: the name that callers use, and what stands behind it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Pipeline that serves the route.
    pub pipeline: PipelineId,
    /// Whether a request may be run again.
    pub repeatable: bool,
    /// Priority, 0 the lowest, 9 the highest.
    pub priority: u8,
}

/// A pipeline: a model and the endpoints that may serve it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PipelineEntry {
    /// Model that the pipeline runs.
    pub model: ModelId,
    /// Failure domains that its stages may use; empty means all.
    pub failure_domains: Vec<FailureDomain>,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Number of layers.
    pub layers: u32,
    /// Longest prompt and answer together, in tokens.
    pub context_tokens: u32,
    /// Version of the weights.
    pub version: Arc<str>,
}

/// What an endpoint serves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointTarget {
    /// A range of layers of a model.
    Layers {
        /// The model.
        model: ModelId,
        /// The layers that the engine holds.
        range: LayerRange,
    },
    /// A replica of a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// An endpoint: a model engine or a replica of a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub target: EndpointTarget,
    /// Accelerator kind; empty for a plain service.
    pub accelerator: AcceleratorKind,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Region it runs in.
    pub region: Region,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Sessions or calls that it runs at once.
    pub capacity: u32,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Whether a call may be sent again.
    pub repeatable: bool,
    /// Whether the service tells, by request id, if a call ran.
    pub settles: bool,
    /// Longest wait for an answer.
    #[serde(with = "milliseconds")]
    pub timeout: Duration,
}

/// An organisation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntry {
    /// SHA-256 of each key, in lower-case hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
    /// Share of the capacity beside other organisations.
    pub weight: u32,
}

/// Limits of one organisation over the whole fleet; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// Requests a second.
    pub requests_per_second: u32,
    /// Tokens a second.
    pub tokens_per_second: u32,
    /// Requests in flight at once.
    pub concurrency: u32,
}

/// An accelerator kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorEntry {
    /// Time of one layer for one token, in nanoseconds.
    pub layer_nanoseconds: u64,
}

/// A link between two failure domains.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LinkEntry {
    /// One end.
    pub from: FailureDomain,
    /// The other end.
    pub to: FailureDomain,
    /// One-way delay in microseconds.
    pub delay_microseconds: u64,
    /// Transfer rate in kilobytes a second.
    pub kilobytes_per_second: u64,
}

mod milliseconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<Target>(
        time: &Duration,
        target: Target,
    ) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        target.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'input, Source>(source: Source) -> Result<Duration, Source::Error>
    where
        Source: Deserializer<'input>,
    {
        u64::deserialize(source).map(Duration::from_millis)
    }
}
