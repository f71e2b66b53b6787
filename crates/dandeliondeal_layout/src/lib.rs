//! Assigns model layers to engines and selects the chain of engines that runs a request.
//!
//! Nothing here performs I/O or reads a clock. [`LayoutPlanner`] assigns each engine a
//! [`LayerRange`](dandeliondeal_types::LayerRange) so that engines with the same range can replace
//! one another. [`ChainGraph`] finds the cheapest chain of engines that runs every layer once and
//! in order, given the load known to this instance.

mod card_table;
pub mod chain_graph;
pub mod engine_profile;
mod layer_cover;
mod layer_flow;
mod layout_assignment;
pub mod layout_planner;
pub mod layout_template;
pub mod plan_cache;
pub mod rate_bound;
pub mod served_rate;
mod template_search;

#[doc(inline)]
pub use chain_graph::{ChainGraph, ChainHop, ChainQuery, EngineChain, EngineNode};
#[doc(inline)]
pub use engine_profile::{CardProfile, EngineProfile};
#[doc(inline)]
pub use layout_planner::{EngineState, LayoutMove, LayoutPlanner, LayoutSettings};
#[doc(inline)]
pub use layout_template::LayoutTemplate;
#[doc(inline)]
pub use plan_cache::{FinishedPlan, PlanCache, PlanJob};
#[doc(inline)]
pub use rate_bound::rate_bound;
#[doc(inline)]
pub use served_rate::{ServedRate, rate_after_losses, served_rate};
