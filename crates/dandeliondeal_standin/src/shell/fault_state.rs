//! The failures that a stand-in brings about.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StandinCall;

/// In what way an engine's answer is wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadAnswer {
    /// It names other layers.
    Range,
    /// It names another position.
    Position,
    /// It names another request.
    Request,
    /// It is not JSON.
    #[default]
    Malformed,
    /// It is far longer than any answer.
    Oversized,
}

/// Changes the faults in force; a field that is `None` stays as it was.
///
/// # Examples
///
/// ```
/// use dandeliondeal_standin::FaultChange;
///
/// let change = FaultChange { lose_answers: Some(1), ..FaultChange::default() };
/// assert_eq!(change.outage, None);
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Milliseconds added to each answer.
    pub slow_milliseconds: Option<u64>,
    /// Every connection open now goes silent for good; new ones work.
    pub silence_connections: Option<bool>,
    /// The next so many calls take effect and are never answered.
    pub lose_answers: Option<u32>,
    /// The next so many calls take no effect and are never answered.
    pub lose_calls: Option<u32>,
    /// Delay after which a delayed write takes effect.
    pub delay_writes_milliseconds: Option<u64>,
    /// Platform: the next so many writes are never answered and take effect late.
    pub delay_writes: Option<u32>,
    /// The next so many calls take effect, and their connection is closed.
    pub reset_answers: Option<u32>,
    /// Every call gets 503.
    pub outage: Option<bool>,
    /// No call is answered, or takes effect, until it ends.
    pub freeze: Option<bool>,
    /// Engine: no new sessions.
    pub leaving: Option<bool>,
    /// Platform: age of the instance list.
    pub list_lag_milliseconds: Option<u64>,
    /// Engine: the next so many step answers are wrong.
    pub bad_answers: Option<u32>,
    /// Engine: in what way they are wrong.
    pub bad_answer: Option<BadAnswer>,
    /// Counted faults hit only calls with this method; empty for all.
    pub only_method: Option<Arc<str>>,
    /// Counted faults hit only calls whose path starts so; empty for all.
    pub only_path: Option<Arc<str>>,
    /// The stand-in ends at once.
    pub die: Option<bool>,
}

/// The faults in force.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StandinFaults {
    /// Milliseconds added to each answer.
    pub slow_milliseconds: u64,
    /// Calls left whose answer is lost.
    pub lose_answers: u32,
    /// Calls left that are lost.
    pub lose_calls: u32,
    /// Delay after which a delayed write takes effect.
    pub delay_writes_milliseconds: u64,
    /// Writes left that are delayed.
    pub delay_writes: u32,
    /// Calls left whose connection is closed.
    pub reset_answers: u32,
    /// Whether every call gets 503.
    pub outage: bool,
    /// Whether no call is answered or takes effect.
    pub freeze: bool,
    /// Whether new sessions are refused.
    pub leaving: bool,
    /// Age of the instance list.
    pub list_lag_milliseconds: u64,
    /// Step answers left that are wrong.
    pub bad_answers: u32,
    /// In what way they are wrong.
    pub bad_answer: BadAnswer,
    /// Method that counted faults are limited to.
    pub only_method: Arc<str>,
    /// Start of the paths that counted faults are limited to.
    pub only_path: Arc<str>,
}

/// What a counted fault does to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFate {
    Answer,
    LoseCall,
    LoseAnswer,
    ResetAnswer,
}

impl StandinFaults {
    pub(crate) fn apply(&mut self, change: FaultChange) {
        set(&mut self.slow_milliseconds, change.slow_milliseconds);
        set(&mut self.lose_answers, change.lose_answers);
        set(&mut self.lose_calls, change.lose_calls);
        set(
            &mut self.delay_writes_milliseconds,
            change.delay_writes_milliseconds,
        );
        set(&mut self.delay_writes, change.delay_writes);
        set(&mut self.reset_answers, change.reset_answers);
        set(&mut self.outage, change.outage);
        set(&mut self.freeze, change.freeze);
        set(&mut self.leaving, change.leaving);
        set(
            &mut self.list_lag_milliseconds,
            change.list_lag_milliseconds,
        );
        set(&mut self.bad_answers, change.bad_answers);
        set(&mut self.bad_answer, change.bad_answer);
        set(&mut self.only_method, change.only_method);
        set(&mut self.only_path, change.only_path);
    }

    /// Takes one from the first counted fault that is left.
    pub(crate) fn take_fate(&mut self, call: &StandinCall) -> CallFate {
        if !self.hits(call) {
            return CallFate::Answer;
        }
        if take_one(&mut self.lose_calls) {
            return CallFate::LoseCall;
        }
        if take_one(&mut self.lose_answers) {
            return CallFate::LoseAnswer;
        }
        if take_one(&mut self.reset_answers) {
            return CallFate::ResetAnswer;
        }
        CallFate::Answer
    }

    pub(crate) fn take_delayed_write(&mut self, call: &StandinCall) -> bool {
        self.hits(call) && take_one(&mut self.delay_writes)
    }

    pub(crate) fn take_bad_answer(&mut self) -> Option<BadAnswer> {
        take_one(&mut self.bad_answers).then_some(self.bad_answer)
    }

    fn hits(&self, call: &StandinCall) -> bool {
        let is_method = self.only_method.is_empty() || *self.only_method == *call.method;
        is_method && call.path.starts_with(&*self.only_path)
    }
}

fn set<Value>(field: &mut Value, change: Option<Value>) {
    if let Some(value) = change {
        *field = value;
    }
}

fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
