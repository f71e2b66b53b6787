//! Measures the time from accepting a sheet until it is in force everywhere, by fleet size.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use dandeliondeal_config::sheet_chunk::split_sheet;
use dandeliondeal_config::{MembershipSettings, SheetRows, compile_sheet, read_sheet};
use dandeliondeal_peer::neighbour_ring::neighbours;
use dandeliondeal_peer::{FanOut, MemberIdentity};
use dandeliondeal_standin::FaultChange;
use serde::Serialize;

use crate::fleet_testbed::{FAILURE_DOMAINS, FleetSettings, FleetTestbed};
use crate::overhead::resident_kilobytes;
use crate::target_sheet::target_sheet;
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "rollout";
/// Watchers per domain, enough for every instance of a measured fleet to be a watcher.
const ALL_WATCHERS: u64 = 1_000;
/// Watchers per domain with which most instances learn of new revisions from their peers.
const FEW_WATCHERS: u64 = 2;
/// Number of measured changes of the sheet.
const CHANGE_COUNT: u32 = 5;
/// Number of instances at the target scale.
const TARGET_INSTANCES: usize = 420;

/// Figures of the rollouts in one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutFigures {
    /// Number of instances.
    pub instances: usize,
    /// Which instances watch the platform.
    pub watchers: &'static str,
    /// Whether the platform was unavailable once the first instance had the revision.
    pub outage: bool,
    /// Median rollout time of the changes in milliseconds.
    pub median_milliseconds: u64,
    /// Longest rollout time of the changes in milliseconds.
    pub slowest_milliseconds: u64,
    /// Reads of the platform per change, including watches.
    pub reads_per_change: f64,
}

/// Figures of a sheet at the target scale.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SheetFigures {
    /// Size of the file in bytes.
    pub bytes: usize,
    /// Time to read the file in milliseconds.
    pub read_milliseconds: f64,
    /// Time to check and compile the sheet in milliseconds.
    pub compile_milliseconds: f64,
    /// Size of the largest chunk in bytes.
    pub largest_chunk_bytes: usize,
    /// Resident memory for the rows and the model in kilobytes.
    pub resident_kilobytes: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the setup fails or a revision does not come into force.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let figures = measure_sheet()?;
    println!("{}", to_json(&figures));
    for size in [8, 32, 105, TARGET_INSTANCES] {
        let hops = hops_from_watchers(size);
        println!(
            "{}",
            to_json(&serde_json::json!({"instances": size, "hops_from_watchers": hops}))
        );
    }
    let sizes: &[usize] = if settings.long {
        &[8, 32, 64]
    } else {
        &[8, 32]
    };
    println!("instances  watchers    outage   median ms  slowest ms  reads a change");
    for size in sizes {
        for (watchers, outage) in [
            (ALL_WATCHERS, false),
            (FEW_WATCHERS, false),
            (FEW_WATCHERS, true),
        ] {
            let figures = measure_fleet(*size, watchers, outage).await?;
            println!(
                "{:>9}  {:<10}  {:<6}  {:>10}  {:>10}  {:>14.1}",
                figures.instances,
                figures.watchers,
                figures.outage,
                figures.median_milliseconds,
                figures.slowest_milliseconds,
                figures.reads_per_change
            );
            println!("{}", to_json(&figures));
        }
    }
    Ok(())
}

fn measure_sheet() -> Result<SheetFigures, MeasureError> {
    let before = resident_kilobytes();
    let text = target_sheet(16);
    let start = Instant::now();
    let rows = parse_rows(&text)?;
    let read_time = start.elapsed();
    let start = Instant::now();
    let model = compile_sheet(1, &rows).map_err(|errors| sheet_error(&errors))?;
    let compile_time = start.elapsed();
    let largest_chunk = split_sheet(&rows).iter().map(|body| body.len()).max();
    let figures = SheetFigures {
        bytes: text.len(),
        read_milliseconds: read_time.as_secs_f64() * 1e3,
        compile_milliseconds: compile_time.as_secs_f64() * 1e3,
        largest_chunk_bytes: largest_chunk.unwrap_or(0),
        resident_kilobytes: resident_kilobytes().saturating_sub(before),
    };
    drop(model);
    Ok(figures)
}

