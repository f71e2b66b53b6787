//! Invariants that are checked in every trace.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{Layer, Lineage, Position, RequestId};

use crate::replay_simulation::ReplaySimulation;
use crate::{ReplayMismatch, RequestOutcome};

/// Time during which a leaving endpoint may still get new sessions.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// A layer of one process of one engine, for one lineage of a request.
type LayerKey<'a> = (&'a str, usize, &'a RequestId, Lineage, Layer);

impl ReplaySimulation {
    /// Returns the violations observed during the run and those found in the current state.
    pub(crate) fn invariant_violations(&self) -> Vec<ReplayMismatch> {
        let mut violations = Vec::new();
        self.check_layers(&mut violations);
        self.check_answers(&mut violations);
        self.check_not_run(&mut violations);
        self.check_keys(&mut violations);
        self.check_leaving(&mut violations);
        self.check_stops(&mut violations);
        violations.extend(self.observed_violations.iter().cloned());
        violations
    }

    /// Checks that each layer runs each position once and in order.
    fn check_layers(&self, violations: &mut Vec<ReplayMismatch>) {
        let mut last_positions: BTreeMap<LayerKey<'_>, Position> = BTreeMap::new();
        for engine in self.engines.values() {
            for (process, ledger) in engine.ledgers().enumerate() {
                for entry in ledger {
                    for layer in entry.start..entry.end {
                        let key = (&*engine.id, process, &entry.request, entry.lineage, layer);
                        let previous = last_positions.insert(key, entry.position);
                        if previous.is_some_and(|previous| previous + 1 != entry.position) {
                            violations.push(violation(
                                format!("layer {layer} of {} once and in order", entry.request),
                                format!("position {} after {previous:?}", entry.position),
                            ));
                        }
                    }
                }
            }
        }
    }

    /// Checks that complete answers equal the reference answer, and that others are a prefix of it.
    fn check_answers(&self, violations: &mut Vec<ReplayMismatch>) {
        for (request, session) in &self.sessions {
            let reference = session.reference_tokens(&self.settings);
            let is_valid = match session.outcome {
                RequestOutcome::Answered => session.delivered == reference,
                _ => reference.starts_with(&session.delivered),
            };
            if !is_valid {
                violations.push(violation(
                    format!("{request} gets {reference:?}"),
                    format!("{:?}", session.delivered),
                ));
            }
            if session.outcome == RequestOutcome::Answered {
                self.check_complete_run(request, session.expected_positions(), violations);
            }
        }
    }

    /// Checks that an answered request ran every layer at every position.
    fn check_complete_run(
        &self,
        request: &RequestId,
        positions: Position,
        violations: &mut Vec<ReplayMismatch>,
    ) {
        let executed_layers: BTreeSet<(Position, Layer)> = self
            .engines
            .values()
            .flat_map(|engine| engine.ledgers().flatten())
            .filter(|entry| entry.request == *request)
            .flat_map(|entry| (entry.start..entry.end).map(|layer| (entry.position, layer)))
            .collect();
        let expected = positions * u64::from(self.settings.layers);
        if executed_layers.len() as u64 != expected {
            violations.push(violation(
                format!("{request} runs {expected} layers"),
                format!("{}", executed_layers.len()),
            ));
        }
    }

    /// Checks that requests with the outcome `NotRun` have no ledger entry.
    fn check_not_run(&self, violations: &mut Vec<ReplayMismatch>) {
        let not_run = |outcome: RequestOutcome| outcome == RequestOutcome::NotRun;
        let sessions = self
            .sessions
            .iter()
            .filter(|(_, session)| not_run(session.outcome));
        for (request, _) in sessions {
            let entries = self
                .engines
                .values()
                .flat_map(|engine| engine.ledgers().flatten());
            if entries.into_iter().any(|entry| entry.request == *request) {
                violations.push(violation(
                    format!("{request} did not run"),
                    "a step ran".into(),
                ));
            }
        }
        let keyed = self
            .keyed_requests
            .iter()
            .filter(|(_, keyed)| not_run(keyed.outcome));
        for (request, keyed) in keyed {
            let ledger = self
                .services
                .get(&keyed.service)
                .map(|service| &service.ledger);
            if ledger.is_some_and(|ledger| ledger.iter().any(|(_, executed)| executed == request)) {
                violations.push(violation(
                    format!("{request} did not run"),
                    "its call ran".into(),
                ));
            }
        }
    }

    /// Checks that each idempotency key ran at most once.
    fn check_keys(&self, violations: &mut Vec<ReplayMismatch>) {
        let mut keys: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for service in self.services.values() {
            for (key, _) in &service.ledger {
                *keys.entry(key).or_default() += 1;
            }
        }
        for (key, count) in keys.into_iter().filter(|(_, count)| *count > 1) {
            violations.push(violation(
                format!("the work of key {key} runs at most once"),
                format!("{count} runs"),
            ));
        }
    }

    /// Checks that leaving endpoints get no new sessions after the grace period.
    fn check_leaving(&self, violations: &mut Vec<ReplayMismatch>) {
        for (endpoint, request, at) in &self.session_starts {
            let leaving = self
                .engines
                .get(endpoint)
                .and_then(|engine| engine.leaving_since);
            if leaving.is_some_and(|since| *at > since + LEAVE_GRACE) {
                violations.push(violation(
                    format!("no new session at {endpoint}"),
                    format!("{request} at {} ms", at.as_millis()),
                ));
            }
        }
    }

    /// Checks that planned stops interrupt no requests.
    fn check_stops(&self, violations: &mut Vec<ReplayMismatch>) {
        for (id, instance) in &self.instances {
            if instance.stop_started.is_none() || !instance.is_terminated() {
                continue;
            }
            let sessions = self
                .sessions
                .iter()
                .map(|(request, session)| (request, &session.instance, session.outcome));
            let keyed = self
                .keyed_requests
                .iter()
                .map(|(request, keyed)| (request, &keyed.instance, keyed.outcome));
            for (request, instance_id, outcome) in sessions.chain(keyed) {
                if instance_id == id
                    && matches!(outcome, RequestOutcome::Open | RequestOutcome::Broken)
                {
                    let found = format!("{request} is {outcome:?}");
                    violations.push(violation(
                        format!("the stop of {id} cuts off nothing"),
                        found,
                    ));
                }
            }
        }
    }
}

fn violation(expected: String, found: String) -> ReplayMismatch {
    ReplayMismatch {
        line: 0,
        expected: expected.into(),
        found: found.into(),
    }
}
