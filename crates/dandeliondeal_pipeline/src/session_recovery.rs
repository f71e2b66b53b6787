//! Recovery of a session after a failed step or endpoint.
//!
//! The measures, in the order in which they are tried:
//!
//! 1. request the status over a new connection and resume at the same endpoint;
//! 2. move the KV cache from an endpoint that still answers to a replacement;
//! 3. replay the logged inputs at a replacement;
//! 4. replace the whole chain and rerun the prompt and the delivered tokens.

use std::time::Instant;

use dandeliondeal_types::{
    EndpointId, ErrorKind, RequestStep, RouteError, SessionStatus, StepAnswer,
};

use crate::session_machine::ChainUse;
use crate::{
    AttemptNumber, PlanChain, SessionAction, SessionMachine, SessionSignal, SessionStage,
    SessionState,
};

/// Number of invalid answers to one step that are tolerated before its endpoint counts as failed.
const BAD_ANSWER_LIMIT: u32 = 2;

/// What a failure has made unusable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LossKind {
    /// Only the session; the endpoint may be used again.
    Session,
    /// The endpoint; this request avoids it until no chain without it is left.
    Endpoint,
}

impl SessionMachine {
    pub(crate) fn on_failed(&mut self, attempt: AttemptNumber, error: RouteError, now: Instant) {
        if error.is_not_run() {
            self.uncertain_attempts
                .retain(|uncertain| *uncertain != attempt);
        }
        if attempt != self.last_attempt {
            return;
        }
        match self.state() {
            SessionState::Stepping => self.on_step_failed(error),
            SessionState::Asking => self.handle_loss(LossKind::Endpoint, error),
            SessionState::Exporting => self.replay_to_target(now),
            SessionState::Importing => self.on_import_failed(error, now),
            _ => {}
        }
    }

    fn on_step_failed(&mut self, error: RouteError) {
        match error.kind() {
            ErrorKind::NoAnswer | ErrorKind::Deadline => self.request_status(error),
            ErrorKind::BadAnswer => self.handle_bad_answer(error),
            ErrorKind::Gone => self.handle_loss(LossKind::Session, error),
            _ => self.handle_loss(LossKind::Endpoint, error),
        }
    }

    pub(crate) fn on_overdue(&mut self, attempt: AttemptNumber) {
        if attempt != self.last_attempt || self.state() != SessionState::Stepping {
            return;
        }
        let error = RouteError::new(
            ErrorKind::NoAnswer,
            RequestStep::Decode,
            "no answer within the step's timeout",
        );
        let error = match self.pending_endpoint() {
            Some(endpoint) => error.at(endpoint),
            None => error,
        };
        self.request_status(error);
    }

    pub(crate) fn on_bad_answer(&mut self, attempt: AttemptNumber, answer: &StepAnswer) {
        if attempt != self.last_attempt || self.state() != SessionState::Stepping {
            self.counters.invalid += 1;
            return;
        }
        let message = format!("answer to another step, {}", answer.name);
        let error = RouteError::new(ErrorKind::BadAnswer, RequestStep::Decode, message);
        let error = match self.pending_endpoint() {
            Some(endpoint) => error.at(endpoint),
            None => error,
        };
        self.handle_bad_answer(error);
    }

    /// Counts an invalid answer; after too many the endpoint counts as failed.
    fn handle_bad_answer(&mut self, error: RouteError) {
        self.counters.invalid += 1;
        self.bad_answer_count += 1;
        if self.bad_answer_count > BAD_ANSWER_LIMIT {
            self.handle_loss(LossKind::Endpoint, error);
        } else {
            self.request_status(error);
        }
    }

    /// Requests the session's status from the endpoint over a new connection.
    fn request_status(&mut self, error: RouteError) {
        let Some(endpoint) = self.pending_endpoint() else {
            return;
        };
        if !self.apply_signal(SessionSignal::Suspected) {
            return;
        }
        self.last_error = Some(error);
        self.resume_count += 1;
        let attempt = self.next_attempt();
        self.actions.push(SessionAction::Ask {
            attempt,
            endpoint,
            timeout: self.settings.ask_timeout,
        });
    }

