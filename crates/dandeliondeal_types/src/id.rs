//! Type aliases of ids, indexes and versions that several crates share.

use std::sync::Arc;

/// Name of an accelerator kind, for example `a10`.
pub type AcceleratorKind = Arc<str>;
/// Id of an endpoint, which is a model engine or a replica of a plain service.
pub type EndpointId = Arc<str>;
/// Id of something that requests have in common: a part of their prompts, or the fingerprint of
/// copies of one request.
pub type FeatureId = Arc<str>;
/// Name of a failure domain, for example `didube`.
pub type FailureDomain = Arc<str>;
/// Number of a lease term; orders that carry a lower one are refused.
pub type FencingNumber = u64;
/// Number of the process start of an instance; each later process has a higher number.
pub type Incarnation = u64;
/// Id of an instance of the system itself.
pub type InstanceId = Arc<str>;
/// Index of a layer within its model, from 0.
pub type Layer = u32;
/// Number of an attempt at an answer; a higher lineage completely replaces every lower one.
pub type Lineage = u32;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of an object in the platform's store.
pub type ObjectName = Arc<str>;
/// Id of an organisation.
pub type OrganisationId = Arc<str>;
/// Name of a pipeline in the configuration sheet.
pub type PipelineId = Arc<str>;
/// Index of a token in the sequence of prompt and answer, from 0.
pub type Position = u64;
/// Id of a part of a prompt that several requests may share, for example a system prompt.
pub type PromptPartId = Arc<str>;
/// Name of a region.
pub type Region = Arc<str>;
/// Id of a request, unique across instances.
pub type RequestId = Arc<str>;
/// Number of an accepted sheet; a higher revision replaces every lower one.
pub type Revision = u64;
/// Name of a route, which callers specify as `model`.
pub type RouteId = Arc<str>;
/// Name of a plain service.
pub type ServiceId = Arc<str>;
/// Number of restores of the platform's store from a copy, starting at 1; 0 if the store does not state
/// it.
pub type StoreEra = u64;
/// Id of a token in the vocabulary.
pub type Token = u32;
