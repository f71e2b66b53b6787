//! What a session does when a step or an endpoint fails.
//!
//! In order: ask over a new connection and go on with the same endpoint; move the KV cache of an
//! endpoint that still answers; feed a replacement from the logged inputs; replace the whole chain
//! and run prompt and delivered tokens again.

use std::time::Instant;

use dandeliondeal_types::{
    EndpointId, ErrorKind, RequestStep, RouteError, SessionStatus, StepAnswer,
};

use crate::session_machine::PlaceAim;
use crate::{
    AttemptNumber, PlanChain, SessionAction, SessionMachine, SessionSignal, SessionStage,
    SessionState,
};

/// Bad answers to one step after which its endpoint counts as failed.
const BAD_ANSWER_LIMIT: u32 = 2;

/// What a failure says of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LossKind {
    /// Only the session is lost there; the endpoint may start it again.
    Session,
    /// The endpoint is not to be used again by this request.
    Endpoint,
}

impl SessionMachine {
    pub(crate) fn on_failed(&mut self, attempt: AttemptNumber, error: RouteError, now: Instant) {
        if error.is_not_run() {
            self.unproved.retain(|unproved| *unproved != attempt);
        }
        if attempt != self.attempt {
            return;
        }
        match self.state() {
            SessionState::Stepping => self.on_step_failed(error),
            SessionState::Asking => self.lose(LossKind::Endpoint, error),
            SessionState::Exporting => self.feed_target(now),
            SessionState::Importing => self.on_import_failed(error, now),
            _ => {}
        }
    }

    fn on_step_failed(&mut self, error: RouteError) {
        match error.kind() {
            ErrorKind::NoAnswer | ErrorKind::Deadline => self.suspect(error),
            ErrorKind::BadAnswer => self.distrust(error),
            ErrorKind::Gone => self.lose(LossKind::Session, error),
            _ => self.lose(LossKind::Endpoint, error),
        }
    }

