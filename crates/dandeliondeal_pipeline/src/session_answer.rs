//! Checking and taking in the answers to steps.

use std::time::Instant;

use dandeliondeal_types::{StepAnswer, StepCall, Token};

use crate::{AttemptNumber, SessionAction, SessionMachine, SessionSignal, SessionState};

/// What an answer is, beside the step that is pending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerFit {
    /// It answers the pending step.
    Matching,
    /// It belongs to another request.
    Crossed,
    /// It belongs to an earlier step.
    Stale,
    /// It does not answer the call that it came for.
    Bad,
}

impl SessionMachine {
    pub(crate) fn on_answer(&mut self, attempt: AttemptNumber, answer: &StepAnswer, now: Instant) {
        match self.fit(attempt, answer) {
            AnswerFit::Matching => self.take_in(attempt, answer, now),
            AnswerFit::Crossed => self.count.crossed += 1,
            AnswerFit::Stale => self.count.stale += 1,
            AnswerFit::Bad => self.on_bad_answer(attempt, answer),
        }
    }

    fn fit(&self, attempt: AttemptNumber, answer: &StepAnswer) -> AnswerFit {
        let is_waiting = matches!(self.state(), SessionState::Stepping | SessionState::Asking);
        let asking = self
            .pending
            .as_ref()
            .filter(|pending| is_waiting && pending.was_sent_as(attempt));
        if let Some(pending) = asking {
            let is_same = answer.name == pending.call.name;
            return if is_same && self.is_sound(pending.stage, &pending.call, answer) {
                AnswerFit::Matching
            } else {
                AnswerFit::Bad
            };
        }
        if answer.name.request == self.spec.request {
            AnswerFit::Stale
        } else {
            AnswerFit::Crossed
        }
    }

    fn is_sound(&self, stage: usize, call: &StepCall, answer: &StepAnswer) -> bool {
        let is_last = stage + 1 == self.stages.len();
        let are_tokens = answer
            .outputs
            .iter()
            .all(|output| Token::try_from(*output).is_ok());
        answer.outputs.len() == call.inputs.len() && (!is_last || are_tokens)
    }

    fn take_in(&mut self, attempt: AttemptNumber, answer: &StepAnswer, now: Instant) {
        if !self.signal(SessionSignal::Answered) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.has_run = true;
        self.unproved.clear();
        let positions = answer.outputs.len() as u64;
        let limit = self.settings.log_positions;
        let stage = &mut self.stages[pending.stage];
        stage.applied = answer.name.position + positions;
        stage.log.trim(stage.applied, limit);
        if let Some((_, sent)) = pending.sent.iter().find(|(sent, _)| *sent == attempt)
            && positions == 1
        {
            stage.estimate.record(now.duration_since(*sent));
        }
        match self.stages.get_mut(pending.stage + 1) {
            Some(next) => next.log.append(answer.name.position, &answer.outputs),
            None => self.take_token(answer),
        }
        self.advance(now);
    }

    /// Delivers the last output if it is a token that is not known yet.
    fn take_token(&mut self, answer: &StepAnswer) {
        let end = answer.name.position + answer.outputs.len() as u64;
        if end != self.tokens.len() as u64 {
            return;
        }
        let output = answer.outputs.last().copied().unwrap_or_default();
        let Ok(token) = Token::try_from(output) else {
            return;
        };
        self.tokens.push(token);
        self.replaces = 0;
        self.actions.push(SessionAction::Deliver {
            position: end,
            token,
        });
    }
}
