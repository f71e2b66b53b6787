//! Revisions in force under loss, doubling, delay and corruption.

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

/// What a sequence of steps does to three instances.
#[derive(Debug, TypeGenerator)]
enum FleetStep {
    /// An instance hears of a revision from the platform, possibly an old one.
    Platform { instance: u8, revision: u8 },
    /// An instance hears of what a peer has in force.
    Heartbeat { from: u8, to: u8 },
    /// A waiting fetch ends whole.
    Deliver { index: u8, again: bool },
    /// A waiting fetch ends with nothing, part of it, or altered bodies.
    Fail { index: u8, damage: Damage },
    /// An instance tries again.
    Retry { instance: u8 },
    /// An instance is replaced by a new one.
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
/// A forged offer holds an instance up for a round, and there are two hops.
const SETTLE_ROUNDS: usize = 8;

struct Accepted {
    stamps: Vec<RevisionStamp>,
    bodies: HashMap<Arc<str>, Arc<str>>,
}

/// Four revisions as the platform keeps them.
fn accepted() -> Accepted {
    run_paused(async {
        let store = SeededStore::new(1, 0);
        let call = store.call();
        let mut stamps = Vec::new();
        for number in 0..REVISIONS {
            let request = request_of("nino", number);
            call.accept_sheet(&sheet_with(16 + number), &request)
                .await
                .unwrap();
            stamps.push(call.load_sheet().await.unwrap().head.stamp);
        }
        let objects = store.memory.list_now("config/content/").unwrap();
        let bodies = objects.into_iter().map(|value| {
            let hash = value.name.strip_prefix("config/content/").unwrap();
            (hash.into(), value.body)
        });
        Accepted {
            stamps,
            bodies: bodies.collect(),
        }
    })
}

#[derive(Default)]
struct TestFleet {
    machines: [RolloutMachine; INSTANCES],
    waiting: Vec<(usize, u64, Vec<Arc<str>>)>,
    highest_seen: [u64; INSTANCES],
}

impl TestFleet {
    fn apply(&mut self, instance: usize, event: RolloutEvent) {
        let before = self.machines[instance].in_force().revision;
        let action = self.machines[instance].apply(event);
        let after = self.machines[instance].in_force().revision;
        assert!(after >= before, "instance {instance} went back");
        assert!(after >= self.highest_seen[instance]);
        self.highest_seen[instance] = after;
        match action {
            Some(RolloutAction::Fetch { number, hashes, .. }) => {
                self.waiting.push((instance, number, hashes));
            }
            Some(RolloutAction::Apply { model }) => {
                assert_eq!(model.revision, after);
                let capacity = model.endpoints["engine-1"].capacity;
                assert_eq!(
                    u64::from(capacity),
                    15 + after,
                    "the content is not of the revision"
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
        accepted: &Accepted,
        again: bool,
        damage: Option<&Damage>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        let index = index % self.waiting.len();
        let (instance, number, hashes) = self.waiting.swap_remove(index);
        let mut bodies: Vec<Arc<str>> = hashes
            .iter()
            .filter_map(|hash| accepted.bodies.get(hash).cloned())
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
        if again {
            self.apply(instance, event.clone());
        }
        self.apply(instance, event);
    }

    fn step(&mut self, step: &FleetStep, accepted: &Accepted) {
        let at = |instance: &u8| usize::from(*instance) % INSTANCES;
        match step {
            FleetStep::Platform { instance, revision } => {
                let stamp = accepted.stamps[usize::from(*revision) % accepted.stamps.len()].clone();
                self.offer(at(instance), stamp, RevisionSource::Platform);
            }
            FleetStep::Heartbeat { from, to } => self.heartbeat(at(from), at(to)),
            FleetStep::Deliver { index, again } => {
                self.end_fetch(usize::from(*index), accepted, *again, None);
            }
            FleetStep::Fail { index, damage } => {
                self.end_fetch(usize::from(*index), accepted, false, Some(damage));
            }
            FleetStep::Retry { instance } => self.apply(at(instance), RolloutEvent::Retry),
            FleetStep::Restart { instance } => {
                let instance = at(instance);
                self.machines[instance] = RolloutMachine::default();
                self.highest_seen[instance] = 0;
                self.waiting.retain(|(owner, _, _)| *owner != instance);
            }
            FleetStep::Forge { instance, revision } => {
                let stamp = RevisionStamp {
                    revision: u64::from(*revision),
                    // Half of them can be fetched, and turn out to be of another revision.
                    manifest: if revision % 2 == 0 {
                        "missing".into()
                    } else {
                        Arc::clone(&accepted.stamps[0].manifest)
                    },
                };
                self.offer(at(instance), stamp, RevisionSource::Peer("entry-9".into()));
            }
        }
    }

    /// Lets messages flow: one instance hears the platform, the others hear it.
    fn settle(&mut self, accepted: &Accepted) {
        for _ in 0..SETTLE_ROUNDS {
            let last = accepted.stamps.last().unwrap().clone();
            self.offer(0, last, RevisionSource::Platform);
            for to in 1..INSTANCES {
                self.heartbeat(to - 1, to);
            }
            for instance in 0..INSTANCES {
                self.apply(instance, RolloutEvent::Retry);
            }
            while !self.waiting.is_empty() {
                self.end_fetch(0, accepted, false, None);
            }
        }
    }
}

#[test]
fn never_back() {
    let accepted = accepted();
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
                fleet.step(step, &accepted);
            }
            fleet.settle(&accepted);
            for machine in &fleet.machines {
                let revision = machine.in_force().revision;
                assert_eq!(revision, u64::from(REVISIONS));
            }
        });
        assert!(outcome.is_ok(), "failed at seed {seed}: {steps:?}");
    }
}

#[test]
fn corrupt_peer() {
    let accepted = accepted();
    let mut fleet = TestFleet::default();
    let stamp = accepted.stamps[1].clone();
    fleet.offer(0, stamp, RevisionSource::Peer("entry-1".into()));
    fleet.end_fetch(0, &accepted, false, Some(&Damage::Altered));
    assert_eq!(fleet.machines[0].in_force().revision, 0);
    assert_eq!(fleet.machines[0].rejected_bodies(), 1);
    fleet.settle(&accepted);
    assert_eq!(fleet.machines[0].in_force().revision, u64::from(REVISIONS));
}

#[test]
fn small_change() {
    let accepted = accepted();
    let mut fleet = TestFleet::default();
    fleet.offer(0, accepted.stamps[0].clone(), RevisionSource::Platform);
    while !fleet.waiting.is_empty() {
        fleet.end_fetch(0, &accepted, false, None);
    }
    fleet.offer(0, accepted.stamps[1].clone(), RevisionSource::Platform);
    fleet.end_fetch(0, &accepted, false, None);
    let (_, _, hashes) = &fleet.waiting[0];
    assert_eq!(hashes.len(), 1, "one chunk of a small change is fetched");
}

#[test]
fn next_source() {
    let accepted = accepted();
    let mut machine = RolloutMachine::default();
    let mut sources = Vec::new();
    let mut events = ["entry-1", "entry-2"]
        .map(|peer| RolloutEvent::Offered {
            stamp: accepted.stamps[0].clone(),
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
    // The third try waits for `Retry`.
    assert_eq!(sources.len(), 2);
    assert_ne!(sources[0], sources[1]);
}
