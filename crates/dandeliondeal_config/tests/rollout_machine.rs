//! Tests of the rollout with lost, duplicated, delayed and corrupted fetches.

mod common;

use std::collections::HashMap;
use std::sync::Arc;

use bolero_generator::TypeGenerator;
use bolero_generator::driver::{Options, Rng};
use common::{SeededStore, request_of, run_paused, sheet_with};
use dandeliondeal_config::{
    RevisionSource, RevisionStamp, RolloutAction, RolloutEvent, RolloutMachine,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Step of a generated sequence that acts on three instances.
#[derive(Debug, TypeGenerator)]
enum FleetStep {
    /// The platform offers a revision to an instance, possibly an old one.
    Platform { instance: u8, revision: u8 },
    /// A peer offers its revision in force to an instance.
    Heartbeat { from: u8, to: u8 },
    /// A pending fetch returns all bodies, possibly twice.
    Deliver { index: u8, is_duplicate: bool },
    /// A pending fetch returns no bodies, some of them, or altered ones.
    Fail { index: u8, damage: Damage },
    /// The retry timer of an instance fires.
    Retry { instance: u8 },
    /// An instance restarts with empty state.
    Restart { instance: u8 },
    /// A peer offers a revision that does not exist.
    Forge { instance: u8, revision: u8 },
}

#[derive(Debug, TypeGenerator)]
enum Damage {
    Lost,
    Partial,
    Altered,
}

const INSTANCES: usize = 3;
const REVISIONS: u32 = 4;
/// A forged offer delays an instance by one round, and a revision travels two hops.
const EXCHANGE_ROUNDS: usize = 8;

struct AcceptedRevisions {
    stamps: Vec<RevisionStamp>,
    bodies: HashMap<Arc<str>, Arc<str>>,
}

/// Accepts four revisions and returns them as the platform stores them.
fn accept_revisions() -> AcceptedRevisions {
    run_paused(async {
        let store = SeededStore::new(1, 0);
        let session = store.session();
        let mut stamps = Vec::new();
        for number in 0..REVISIONS {
            let request = request_of("nino", number);
            session
                .accept_sheet(&sheet_with(16 + number), &request)
                .await
                .unwrap();
            stamps.push(session.load_sheet().await.unwrap().head.stamp);
        }
        let objects = store.memory.list_now("config/content/").unwrap();
        let bodies = objects.into_iter().map(|value| {
            let hash = value.name.strip_prefix("config/content/").unwrap();
            (hash.into(), value.body)
        });
        AcceptedRevisions {
            stamps,
            bodies: bodies.collect(),
        }
    })
}

#[derive(Default)]
struct TestFleet {
    machines: [RolloutMachine; INSTANCES],
    pending_fetches: Vec<(usize, u64, Vec<Arc<str>>)>,
    highest_seen: [u64; INSTANCES],
}

impl TestFleet {
    fn apply(&mut self, instance: usize, event: RolloutEvent) {
        let before = self.machines[instance].in_force().revision;
        let action = self.machines[instance].apply(event);
        let after = self.machines[instance].in_force().revision;
        assert!(
            after >= before,
            "the revision of instance {instance} decreased"
        );
        assert!(after >= self.highest_seen[instance]);
        self.highest_seen[instance] = after;
        match action {
            Some(RolloutAction::Fetch { number, hashes, .. }) => {
                self.pending_fetches.push((instance, number, hashes));
            }
            Some(RolloutAction::Apply { model }) => {
                assert_eq!(model.revision, after);
                let capacity = model.endpoints["engine-1"].capacity;
                assert_eq!(
                    u64::from(capacity),
                    15 + after,
                    "the content does not belong to the revision"
                );
            }
            None => {}
        }
    }

    fn offer(&mut self, instance: usize, stamp: RevisionStamp, source: RevisionSource) {
        self.apply(instance, RolloutEvent::Offered { stamp, source });
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        let stamp = self.machines[from].in_force().clone();
        let source = RevisionSource::Peer(format!("entry-{from}").into());
        self.offer(to, stamp, source);
    }

    fn end_fetch(
        &mut self,
        index: usize,
        accepted_revisions: &AcceptedRevisions,
        is_duplicate: bool,
        damage: Option<&Damage>,
    ) {
        if self.pending_fetches.is_empty() {
            return;
        }
        let index = index % self.pending_fetches.len();
        let (instance, number, hashes) = self.pending_fetches.swap_remove(index);
        let mut bodies: Vec<Arc<str>> = hashes
            .iter()
            .filter_map(|hash| accepted_revisions.bodies.get(hash).cloned())
            .collect();
        match damage {
            None => {}
            Some(Damage::Lost) => bodies.clear(),
            Some(Damage::Partial) => bodies.truncate(bodies.len() / 2),
            Some(Damage::Altered) => {
                for body in &mut bodies {
                    *body = body.replacen('1', "2", 1).into();
                }
            }
        }
        let event = RolloutEvent::FetchEnded { number, bodies };
        if is_duplicate {
            self.apply(instance, event.clone());
        }
        self.apply(instance, event);
    }

    fn step(&mut self, step: &FleetStep, accepted_revisions: &AcceptedRevisions) {
        let index_of = |instance: &u8| usize::from(*instance) % INSTANCES;
        match step {
            FleetStep::Platform { instance, revision } => {
                let stamp = accepted_revisions.stamps
                    [usize::from(*revision) % accepted_revisions.stamps.len()]
                .clone();
                self.offer(index_of(instance), stamp, RevisionSource::Platform);
            }
            FleetStep::Heartbeat { from, to } => self.heartbeat(index_of(from), index_of(to)),
            FleetStep::Deliver {
                index,
                is_duplicate,
            } => {
                self.end_fetch(usize::from(*index), accepted_revisions, *is_duplicate, None);
            }
            FleetStep::Fail { index, damage } => {
                self.end_fetch(usize::from(*index), accepted_revisions, false, Some(damage));
            }
            FleetStep::Retry { instance } => self.apply(index_of(instance), RolloutEvent::Retry),
            FleetStep::Restart { instance } => {
                let instance = index_of(instance);
                self.machines[instance] = RolloutMachine::default();
                self.highest_seen[instance] = 0;
                self.pending_fetches
                    .retain(|(owner, _, _)| *owner != instance);
            }
            FleetStep::Forge { instance, revision } => {
                let stamp = RevisionStamp {
                    revision: u64::from(*revision),
                    // Even revisions cannot be fetched; odd ones have the first manifest.
                    manifest: if revision % 2 == 0 {
                        "missing".into()
                    } else {
                        Arc::clone(&accepted_revisions.stamps[0].manifest)
                    },
                };
                self.offer(
                    index_of(instance),
                    stamp,
                    RevisionSource::Peer("entry-9".into()),
                );
            }
        }
    }

    /// Delivers offers until all instances have the last revision: the platform offers it to the
    /// first instance, and each instance to the next.
    fn exchange_revisions(&mut self, accepted_revisions: &AcceptedRevisions) {
        for _ in 0..EXCHANGE_ROUNDS {
            let last = accepted_revisions.stamps.last().unwrap().clone();
            self.offer(0, last, RevisionSource::Platform);
            for to in 1..INSTANCES {
                self.heartbeat(to - 1, to);
            }
            for instance in 0..INSTANCES {
                self.apply(instance, RolloutEvent::Retry);
            }
            while !self.pending_fetches.is_empty() {
                self.end_fetch(0, accepted_revisions, false, None);
            }
        }
    }
}

#[test]
fn revision_never_decreases() {
    let accepted_revisions = accept_revisions();
    for seed in 0..2_000 {
        let steps: Vec<FleetStep> = {
            let mut driver = Rng::new(
                StdRng::seed_from_u64(seed),
                &Options::default().with_max_len(16_384),
            );
            (0..60)
                .filter_map(|_| FleetStep::generate(&mut driver))
                .collect()
        };
        let outcome = std::panic::catch_unwind(|| {
            let mut fleet = TestFleet::default();
            for step in &steps {
                fleet.step(step, &accepted_revisions);
            }
            fleet.exchange_revisions(&accepted_revisions);
            for machine in &fleet.machines {
                let revision = machine.in_force().revision;
                assert_eq!(revision, u64::from(REVISIONS));
            }
        });
        assert!(outcome.is_ok(), "failed at seed {seed}: {steps:?}");
    }
}

#[test]
fn corrupted_bodies() {
    let accepted_revisions = accept_revisions();
    let mut fleet = TestFleet::default();
    let stamp = accepted_revisions.stamps[1].clone();
    fleet.offer(0, stamp, RevisionSource::Peer("entry-1".into()));
    fleet.end_fetch(0, &accepted_revisions, false, Some(&Damage::Altered));
    assert_eq!(fleet.machines[0].in_force().revision, 0);
    assert_eq!(fleet.machines[0].rejected_bodies(), 1);
    fleet.exchange_revisions(&accepted_revisions);
    assert_eq!(fleet.machines[0].in_force().revision, u64::from(REVISIONS));
}

#[test]
fn small_change() {
    let accepted_revisions = accept_revisions();
    let mut fleet = TestFleet::default();
    fleet.offer(
        0,
        accepted_revisions.stamps[0].clone(),
        RevisionSource::Platform,
    );
    while !fleet.pending_fetches.is_empty() {
        fleet.end_fetch(0, &accepted_revisions, false, None);
    }
    fleet.offer(
        0,
        accepted_revisions.stamps[1].clone(),
        RevisionSource::Platform,
    );
    fleet.end_fetch(0, &accepted_revisions, false, None);
    let (_, _, hashes) = &fleet.pending_fetches[0];
    assert_eq!(hashes.len(), 1, "a small change fetches a single chunk");
}

#[test]
fn source_failover() {
    let accepted_revisions = accept_revisions();
    let mut machine = RolloutMachine::default();
    let mut sources = Vec::new();
    let mut events = ["entry-1", "entry-2"]
        .map(|peer| RolloutEvent::Offered {
            stamp: accepted_revisions.stamps[0].clone(),
            source: RevisionSource::Peer(peer.into()),
        })
        .to_vec();
    for number in 1..=2 {
        let bodies = Vec::new();
        events.push(RolloutEvent::FetchEnded { number, bodies });
    }
    for event in events {
        if let Some(RolloutAction::Fetch { source, .. }) = machine.apply(event) {
            sources.push(source);
        }
    }
    // A third fetch starts only after `Retry`.
    assert_eq!(sources.len(), 2);
    assert_ne!(sources[0], sources[1]);
}
