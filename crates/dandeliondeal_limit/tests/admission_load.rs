//! Graded admission under the loads that it is made for.

mod support;

use support::{FleetPlan, phase};

/// Times of the burst in these tests.
const BURST: (f64, f64) = (5.0, 11.0);

fn burst_all(instances: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(instances);
    for urgency in 0..3 {
        plan.phases
            .extend(phase(urgency, 2.0 / 3.0, BURST.0, BURST.1));
    }
    plan
}

#[test]
fn trial_figures() {
    for fill in [0.35, 0.45] {
        for instances in [26, 88, 300] {
            let mut plan = burst_all(instances);
            plan.calm_fill = fill;
            let result = plan.run();
            println!("{fill} {instances}: {}", result.summary(BURST.0, BURST.1));
        }
    }
}
