//! Graded admission under the loads that it is made for.

mod support;

use support::{FleetPlan, FleetResult, LoadPhase, WORK, phase};

/// Times of the burst in these tests.
const BURST: (f64, f64) = (5.0, 11.0);

/// Returns a plan with three times the load during the burst.
fn triple_load(instances: usize, seed: u64) -> FleetPlan {
    let mut plan = FleetPlan::new(instances);
    plan.seed = seed;
    for urgency in 0..3 {
        plan.phases
            .extend(phase(urgency, 2.0 / 3.0, BURST.0, BURST.1));
    }
    plan
}

fn assert_order(result: &FleetResult, plan: &FleetPlan) {
    let missed = |urgency| result.missed(urgency, BURST.0, BURST.1);
    assert!(
        missed(0) < missed(1) && missed(1) < missed(2),
        "{} instances, seed {}: {}",
        plan.instances,
        plan.seed,
        result.summary(BURST.0, BURST.1)
    );
}

/// Guards against refusals and waits where there is room for everyone.
#[test]
fn calm_load() {
    for instances in [26, 88, 300] {
        let result = FleetPlan::new(instances).run();
        let summary = result.summary(0.0, 100.0);
        assert!(
            result.callers.iter().all(|caller| caller.in_time()),
            "{summary}"
        );
        assert_eq!((result.rejections, result.max_waiting), (0, 0), "{summary}");
    }
}

/// Guards against service in the order of arrival when everyone sends more.
#[test]
fn urgency_order() {
    for instances in [26, 88, 300] {
        for seed in 1..=3 {
            let plan = triple_load(instances, seed);
            assert_order(&plan.run(), &plan);
        }
    }
}

/// Guards against callers that are told to return while the service is still full.
#[test]
fn triple_returns() {
    for instances in [26, 88, 300] {
        let runs = (1..=5).map(|seed| triple_load(instances, seed).run().returns());
        let (count, served) = runs.fold((0, 0.0), |(count, served), (returned, part)| {
            (count + returned, served + part * returned as f64)
        });
        let part = served / f64::from(u32::try_from(count).expect("a small number"));
        assert!(
            part >= 0.9,
            "{instances} instances: {part:.3} of {count} served"
        );
    }
}

/// Guards against admission beyond the memory of the engines.
#[test]
fn triple_rejections() {
    for instances in [26, 88, 300] {
        let runs: Vec<_> = (1..=5)
            .map(|seed| triple_load(instances, seed).run())
            .collect();
        let attempts: usize = runs.iter().map(|run| run.attempts).sum();
        let rejections: usize = runs.iter().map(|run| run.rejections).sum();
        let part = rejections as f64 / attempts as f64;
        assert!(
            part < 0.05,
            "{instances} instances: {part:.3} of {attempts}"
        );
    }
}

/// Guards against a burst of unimportant requests that takes the room of the others.
#[test]
fn least_urgent_burst() {
    for instances in [26, 88, 300] {
        let mut plan = FleetPlan::new(instances);
        plan.phases.extend(phase(2, 4.0, BURST.0, BURST.1));
        let result = plan.run();
        let summary = result.summary(BURST.0, BURST.1);
        assert_order(&result, &plan);
        let refused = |urgency| {
            let filter = |caller: &support::CallerRecord| caller.urgency == urgency;
            result.part(filter, |caller| caller.refused)
        };
        assert!(refused(0) < 0.02 && refused(1) < 0.05, "{summary}");
    }
}

/// Guards against an organisation that gets more because it sends more.
#[test]
fn eager_organisation() {
    for instances in [26, 88, 300] {
        let mut plan = FleetPlan::new(instances);
        plan.phases = phase(1, 1.0, 0.0, f64::INFINITY);
        let mut eager: LoadPhase = plan.phases[0].clone();
        eager.factor *= 9.0 * 2.0;
        (eager.from, eager.until) = BURST;
        plan.phases.push(eager);
        let result = plan.run();
        // The first second shows what the gates do before they know of the demand.
        let part = |is_eager: bool| {
            let filter = |caller: &support::CallerRecord| {
                (caller.organisation == "organisation-0") == is_eager
                    && (BURST.0 + 1.5..BURST.1).contains(&caller.arrived)
            };
            result.part(filter, support::CallerRecord::in_time)
        };
        let (eager_part, others) = (part(true), part(false));
        let summary = result.summary(BURST.0, BURST.1);
        assert!(
            others > 0.85 && eager_part < others - 0.2 && eager_part > 0.1,
            "{instances}: eager {eager_part:.3}, others {others:.3}: {summary}"
        );
    }
}

/// Guards against long prompts that are starved, or that take the room of short ones.
#[test]
fn long_prompts() {
    for instances in [26, 88, 300] {
        let mut plan = FleetPlan::new(instances);
        let (from, until) = BURST;
        let load = |organisation: &str, work: f64| LoadPhase {
            from,
            until,
            urgency: 1,
            organisation: organisation.into(),
            // Equal demand in work.
            factor: 2.0 * WORK / work,
            work,
            objective: 0.6,
        };
        plan.phases.push(load("short", WORK / 2.0));
        plan.phases.push(load("long", WORK * 2.0));
        let result = plan.run();
        let part = |organisation: &str| {
            let filter = |caller: &support::CallerRecord| {
                caller.organisation == organisation && caller.arrived > from + 1.5
            };
            result.part(filter, support::CallerRecord::in_time)
        };
        let (short, long) = (part("short"), part("long"));
        assert!(
            short > 0.2 && long > 0.2 && (short / long) < 2.5 && (long / short) < 1.5,
            "{instances}: short {short:.3}, long {long:.3}"
        );
    }
}

/// Guards against refused callers that come back together and are refused again.
#[test]
fn returns_together() {
    for instances in [26, 88, 300] {
        let mut plan = FleetPlan::new(instances);
        for urgency in 0..3 {
            plan.phases.extend(phase(urgency, 8.0, 5.0, 5.5));
        }
        let result = plan.run();
        let returns: Vec<f64> = result
            .callers
            .iter()
            .filter_map(|caller| caller.returned)
            .collect();
        assert!(!returns.is_empty());
        let most = returns.iter().map(|&from| {
            let window = from..from + 0.5;
            returns.iter().filter(|time| window.contains(time)).count()
        });
        let most = most.max().unwrap_or(0);
        let (count, served) = result.returns();
        assert!(most * 2 <= count, "{most} of {count} within half a second");
        assert!(served >= 0.9, "{}", result.summary(5.0, 5.5));
    }
}

/// Guards against gates that keep to the room of before, when engines are lost or return.
#[test]
fn vanishing_room() {
    for instances in [26, 88, 300] {
        let mut plan = FleetPlan::new(instances);
        for load in &mut plan.phases {
            load.factor *= 2.2;
        }
        plan.capacity = vec![(BURST.0, 2.0 / 3.0), (BURST.1, 1.0)];
        let result = plan.run();
        assert_order(&result, &plan);
        for urgency in 0..3 {
            let filter = |caller: &support::CallerRecord| {
                caller.urgency == urgency && caller.arrived > BURST.1 + 8.0
            };
            let missed = result.part(filter, |caller| !caller.in_time());
            assert!(missed < 0.1, "{}", result.summary(BURST.1 + 8.0, 100.0));
        }
    }
}
