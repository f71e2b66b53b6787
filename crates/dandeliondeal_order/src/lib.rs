//! Reconciliation of endpoints with the sheet, by orders that carry fencing numbers.
//!
//! [`OrderReconciler`] decides which orders the lease holder sends; this crate performs no input
//! or output.

pub mod endpoint_order;
pub mod order_reconciler;
pub mod order_settings;
pub mod order_state;

#[doc(inline)]
pub use endpoint_order::{DesiredState, EndpointOrder, EngineContent, desired_states};
#[doc(inline)]
pub use order_reconciler::{OrderAction, OrderAnswer, OrderEvent, OrderReconciler, OrderTerm};
#[doc(inline)]
pub use order_settings::OrderSettings;
#[doc(inline)]
pub use order_state::{EndpointEvent, OrderState, order_chart};
