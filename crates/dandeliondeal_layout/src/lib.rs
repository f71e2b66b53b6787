//! Which engine holds which layers, and which chain of engines runs a request.
//!
//! Nothing here performs I/O or reads a clock. [`LayoutPlanner`] gives each engine a
//! [`LayerRange`](dandeliondeal_types::LayerRange) so that engines of one range can replace one
//! another; [`ChainGraph`] finds the cheapest chain of engines that runs every layer once and in
//! order, under the load that is known.

mod card_supply;
pub mod chain_graph;
pub mod engine_profile;
pub mod layout_planner;
pub mod layout_template;
pub mod plan_cache;
mod template_search;

#[doc(inline)]
pub use chain_graph::{ChainGraph, ChainHop, ChainQuery, EngineChain, EngineNode};
#[doc(inline)]
pub use engine_profile::{CardProfile, EngineProfile};
#[doc(inline)]
pub use layout_planner::{EngineState, LayoutMove, LayoutPlanner, LayoutSettings};
#[doc(inline)]
pub use layout_template::{ChainCounts, LayoutTemplate, RangeWidth, WidthCounts};
#[doc(inline)]
pub use plan_cache::PlanCache;
