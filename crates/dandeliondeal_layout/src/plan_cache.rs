//! The last plan of a service, which holds until its engines change.

use crate::engine_profile::EngineProfile;
use crate::layout_planner::{EngineState, LayoutMove, LayoutPlanner};

/// Keeps the last plan, since a plan takes milliseconds and is asked for several times a second.
#[derive(Clone, Debug, Default)]
pub struct PlanCache {
    known: Option<KnownPlan>,
}

#[derive(Clone, Debug)]
struct KnownPlan {
    profile: EngineProfile,
    engines: Vec<EngineState>,
    moves: Vec<LayoutMove>,
}

impl PlanCache {
    /// The moves that [`LayoutPlanner::plan`] gives, planned anew only after a change.
    pub fn plan(
        &mut self,
        planner: &LayoutPlanner,
        profile: &EngineProfile,
        mut engines: Vec<EngineState>,
    ) -> Vec<LayoutMove> {
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        if let Some(known) = &self.known
            && known.profile == *profile
            && known.engines == engines
        {
            return known.moves.clone();
        }
        let moves = planner.plan(profile, &engines);
        self.known = Some(KnownPlan {
            profile: profile.clone(),
            engines,
            moves: moves.clone(),
        });
        moves
    }
}
