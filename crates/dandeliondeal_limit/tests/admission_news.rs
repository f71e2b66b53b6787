//! Graded admission with news that is late, lost or missing.

mod support;

use std::time::{Duration, Instant};

use dandeliondeal_limit::{
    AdmissionGate, AdmissionRank, DemandReport, GateAction, GateRequest, GateSettings, ServiceRoom,
};
use support::{CallerRecord, FleetPlan, GateFault, phase};

const BURST: (f64, f64) = (5.0, 11.0);

fn burst_plan(instances: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(instances);
    for urgency in 0..3 {
        plan.phases
            .extend(phase(urgency, 2.0 / 3.0, BURST.0, BURST.1));
    }
    plan
}

fn assert_order(plan: &FleetPlan) {
    let result = plan.run();
    let missed = |urgency| result.missed(urgency, BURST.0, BURST.1);
    let summary = result.summary(BURST.0, BURST.1);
    assert!(missed(0) < missed(1) && missed(1) < missed(2), "{summary}");
}

/// Guards against gates that need each total.
#[test]
fn lost_news() {
    for instances in [26, 88, 300] {
        let mut plan = burst_plan(instances);
        plan.news_loss = 0.4;
        assert_order(&plan);
    }
}

/// Guards against an instance without news that refuses its callers, or disturbs the others.
#[test]
fn cut_instance() {
    for instances in [26, 88, 300] {
        let mut plan = burst_plan(instances);
        plan.faults.push(GateFault::Cut(3, 4.0, 20.0));
        assert_order(&plan);
        let result = plan.run();
        let is_cut = |caller: &CallerRecord| caller.gate == 3 && caller.arrived > 5.5;
        let refused = result.part(is_cut, |caller| caller.refused);
        assert!(refused < 0.1, "{refused}");
    }
}

/// Guards against shares from before a pause.
#[test]
fn paused_instance() {
    for instances in [26, 88, 300] {
        let mut plan = burst_plan(instances);
        plan.faults.push(GateFault::Paused(3, 8.0, 12.0));
        assert_order(&plan);
    }
}

#[test]
fn restarted_instance() {
    for instances in [26, 88, 300] {
        let mut plan = burst_plan(instances);
        plan.faults.push(GateFault::Restarted(3, 8.0));
        plan.faults.push(GateFault::Restarted(4, 9.0));
        assert_order(&plan);
    }
}

fn full_news() -> (DemandReport, ServiceRoom) {
    let mut demand = DemandReport::default();
    demand.ranks.insert(2, 10_000.0);
    let room = ServiceRoom {
        capacity: 1_000.0,
        committed: 950.0,
    };
    (demand, room)
}

fn request(objective_left: Duration) -> GateRequest {
    GateRequest {
        organisation: None,
        rank: AdmissionRank::new(1, false),
        work: 100.0,
        objective_left,
        max_retry_delay: Duration::from_secs(6),
    }
}

/// Guards against refusals for news that nobody can vouch for any more.
#[test]
fn stale_news() {
    let now = Instant::now();
    let settings = GateSettings::default();
    let mut gate = AdmissionGate::new(settings.clone(), Duration::from_secs(3), now);
    let rank = AdmissionRank::new(1, false);
    assert!(gate.share(rank, None, now) >= 1.0, "no news");
    let (demand, room) = full_news();
    gate.set_news(&demand, room, || 0.5, now);
    assert!(gate.share(rank, None, now) < 0.2);
    let later = now + settings.news_limit;
    assert!(gate.share(rank, None, later) >= 1.0);
    let actions = gate.submit(1, request(Duration::from_millis(500)), 0.99, later);
    assert_eq!(actions, [GateAction::Admit(1)]);
    assert!(gate.describe(later).shares.is_empty());
}

/// Guards against values from other instances that break the arithmetic.
#[test]
fn extreme_news() {
    let values = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -1.0,
        0.0,
        1e-300,
        f64::MAX,
    ];
    let now = Instant::now();
    for capacity in values {
        for committed in values {
            for work in values {
                let mut gate = AdmissionGate::new(GateSettings::default(), Duration::ZERO, now);
                let mut demand = DemandReport::default();
                demand.ranks.extend([(2, work), (4, 1.0), (200, 5.0)]);
                demand
                    .organisations
                    .insert(2, [("a".into(), work), ("b".into(), 1.0)].into());
                let mut sum = DemandReport::default();
                sum.add(&demand);
                sum.add(&demand);
                for demand in [&demand, &sum] {
                    let room = ServiceRoom {
                        capacity,
                        committed,
                    };
                    gate.set_news(demand, room, || f64::NAN, now);
                    for rank in (0..20).filter_map(AdmissionRank::from_value) {
                        for organisation in [None, Some("a".into()), Some("b".into())] {
                            let share = gate.share(rank, organisation.as_ref(), now);
                            assert!((0.1 - 1e-9..=1.0).contains(&share), "{share}");
                        }
                    }
                    let mut request = request(Duration::MAX);
                    request.work = work;
                    request.max_retry_delay = Duration::MAX;
                    gate.submit(1, request.clone(), f64::NAN, now);
                    gate.wait_for_room(2, request, now);
                    gate.record_finished(Duration::MAX, now);
                    gate.tick(|| f64::INFINITY, now + Duration::from_hours(2));
                    let report = gate.local_demand(now);
                    assert!(report.ranks.values().all(|rate| rate.is_finite()));
                }
            }
        }
    }
}
