//! Type aliases for the ids that cross crate boundaries.

use std::sync::Arc;

/// Names one accelerator kind, for example `a10`.
pub type AcceleratorKind = Arc<str>;
/// Names one endpoint: a model engine or a replica of a plain service.
pub type EndpointId = Arc<str>;
/// Names one failure domain, for example `didube`.
pub type FailureDomain = Arc<str>;
/// Version of a lease object; an order that carries an older one is refused.
pub type FencingNumber = u64;
/// Counts the starts of one instance; a later process has a higher number.
pub type Incarnation = u64;
/// Names one instance of the system itself.
pub type InstanceId = Arc<str>;
/// Index of a layer within its model, from 0.
pub type Layer = u32;
/// Counts the attempts at one answer; a higher lineage replaces every lower one whole.
pub type Lineage = u32;
/// Names one model.
pub type ModelId = Arc<str>;
/// Names one object of the platform.
pub type ObjectName = Arc<str>;
/// Names one organisation.
pub type OrganisationId = Arc<str>;
/// Names one pipeline of the sheet.
pub type PipelineId = Arc<str>;
/// Index of a token within prompt and answer, from 0.
pub type Position = u64;
/// Names one region.
pub type Region = Arc<str>;
/// Names one request across instances.
pub type RequestId = Arc<str>;
/// Counts the accepted sheets; a higher revision replaces every lower one.
pub type Revision = u64;
/// Names one route, which callers give as `model`.
pub type RouteId = Arc<str>;
/// Names one plain service.
pub type ServiceId = Arc<str>;
/// One token of the vocabulary.
pub type Token = u32;
/// Version of a platform object, raised by each write.
pub type Version = u64;
