//! Caches the last plan of a service until its profile or its engines change.

use crate::engine_profile::EngineProfile;
use crate::layout_planner::{EngineState, LayoutMove, LayoutPlanner};

/// Caches the last plan of a service.
///
/// Computing a plan takes milliseconds, and callers request one several times per second.
#[derive(Clone, Debug, Default)]
pub struct PlanCache {
    cached: Option<CachedPlan>,
}

#[derive(Clone, Debug)]
struct CachedPlan {
    profile: EngineProfile,
    engines: Vec<EngineState>,
    moves: Vec<LayoutMove>,
}

impl PlanCache {
    /// Returns the moves of [`LayoutPlanner::plan`], recomputed only if an input has changed.
    ///
    /// The order of `engines` does not matter.
    pub fn plan(
        &mut self,
        planner: &LayoutPlanner,
        profile: &EngineProfile,
        mut engines: Vec<EngineState>,
    ) -> Vec<LayoutMove> {
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        if let Some(cached) = &self.cached
            && cached.profile == *profile
            && cached.engines == engines
        {
            return cached.moves.clone();
        }
        let moves = planner.plan(profile, &engines);
        self.cached = Some(CachedPlan {
            profile: profile.clone(),
            engines,
            moves: moves.clone(),
        });
        moves
    }
}
