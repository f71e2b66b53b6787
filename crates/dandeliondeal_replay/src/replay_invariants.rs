//! What holds in every trace, whatever it states.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{Layer, Lineage, Position, RequestId};

use crate::replay_world::ReplayWorld;
use crate::{ReplayMismatch, StatedOutcome};

/// Time after which an endpoint that leaves gets no new session.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// A layer of one process of one engine, for one lineage of a request.
type LayerKey<'world> = (&'world str, usize, &'world RequestId, Lineage, Layer);

impl ReplayWorld {
    /// Every breach that can be seen now.
    pub(crate) fn breaches(&self) -> Vec<ReplayMismatch> {
        let mut breaches = Vec::new();
        self.check_layers(&mut breaches);
        self.check_answers(&mut breaches);
        self.check_not_run(&mut breaches);
        self.check_keys(&mut breaches);
        self.check_leaving(&mut breaches);
        self.check_stops(&mut breaches);
        breaches.extend(self.reverts.iter().cloned());
        breaches
    }

    /// Each layer runs each position once and in order.
    fn check_layers(&self, breaches: &mut Vec<ReplayMismatch>) {
        let mut next: BTreeMap<LayerKey<'_>, Position> = BTreeMap::new();
        for engine in self.engines.values() {
            for (process, ledger) in engine.ledgers().enumerate() {
                for entry in ledger {
                    for layer in entry.start..entry.end {
                        let key = (&*engine.id, process, &entry.request, entry.lineage, layer);
                        let before = next.insert(key, entry.position);
                        if before.is_some_and(|before| before + 1 != entry.position) {
                            breaches.push(breach(
                                format!("layer {layer} of {} once and in order", entry.request),
                                format!("position {} after {before:?}", entry.position),
                            ));
                        }
                    }
                }
            }
        }
    }

    /// A whole answer is the undisturbed one, and any other a beginning of it.
    fn check_answers(&self, breaches: &mut Vec<ReplayMismatch>) {
        for (request, session) in &self.sessions {
            let reference = session.reference(&self.settings);
            let is_right = match session.end {
                StatedOutcome::Answered => session.delivered == reference,
                _ => reference.starts_with(&session.delivered),
            };
            if !is_right {
                breaches.push(breach(
                    format!("{request} gets {reference:?}"),
                    format!("{:?}", session.delivered),
                ));
            }
            if session.end == StatedOutcome::Answered {
                self.check_whole(request, session.positions(), breaches);
            }
        }
    }

    fn check_whole(
        &self,
        request: &RequestId,
        positions: Position,
        breaches: &mut Vec<ReplayMismatch>,
    ) {
        let ran: BTreeSet<(Position, Layer)> = self
            .engines
            .values()
            .flat_map(|engine| engine.ledgers().flatten())
            .filter(|entry| entry.request == *request)
            .flat_map(|entry| (entry.start..entry.end).map(|layer| (entry.position, layer)))
            .collect();
        let expected = positions * u64::from(self.settings.layers);
        if ran.len() as u64 != expected {
            breaches.push(breach(
                format!("{request} runs {expected} layers"),
                format!("{}", ran.len()),
            ));
        }
    }

    /// A request that was told not to have run has no entry in a ledger.
    fn check_not_run(&self, breaches: &mut Vec<ReplayMismatch>) {
        let not_run = |end: StatedOutcome| end == StatedOutcome::NotRun;
        let sessions = self
            .sessions
            .iter()
            .filter(|(_, session)| not_run(session.end));
        for (request, _) in sessions {
            let entries = self
                .engines
                .values()
                .flat_map(|engine| engine.ledgers().flatten());
            if entries.into_iter().any(|entry| entry.request == *request) {
                breaches.push(breach(
                    format!("{request} did not run"),
                    "a step ran".into(),
                ));
            }
        }
        let keyed = self.keyed.iter().filter(|(_, keyed)| not_run(keyed.end));
        for (request, keyed) in keyed {
            let ledger = self
                .services
                .get(&keyed.service)
                .map(|service| &service.ledger);
            if ledger.is_some_and(|ledger| ledger.iter().any(|(_, ran)| ran == request)) {
                breaches.push(breach(
                    format!("{request} did not run"),
                    "its call ran".into(),
                ));
            }
        }
    }

    /// The work of a key runs at most once.
    fn check_keys(&self, breaches: &mut Vec<ReplayMismatch>) {
        let mut keys: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for service in self.services.values() {
            for (key, _) in &service.ledger {
                *keys.entry(key).or_default() += 1;
            }
        }
        for (key, count) in keys.into_iter().filter(|(_, count)| *count > 1) {
            breaches.push(breach(
                format!("the work of key {key} runs at most once"),
                format!("{count} runs"),
            ));
        }
    }

    /// An endpoint that leaves gets no new session after a few seconds.
    fn check_leaving(&self, breaches: &mut Vec<ReplayMismatch>) {
        for (endpoint, request, at) in &self.started {
            let leaving = self
                .engines
                .get(endpoint)
                .and_then(|engine| engine.leaving_since);
            if leaving.is_some_and(|since| *at > since + LEAVE_LIMIT) {
                breaches.push(breach(
                    format!("no new session at {endpoint}"),
                    format!("{request} at {} ms", at.as_millis()),
                ));
            }
        }
    }

    /// A planned stop cuts off no request.
    fn check_stops(&self, breaches: &mut Vec<ReplayMismatch>) {
        for (id, instance) in &self.instances {
            if instance.stopping.is_none() || !instance.is_gone() {
                continue;
            }
            let sessions = self
                .sessions
                .iter()
                .map(|(request, session)| (request, &session.instance, session.end));
            let keyed = self
                .keyed
                .iter()
                .map(|(request, keyed)| (request, &keyed.instance, keyed.end));
            for (request, at, end) in sessions.chain(keyed) {
                if at == id && matches!(end, StatedOutcome::Open | StatedOutcome::Broken) {
                    let found = format!("{request} is {end:?}");
                    breaches.push(breach(format!("the stop of {id} cuts off nothing"), found));
                }
            }
        }
    }
}

fn breach(expected: String, found: String) -> ReplayMismatch {
    ReplayMismatch {
        line: 0,
        expected: expected.into(),
        found: found.into(),
    }
}
