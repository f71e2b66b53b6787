//! Memory and processor time of the control state as it grows, for docs/CAPACITY.md.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{EndpointMonitor, EndpointProfile, MonitorSettings};
use dandeliondeal_entry::route_table::RouteTable;
use dandeliondeal_limit::{GrantHolder, GrantOwner, GrantSettings, LimitAmount, LocalLimit};
use dandeliondeal_types::sheet_model::{
    EndpointEntry, EndpointTarget, ModelEntry, OrganisationEntry,
};
use dandeliondeal_types::{LayerRange, SheetModel};
use derive_more::Display;
use serde::Serialize;

use crate::overhead::{processor_time, resident_kilobytes};
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "footprint";
/// Copies that are kept at once, so that small states show in the resident memory.
const COPIES: usize = 40;
/// Layers of each model of the sheet.
const LAYERS: u32 = 48;
/// Models of the sheet.
const MODELS: usize = 13;

/// One state at one size.
#[derive(Clone, Debug, Display, Serialize)]
#[display("{state:14} {size:6} {kilobytes:10.1} {microseconds:12.1}")]
pub struct FootprintRow {
    /// The state.
    pub state: &'static str,
    /// Its size.
    pub size: usize,
    /// Resident memory of one, in kilobytes.
    pub kilobytes: f64,
    /// Processor time to make one, in microseconds.
    pub microseconds: f64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says if the health chart is unsound.
pub fn run(_settings: MeasureSettings) -> Result<(), MeasureError> {
    let mut rows = Vec::new();
    for size in [100, 420, 1_700] {
        rows.push(footprint("monitor", size, || monitor(size))?);
        rows.push(footprint("route table", size, || {
            Ok(RouteTable::new(Arc::new(sheet(size))))
        })?);
    }
    for size in [60, 210, 420] {
        rows.push(footprint("grant owner", size, || Ok(owner(size)))?);
    }
    rows.push(footprint("grant holders", 220, || Ok(holders(220)))?);
    println!(
        "{:14} {:>6} {:>10} {:>12}",
        "state", "size", "kB", "us to make"
    );
    for row in &rows {
        println!("{row}");
    }
    for row in &rows {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
    }
    Ok(())
}

fn footprint<Make, State>(
    state: &'static str,
    size: usize,
    make: Make,
) -> Result<FootprintRow, MeasureError>
where
    Make: Fn() -> Result<State, MeasureError>,
{
    let (memory, time) = (resident_kilobytes(), processor_time());
    let mut copies = Vec::with_capacity(COPIES);
    for _ in 0..COPIES {
        copies.push(make()?);
    }
    let kilobytes = resident_kilobytes().saturating_sub(memory) as f64 / COPIES as f64;
    let spent = processor_time().saturating_sub(time);
    // Kept, so that the next state does not reuse the memory of this one.
    std::mem::forget(copies);
    Ok(FootprintRow {
        state,
        size,
        kilobytes,
        microseconds: spent.as_secs_f64() * 1e6 / COPIES as f64,
    })
}

fn monitor(size: usize) -> Result<EndpointMonitor, MeasureError> {
    let unsound =
        |error: dandeliondeal_chart::ChartError| MeasureError::new(NAME, error.to_string());
    let now = Instant::now();
    let mut monitor =
        EndpointMonitor::new("entry-1".into(), MonitorSettings::default()).map_err(unsound)?;
    let profiles = (0..size).map(|number| EndpointProfile {
        id: format!("engine-{number}").into(),
        group: format!("layers model-{}", number % MODELS).into(),
        accelerator: "a10".into(),
        capacity: 16,
        link_delay: Duration::from_millis(1),
        service_time: Duration::from_millis(30),
    });
    monitor.replace(profiles, now);
    Ok(monitor)
}

fn sheet(size: usize) -> SheetModel {
    let mut sheet = SheetModel::default();
    for number in 0..MODELS {
        let model = ModelEntry {
            layers: LAYERS,
            context_tokens: 8_192,
            version: "1".into(),
        };
        sheet.models.insert(format!("model-{number}").into(), model);
    }
    for number in 0..size {
        let start = if (number / MODELS).is_multiple_of(2) {
            0
        } else {
            LAYERS / 2
        };
        let entry = EndpointEntry {
            address: ([10, 0, 0, 1], 8_000).into(),
            target: EndpointTarget::Layers {
                model: format!("model-{}", number % MODELS).into(),
                range: LayerRange::new(start, start + LAYERS / 2),
            },
            accelerator: "a10".into(),
            failure_domain: "domain-a".into(),
            region: "region-a".into(),
            checks_fencing: true,
            capacity: 16,
        };
        sheet
            .endpoints
            .insert(format!("engine-{number}").into(), entry);
    }
    for number in 0..220 {
        let organisation = OrganisationEntry {
            key_hashes: vec![format!("{number:064x}").into()],
            weight: 1,
        };
        let id = format!("organisation-{number}").into();
        sheet.organisations.insert(id, organisation);
    }
    sheet
}

fn owner(size: usize) -> GrantOwner {
    let now = Instant::now();
    let limit = LimitAmount {
        milli_requests: 1_000_000,
        tokens: 200_000,
        concurrency: 10_000,
    };
    let mut owner = GrantOwner::new(GrantSettings::default(), limit, 1, true, now, now);
    for number in 0..size {
        let mut holder = GrantHolder::new(format!("entry-{number}").into(), 1);
        owner.request(&holder.request(limit, now), now);
    }
    owner
}

fn holders(size: usize) -> Vec<(GrantHolder, LocalLimit)> {
    let now = Instant::now();
    (0..size)
        .map(|_| {
            let limit = LocalLimit::new(LimitAmount::default(), now);
            (GrantHolder::new("entry-1".into(), 1), limit)
        })
        .collect()
}