    pub(crate) fn on_overdue(&mut self, attempt: AttemptNumber) {
        if attempt != self.attempt || self.state() != SessionState::Stepping {
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
        self.suspect(error);
    }

    pub(crate) fn on_bad_answer(&mut self, attempt: AttemptNumber, answer: &StepAnswer) {
        if attempt != self.attempt || self.state() != SessionState::Stepping {
            self.count.bad += 1;
            return;
        }
        let message = format!("answer to another step, {}", answer.name);
        let error = RouteError::new(ErrorKind::BadAnswer, RequestStep::Decode, message);
        let error = match self.pending_endpoint() {
            Some(endpoint) => error.at(endpoint),
            None => error,
        };
        self.distrust(error);
    }

    fn distrust(&mut self, error: RouteError) {
        self.count.bad += 1;
        self.bad_answers += 1;
        if self.bad_answers > BAD_ANSWER_LIMIT {
            self.lose(LossKind::Endpoint, error);
        } else {
            self.suspect(error);
        }
    }

    /// Asks over a new connection where the session stands.
    fn suspect(&mut self, error: RouteError) {
        let Some(endpoint) = self.pending_endpoint() else {
            return;
        };
        if !self.signal(SessionSignal::Suspected) {
            return;
        }
        self.cause = Some(error);
        self.resumes += 1;
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
        if attempt != self.attempt || self.state() != SessionState::Asking {
            return;
        }
        let Some(stage) = self.pending.as_ref().map(|pending| pending.stage) else {
            return;
        };
        if !status.is_some_and(|status| self.is_held(&status)) {
            let error = RouteError::new(
                ErrorKind::Gone,
                RequestStep::Recovery,
                "the session is no longer there",
            );
            let error = error.at(self.stages[stage].endpoint.clone());
            return self.lose(LossKind::Session, error);
        }
        if self.resumes > self.settings.resume_limit {
            return self.start_move(stage);
        }
        if self.signal(SessionSignal::Held) {
            self.count.resumed += 1;
            self.send(true, now);
        }
    }

    /// Whether the engine stands just before or just after the pending step.
    fn is_held(&self, status: &SessionStatus) -> bool {
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

    /// Gives up the pending stage's session and seeks a replacement.
    pub(crate) fn lose(&mut self, kind: LossKind, error: RouteError) {
        let stage = match (&self.pending, &self.target) {
            (Some(pending), _) => pending.stage,
            (None, Some(target)) => target.stage,
            (None, None) => return,
        };
        if !self.signal(SessionSignal::Lost) {
            return;
        }
        if !error.is_not_run() {
            self.keep_open_start();
        }
        if kind == LossKind::Endpoint {
            let endpoint = self.stages[stage].endpoint.clone();
            self.failed.push(endpoint);
        }
        self.seek(stage, error);
    }

    pub(crate) fn seek(&mut self, stage: usize, error: RouteError) {
        self.cause = Some(error);
        self.pending = None;
        self.lost = Some(stage);
        self.replaces += 1;
        if self.replaces > self.settings.replace_limit {
            return self.give_up(
                ErrorKind::Overloaded,
                "no replacement went on with the request",
            );
        }
        self.place(PlaceAim::Replace(stage));
    }

    /// Asks for a chain.
    pub(crate) fn place(&mut self, aim: PlaceAim) {
        self.aim = aim;
        let mut avoid = self.failed.clone();
        let range = match aim {
            PlaceAim::First | PlaceAim::Whole => self.layers(),
            PlaceAim::Replace(stage) | PlaceAim::Move(stage) => {
                avoid.extend(self.others(stage));
                self.stages[stage].range
            }
        };
        if let PlaceAim::Move(stage) = aim {
            avoid.push(self.stages[stage].endpoint.clone());
        }
        self.actions.push(SessionAction::Place { range, avoid });
    }

    /// Endpoints of the other stages; an engine keeps one session a request.
    fn others(&self, stage: usize) -> impl Iterator<Item = EndpointId> {
        self.stages
            .iter()
            .enumerate()
            .filter(move |(index, _)| *index != stage)
            .map(|(_, other)| other.endpoint.clone())
    }

    pub(crate) fn on_placed(&mut self, chain: Option<PlanChain>, now: Instant) {
        if self.state() != SessionState::Placing {
            return;
        }
        let range = match self.aim {
            PlaceAim::First | PlaceAim::Whole => self.layers(),
            PlaceAim::Replace(stage) | PlaceAim::Move(stage) => self.stages[stage].range,
        };
        let chain = chain.filter(|chain| chain.covers(range));
        match (self.aim, chain) {
            (PlaceAim::First | PlaceAim::Whole, Some(chain)) => self.install_whole(&chain, now),
            (PlaceAim::Replace(stage), Some(chain)) => self.install_range(stage, &chain, now),
            (PlaceAim::Move(stage), Some(chain)) => self.export(stage, &chain, now),
            (PlaceAim::First, None) => {
                self.give_up(
                    ErrorKind::Overloaded,
                    "no chain of usable endpoints covers the model",
                );
            }
            (PlaceAim::Replace(_), None) => self.place(PlaceAim::Whole),
            (PlaceAim::Move(stage), None) => self.stay(stage, now),
            (PlaceAim::Whole, None) => self.pause(),
        }
    }

    fn pause(&mut self) {
        self.replaces += 1;
        if self.replaces > self.settings.replace_limit {
            return self.give_up(
                ErrorKind::Overloaded,
                "no chain of usable endpoints is left",
            );
        }
        if self.signal(SessionSignal::Unplaced) {
            self.actions.push(SessionAction::Pause {
                wait: self.settings.place_pause,
            });
        }
    }

    pub(crate) fn on_resume(&mut self) {
        if self.state() != SessionState::Paused || !self.signal(SessionSignal::Resumed) {
            return;
        }
        // What failed before the pause may be back; a new lineage keeps its old work apart.
        self.failed.clear();
        let aim = match self.lost.filter(|stage| *stage < self.stages.len()) {
            Some(stage) => PlaceAim::Replace(stage),
            None => PlaceAim::Whole,
        };
        self.place(aim);
    }

    fn install_whole(&mut self, chain: &PlanChain, now: Instant) {
        if !self.signal(SessionSignal::Placed) {
            return;
        }
        if self.aim == PlaceAim::Whole {
            self.count.restarted += 1;
        }
        for index in 0..self.stages.len() {
            self.cancel_unless_used(index, chain);
        }
        self.stages = self.new_stages(chain);
        self.lost = None;
        self.advance(now);
    }

    /// Puts `chain` in the place of one stage and feeds it from that stage's log.
    pub(crate) fn install_range(&mut self, index: usize, chain: &PlanChain, now: Instant) {
        if !self.signal(SessionSignal::Placed) {
            return;
        }
        self.count.fed += 1;
        self.cancel_unless_used(index, chain);
        let mut stages = self.new_stages(chain);
        stages[0].log = std::mem::take(&mut self.stages[index].log);
        self.stages.splice(index..=index, stages);
        self.rewind(index);
        self.lost = None;
        self.target = None;
        self.advance(now);
    }

    /// Runs again as many earlier stages as it takes to have all inputs of `index`.
    fn rewind(&mut self, index: usize) {
        let mut first = index;
        while first > 0 && !self.stages[first].log.is_whole() {
            self.stages[first].log.clear();
            first -= 1;
        }
        for stage in first..index {
            let lineage = self.next_lineage();
            self.stages[stage].restart(lineage);
            self.count.rerun += 1;
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

    fn cancel_unless_used(&mut self, index: usize, chain: &PlanChain) {
        let endpoint = &self.stages[index].endpoint;
        let is_used = chain.stages.iter().any(|stage| stage.endpoint == *endpoint);
        if !is_used {
            self.cancel(index);
        }
    }
}
