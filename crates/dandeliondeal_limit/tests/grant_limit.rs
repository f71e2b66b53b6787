//! Live grants never exceed the limit, whatever is lost, late, paused, parted or restarted.

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
/// Of 256 takeovers or restarts that are drawn, so many happen.
const RARE: u8 = 40;
const MOST_WAIT: Duration = Duration::from_secs(4);
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
    ReadCurrent,
    Deliver { message: u8 },
    DeliverLast,
    Lose { message: u8 },
    Wait { time: u8 },
    TakeOver { instance: u8, dice: u8 },
    ReadLease { instance: u8 },
    Restart { instance: u8, dice: u8 },
    Prove,
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

/// A few instances, the lease object and the messages under way.
struct GrantWorld {
    now: Instant,
    instances: Vec<GrantInstance>,
    messages: Vec<SentMessage>,
    term: u64,
    /// Instance and incarnation of each owner, by term.
    owners: Vec<(usize, u64)>,
    most_live: u64,
    moved: u32,
}

impl GrantWorld {
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
            most_live: 0,
            moved: 0,
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
            GrantStep::ReadCurrent => {
                if let Some(&(owner, _)) = self.owners.last() {
                    self.read_lease(owner);
                }
            }
            GrantStep::Deliver { message } => self.deliver(usize::from(message)),
            GrantStep::DeliverLast => self.deliver(self.messages.len().saturating_sub(1)),
            GrantStep::Lose { message } => {
                self.take_message(usize::from(message));
            }
            GrantStep::Wait { time } => self.now += MOST_WAIT * u32::from(time) / 256,
            GrantStep::TakeOver { instance, dice } if dice < RARE => {
                self.take_over(index(instance));
            }
            GrantStep::ReadLease { instance } => self.read_lease(index(instance)),
            GrantStep::Restart { instance, dice } if dice < RARE => self.restart(index(instance)),
            GrantStep::TakeOver { .. } | GrantStep::Restart { .. } => {}
            GrantStep::Prove => self.prove(),
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

    /// Exchanges one request and answer with the latest owner, without delay.
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

    /// Holders 2 and 3 use the whole limit under owner 0.
    fn shared_by_two() -> Self {
        let mut world = Self::new();
        world.take_over(0);
        for holder in [2, 3, 2, 3, 2, 3] {
            world.renew(holder, 200);
        }
        world
    }

    fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }

    fn assert_within(&self) {
        let live = self.live();
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
                    instance.holder.answered(answer, sent.sent);
                    self.moved += u32::from(instance.holder.amount(self.now) != before);
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
                owner.depose();
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.incarnation += 1;
        instance.holder = GrantHolder::new(format!("entry-{number}").into(), instance.incarnation);
        instance.owner = None;
    }

    /// Tells the owner that its predecessors ended, where the world shows that they did.
    fn prove(&mut self) {
        let Some(&(instance, _)) = self.owners.last() else {
            return;
        };
        let term = self.term;
        let is_gone = |(place, &(number, incarnation)): (usize, &(usize, u64))| {
            let holder = &self.instances[number];
            let owned = holder.owner.as_ref().map(GrantOwner::term);
            holder.incarnation != incarnation || owned != Some(place as u64 + 1)
        };
        let earlier = &self.owners[..self.owners.len().saturating_sub(1)];
        let is_proved = earlier.iter().enumerate().all(is_gone);
        let now = self.now;
        match &mut self.instances[instance].owner {
            Some(owner) if owner.term() == term && is_proved => owner.predecessors_ended(now),
            _ => {}
        }
    }

    fn live(&self) -> LimitAmount {
        self.instances
            .iter()
            .map(|instance| instance.holder.amount(self.now))
            .fold(LimitAmount::default(), LimitAmount::plus)
    }
}

/// Runs the check over a fixed count of seeds and names the one that fails.
fn for_seeds<Check>(check: Check)
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
fn never_above() {
    let moved = std::cell::Cell::new(0);
    let full = std::cell::Cell::new(0);
    for_seeds(|steps| {
        let mut world = GrantWorld::new();
        for (place, &step) in steps.iter().enumerate() {
            world.step(step);
            let live = world.live();
            world.most_live = world.most_live.max(live.tokens);
            if !live.is_within(LIMIT) {
                return Err(format!("step {place} {step:?}: {live:?} is live"));
            }
        }
        moved.set(moved.get() + world.moved);
        full.set(full.get() + u32::from(world.most_live > LIMIT.tokens / 2));
        Ok(())
    });
    assert!(moved.get() > 1000, "only {} grants changed", moved.get());
    assert!(full.get() > 50, "only {} runs used the limit", full.get());
}

#[test]
fn skewed_demand() {
    let mut world = GrantWorld::new();
    world.take_over(0);
    for _ in 0..3 {
        for holder in 0..INSTANCES {
            world.read_lease(0);
            world.renew(holder, if holder == 2 { 200 } else { 0 });
            world.now += Duration::from_millis(250);
        }
    }
    let hot = world.instances[2].holder.amount(world.now);
    assert!(hot.tokens >= 950, "{hot:?}");
}

#[test]
fn owner_killed() {
    let mut world = GrantWorld::shared_by_two();
    let before = world.instances[2].holder.amount(world.now);
    world.restart(0);
    world.wait(1);
    world.take_over(1);
    world.prove();
    for _ in 0..12 {
        world.wait(1);
        world.read_lease(1);
        world.renew(2, 100);
        let amount = world.instances[2].holder.amount(world.now);
        assert_eq!(amount, before, "the share outlives its owner");
    }
    for _ in 0..14 {
        world.wait(1);
        world.read_lease(1);
        world.renew(2, 100);
    }
    let after = world.instances[2].holder.amount(world.now);
    assert!(after.tokens > before.tokens, "{after:?} after {before:?}");
}

#[test]
fn parted_owner() {
    let mut world = GrantWorld::shared_by_two();
    world.take_over(1);
    for _ in 0..40 {
        world.wait(1);
        // Holder 2 reaches the new owner only, holder 3 the old one, which the lease does not.
        world.read_lease(1);
        world.renew_at(1, 2, 200);
        world.renew_at(0, 3, 200);
        world.assert_within();
    }
    let live = world.live();
    assert!(live.tokens >= 950, "neither side starves: {live:?}");
}

/// Holder 3 alone renews at owner 0, whose term is confirmed each second.
fn renew_third(world: &mut GrantWorld, seconds: u64) {
    for _ in 0..seconds {
        world.wait(1);
        world.read_lease(0);
        world.renew_at(0, 3, 200);
    }
}

#[test]
fn early_claim() {
    let mut world = GrantWorld::shared_by_two();
    renew_third(&mut world, 14);
    world.take_over(1);
    for _ in 0..4 {
        world.renew_at(1, 2, 200);
        world.renew_at(1, 2, 200);
        world.wait(1);
        world.renew_at(0, 3, 200);
        world.assert_within();
    }
}

#[test]
fn late_claim() {
    let mut world = GrantWorld::shared_by_two();
    renew_third(&mut world, 14);
    world.ask(2, 1, 200);
    for _ in 0..4 {
        world.wait(1);
        world.read_lease(0);
        world.ask(3, 0, 200);
        world.deliver(1);
        world.deliver(1);
    }
    world.take_over(1);
    world.wait(6);
    world.deliver(0);
    world.deliver(0);
    world.assert_within();
}
