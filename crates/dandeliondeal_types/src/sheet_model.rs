//! The validated contents of an accepted configuration sheet.

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

/// All objects that operators configure, at one revision of the sheet.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SheetModel {
    /// Revision number; 0 is the empty sheet before the first accepted one.
    pub revision: Revision,
    /// Routes, which callers specify as `model`.
    pub routes: BTreeMap<RouteId, RouteEntry>,
    /// Pipelines.
    pub pipelines: BTreeMap<PipelineId, PipelineEntry>,
    /// Models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Model engines and replicas of plain services.
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
    /// Bidirectional links between failure domains; a missing link has the default cost.
    pub links: Vec<LinkEntry>,
}

/// A route, which maps a name used by callers to a pipeline.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Pipeline that serves the route.
    pub pipeline: PipelineId,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
}

/// A pipeline: a model and the endpoints that may serve it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PipelineEntry {
    /// Model that the pipeline runs.
    pub model: ModelId,
    /// Failure domains that the stages may use; an empty list allows all.
    pub failure_domains: Vec<FailureDomain>,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Number of layers.
    pub layers: u32,
    /// Maximum total length of prompt and answer, in tokens.
    pub context_tokens: u32,
    /// Version of the weights.
    pub version: Arc<str>,
}

/// The layers or the service that an endpoint serves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointTarget {
    /// A range of layers of a model.
    Layers {
        /// The model.
        model: ModelId,
        /// The layers that the engine has loaded.
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
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Layers or service that it serves.
    pub target: EndpointTarget,
    /// Accelerator kind; empty for a plain service.
    pub accelerator: AcceleratorKind,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Region it runs in.
    pub region: Region,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Maximum number of concurrent sessions or calls.
    pub capacity: u32,
}

/// A plain service: an HTTP service to which the router forwards whole calls.
///
/// It differs from a model, whose layers are divided among engines.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Whether a call may be sent more than once.
    pub repeatable: bool,
    /// Whether the service can report, by request id, if a call ran.
    pub settles: bool,
    /// Maximum time to wait for a response.
    #[serde(with = "milliseconds")]
    pub timeout: Duration,
}

/// An organisation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntry {
    /// SHA-256 hash of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
    /// Weight of the organisation's share of the capacity.
    pub weight: u32,
}

/// Limits of one organisation across the fleet; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// Maximum number of requests per second.
    pub requests_per_second: u32,
    /// Maximum number of tokens per second.
    pub tokens_per_second: u32,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
}

/// An accelerator kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorEntry {
    /// Time that one layer takes for one token, in nanoseconds.
    pub layer_nanoseconds: u64,
}

/// A link between two failure domains.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LinkEntry {
    /// Failure domain at one end.
    pub from: FailureDomain,
    /// Failure domain at the other end.
    pub to: FailureDomain,
    /// One-way delay in microseconds.
    pub delay_microseconds: u64,
    /// Transfer rate in kilobytes per second.
    pub kilobytes_per_second: u64,
}

/// Serialises a duration as a whole number of milliseconds.
mod milliseconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<Target>(
        duration: &Duration,
        target: Target,
    ) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        target.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'input, Source>(source: Source) -> Result<Duration, Source::Error>
    where
        Source: Deserializer<'input>,
    {
        u64::deserialize(source).map(Duration::from_millis)
    }
}
