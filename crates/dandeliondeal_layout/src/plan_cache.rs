//! Keeps the last plan of a service and computes new ones apart from it.

use crate::engine_profile::EngineProfile;
use crate::layout_planner::{EngineState, LayoutMove, LayoutPlanner};
use crate::template_search::TemplateCheck;

/// Keeps the last plan of a service.
///
/// The first plan of a large fleet takes a fifth of a second of a whole core, and callers request
/// plans several times per second. A caller whose thread must not be blocked runs the [`PlanJob`]s
/// on another one.
#[derive(Clone, Debug, Default)]
pub struct PlanCache {
    cached: Option<FinishedPlan>,
    is_job_running: bool,
}

/// Computation of a plan.
#[derive(Clone, Debug)]
pub struct PlanJob {
    planner: LayoutPlanner,
    profile: EngineProfile,
    engines: Vec<EngineState>,
    template_check: Option<TemplateCheck>,
}

/// Result of a [`PlanJob`].
#[derive(Clone, Debug)]
pub struct FinishedPlan {
    profile: EngineProfile,
    engines: Vec<EngineState>,
    moves: Vec<LayoutMove>,
    template_check: Option<TemplateCheck>,
}

impl PlanCache {
    /// Returns the moves of [`LayoutPlanner::plan`], recomputed only if an input has changed.
    ///
    /// The order of `engines` does not matter.
    pub fn plan(
        &mut self,
        planner: &LayoutPlanner,
        profile: &EngineProfile,
        engines: Vec<EngineState>,
    ) -> Vec<LayoutMove> {
        if let Some(job) = self.start_job(planner, profile, engines) {
            self.finish_job(job.run());
        }
        self.cached
            .as_ref()
            .map(|plan| plan.moves.clone())
            .unwrap_or_default()
    }

    /// Returns the job that computes the plan for new inputs, unless the last plan is for the same
    /// inputs or a job is running.
    pub fn start_job(
        &mut self,
        planner: &LayoutPlanner,
        profile: &EngineProfile,
        mut engines: Vec<EngineState>,
    ) -> Option<PlanJob> {
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        let cached = self.cached.as_ref();
        let is_current =
            cached.is_some_and(|plan| plan.profile == *profile && plan.engines == engines);
        if is_current || self.is_job_running {
            return None;
        }
        self.is_job_running = true;
        Some(PlanJob {
            planner: *planner,
            profile: profile.clone(),
            engines,
            template_check: cached.and_then(|plan| plan.template_check.clone()),
        })
    }

    /// Keeps the result of a job.
    pub fn finish_job(&mut self, plan: FinishedPlan) {
        self.cached = Some(plan);
        self.is_job_running = false;
    }

    /// Ends a job that gave no result.
    pub fn abandon_job(&mut self) {
        self.is_job_running = false;
    }

    /// Returns the moves of the last plan for engines whose state has not changed since.
    pub fn current_moves(&self, engines: &[EngineState]) -> Vec<LayoutMove> {
        let Some(plan) = &self.cached else {
            return Vec::new();
        };
        let moves = plan.moves.iter().filter(|layout_move| {
            let is_moved = |engine: &&EngineState| engine.id == layout_move.engine;
            let planned = plan.engines.iter().find(is_moved);
            planned.is_some() && planned == engines.iter().find(is_moved)
        });
        moves.cloned().collect()
    }
}

impl PlanJob {
    /// Computes the plan.
    pub fn run(mut self) -> FinishedPlan {
        let check = &mut self.template_check;
        let moves = self.planner.plan_after(&self.profile, &self.engines, check);
        FinishedPlan {
            profile: self.profile,
            engines: self.engines,
            moves,
            template_check: self.template_check,
        }
    }
}
