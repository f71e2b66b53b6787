//! Typed client of the platform's object API and instance list.
//!
//! [`PlatformClient`] sends calls within the limits of a [`CallBudget`]. A [`StoreDialect`] encodes
//! the calls and decodes the answers. [`put_resolved`] finds out whether a write whose answer was
//! lost took effect. [`LeaseMachine`] decides when to acquire, renew and release a lease.

pub mod call_budget;
pub mod lease_machine;
pub mod lease_state;
#[cfg(feature = "test-util")]
pub mod memory_store;
mod object_record;
pub mod plain_dialect;
pub mod platform_client;
pub mod resolved_write;
pub mod send_failure;
pub mod store_dialect;
pub mod write_stamp;

#[doc(inline)]
pub use call_budget::{BudgetSettings, CallBudget, CallClass, CallKind};
#[doc(inline)]
pub use lease_machine::{LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime};
#[doc(inline)]
pub use lease_state::{LeaseState, LeaseTrigger, lease_chart};
#[cfg(feature = "test-util")]
#[doc(inline)]
pub use memory_store::{MemoryStore, StoreFault};
#[doc(inline)]
pub use plain_dialect::PlainDialect;
#[doc(inline)]
pub use platform_client::{PlatformClient, PlatformSettings};
#[doc(inline)]
pub use resolved_write::{ResolvedWrite, WriteVerdict, put_resolved};
#[doc(inline)]
pub use send_failure::SendFailure;
#[doc(inline)]
pub use store_dialect::{HttpAnswer, HttpCall, KindPage, StoreDialect, StoreRequest, encode_path};
#[doc(inline)]
pub use write_stamp::{StampSource, WriteStamp};
