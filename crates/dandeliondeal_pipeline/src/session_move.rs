//! Moving a stage with its KV cache, away from an endpoint that still answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, ErrorKind, Lineage, Position, RouteError, SessionStatus};

use crate::session_machine::PlaceAim;
use crate::{
    AttemptNumber, PlanChain, SessionAction, SessionMachine, SessionSignal, SessionStage,
    SessionState,
};

/// Where a stage moves to.
#[derive(Clone, Debug)]
pub(crate) struct MoveTarget {
    pub(crate) stage: usize,
    pub(crate) endpoint: EndpointId,
    pub(crate) lineage: Lineage,
    chain: PlanChain,
}

impl SessionMachine {
    pub(crate) fn on_leaving(&mut self, endpoint: &EndpointId) {
        for stage in &mut self.stages {
            stage.is_leaving |= stage.endpoint == *endpoint;
        }
    }

    /// The first stage whose endpoint leaves before the request is expected to end.
    pub(crate) fn stage_to_move(&self) -> Option<usize> {
        let left = self.spec.max_tokens.saturating_sub(self.generated().len());
        let token_time = self
            .stages
            .iter()
            .filter_map(|stage| stage.estimate.mean())
            .sum::<Duration>();
        let rest = token_time.saturating_mul(u32::try_from(left).unwrap_or(u32::MAX));
        if rest <= self.settings.leave_grace {
            return None;
        }
        self.stages
            .iter()
            .position(|stage| stage.is_leaving && stage.applied > 0)
    }

    /// Seeks another endpoint for a stage whose own still answers.
    pub(crate) fn start_move(&mut self, stage: usize) {
        if self.signal(SessionSignal::Lost) {
            self.place(PlaceAim::Move(stage));
        }
    }

    /// Goes on where the stage is, since no other endpoint has its range.
    pub(crate) fn stay(&mut self, stage: usize, now: Instant) {
        if !self.signal(SessionSignal::Placed) {
            return;
        }
        self.stages[stage].is_leaving = false;
        if self.pending.is_some() {
            self.resumes = self.settings.resume_limit;
            self.send(true, now);
        } else {
            self.advance(now);
        }
    }

    pub(crate) fn export(&mut self, stage: usize, chain: &PlanChain, now: Instant) {
        self.keep_open_start();
        self.pending = None;
        let [only] = chain.stages.as_slice() else {
            return self.install_range(stage, chain, now);
        };
        if !self.signal(SessionSignal::Moving) {
            return;
        }
        self.target = Some(MoveTarget {
            stage,
            endpoint: only.endpoint.clone(),
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
        if attempt != self.attempt || !self.signal(SessionSignal::Exported) {
            return;
        }
        let lineage = self.next_lineage();
        let attempt = self.next_attempt();
        let Some(target) = &mut self.target else {
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
        if attempt != self.attempt || self.state() != SessionState::Importing {
            return;
        }
        let Some(target) = self.target.clone() else {
            return;
        };
        let Some(applied) = self.usable_position(&target, status) else {
            return self.feed_target(now);
        };
        if !self.signal(SessionSignal::Transferred) {
            return;
        }
        self.count.imported += 1;
        self.target = None;
        self.cancel(target.stage);
        let old = &mut self.stages[target.stage];
        let stage = SessionStage {
            applied,
            log: std::mem::take(&mut old.log),
            touched: Some(now),
            ..SessionStage::new(target.endpoint, old.range, target.lineage)
        };
        *old = stage;
        self.advance(now);
    }

    /// The imported position, if the missing ones can be fed and none is ahead of its answer.
    fn usable_position(&self, target: &MoveTarget, status: &SessionStatus) -> Option<Position> {
        let stage = &self.stages[target.stage];
        let position = status.next_position;
        let is_same = status.request == self.spec.request
            && status.lineage == target.lineage
            && status.range == stage.range;
        let is_logged = target.stage == 0 || stage.log.first() <= position;
        (is_same && is_logged && position <= stage.applied).then_some(position)
    }

    /// Feeds the chosen replacement from the log, since the cache did not come over.
    pub(crate) fn feed_target(&mut self, now: Instant) {
        if let Some(target) = self.target.clone() {
            self.install_range(target.stage, &target.chain, now);
        }
    }

    pub(crate) fn on_import_failed(&mut self, error: RouteError, now: Instant) {
        if error.kind() == ErrorKind::InvalidInput {
            return self.feed_target(now);
        }
        let Some(target) = self.target.take() else {
            return;
        };
        if self.signal(SessionSignal::Lost) {
            self.failed.push(target.endpoint);
            self.seek(target.stage, error);
        }
    }
}
