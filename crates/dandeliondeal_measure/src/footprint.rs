//! Measures memory and processor time of the control state by its size, for docs/CAPACITY.md.

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

const MEASUREMENT: &str = "footprint";
/// Number of copies held at the same time, so that small states show in the resident memory.
const COPIES: usize = 40;
/// Number of layers of each model in the sheet.
const LAYER_COUNT: u32 = 48;
/// Number of models in the sheet.
const MODEL_COUNT: usize = 13;

/// Figures of one kind of state at one size.
#[derive(Clone, Debug, Display, Serialize)]
#[display("{state:14} {size:6} {kilobytes:10.1} {microseconds:12.1}")]
pub struct FootprintRow {
    /// Name of the kind of state.
    pub state: &'static str,
    /// Number of endpoints, instances or organisations in the state.
    pub size: usize,
    /// Resident memory of one copy in kilobytes.
    pub kilobytes: f64,
    /// Processor time to create one copy in microseconds.
    pub microseconds: f64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the health chart is invalid.
pub fn run(_settings: MeasureSettings) -> Result<(), MeasureError> {
    let mut rows = Vec::new();
    for size in [100, 420, 1_700] {
        rows.push(measure_footprint("monitor", size, || {
            endpoint_monitor(size)
        })?);
        rows.push(measure_footprint("route table", size, || {
            Ok(RouteTable::new(Arc::new(sheet_model(size))))
        })?);
    }
    for size in [60, 210, 420] {
        rows.push(measure_footprint("grant owner", size, || {
            Ok(grant_owner(size))
        })?);
    }
    rows.push(measure_footprint("grant holders", 220, || {
        Ok(grant_holders(220))
    })?);
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

/// Creates copies of one state and returns the memory and processor time of each.
fn measure_footprint<Create, State>(
    state: &'static str,
    size: usize,
    create: Create,
) -> Result<FootprintRow, MeasureError>
where
    Create: Fn() -> Result<State, MeasureError>,
{
    let (memory_before, time_before) = (resident_kilobytes(), processor_time());
    let mut copies = Vec::with_capacity(COPIES);
    for _ in 0..COPIES {
        copies.push(create()?);
    }
    let kilobytes = resident_kilobytes().saturating_sub(memory_before) as f64 / COPIES as f64;
    let cpu_time = processor_time().saturating_sub(time_before);
    // Leaked, so that the next state does not reuse the memory of this one.
    std::mem::forget(copies);
    Ok(FootprintRow {
        state,
        size,
        kilobytes,
        microseconds: cpu_time.as_secs_f64() * 1e6 / COPIES as f64,
    })
}

fn endpoint_monitor(size: usize) -> Result<EndpointMonitor, MeasureError> {
    let to_measure_error =
        |error: dandeliondeal_chart::ChartError| MeasureError::new(MEASUREMENT, error.to_string());
    let now = Instant::now();
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default())
        .map_err(to_measure_error)?;
    let profiles = (0..size).map(|number| EndpointProfile {
        id: format!("engine-{number}").into(),
        group: format!("layers model-{}", number % MODEL_COUNT).into(),
        accelerator: "a10".into(),
        capacity: 16,
        link_delay: Duration::from_millis(1),
        service_time: Duration::from_millis(30),
    });
    monitor.replace(profiles, now);
    Ok(monitor)
}

fn sheet_model(size: usize) -> SheetModel {
    let mut sheet = SheetModel::default();
    for number in 0..MODEL_COUNT {
        let model = ModelEntry {
            layers: LAYER_COUNT,
            context_tokens: 8_192,
            version: "1".into(),
        };
        sheet.models.insert(format!("model-{number}").into(), model);
    }
    for number in 0..size {
        let start = if (number / MODEL_COUNT).is_multiple_of(2) {
            0
        } else {
            LAYER_COUNT / 2
        };
        let entry = EndpointEntry {
            address: ([10, 0, 0, 1], 8_000).into(),
            target: EndpointTarget::Layers {
                model: format!("model-{}", number % MODEL_COUNT).into(),
                range: LayerRange::new(start, start + LAYER_COUNT / 2),
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

fn grant_owner(size: usize) -> GrantOwner {
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

fn grant_holders(size: usize) -> Vec<(GrantHolder, LocalLimit)> {
    let now = Instant::now();
    (0..size)
        .map(|_| {
            let limit = LocalLimit::new(LimitAmount::default(), now);
            (GrantHolder::new("entry-1".into(), 1), limit)
        })
        .collect()
}