async fn measure_fleet(
    size: usize,
    watchers: u64,
    outage: bool,
) -> Result<RolloutFigures, MeasureError> {
    let mut testbed = FleetTestbed::start(FleetSettings {
        measurement: MEASUREMENT,
        size,
        fan_out: FanOut::Ring,
        watchers_per_domain: watchers,
        membership: MembershipSettings::default(),
    })
    .await?;
    let first_revision = testbed
        .accept(&parse_rows(&target_sheet(1))?, "change-0")
        .await?;
    testbed
        .wait_until("the first sheet to be in force", |testbed| {
            testbed.is_in_force(first_revision)
        })
        .await?;
    let reads_before = testbed.platform.counts().reads;
    let mut times = Vec::new();
    for number in 1..=CHANGE_COUNT {
        let rows = parse_rows(&target_sheet(1 + number))?;
        let revision = testbed.accept(&rows, &format!("change-{number}")).await?;
        times.push(measure_rollout(&testbed, revision, outage).await?);
    }
    let reads = testbed.platform.counts().reads - reads_before;
    testbed.stop();
    times.sort_unstable();
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Ok(RolloutFigures {
        instances: size,
        watchers: if watchers == ALL_WATCHERS {
            "everyone"
        } else {
            "2 a domain"
        },
        outage,
        median_milliseconds: milliseconds(times[times.len() / 2]),
        slowest_milliseconds: milliseconds(times[times.len() - 1]),
        reads_per_change: reads as f64 / f64::from(CHANGE_COUNT),
    })
}

/// Returns the time until a revision is in force at every instance.
///
/// With `outage`, the platform is unavailable once the first instance has the revision.
async fn measure_rollout(
    testbed: &FleetTestbed,
    revision: u64,
    outage: bool,
) -> Result<Duration, MeasureError> {
    let start = Instant::now();
    if outage {
        let is_at_first = |testbed: &FleetTestbed| {
            let mut entries = testbed.entries.iter();
            entries.any(|entry| entry.context().table().revision() >= revision)
        };
        testbed
            .wait_until(
                "the revision to be in force at the first instance",
                is_at_first,
            )
            .await?;
        set_outage(testbed, true);
    }
    testbed
        .wait_until("the revision to be in force at every instance", |testbed| {
            testbed.is_in_force(revision)
        })
        .await?;
    set_outage(testbed, false);
    Ok(start.elapsed())
}

fn set_outage(testbed: &FleetTestbed, outage: bool) {
    testbed.platform.set_faults(FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    });
}

/// Returns the largest number of heartbeats needed from an instance's nearest watcher to it.
fn hops_from_watchers(size: usize) -> usize {
    let cards: Vec<MemberIdentity> = (0..size).map(member_card).collect();
    let mut hops_by_id: BTreeMap<&str, usize> = BTreeMap::new();
    let mut pending = VecDeque::new();
    // Watchers are ranked by hash within a domain, so the first two by index represent any two.
    for card in cards.iter().take(FAILURE_DOMAINS * 2) {
        hops_by_id.insert(&card.id, 0);
        pending.push_back(card);
    }
    while let Some(card) = pending.pop_front() {
        let hops = hops_by_id.get(&*card.id).copied().unwrap_or(0);
        for other in neighbours(card, &cards) {
            if !hops_by_id.contains_key(&*other.id) {
                hops_by_id.insert(&other.id, hops + 1);
                pending.push_back(other);
            }
        }
    }
    hops_by_id.values().copied().max().unwrap_or(0)
}

fn member_card(index: usize) -> MemberIdentity {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    MemberIdentity {
        id: format!("entry-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        failure_domain: format!("domain-{}", index % FAILURE_DOMAINS).into(),
        region: "region-a".into(),
    }
}

fn parse_rows(text: &str) -> Result<SheetRows, MeasureError> {
    read_sheet(text.as_bytes()).map_err(|errors| sheet_error(&errors))
}

fn sheet_error(errors: &[dandeliondeal_config::SheetError]) -> MeasureError {
    let message = errors.first().map(ToString::to_string).unwrap_or_default();
    MeasureError::new(MEASUREMENT, message)
}

fn to_json<Figures>(figures: &Figures) -> String
where
    Figures: Serialize,
{
    serde_json::to_string(figures).unwrap_or_default()
}
