//! Properties of the shares of graded admission for any demand and room.

use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_limit::{
    AdmissionGate, AdmissionRank, DemandReport, GateAction, GateRequest, GateSettings, ServiceRoom,
};
use dandeliondeal_types::OrganisationId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE: Duration = Duration::from_secs(3);
/// Tolerance for sums of many amounts.
const ROUNDING: f64 = 1e-6;

/// Demand of one organisation in one rank.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct DemandCase {
    rank: u8,
    organisation: u8,
    work: u16,
}

/// Demand and room of a service.
#[derive(Clone, Debug, TypeGenerator)]
struct NewsCase {
    demands: Vec<DemandCase>,
    capacity: u16,
    /// Fill in 1/128.
    fill: u8,
}

fn organisation(number: u8) -> OrganisationId {
    format!("organisation-{}", number % 40).into()
}

impl NewsCase {
    fn demand(&self) -> DemandReport {
        let mut demand = DemandReport::default();
        for case in &self.demands {
            let (rank, work) = (case.rank % 20, f64::from(case.work) + 1.0);
            *demand.ranks.entry(rank).or_default() += work;
            let organisations = demand.organisations.entry(rank).or_default();
            *organisations
                .entry(organisation(case.organisation))
                .or_default() += work;
        }
        demand
    }

    fn gate(&self, now: Instant) -> AdmissionGate {
        let mut gate = AdmissionGate::new(GateSettings::default(), SERVICE, now);
        let capacity = f64::from(self.capacity) * 8.0;
        let room = ServiceRoom {
            capacity,
            committed: capacity * f64::from(self.fill) / 128.0,
        };
        gate.set_news(&self.demand(), room, || 0.5, now);
        gate
    }
}

fn rank(value: u8) -> AdmissionRank {
    AdmissionRank::from_value(value).expect("a rank")
}

/// Guards against ranks, sizes, organisations and sessions that are never served.
#[test]
fn nobody_starves() {
    bolero::check!()
        .with_type::<(NewsCase, u8, u8, u32)>()
        .for_each(|(case, rank_value, organisation_number, work)| {
            let now = Instant::now();
            let mut gate = case.gate(now);
            let floor = GateSettings::default().floor_share;
            let share = gate.share(
                rank(rank_value % 20),
                Some(&organisation(*organisation_number)),
                now,
            );
            assert!((floor - ROUNDING..=1.0).contains(&share), "{share}");
            let request = GateRequest {
                organisation: Some(organisation(*organisation_number)),
                rank: rank(rank_value % 20),
                work: f64::from(*work),
                objective_left: Duration::ZERO,
                max_retry_delay: Duration::from_secs(6),
            };
            let actions = gate.submit(1, request, floor - ROUNDING, now);
            assert_eq!(actions, [GateAction::Admit(1)]);
        });
}

/// Guards against organisations that get more work than equal ones, or than they would share.
#[test]
fn equal_organisations() {
    bolero::check!().with_type::<NewsCase>().for_each(|case| {
        let now = Instant::now();
        let gate = case.gate(now);
        let floor = GateSettings::default().floor_share;
        for (&value, organisations) in &case.demand().organisations {
            let admitted: Vec<(f64, f64)> = organisations
                .iter()
                .map(|(organisation, &work)| {
                    (
                        work,
                        work * gate.share(rank(value), Some(organisation), now),
                    )
                })
                .collect();
            let rank_share = gate.share(rank(value), None, now);
            let total: f64 = admitted.iter().map(|(work, _)| work).sum();
            let sum: f64 = admitted.iter().map(|(_, admitted)| admitted).sum();
            assert!(
                (sum - total * rank_share).abs() <= total * ROUNDING,
                "{sum} admitted, {} in the rank",
                total * rank_share
            );
            for (work, own) in &admitted {
                for (_, other) in &admitted {
                    // One that gets less than another gets all that it asked for, or the other one
                    // is at its floor.
                    let is_met = *own >= work * (1.0 - ROUNDING);
                    let is_floor = admitted
                        .iter()
                        .any(|(work, got)| got == other && *got <= work * floor * (1.0 + ROUNDING));
                    let is_equal = *own >= other * (1.0 - ROUNDING);
                    assert!(is_met || is_floor || is_equal, "{own} and {other}");
                }
            }
        }
    });
}

/// Guards against less urgent requests that take the room of more urgent ones.
#[test]
fn urgent_first() {
    bolero::check!().with_type::<NewsCase>().for_each(|case| {
        let now = Instant::now();
        let gate = case.gate(now);
        let floor = GateSettings::default().floor_share;
        let mut is_scarce = false;
        for value in 0..20 {
            let share = gate.share(rank(value), None, now);
            assert!(!is_scarce || share <= floor + ROUNDING, "{value}: {share}");
            is_scarce |= share < 1.0 - ROUNDING;
        }
        let supply = gate.describe(now).supply.expect("news");
        let demand = case.demand();
        let admitted = demand.ranks.iter();
        let admitted: f64 = admitted
            .map(|(&value, work)| work * gate.share(rank(value), None, now))
            .sum();
        let floors: f64 = demand.ranks.values().map(|work| work * floor).sum();
        let limit = supply.max(floors);
        assert!(
            admitted <= limit * (1.0 + ROUNDING),
            "{admitted} of {limit}"
        );
    });
}

/// Guards against waiting requests that are lost, answered twice or held too long.
#[test]
fn one_outcome() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let settings = GateSettings {
            max_waiting: 20,
            ..GateSettings::default()
        };
        let mut gate = AdmissionGate::new(settings, SERVICE, start);
        let mut waiting = std::collections::BTreeMap::new();
        let mut now = start;
        for ticket in 0..600_u64 {
            now += Duration::from_millis(random.random_range(0..20));
            let demand = DemandReport {
                ranks: (0..6).map(|rank| (rank, 1_000.0)).collect(),
                ..DemandReport::default()
            };
            let request = GateRequest {
                organisation: None,
                rank: rank(random.random_range(0..6)),
                work: random.random_range(1.0..2_000.0),
                objective_left: Duration::from_millis(random.random_range(0..1_200)),
                max_retry_delay: Duration::from_secs(6),
            };
            let objective_left = request.objective_left;
            let mut actions = if random.random_bool(0.3) {
                vec![gate.wait_for_room(ticket, request, now)]
            } else {
                gate.submit(ticket, request, random.random_range(0.0..1.0), now)
            };
            waiting.insert(ticket, now + objective_left / 2);
            if random.random_bool(0.1) {
                let room = ServiceRoom {
                    capacity: 20_000.0,
                    committed: random.random_range(0.0..20_000.0),
                };
                actions.extend(gate.set_news(&demand, room, || 0.6, now));
            }
            if gate.next_tick().is_some_and(|at| at <= now) {
                actions.extend(gate.tick(|| 0.6, now));
            }
            for action in actions {
                match action {
                    GateAction::Wait(ticket) => assert!(waiting.contains_key(&ticket)),
                    GateAction::Admit(ticket) => {
                        assert!(waiting.remove(&ticket).is_some(), "seed {seed}");
                    }
                    GateAction::Refuse {
                        ticket,
                        retry_after,
                    } => {
                        assert!(waiting.remove(&ticket).is_some(), "seed {seed}");
                        assert!(retry_after <= Duration::from_secs(6));
                        assert!(retry_after >= Duration::from_millis(1_400));
                    }
                }
            }
            assert_eq!(gate.describe(now).waiting, waiting.len(), "seed {seed}");
            assert!(waiting.len() <= 20, "seed {seed}");
            assert!(waiting.values().all(|end| *end > now), "seed {seed}");
        }
    }
}
