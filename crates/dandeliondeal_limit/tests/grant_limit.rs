//! Tests that live grants never exceed the limit if messages are lost or late, or instances pause,
//! restart or are partitioned.

use std::time::{Duration, Instant};

use bolero_generator::ValueGenerator;
use bolero_generator::driver::{Options, Rng};
use bolero_generator::prelude::{TypeGenerator, produce};
use dandeliondeal_limit::{
    GrantAnswer, GrantHolder, GrantOwner, GrantRequest, GrantSettings, LimitAmount,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 400;
const STEPS: usize = 300;
const INSTANCES: usize = 4;
/// Number of generated takeovers and restarts, out of 256, that take effect on average.
const EFFECT_ODDS: u8 = 40;
const MAX_WAIT: Duration = Duration::from_secs(4);
const LIMIT: LimitAmount = LimitAmount {
    milli_requests: 10_000,
    tokens: 1_000,
    concurrency: 7,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum GrantStep {
    Ask { holder: u8, owner: u8, demand: u8 },
    Renew { holder: u8, demand: u8 },
    RenewAll { demand: u8 },
    ReadLeaseAsLatestOwner,
    Deliver { message: u8 },
    DeliverLast,
    Lose { message: u8 },
    Wait { time: u8 },
    TakeOver { instance: u8, chance: u8 },
    ReadLease { instance: u8 },
    Restart { instance: u8, chance: u8 },
    ProvePredecessorsEnded,
}

#[derive(Clone, Debug)]
enum GrantMessage {
    Request {
        to: usize,
        request: GrantRequest,
    },
    Answer {
        incarnation: u64,
        answer: GrantAnswer,
    },
}

#[derive(Clone, Debug)]
struct SentMessage {
    holder: usize,
    sent: Instant,
    message: GrantMessage,
}

struct GrantInstance {
    incarnation: u64,
    holder: GrantHolder,
    owner: Option<GrantOwner>,
}

/// Simulates the instances, the lease object and the messages in transit.
struct GrantSimulation {
    now: Instant,
    instances: Vec<GrantInstance>,
    messages: Vec<SentMessage>,
    term: u64,
    /// Instance and incarnation of each owner, by term.
    owners: Vec<(usize, u64)>,
    max_live_tokens: u64,
    changed_grants: u32,
}

impl GrantSimulation {
    fn new() -> Self {
        let instance = |number| GrantInstance {
            incarnation: 1,
            holder: GrantHolder::new(format!("entry-{number}").into(), 1),
            owner: None,
        };
        Self {
            now: Instant::now(),
            instances: (0..INSTANCES).map(instance).collect(),
            messages: Vec::new(),
            term: 0,
            owners: Vec::new(),
            max_live_tokens: 0,
            changed_grants: 0,
        }
    }

    fn step(&mut self, step: GrantStep) {
        let index = |number: u8| usize::from(number) % INSTANCES;
        match step {
            GrantStep::Ask {
                holder,
                owner,
                demand,
            } => self.ask(index(holder), index(owner), u64::from(demand)),
            GrantStep::Renew { holder, demand } => self.renew(index(holder), u64::from(demand)),
            GrantStep::RenewAll { demand } => {
                for holder in 0..INSTANCES {
                    self.renew(holder, u64::from(demand) * holder as u64);
                }
            }
            GrantStep::ReadLeaseAsLatestOwner => {
                if let Some(&(owner, _)) = self.owners.last() {
                    self.read_lease(owner);
                }
            }
            GrantStep::Deliver { message } => self.deliver(usize::from(message)),
            GrantStep::DeliverLast => self.deliver(self.messages.len().saturating_sub(1)),
            GrantStep::Lose { message } => {
                self.take_message(usize::from(message));
            }
            GrantStep::Wait { time } => self.now += MAX_WAIT * u32::from(time) / 256,
            GrantStep::TakeOver { instance, chance } if chance < EFFECT_ODDS => {
                self.take_over(index(instance));
            }
            GrantStep::ReadLease { instance } => self.read_lease(index(instance)),
            GrantStep::Restart { instance, chance } if chance < EFFECT_ODDS => {
                self.restart(index(instance));
            }
            GrantStep::TakeOver { .. } | GrantStep::Restart { .. } => {}
            GrantStep::ProvePredecessorsEnded => self.prove_predecessors_ended(),
        }
    }

    fn ask(&mut self, holder: usize, to: usize, demand: u64) {
        let demand = LimitAmount {
            milli_requests: demand * 100,
            tokens: demand * 10,
            concurrency: demand / 16,
        };
        let request = self.instances[holder].holder.request(demand, self.now);
        self.messages.push(SentMessage {
            holder,
            sent: self.now,
            message: GrantMessage::Request { to, request },
        });
    }

    /// Exchanges one request and its answer with the latest owner, without delay.
    fn renew(&mut self, holder: usize, demand: u64) {
        if let Some(&(owner, _)) = self.owners.last() {
            self.renew_at(owner, holder, demand);
        }
    }

    fn renew_at(&mut self, owner: usize, holder: usize, demand: u64) {
        self.ask(holder, owner, demand);
        self.deliver(self.messages.len() - 1);
        self.deliver(self.messages.len() - 1);
    }

    /// Creates a simulation in which holders 2 and 3 use the whole limit under owner 0.
    fn with_two_holders() -> Self {
        let mut simulation = Self::new();
        simulation.take_over(0);
        for holder in [2, 3, 2, 3, 2, 3] {
            simulation.renew(holder, 200);
        }
        simulation
    }

    fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }

    fn assert_within_limit(&self) {
        let live = self.live_amount();
        assert!(live.is_within(LIMIT), "{live:?} is live");
    }

    fn take_message(&mut self, message: usize) -> Option<SentMessage> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.remove(message % count))
    }

    fn deliver(&mut self, message: usize) {
        let Some(mut sent) = self.take_message(message) else {
            return;
        };
        match sent.message {
            GrantMessage::Request { to, request } => {
                let owner = &mut self.instances[to].owner;
                let answer = owner.as_mut().map_or(GrantAnswer::NotOwner, |owner| {
                    owner.request(&request, self.now)
                });
                let incarnation = request.incarnation;
                sent.message = GrantMessage::Answer {
                    incarnation,
                    answer,
                };
                self.messages.push(sent);
            }
            GrantMessage::Answer {
                incarnation,
                answer,
            } => {
                let instance = &mut self.instances[sent.holder];
                if instance.incarnation == incarnation {
                    let before = instance.holder.amount(self.now);
                    instance.holder.process_answer(answer, sent.sent);
                    self.changed_grants += u32::from(instance.holder.amount(self.now) != before);
                }
            }
        }
    }

    fn take_over(&mut self, instance: usize) {
        let is_first = self.term == 0;
        self.term += 1;
        let incarnation = self.instances[instance].incarnation;
        self.owners.push((instance, incarnation));
        self.instances[instance].owner = Some(GrantOwner::new(
            GrantSettings::default(),
            LIMIT,
            self.term,
            is_first,
            self.now,
            self.now,
        ));
    }

    fn read_lease(&mut self, instance: usize) {
        if let Some(owner) = &mut self.instances[instance].owner {
            if owner.term() == self.term {
                owner.confirm(self.now);
            } else {
                owner.lose_term();
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.incarnation += 1;
        instance.holder = GrantHolder::new(format!("entry-{number}").into(), instance.incarnation);
        instance.owner = None;
    }

    /// Proves to the owner that its predecessors ended, if the simulation shows that they did.
    fn prove_predecessors_ended(&mut self) {
        let Some(&(instance, _)) = self.owners.last() else {
            return;
        };
        let term = self.term;
        let has_ended = |(position, &(number, incarnation)): (usize, &(usize, u64))| {
            let holder = &self.instances[number];
            let owned_term = holder.owner.as_ref().map(GrantOwner::term);
            holder.incarnation != incarnation || owned_term != Some(position as u64 + 1)
        };
        let earlier = &self.owners[..self.owners.len().saturating_sub(1)];
        let are_all_ended = earlier.iter().enumerate().all(has_ended);
        let now = self.now;
        match &mut self.instances[instance].owner {
            Some(owner) if owner.term() == term && are_all_ended => {
                owner.record_predecessors_ended(now);
            }
            _ => {}
        }
    }

    fn live_amount(&self) -> LimitAmount {
        self.instances
            .iter()
            .map(|instance| instance.holder.amount(self.now))
            .fold(LimitAmount::default(), LimitAmount::plus)
    }
}

/// Runs the check over a fixed number of seeds and reports the seed that fails.
fn check_seeds<Check>(check: Check)
where
    Check: Fn(&[GrantStep]) -> Result<(), String>,
{
    let steps = produce::<Vec<GrantStep>>().with().len(STEPS);
    for seed in 0..SEEDS {
        let random = StdRng::seed_from_u64(seed);
        let mut driver = Rng::new(random, &Options::default());
        let steps = steps.generate(&mut driver).unwrap();
        if let Err(message) = check(&steps) {
            panic!("seed {seed}: {message}");
        }
    }
}

#[test]
fn limit_never_exceeded() {
    let changed_grants = std::cell::Cell::new(0);
    let busy_runs = std::cell::Cell::new(0);
    check_seeds(|steps| {
        let mut simulation = GrantSimulation::new();
        for (position, &step) in steps.iter().enumerate() {
            simulation.step(step);
            let live = simulation.live_amount();
            simulation.max_live_tokens = simulation.max_live_tokens.max(live.tokens);
            if !live.is_within(LIMIT) {
                return Err(format!("step {position} {step:?}: {live:?} is live"));
            }
        }
        changed_grants.set(changed_grants.get() + simulation.changed_grants);
        busy_runs.set(busy_runs.get() + u32::from(simulation.max_live_tokens > LIMIT.tokens / 2));
        Ok(())
    });
    assert!(
        changed_grants.get() > 1000,
        "only {} grants changed",
        changed_grants.get()
    );
    assert!(
        busy_runs.get() > 50,
        "only {} runs used more than half of the limit",
        busy_runs.get()
    );
}

#[test]
fn skewed_demand() {
    let mut simulation = GrantSimulation::new();
    simulation.take_over(0);
    for _ in 0..3 {
        for holder in 0..INSTANCES {
            simulation.read_lease(0);
            simulation.renew(holder, if holder == 2 { 200 } else { 0 });
            simulation.now += Duration::from_millis(250);
        }
    }
    let busy_amount = simulation.instances[2].holder.amount(simulation.now);
    assert!(busy_amount.tokens >= 950, "{busy_amount:?}");
}

#[test]
fn owner_killed() {
    let mut simulation = GrantSimulation::with_two_holders();
    let before = simulation.instances[2].holder.amount(simulation.now);
    simulation.restart(0);
    simulation.wait(1);
    simulation.take_over(1);
    simulation.prove_predecessors_ended();
    for _ in 0..12 {
        simulation.wait(1);
        simulation.read_lease(1);
        simulation.renew(2, 100);
        let amount = simulation.instances[2].holder.amount(simulation.now);
        assert_eq!(
            amount, before,
            "the grant does not change when its owner is killed"
        );
    }
    for _ in 0..14 {
        simulation.wait(1);
        simulation.read_lease(1);
        simulation.renew(2, 100);
    }
    let after = simulation.instances[2].holder.amount(simulation.now);
    assert!(after.tokens > before.tokens, "{after:?} after {before:?}");
}

#[test]
fn partitioned_owner() {
    let mut simulation = GrantSimulation::with_two_holders();
    simulation.take_over(1);
    for _ in 0..40 {
        simulation.wait(1);
        // Holder 2 reaches only the new owner. Holder 3 reaches only the old one, which can't reach
        // the lease object.
        simulation.read_lease(1);
        simulation.renew_at(1, 2, 200);
        simulation.renew_at(0, 3, 200);
        simulation.assert_within_limit();
    }
    let live = simulation.live_amount();
    assert!(
        live.tokens >= 950,
        "both holders keep their grants: {live:?}"
    );
}

/// Renews only holder 3 at owner 0, whose term is confirmed every second.
fn renew_holder_three(simulation: &mut GrantSimulation, seconds: u64) {
    for _ in 0..seconds {
        simulation.wait(1);
        simulation.read_lease(0);
        simulation.renew_at(0, 3, 200);
    }
}

#[test]
fn request_before_active() {
    let mut simulation = GrantSimulation::with_two_holders();
    renew_holder_three(&mut simulation, 14);
    simulation.take_over(1);
    for _ in 0..4 {
        simulation.renew_at(1, 2, 200);
        simulation.renew_at(1, 2, 200);
        simulation.wait(1);
        simulation.renew_at(0, 3, 200);
        simulation.assert_within_limit();
    }
}

#[test]
fn delayed_request() {
    let mut simulation = GrantSimulation::with_two_holders();
    renew_holder_three(&mut simulation, 14);
    simulation.ask(2, 1, 200);
    for _ in 0..4 {
        simulation.wait(1);
        simulation.read_lease(0);
        simulation.ask(3, 0, 200);
        simulation.deliver(1);
        simulation.deliver(1);
    }
    simulation.take_over(1);
    simulation.wait(6);
    simulation.deliver(0);
    simulation.deliver(0);
    simulation.assert_within_limit();
}
