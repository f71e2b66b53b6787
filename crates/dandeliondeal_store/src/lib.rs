//! Typed client of the object API and the instance list.
//!
//! [`PlatformClient`] makes the calls, within a [`CallBudget`], in the words of a
//! [`StoreDialect`]. [`put_resolved`] settles the fate
//! of a write whose answer was lost.

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
pub use lease_state::{LeaseSight, LeaseState, lease_chart};
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
