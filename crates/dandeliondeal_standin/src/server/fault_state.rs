//! The faults that a stand-in injects.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StandinCall;

/// The way in which an engine's answer is wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadAnswer {
    /// It contains another layer range.
    Range,
    /// It contains another position.
    Position,
    /// It contains another request id.
    Request,
    /// It is not valid JSON.
    #[default]
    Malformed,
    /// It is far larger than any valid answer.
    Oversized,
}

/// A change to the active faults; a field that is `None` leaves its fault unchanged.
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
    /// Delay that is added to each answer, in milliseconds.
    pub slow_milliseconds: Option<u64>,
    /// Silences every open connection permanently; new connections work.
    pub silence_connections: Option<bool>,
    /// Number of following calls that take effect but get no answer.
    pub lose_answers: Option<u32>,
    /// Number of following calls that neither take effect nor get an answer.
    pub lose_calls: Option<u32>,
    /// Time after which a delayed write takes effect, in milliseconds.
    pub delay_writes_milliseconds: Option<u64>,
    /// Platform: number of following writes that get no answer and take effect after a delay.
    pub delay_writes: Option<u32>,
    /// Number of following calls that take effect and whose connection closes without an answer.
    pub reset_answers: Option<u32>,
    /// Answers every call with status 503.
    pub outage: Option<bool>,
    /// Delays every call until the freeze ends: none is answered or takes effect.
    pub freeze: Option<bool>,
    /// Engine: refuses new sessions.
    pub leaving: Option<bool>,
    /// Platform: delay of the instance list, in milliseconds.
    pub list_lag_milliseconds: Option<u64>,
    /// Engine: number of following step answers that are wrong.
    pub bad_answers: Option<u32>,
    /// Engine: the way in which these answers are wrong.
    pub bad_answer: Option<BadAnswer>,
    /// Limits lost calls, lost or reset answers and delayed writes to calls with this method; empty
    /// for all.
    pub only_method: Option<Arc<str>>,
    /// Limits the same faults to calls whose path has this prefix; empty for all.
    pub only_path: Option<Arc<str>>,
    /// Terminates the stand-in immediately.
    pub die: Option<bool>,
}

/// The active faults.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StandinFaults {
    /// Delay that is added to each answer, in milliseconds.
    pub slow_milliseconds: u64,
    /// Remaining number of calls that take effect but get no answer.
    pub lose_answers: u32,
    /// Remaining number of calls that neither take effect nor get an answer.
    pub lose_calls: u32,
    /// Time after which a delayed write takes effect, in milliseconds.
    pub delay_writes_milliseconds: u64,
    /// Remaining number of writes that are delayed.
    pub delay_writes: u32,
    /// Remaining number of calls whose connection closes without an answer.
    pub reset_answers: u32,
    /// Whether every call gets status 503.
    pub outage: bool,
    /// Whether calls are delayed until the freeze ends.
    pub freeze: bool,
    /// Whether an engine refuses new sessions.
    pub leaving: bool,
    /// Delay of the instance list, in milliseconds.
    pub list_lag_milliseconds: u64,
    /// Remaining number of step answers that are wrong.
    pub bad_answers: u32,
    /// The way in which these answers are wrong.
    pub bad_answer: BadAnswer,
    /// Method of the calls that can be lost, lose their answer or be delayed as writes; empty for
    /// all.
    pub only_method: Arc<str>,
    /// Path prefix of the calls that the same faults apply to; empty for all.
    pub only_path: Arc<str>,
}

/// The fault of one call, if any: a lost call, a lost answer or a reset answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFault {
    NoFault,
    LoseCall,
    LoseAnswer,
    ResetAnswer,
}

impl StandinFaults {
    pub(crate) fn apply(&mut self, change: FaultChange) {
        set_if_some(&mut self.slow_milliseconds, change.slow_milliseconds);
        set_if_some(&mut self.lose_answers, change.lose_answers);
        set_if_some(&mut self.lose_calls, change.lose_calls);
        set_if_some(
            &mut self.delay_writes_milliseconds,
            change.delay_writes_milliseconds,
        );
        set_if_some(&mut self.delay_writes, change.delay_writes);
        set_if_some(&mut self.reset_answers, change.reset_answers);
        set_if_some(&mut self.outage, change.outage);
        set_if_some(&mut self.freeze, change.freeze);
        set_if_some(&mut self.leaving, change.leaving);
        set_if_some(
            &mut self.list_lag_milliseconds,
            change.list_lag_milliseconds,
        );
        set_if_some(&mut self.bad_answers, change.bad_answers);
        set_if_some(&mut self.bad_answer, change.bad_answer);
        set_if_some(&mut self.only_method, change.only_method);
        set_if_some(&mut self.only_path, change.only_path);
    }

    /// Selects the fault for a call and decrements its counter.
    pub(crate) fn take_call_fault(&mut self, call: &StandinCall) -> CallFault {
        if !self.is_matching(call) {
            return CallFault::NoFault;
        }
        if take_remaining(&mut self.lose_calls) {
            return CallFault::LoseCall;
        }
        if take_remaining(&mut self.lose_answers) {
            return CallFault::LoseAnswer;
        }
        if take_remaining(&mut self.reset_answers) {
            return CallFault::ResetAnswer;
        }
        CallFault::NoFault
    }

    pub(crate) fn take_delayed_write(&mut self, call: &StandinCall) -> bool {
        self.is_matching(call) && take_remaining(&mut self.delay_writes)
    }

    pub(crate) fn take_bad_answer(&mut self) -> Option<BadAnswer> {
        take_remaining(&mut self.bad_answers).then_some(self.bad_answer)
    }

    fn is_matching(&self, call: &StandinCall) -> bool {
        let is_method_matching = self.only_method.is_empty() || *self.only_method == *call.method;
        is_method_matching && call.path.starts_with(&*self.only_path)
    }
}

fn set_if_some<Value>(field: &mut Value, change: Option<Value>) {
    if let Some(value) = change {
        *field = value;
    }
}

fn take_remaining(count: &mut u32) -> bool {
    let is_remaining = *count > 0;
    *count = count.saturating_sub(1);
    is_remaining
}
