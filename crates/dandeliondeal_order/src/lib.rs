//! Orders to endpoints with fencing numbers.
//!
//! [`OrderReconciler`] reconciles endpoints with the sheet under a lease; nothing here performs input or
//! output.

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
pub use order_state::{OrderSight, OrderState, order_chart};
