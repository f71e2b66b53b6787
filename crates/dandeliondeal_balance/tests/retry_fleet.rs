//! Tests that the retries of all instances together stay within the limit in every window.
//!
//! Instances are killed, stopped, started, added and removed at any time, and a new process knows
//! nothing of the one before it. Requests are spread unevenly and come in bursts.

use std::time::Duration;

use bolero_generator::TypeGenerator;
use dandeliondeal_balance::{RetryBudget, RetrySettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Retries per request.
const RATIO: f64 = 0.2;
/// Retries in each window in addition, over all instances.
const SLACK: f64 = 40.0;
/// Window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of random schedules.
const SCHEDULE_COUNT: u64 = 200;

/// One step of a schedule.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum FleetStep {
    /// Waits for this number of milliseconds.
    Wait(u16),
    /// Sends requests to an instance, of which some fail as often as they may be retried.
    Requests {
        instance: u8,
        count: u8,
        failures: u8,
    },
    /// Replaces the process of an instance.
    Restart(u8),
    /// Adds an instance, and lets all count the others again.
    Join,
    /// Removes an instance, and lets all count the others again.
    Leave(u8),
}

/// Instances with their budgets, and what the endpoints receive.
struct SimulatedFleet {
    now: Duration,
    instances: Vec<RetryBudget>,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl SimulatedFleet {
    fn new(count: usize) -> Self {
        Self {
            now: WINDOW * 3,
            instances: vec![Self::new_budget(count); count],
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn new_budget(count: usize) -> RetryBudget {
        RetryBudget::new(RetrySettings {
            retries_per_request: RATIO,
            max_saved_retries: SLACK / count as f64,
            initial_retries: 0.0,
            ..RetrySettings::default()
        })
    }

    fn count_instances(&mut self) {
        let share = SLACK / self.instances.len() as f64;
        for budget in &mut self.instances {
            budget.set_max_saved(share);
        }
    }

    fn index(&self, instance: u8) -> usize {
        usize::from(instance) % self.instances.len()
    }

    fn apply(&mut self, step: FleetStep) {
        match step {
            FleetStep::Wait(delay) => self.now += Duration::from_millis(u64::from(delay)),
            FleetStep::Requests {
                instance,
                count,
                failures,
            } => {
                let index = self.index(instance);
                let budget = &mut self.instances[index];
                for _ in 0..count {
                    budget.record_request();
                    self.requests.push(self.now);
                }
                for _ in 0..failures {
                    if budget.try_take() {
                        self.retries.push(self.now);
                    }
                }
            }
            FleetStep::Restart(instance) => {
                let index = self.index(instance);
                self.instances[index] = Self::new_budget(self.instances.len());
            }
            FleetStep::Join => {
                let budget = Self::new_budget(self.instances.len() + 1);
                self.instances.push(budget);
                self.count_instances();
            }
            FleetStep::Leave(instance) if self.instances.len() > 1 => {
                let index = self.index(instance);
                self.instances.swap_remove(index);
                self.count_instances();
            }
            FleetStep::Leave(_) => {}
        }
    }

    /// Checks each window that ends with a retry. The limit counts the requests in that window alone.
    fn check(&self) {
        for end in &self.retries {
            let from = end.saturating_sub(WINDOW);
            let count = |times: &[Duration]| {
                let times = times.iter();
                times.filter(|at| **at > from && *at <= end).count() as f64
            };
            // The sum of many shares may exceed the limit by rounding.
            let allowed = RATIO * count(&self.requests) + SLACK + 1e-6;
            let retries = count(&self.retries);
            assert!(retries <= allowed, "{retries} over {allowed} at {end:?}");
        }
    }
}

fn random_step(random: &mut StdRng) -> FleetStep {
    match random.random_range(0..20) {
        0..=6 => FleetStep::Wait(random.random_range(0..2_000)),
        7..=16 => FleetStep::Requests {
            // Low numbers are more frequent, so that the load is uneven.
            instance: random
                .random_range(0..=8_u8)
                .min(random.random_range(0..=8)),
            count: random.random_range(0..40),
            failures: if random.random_bool(0.5) { 0 } else { u8::MAX },
        },
        17 => FleetStep::Restart(random.random()),
        18 => FleetStep::Join,
        _ => FleetStep::Leave(random.random()),
    }
}

#[test]
fn random_schedules() {
    for seed in 0..SCHEDULE_COUNT {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(random.random_range(1..12));
        for _ in 0..400 {
            let step = random_step(&mut random);
            fleet.apply(step);
        }
        assert!(!fleet.retries.is_empty(), "seed {seed}");
        fleet.check();
    }
}

#[test]
fn generated_schedules() {
    bolero::check!()
        .with_type::<Vec<FleetStep>>()
        .cloned()
        .for_each(|steps| {
            let mut fleet = SimulatedFleet::new(3);
            for step in &steps {
                fleet.apply(*step);
            }
            fleet.check();
        });
}

#[test]
fn restarted_in_turn() {
    // Calm first, then all requests fail and each instance is restarted once a second.
    let mut fleet = SimulatedFleet::new(9);
    for second in 0_u8..30 {
        if second >= 12 {
            fleet.apply(FleetStep::Restart(second));
        }
        for instance in 0..9 {
            fleet.apply(FleetStep::Requests {
                instance,
                count: 22,
                failures: if second >= 12 { u8::MAX } else { 0 },
            });
        }
        fleet.apply(FleetStep::Wait(1_000));
    }
    fleet.check();
}
