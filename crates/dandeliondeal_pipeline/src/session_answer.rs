//! Validation and processing of the answers to steps.

use std::time::Instant;

use dandeliondeal_types::{StepAnswer, StepCall, Token};

use crate::{AttemptNumber, SessionAction, SessionMachine, SessionSignal, SessionState};

/// How an answer relates to the pending step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerClass {
    /// A valid answer to the pending step.
    Matching,
    /// An answer to another request.
    OtherRequest,
    /// An answer to an earlier step or lineage of this request.
    Stale,
    /// An invalid answer to a call that sent the pending step.
    Invalid,
}

impl SessionMachine {
    pub(crate) fn on_answer(&mut self, attempt: AttemptNumber, answer: &StepAnswer, now: Instant) {
        match self.classify_answer(attempt, answer) {
            AnswerClass::Matching => self.apply_answer(attempt, answer, now),
            AnswerClass::OtherRequest => self.counters.other_request += 1,
            AnswerClass::Stale => self.counters.stale += 1,
            AnswerClass::Invalid => self.on_bad_answer(attempt, answer),
        }
    }

    fn classify_answer(&self, attempt: AttemptNumber, answer: &StepAnswer) -> AnswerClass {
        let is_waiting = matches!(self.state(), SessionState::Stepping | SessionState::Asking);
        let matching = self
            .pending
            .as_ref()
            .filter(|pending| is_waiting && pending.includes_attempt(attempt));
        if let Some(pending) = matching {
            let is_same = answer.name == pending.call.name;
            return if is_same && self.is_valid_answer(pending.stage, &pending.call, answer) {
                AnswerClass::Matching
            } else {
                AnswerClass::Invalid
            };
        }
        if answer.name.request == self.spec.request {
            AnswerClass::Stale
        } else {
            AnswerClass::OtherRequest
        }
    }

    /// Checks that there is one output per input, and that the last stage returns tokens.
    fn is_valid_answer(&self, stage: usize, call: &StepCall, answer: &StepAnswer) -> bool {
        let is_last = stage + 1 == self.stages.len();
        let are_tokens = answer
            .outputs
            .iter()
            .all(|output| Token::try_from(*output).is_ok());
        answer.outputs.len() == call.inputs.len() && (!is_last || are_tokens)
    }

    /// Records a matching answer, passes its outputs on and sends the next step.
    fn apply_answer(&mut self, attempt: AttemptNumber, answer: &StepAnswer, now: Instant) {
        if !self.apply_signal(SessionSignal::Answered) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.has_confirmed_step = true;
        self.uncertain_attempts.clear();
        let positions = answer.outputs.len() as u64;
        let limit = self.settings.log_positions;
        let stage = &mut self.stages[pending.stage];
        stage.next_position = answer.name.position + positions;
        stage.log.trim(stage.next_position, limit);
        if let Some((_, sent_at)) = pending.sent.iter().find(|(sent, _)| *sent == attempt)
            && positions == 1
        {
            stage.estimate.record(now.duration_since(*sent_at));
        }
        match self.stages.get_mut(pending.stage + 1) {
            Some(next) => next.log.append(answer.name.position, &answer.outputs),
            None => self.deliver_token(answer),
        }
        self.advance(now);
    }

    /// Delivers the last output if it is the next token; in a rerun the token may be known already.
    fn deliver_token(&mut self, answer: &StepAnswer) {
        let end = answer.name.position + answer.outputs.len() as u64;
        if end != self.tokens.len() as u64 {
            return;
        }
        let output = answer.outputs.last().copied().unwrap_or_default();
        let Ok(token) = Token::try_from(output) else {
            return;
        };
        self.tokens.push(token);
        self.replacement_count = 0;
        self.actions.push(SessionAction::Deliver {
            position: end,
            token,
        });
    }
}
