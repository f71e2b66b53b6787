//! Types and interfaces that the crates of dandeliondeal share.
//!
//! The crate performs no input or output. It defines ids ([`id`]), the clock interface ([`Clock`]),
//! the result of a request ([`Outcome`]) and its errors ([`RouteError`]). Traits abstract the
//! platform ([`ObjectStore`], [`InstanceList`]) and the engines ([`EngineClient`]).

pub mod answer_status;
pub mod clock;
pub mod endpoint_record;
pub mod endpoint_view;
pub mod engine_client;
pub mod id;
pub mod instance_list;
pub mod kind_store;
pub mod layer_range;
pub mod object_store;
pub mod outcome;
pub mod rendezvous;
pub mod route_error;
pub mod sheet_model;
pub mod store_version;
pub mod token_step;

#[doc(inline)]
pub use answer_status::{StatusError, check_answer_status};
#[doc(inline)]
pub use clock::{Clock, ManualClock, SystemClock};
#[doc(inline)]
pub use endpoint_record::EndpointRecord;
#[doc(inline)]
pub use endpoint_view::{EndpointView, IdleView};
#[doc(inline)]
pub use engine_client::EngineClient;
#[doc(inline)]
pub use id::*;
#[doc(inline)]
pub use instance_list::{InstanceList, InstanceRecord, InstanceRole, InstanceState};
#[doc(inline)]
pub use kind_store::{KindChanges, KindEvent, KindSnapshot, KindStore, ReadFreshness};
#[doc(inline)]
pub use layer_range::LayerRange;
#[doc(inline)]
pub use object_store::{ObjectStore, ObjectValue, PutCondition, StoreError};
#[doc(inline)]
pub use outcome::Outcome;
#[doc(inline)]
pub use route_error::{ErrorKind, RequestStep, RouteError};
#[doc(inline)]
pub use sheet_model::SheetModel;
#[doc(inline)]
pub use store_version::StoreVersion;
#[doc(inline)]
pub use token_step::{SessionStatus, StepAnswer, StepCall, StepName};
