//! Which guarantees a trace puts under which failures.

use std::collections::BTreeSet;

use dandeliondeal_types::Revision;

use crate::{Trace, TraceEvent, TraceStep};

/// What must always hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// Each layer runs once for each token, in order.
    LayersOnce,
    /// A caller gets the whole answer to the own request.
    WholeAnswer,
    /// What is told not to have run did not run.
    NotRun,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// An endpoint that leaves gets no new work.
    NoNewWork,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted sheet is in force and never reverts.
    SheetInForce,
}

/// What fails.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureKind {
    /// A stage dies.
    StageDeath,
    /// A link degrades.
    SlowLink,
    /// A new endpoint joins while work is in flight.
    Join,
    /// The platform's store is down or slow.
    StoreDown,
    /// A write's answer is lost, or it takes effect late.
    LostAnswer,
    /// An instance stands still and goes on.
    PausedInstance,
    /// Open connections go silent.
    SilentConnection,
    /// A holder of the lease stands still beyond its term.
    LapsedLease,
    /// Operators change the same revision.
    RacingOperators,
    /// Several failures, or one several times.
    Together,
}

/// The pairs that a trace brings together.
pub fn coverage(trace: &Trace) -> BTreeSet<(Guarantee, FailureKind)> {
    let events = || {
        trace.lines.iter().filter_map(|line| match &line.step {
            TraceStep::Event(event) => Some(event),
            _ => None,
        })
    };
    let guarantees: BTreeSet<Guarantee> = events().flat_map(guarantees_of).copied().collect();
    let failures: Vec<FailureKind> = events().filter_map(failure_of).collect();
    let together = (failures.len() > 1).then_some(FailureKind::Together);
    let is_contended = events().any(|event| matches!(event, TraceEvent::Contend { .. }));
    let is_paused = failures.contains(&FailureKind::PausedInstance);
    let lapsed = (is_contended && is_paused).then_some(FailureKind::LapsedLease);
    let bases: Vec<Revision> = events().filter_map(base_of).collect();
    let distinct: BTreeSet<Revision> = bases.iter().copied().collect();
    let racing = (distinct.len() < bases.len()).then_some(FailureKind::RacingOperators);
    let kinds: BTreeSet<FailureKind> = failures
        .into_iter()
        .chain(together)
        .chain(lapsed)
        .chain(racing)
        .collect();
    guarantees
        .iter()
        .flat_map(|guarantee| kinds.iter().map(|kind| (*guarantee, *kind)))
        .collect()
}

fn guarantees_of(event: &TraceEvent) -> &'static [Guarantee] {
    match event {
        TraceEvent::Request { .. } => &[Guarantee::LayersOnce, Guarantee::WholeAnswer],
        TraceEvent::Keyed { .. } => &[Guarantee::AtMostOnce, Guarantee::NotRun],
        TraceEvent::Leave { .. } => &[Guarantee::NoNewWork],
        TraceEvent::Stop { .. } => &[Guarantee::GracefulStop],
        TraceEvent::Sheet { .. } => &[Guarantee::SheetInForce],
        _ => &[],
    }
}

fn base_of(event: &TraceEvent) -> Option<Revision> {
    match event {
        TraceEvent::Sheet { base, .. } => *base,
        _ => None,
    }
}

fn failure_of(event: &TraceEvent) -> Option<FailureKind> {
    match event {
        TraceEvent::Kill { .. } | TraceEvent::Crash { .. } => Some(FailureKind::StageDeath),
        TraceEvent::Slow { .. } | TraceEvent::LateAnswers { .. } => Some(FailureKind::SlowLink),
        TraceEvent::Join { .. } => Some(FailureKind::Join),
        TraceEvent::StoreOutage { on: true } | TraceEvent::StoreSlow { .. } => {
            Some(FailureKind::StoreDown)
        }
        TraceEvent::StoreLoseAnswers { .. }
        | TraceEvent::StoreLateWrites { .. }
        | TraceEvent::LoseAnswers { .. } => Some(FailureKind::LostAnswer),
        TraceEvent::Pause { .. } => Some(FailureKind::PausedInstance),
        TraceEvent::Silence { .. } => Some(FailureKind::SilentConnection),
        _ => None,
    }
}
