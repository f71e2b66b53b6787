//! Time from acceptance to in force at the last instance, by fleet size.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use dandeliondeal_config::sheet_chunk::split_sheet;
use dandeliondeal_config::{MembershipSettings, SheetRows, compile_sheet, read_sheet};
use dandeliondeal_peer::neighbour_ring::neighbours;
use dandeliondeal_peer::{FanOut, MemberIdentity};
use dandeliondeal_standin::FaultChange;
use serde::Serialize;

use crate::fleet_site::{DOMAINS, FleetSettings, FleetSite};
use crate::overhead::resident_kilobytes;
use crate::target_sheet::target_sheet;
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "rollout";
/// Watchers with which every instance watches.
const EVERYONE: u64 = 1_000;
const WATCHERS: u64 = 2;
const CHANGES: u32 = 5;
/// Instances at the target.
const TARGET_SIZE: usize = 420;

/// Figures of one fleet.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutFigures {
    /// Number of instances.
    pub instances: usize,
    /// Who watches the platform.
    pub watchers: &'static str,
    /// Whether the platform went down once the first instance had the revision.
    pub outage: bool,
    /// Median over the changes, in milliseconds.
    pub median_milliseconds: u64,
    /// Slowest change, in milliseconds.
    pub slowest_milliseconds: u64,
    /// Reads of the platform a change, watches included.
    pub reads_per_change: f64,
}

/// Figures of a sheet of the target size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SheetFigures {
    /// Bytes of the file.
    pub bytes: usize,
    /// Milliseconds to read the file.
    pub read_milliseconds: f64,
    /// Milliseconds to check and compile it.
    pub compile_milliseconds: f64,
    /// Bytes of the largest chunk.
    pub largest_chunk_bytes: usize,
    /// Resident memory for the rows and the model, in kilobytes.
    pub resident_kilobytes: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says what could not be set up or did not come into force.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let figures = measure_sheet()?;
    println!("{}", json(&figures));
    for size in [8, 32, 105, TARGET_SIZE] {
        let hops = hops_from_watchers(size);
        println!(
            "{}",
            json(&serde_json::json!({"instances": size, "hops_from_watchers": hops}))
        );
    }
    let sizes: &[usize] = if settings.long {
        &[8, 32, 64]
    } else {
        &[8, 32]
    };
    println!("instances  watchers    outage   median ms  slowest ms  reads a change");
    for size in sizes {
        for (watchers, outage) in [(EVERYONE, false), (WATCHERS, false), (WATCHERS, true)] {
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
            println!("{}", json(&figures));
        }
    }
    Ok(())
}

fn measure_sheet() -> Result<SheetFigures, MeasureError> {
    let before = resident_kilobytes();
    let text = target_sheet(16);
    let start = Instant::now();
    let rows = parse(&text)?;
    let read = start.elapsed();
    let start = Instant::now();
    let model = compile_sheet(1, &rows).map_err(|errors| wrong_sheet(&errors))?;
    let compile = start.elapsed();
    let largest = split_sheet(&rows).iter().map(|body| body.len()).max();
    let figures = SheetFigures {
        bytes: text.len(),
        read_milliseconds: read.as_secs_f64() * 1e3,
        compile_milliseconds: compile.as_secs_f64() * 1e3,
        largest_chunk_bytes: largest.unwrap_or(0),
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
    let mut site = FleetSite::start(FleetSettings {
        measurement: NAME,
        size,
        fan_out: FanOut::Ring,
        watchers_per_domain: watchers,
        membership: MembershipSettings::default(),
    })
    .await?;
    let first = site.accept(&parse(&target_sheet(1))?, "change-0").await?;
    site.wait_until("the first sheet is in force", |site| {
        site.is_in_force(first)
    })
    .await?;
    let reads = site.platform.counts().reads;
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        let rows = parse(&target_sheet(1 + number))?;
        let revision = site.accept(&rows, &format!("change-{number}")).await?;
        times.push(wait_for_all(&site, revision, outage).await?);
    }
    let reads = site.platform.counts().reads - reads;
    site.stop();
    times.sort_unstable();
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Ok(RolloutFigures {
        instances: size,
        watchers: if watchers == EVERYONE {
            "everyone"
        } else {
            "2 a domain"
        },
        outage,
        median_milliseconds: milliseconds(times[times.len() / 2]),
        slowest_milliseconds: milliseconds(times[times.len() - 1]),
        reads_per_change: reads as f64 / f64::from(CHANGES),
    })
}

async fn wait_for_all(
    site: &FleetSite,
    revision: u64,
    outage: bool,
) -> Result<Duration, MeasureError> {
    let start = Instant::now();
    if outage {
        let first_has = |site: &FleetSite| {
            let mut entries = site.entries.iter();
            entries.any(|entry| entry.context().table().revision() >= revision)
        };
        site.wait_until("in force at the first instance", first_has)
            .await?;
        set_outage(site, true);
    }
    site.wait_until("in force everywhere", |site| site.is_in_force(revision))
        .await?;
    set_outage(site, false);
    Ok(start.elapsed())
}

fn set_outage(site: &FleetSite, outage: bool) {
    site.platform.set_faults(FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    });
}

/// Heartbeats from the nearest watcher to the instance that is furthest from one.
fn hops_from_watchers(size: usize) -> usize {
    let cards: Vec<MemberIdentity> = (0..size).map(card_of).collect();
    let mut reached: BTreeMap<&str, usize> = BTreeMap::new();
    let mut pending = VecDeque::new();
    // The rank within a domain is by hash, so the first two by index stand for any two.
    for card in cards.iter().take(DOMAINS * 2) {
        reached.insert(&card.id, 0);
        pending.push_back(card);
    }
    while let Some(card) = pending.pop_front() {
        let hops = reached.get(&*card.id).copied().unwrap_or(0);
        for other in neighbours(card, &cards) {
            if !reached.contains_key(&*other.id) {
                reached.insert(&other.id, hops + 1);
                pending.push_back(other);
            }
        }
    }
    reached.values().copied().max().unwrap_or(0)
}

fn card_of(index: usize) -> MemberIdentity {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    MemberIdentity {
        id: format!("entry-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        failure_domain: format!("domain-{}", index % DOMAINS).into(),
        region: "region-a".into(),
    }
}

fn parse(text: &str) -> Result<SheetRows, MeasureError> {
    read_sheet(text.as_bytes()).map_err(|errors| wrong_sheet(&errors))
}

fn wrong_sheet(errors: &[dandeliondeal_config::SheetError]) -> MeasureError {
    let first = errors.first().map(ToString::to_string).unwrap_or_default();
    MeasureError::new(NAME, first)
}

fn json<Figures>(figures: &Figures) -> String
where
    Figures: Serialize,
{
    serde_json::to_string(figures).unwrap_or_default()
}
