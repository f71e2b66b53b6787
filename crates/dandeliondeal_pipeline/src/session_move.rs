//! Moves a stage and its KV cache away from an endpoint that still answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, ErrorKind, Lineage, Position, RouteError, SessionStatus};

use crate::session_machine::ChainUse;
use crate::{
    AttemptNumber, PlanChain, SessionAction, SessionMachine, SessionSignal, SessionStage,
    SessionState,
};

/// The endpoint that a stage moves to.
#[derive(Clone, Debug)]
pub(crate) struct MoveTarget {
    /// Index of the stage that moves.
    pub(crate) stage: usize,
    pub(crate) endpoint: EndpointId,
    /// Lineage at the new endpoint; 0 until the KV cache has been exported.
    pub(crate) lineage: Lineage,
    /// The chain of one stage that contains the new endpoint.
    chain: PlanChain,
}

impl SessionMachine {
    pub(crate) fn on_leaving(&mut self, endpoint: &EndpointId) {
        for stage in &mut self.stages {
            stage.is_leaving |= stage.endpoint == *endpoint;
        }
    }

    /// Returns the first stage on a leaving endpoint, if the request needs longer than the grace.
    pub(crate) fn stage_to_move(&self) -> Option<usize> {
        let remaining_tokens = self.spec.max_tokens.saturating_sub(self.generated().len());
        let token_time = self
            .stages
            .iter()
            .filter_map(|stage| stage.estimate.mean())
            .sum::<Duration>();
        let remaining_time =
            token_time.saturating_mul(u32::try_from(remaining_tokens).unwrap_or(u32::MAX));
        if remaining_time <= self.settings.leave_grace {
            return None;
        }
        self.stages
            .iter()
            .position(|stage| stage.is_leaving && stage.next_position > 0)
    }

    /// Requests another endpoint for a stage whose current endpoint still answers.
    pub(crate) fn start_move(&mut self, stage: usize) {
        if self.apply_signal(SessionSignal::Lost) {
            self.request_chain(ChainUse::MoveStage(stage));
        }
    }

    /// Continues on the current endpoint, since no other endpoint covers the stage's range.
    pub(crate) fn keep_stage(&mut self, stage: usize, now: Instant) {
        if !self.apply_signal(SessionSignal::Placed) {
            return;
        }
        self.stages[stage].is_leaving = false;
        if self.pending.is_some() {
            self.resume_count = self.settings.resume_limit;
            self.send_step(true, now);
        } else {
            self.advance(now);
        }
    }

    /// Requests the KV cache of a stage, or replays its inputs if `chain` has several stages.
    pub(crate) fn start_export(&mut self, stage: usize, chain: &PlanChain, now: Instant) {
        self.record_unanswered_start();
        self.pending = None;
        let [new_stage] = chain.stages.as_slice() else {
            return self.replace_stage(stage, chain, now);
        };
        if !self.apply_signal(SessionSignal::Moving) {
            return;
        }
        self.move_target = Some(MoveTarget {
            stage,
            endpoint: new_stage.endpoint.clone(),
            lineage: 0,
            chain: chain.clone(),
        });
        let attempt = self.next_attempt();
        self.actions.push(SessionAction::Export {
            attempt,
            endpoint: self.stages[stage].endpoint.clone(),
            timeout: self.settings.transfer_timeout,
        });
    }

    pub(crate) fn on_exported(&mut self, attempt: AttemptNumber, cache: Arc<str>) {
        if attempt != self.last_attempt || !self.apply_signal(SessionSignal::Exported) {
            return;
        }
        let lineage = self.next_lineage();
        let attempt = self.next_attempt();
        let Some(target) = &mut self.move_target else {
            return;
        };
        target.lineage = lineage;
        self.actions.push(SessionAction::Import {
            attempt,
            endpoint: target.endpoint.clone(),
            lineage,
            cache,
            timeout: self.settings.transfer_timeout,
        });
    }

    pub(crate) fn on_imported(
        &mut self,
        attempt: AttemptNumber,
        status: &SessionStatus,
        now: Instant,
    ) {
        if attempt != self.last_attempt || self.state() != SessionState::Importing {
            return;
        }
        let Some(target) = self.move_target.clone() else {
            return;
        };
        let Some(next_position) = self.usable_position(&target, status) else {
            return self.replay_to_target(now);
        };
        if !self.apply_signal(SessionSignal::Transferred) {
            return;
        }
        self.counters.imported += 1;
        self.move_target = None;
        self.cancel_stage(target.stage);
        let old_stage = &mut self.stages[target.stage];
        let new_stage = SessionStage {
            next_position,
            log: std::mem::take(&mut old_stage.log),
            last_contact: Some(now),
            ..SessionStage::new(target.endpoint, old_stage.range, target.lineage)
        };
        *old_stage = new_stage;
        self.advance(now);
    }

    /// Returns the imported position if the stage can continue from it.
    ///
    /// The inputs from it on have to be available, and it must not be ahead of the last answer.
    fn usable_position(&self, target: &MoveTarget, status: &SessionStatus) -> Option<Position> {
        let stage = &self.stages[target.stage];
        let position = status.next_position;
        let is_same = status.request == self.spec.request
            && status.lineage == target.lineage
            && status.range == stage.range;
        let is_logged = target.stage == 0 || stage.log.first_position() <= position;
        (is_same && is_logged && position <= stage.next_position).then_some(position)
    }

    /// Replays the logged inputs at the chosen endpoint, since the KV cache was not transferred.
    pub(crate) fn replay_to_target(&mut self, now: Instant) {
        if let Some(target) = self.move_target.clone() {
            self.replace_stage(target.stage, &target.chain, now);
        }
    }

    pub(crate) fn on_import_failed(&mut self, error: RouteError, now: Instant) {
        if error.kind() == ErrorKind::InvalidInput {
            return self.replay_to_target(now);
        }
        let Some(target) = self.move_target.take() else {
            return;
        };
        if self.apply_signal(SessionSignal::Lost) {
            self.failed_endpoints.push(target.endpoint);
            self.request_replacement(target.stage, error);
        }
    }
}
