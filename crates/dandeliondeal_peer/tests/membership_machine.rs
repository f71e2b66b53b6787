//! Membership decisions on joins, failures, broken links, network partitions, restarts and leaving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dandeliondeal_config::RevisionStamp;
use dandeliondeal_peer::{
    MemberIdentity, MemberState, MembershipAction, MembershipEvent, MembershipMachine,
    MembershipSettings,
};
use dandeliondeal_types::{InstanceRecord, InstanceRole, InstanceState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(250);
const DOMAINS: [&str; 3] = ["didube", "saburtalo", "isani"];

/// Machines that exchange messages without delay, unless a link is broken or a message is lost.
struct TestFleet {
    now: Instant,
    machines: Vec<Option<MembershipMachine>>,
    /// Index at which the fleet is split into two parts that cannot reach each other.
    partition_index: Option<usize>,
    /// Sender and receiver of a link that loses every message.
    broken_link: Option<(usize, usize)>,
    loss_percent: u32,
    random: StdRng,
}

fn identity_of(index: usize, incarnation: u64) -> MemberIdentity {
    MemberIdentity {
        id: format!("entry-{index}").into(),
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(index).unwrap() + 1)),
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        region: "tbilisi".into(),
    }
}

fn index_of(identity: &MemberIdentity) -> usize {
    usize::from(identity.address.port()) - 1
}

fn record_of(identity: &MemberIdentity) -> InstanceRecord {
    InstanceRecord {
        id: identity.id.clone(),
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        address: identity.address,
        failure_domain: identity.failure_domain.clone(),
        region: identity.region.clone(),
        incarnation: identity.incarnation,
    }
}

impl TestFleet {
    /// Creates a fleet whose instances initially know only the first one.
    fn new(size: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            machines: Vec::new(),
            partition_index: None,
            broken_link: None,
            loss_percent: 0,
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..size {
            fleet.machines.push(None);
            fleet.start(index, 1);
        }
        fleet
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let settings = MembershipSettings::default();
        let own = identity_of(index, incarnation);
        let machine = MembershipMachine::new(settings, own, self.now).unwrap();
        self.machines[index] = Some(machine);
        let records = vec![record_of(&identity_of(0, 1))];
        self.apply(index, MembershipEvent::InstancesListed { records });
    }

    fn apply(&mut self, index: usize, event: MembershipEvent) {
        let now = self.now;
        let Some(machine) = &mut self.machines[index] else {
            return;
        };
        for action in machine.apply(event, now) {
            self.perform(index, &action);
        }
    }

    fn perform(&mut self, index: usize, action: &MembershipAction) {
        match action {
            MembershipAction::Send { to } => {
                let target = index_of(to);
                if !self.exchange(index, target) {
                    let peer = to.id.clone();
                    self.apply(index, MembershipEvent::Unanswered { peer });
                }
            }
            MembershipAction::Observe { observer, subject } => {
                let (via, target) = (index_of(observer), index_of(subject));
                if self.reaches(index, via) {
                    let reachable = self.reaches(via, target);
                    let subject = subject.id.clone();
                    self.apply(index, MembershipEvent::Observed { subject, reachable });
                }
            }
            MembershipAction::Changed { .. } => {}
        }
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        let is_partitioned = self
            .partition_index
            .is_some_and(|split| (from < split) != (to < split));
        let is_broken = self.broken_link == Some((from, to));
        let is_lost = self.random.random_range(0..100) < self.loss_percent;
        self.machines[to].is_some() && !is_partitioned && !is_broken && !is_lost
    }

    fn exchange(&mut self, from: usize, to: usize) -> bool {
        if !self.reaches(from, to) {
            return false;
        }
        let (sender, receiver) = (identity_of(from, 1).id, identity_of(to, 1).id);
        let stamp = RevisionStamp::default();
        let machine = self.machines[from].as_mut().unwrap();
        let heartbeat = machine.heartbeat(&receiver, stamp.clone());
        self.apply(to, MembershipEvent::HeartbeatReceived { heartbeat });
        let heartbeat = self.machines[to]
            .as_mut()
            .unwrap()
            .heartbeat(&sender, stamp);
        self.apply(from, MembershipEvent::HeartbeatReceived { heartbeat });
        true
    }