    pub(crate) fn on_status(
        &mut self,
        attempt: AttemptNumber,
        status: Option<SessionStatus>,
        now: Instant,
    ) {
        if attempt != self.last_attempt || self.state() != SessionState::Asking {
            return;
        }
        let Some(stage) = self.pending.as_ref().map(|pending| pending.stage) else {
            return;
        };
        if !status.is_some_and(|status| self.matches_pending_step(&status)) {
            let error = RouteError::new(
                ErrorKind::Gone,
                RequestStep::Recovery,
                "the session is no longer there",
            );
            let error = error.at(self.stages[stage].endpoint.clone());
            return self.handle_loss(LossKind::Session, error);
        }
        if self.resume_count > self.settings.resume_limit {
            return self.start_move(stage);
        }
        if self.apply_signal(SessionSignal::Held) {
            self.counters.resumed += 1;
            self.send_step(true, now);
        }
    }

    /// Returns whether the engine is positioned just before or just after the pending step.
    fn matches_pending_step(&self, status: &SessionStatus) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        let name = &pending.call.name;
        let after = name.position + pending.call.inputs.len() as u64;
        let is_same = status.request == name.request
            && status.lineage == name.lineage
            && status.range == name.range;
        is_same && (status.next_position == name.position || status.next_position == after)
    }

    fn pending_endpoint(&self) -> Option<EndpointId> {
        let pending = self.pending.as_ref()?;
        Some(self.stages[pending.stage].endpoint.clone())
    }

    /// Abandons the session of the affected stage and requests a replacement.
    pub(crate) fn handle_loss(&mut self, kind: LossKind, error: RouteError) {
        let stage = match (&self.pending, &self.move_target) {
            (Some(pending), _) => pending.stage,
            (None, Some(target)) => target.stage,
            (None, None) => return,
        };
        if !self.apply_signal(SessionSignal::Lost) {
            return;
        }
        if !error.is_not_run() {
            self.record_unanswered_start();
        }
        if kind == LossKind::Endpoint {
            let endpoint = self.stages[stage].endpoint.clone();
            self.failed_endpoints.push(endpoint);
        }
        self.request_replacement(stage, error);
    }

    /// Requests a replacement for a stage, or fails the request after too many replacements.
    pub(crate) fn request_replacement(&mut self, stage: usize, error: RouteError) {
        self.last_error = Some(error);
        self.pending = None;
        self.lost_stage = Some(stage);
        self.replacement_count += 1;
        if self.replacement_count > self.settings.replace_limit {
            return self.fail_request(
                ErrorKind::Overloaded,
                "no replacement went on with the request",
            );
        }
        self.request_chain(ChainUse::ReplaceStage(stage));
    }

    /// Requests a chain; endpoints that must not be used are excluded.
    pub(crate) fn request_chain(&mut self, chain_use: ChainUse) {
        self.chain_use = chain_use;
        let mut avoid = self.failed_endpoints.clone();
        let range = match chain_use {
            ChainUse::Initial | ChainUse::Whole => self.model_range(),
            ChainUse::ReplaceStage(stage) | ChainUse::MoveStage(stage) => {
                avoid.extend(self.other_endpoints(stage));
                self.stages[stage].range
            }
        };
        if let ChainUse::MoveStage(stage) = chain_use {
            avoid.push(self.stages[stage].endpoint.clone());
        }
        self.actions.push(SessionAction::Place { range, avoid });
    }

    /// Returns the endpoints of the other stages, since an engine keeps one session per request.
    fn other_endpoints(&self, stage: usize) -> impl Iterator<Item = EndpointId> {
        self.stages
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != stage)
            .map(|(_, stage)| stage.endpoint.clone())
    }

    pub(crate) fn on_placed(&mut self, chain: Option<PlanChain>, now: Instant) {
        if self.state() != SessionState::Placing {
            return;
        }
        let range = match self.chain_use {
            ChainUse::Initial | ChainUse::Whole => self.model_range(),
            ChainUse::ReplaceStage(stage) | ChainUse::MoveStage(stage) => self.stages[stage].range,
        };
        let chain = chain.filter(|chain| chain.covers(range));
        match (self.chain_use, chain) {
            (ChainUse::Initial | ChainUse::Whole, Some(chain)) => self.install_chain(&chain, now),
            (ChainUse::ReplaceStage(stage), Some(chain)) => self.replace_stage(stage, &chain, now),
            (ChainUse::MoveStage(stage), Some(chain)) => self.start_export(stage, &chain, now),
            (ChainUse::Initial, None) => {
                self.fail_request(
                    ErrorKind::Overloaded,
                    "no chain of usable endpoints covers the model",
                );
            }
            (ChainUse::ReplaceStage(_), None) => self.request_chain(ChainUse::Whole),
            (ChainUse::MoveStage(stage), None) => self.keep_stage(stage, now),
            (ChainUse::Whole, None) => self.pause_placement(),
        }
    }

    /// Waits before the next attempt to find a chain, or fails the request after too many.
    fn pause_placement(&mut self) {
        self.replacement_count += 1;
        if self.replacement_count > self.settings.replace_limit {
            return self.fail_request(
                ErrorKind::Overloaded,
                "no chain of usable endpoints is left",
            );
        }
        if self.apply_signal(SessionSignal::Unplaced) {
            self.actions.push(SessionAction::Pause {
                wait: self.settings.place_pause,
            });
        }
    }

    pub(crate) fn on_resume(&mut self) {
        if self.state() != SessionState::Paused || !self.apply_signal(SessionSignal::Resumed) {
            return;
        }
        // Endpoints that failed before the pause may have recovered; a new lineage separates the
        // new work from the old.
        self.failed_endpoints.clear();
        let chain_use = match self.lost_stage.filter(|stage| *stage < self.stages.len()) {
            Some(stage) => ChainUse::ReplaceStage(stage),
            None => ChainUse::Whole,
        };
        self.request_chain(chain_use);
    }

    /// Replaces all stages by those of `chain`.
    fn install_chain(&mut self, chain: &PlanChain, now: Instant) {
        if !self.apply_signal(SessionSignal::Placed) {
            return;
        }
        if self.chain_use == ChainUse::Whole {
            self.counters.restarted += 1;
        }
        for index in 0..self.stages.len() {
            self.cancel_if_unused(index, chain);
        }
        self.stages = self.new_stages(chain);
        self.lost_stage = None;
        self.advance(now);
    }

    /// Replaces one stage by the stages of `chain` and replays that stage's logged inputs.
    pub(crate) fn replace_stage(&mut self, index: usize, chain: &PlanChain, now: Instant) {
        if !self.apply_signal(SessionSignal::Placed) {
            return;
        }
        self.counters.replayed += 1;
        self.cancel_if_unused(index, chain);
        let mut stages = self.new_stages(chain);
        stages[0].log = std::mem::take(&mut self.stages[index].log);
        self.stages.splice(index..=index, stages);
        self.restart_upstream_stages(index);
        self.lost_stage = None;
        self.move_target = None;
        self.advance(now);
    }

    /// Restarts earlier stages as far back as needed to reproduce the trimmed inputs of `index`.
    fn restart_upstream_stages(&mut self, index: usize) {
        let mut first = index;
        while first > 0 && !self.stages[first].log.is_complete() {
            self.stages[first].log.clear();
            first -= 1;
        }
        for stage in first..index {
            let lineage = self.next_lineage();
            self.stages[stage].restart(lineage);
            self.counters.rerun += 1;
        }
    }

    fn new_stages(&mut self, chain: &PlanChain) -> Vec<SessionStage> {
        chain
            .stages
            .iter()
            .map(|stage| {
                let lineage = self.next_lineage();
                SessionStage::new(stage.endpoint.clone(), stage.range, lineage)
            })
            .collect()
    }

    /// Cancels a stage's session, unless `chain` uses its endpoint too.
    fn cancel_if_unused(&mut self, index: usize, chain: &PlanChain) {
        let endpoint = &self.stages[index].endpoint;
        let is_used = chain.stages.iter().any(|stage| stage.endpoint == *endpoint);
        if !is_used {
            self.cancel_stage(index);
        }
    }
}
