//! Coverage of traces: which guarantees they test under which failures.

use std::collections::BTreeSet;

use dandeliondeal_types::Revision;

use crate::{Trace, TraceEvent, TraceStep};

/// A guarantee of the system.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// Each layer runs once for each token and in order.
    LayersOnce,
    /// A caller gets the complete answer to its own request.
    CompleteAnswer,
    /// A request reported as not run did not run.
    NotRun,
    /// A request with an idempotency key runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work.
    NoNewWork,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted sheet comes into force and is never reverted.
    SheetInForce,
}

/// Kind of failure that a trace contains.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureKind {
    /// A pipeline stage or an instance crashes.
    StageCrash,
    /// A link is slow.
    SlowLink,
    /// A new endpoint joins while requests are open.
    EndpointJoin,
    /// The platform's store is unavailable or slow.
    StoreDegraded,
    /// The answer of a call is lost, or a write takes effect late.
    LostAnswer,
    /// An instance is paused and resumes.
    PausedInstance,
    /// Open connections become silent.
    SilentConnection,
    /// A lease holder is paused until its lease has expired.
    ExpiredLease,
    /// Operators submit changes to the same revision.
    ConcurrentOperators,
    /// Several failures occur, or one occurs several times.
    MultipleFailures,
}

/// Returns each pair of a guarantee and a failure that occur together in a trace.
pub fn coverage(trace: &Trace) -> BTreeSet<(Guarantee, FailureKind)> {
    let events = || {
        trace.lines.iter().filter_map(|line| match &line.step {
            TraceStep::Event(event) => Some(event),
            _ => None,
        })
    };
    let guarantees: BTreeSet<Guarantee> = events().flat_map(guarantees_of).copied().collect();
    let failures: Vec<FailureKind> = events().filter_map(failure_of).collect();
    let multiple_failures = (failures.len() > 1).then_some(FailureKind::MultipleFailures);
    let is_contended = events().any(|event| matches!(event, TraceEvent::Contend { .. }));
    let is_paused = failures.contains(&FailureKind::PausedInstance);
    let expired_lease = (is_contended && is_paused).then_some(FailureKind::ExpiredLease);
    let base_revisions: Vec<Revision> = events().filter_map(base_of).collect();
    let distinct_revisions: BTreeSet<Revision> = base_revisions.iter().copied().collect();
    let concurrent_operators = (distinct_revisions.len() < base_revisions.len())
        .then_some(FailureKind::ConcurrentOperators);
    let kinds: BTreeSet<FailureKind> = failures
        .into_iter()
        .chain(multiple_failures)
        .chain(expired_lease)
        .chain(concurrent_operators)
        .collect();
    guarantees
        .iter()
        .flat_map(|guarantee| kinds.iter().map(|kind| (*guarantee, *kind)))
        .collect()
}

fn guarantees_of(event: &TraceEvent) -> &'static [Guarantee] {
    match event {
        TraceEvent::Request { .. } => &[Guarantee::LayersOnce, Guarantee::CompleteAnswer],
        TraceEvent::Keyed { .. } => &[Guarantee::AtMostOnce, Guarantee::NotRun],
        TraceEvent::Leave { .. } => &[Guarantee::NoNewWork],
        TraceEvent::Stop { .. } => &[Guarantee::GracefulStop],
        TraceEvent::Sheet { .. } => &[Guarantee::SheetInForce],
        _ => &[],
    }
}

/// Returns the base revision of a submitted sheet.
fn base_of(event: &TraceEvent) -> Option<Revision> {
    match event {
        TraceEvent::Sheet { base, .. } => *base,
        _ => None,
    }
}

fn failure_of(event: &TraceEvent) -> Option<FailureKind> {
    match event {
        TraceEvent::Kill { .. } | TraceEvent::Crash { .. } => Some(FailureKind::StageCrash),
        TraceEvent::Slow { .. } | TraceEvent::LateAnswers { .. } => Some(FailureKind::SlowLink),
        TraceEvent::Join { .. } => Some(FailureKind::EndpointJoin),
        TraceEvent::StoreOutage { on: true } | TraceEvent::StoreSlow { .. } => {
            Some(FailureKind::StoreDegraded)
        }
        TraceEvent::StoreLoseAnswers { .. }
        | TraceEvent::StoreLateWrites { .. }
        | TraceEvent::LoseAnswers { .. } => Some(FailureKind::LostAnswer),
        TraceEvent::Pause { .. } => Some(FailureKind::PausedInstance),
        TraceEvent::Silence { .. } => Some(FailureKind::SilentConnection),
        _ => None,
    }
}