    fn run_for(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            for index in 0..self.machines.len() {
                self.apply(index, MembershipEvent::Tick);
            }
        }
    }

    /// Returns how many running instances see the member `index` in a state.
    fn count_observers(&self, index: usize, state: MemberState) -> usize {
        let id = identity_of(index, 1).id;
        let machines = self.machines.iter().flatten();
        machines
            .filter(|machine| {
                machine
                    .members()
                    .any(|(identity, member_state)| identity.id == id && member_state == state)
            })
            .count()
    }

    fn all_alive(&self) -> bool {
        let size = self.machines.len();
        (0..size).all(|index| self.count_observers(index, MemberState::Alive) == size - 1)
    }
}

#[test]
fn fleet_joins() {
    let mut fleet = TestFleet::new(30, 1);
    fleet.run_for(20);
    assert!(fleet.all_alive());
}

#[test]
fn failure_detected() {
    let mut fleet = TestFleet::new(30, 2);
    fleet.run_for(20);
    fleet.machines[7] = None;
    fleet.run_for(10);
    assert_eq!(fleet.count_observers(7, MemberState::Failed), 29);
    let others = (0..30).filter(|index| *index != 7);
    assert_eq!(
        others
            .map(|index| fleet.count_observers(index, MemberState::Failed))
            .sum::<usize>(),
        0
    );
    // A new process with the same instance name replaces the failed one.
    fleet.start(7, 2);
    fleet.run_for(20);
    assert!(fleet.all_alive());
}

#[test]
fn broken_links() {
    let mut fleet = TestFleet::new(12, 3);
    fleet.run_for(10);
    for from in 0..12 {
        for to in 0..12 {
            fleet.broken_link = Some((from, to));
            fleet.run_for(3);
            assert_eq!(
                fleet.count_observers(to, MemberState::Failed),
                0,
                "{from} to {to}"
            );
        }
    }
}

#[test]
fn network_partition() {
    let mut fleet = TestFleet::new(20, 4);
    fleet.run_for(20);
    fleet.partition_index = Some(8);
    fleet.run_for(60);
    assert_eq!(fleet.count_observers(0, MemberState::Alive), 7);
    fleet.partition_index = None;
    fleet.run_for(300);
    assert!(fleet.all_alive());
}

#[test]
fn leaving_spreads() {
    let mut fleet = TestFleet::new(30, 5);
    fleet.run_for(20);
    fleet.apply(4, MembershipEvent::Leave);
    fleet.run_for(6);
    assert_eq!(fleet.count_observers(4, MemberState::Leaving), 29);
}

#[test]
fn lost_messages() {
    for seed in 0..20 {
        println!("seed {seed}");
        let mut fleet = TestFleet::new(15, seed);
        fleet.run_for(10);
        fleet.loss_percent = 30;
        fleet.run_for(60);
        fleet.loss_percent = 0;
        fleet.run_for(60);
        assert!(fleet.all_alive(), "failed at seed {seed}");
    }
}

#[test]
fn constant_neighbours() {
    for size in [1, 2, 3, 8, 32, 420] {
        let mut machine = MembershipMachine::new(
            MembershipSettings::default(),
            identity_of(0, 1),
            Instant::now(),
        )
        .unwrap();
        let records = (0..size)
            .map(|index| record_of(&identity_of(index, 1)))
            .collect();
        machine.apply(MembershipEvent::InstancesListed { records }, Instant::now());
        assert_eq!(machine.members().count(), size - 1);
        assert!(machine.neighbours().len() <= 4);
        assert!(size == 1 || !machine.neighbours().is_empty());
    }
}
