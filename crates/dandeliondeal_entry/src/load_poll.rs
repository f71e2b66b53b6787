//! Polls the load of a few engines at a time, and ticks the endpoint monitor.

use std::time::Duration;

use awc::Client;
use dandeliondeal_balance::LoadReport;
use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{Clock, EndpointId};
use serde::Deserialize;

use crate::http_pool::HttpPool;
use crate::shared_monitor::WeakMonitor;
use crate::table_cell::TableCell;

/// Time between ticks of the monitor.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of engines polled per tick.
///
/// Constant, so that the cost of polling does not grow with the fleet.
const ENGINES_PER_TICK: usize = 2;
/// Maximum wait for an engine's load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a load report in bytes.
const MAX_REPORT_BYTES: usize = 4 * 1024;

#[derive(Clone, Copy, Debug, Deserialize)]
struct EngineLoad {
    sessions: u32,
    #[serde(default)]
    step_microseconds: u64,
}

/// Ticks the monitor and polls engines until the monitor is dropped.
pub async fn poll_loads<ClockSource>(
    monitor: WeakMonitor,
    pool: HttpPool,
    table: TableCell,
    clock: ClockSource,
) where
    ClockSource: Clock,
{
    while monitor.tick(clock.now()).is_some() {
        for endpoint in monitor.report_targets(ENGINES_PER_TICK, clock.now()) {
            let (monitor, client) = (monitor.clone(), pool.client(false));
            let (table, clock) = (table.clone(), clock.clone());
            actix_rt::spawn(async move {
                // Taken before the call, so that it is never later than the engine's measurement.
                let measured_at = clock.now();
                if let Some(load) = fetch_load(&client, &table, &endpoint).await {
                    let time = Duration::from_micros(load.step_microseconds);
                    let report = LoadReport {
                        sessions: load.sessions,
                        service_time: (!time.is_zero()).then_some(time),
                        measured_at,
                    };
                    monitor.apply_report(&endpoint, report);
                }
            });
        }
        actix_rt::time::sleep(TICK_INTERVAL).await;
    }
}

async fn fetch_load(
    client: &Client,
    table: &TableCell,
    endpoint: &EndpointId,
) -> Option<EngineLoad> {
    let table = table.current();
    let entry = table.sheet.endpoints.get(endpoint)?;
    if !matches!(entry.target, EndpointTarget::Layers { .. }) {
        return None;
    }
    let url = format!("http://{}/load", entry.address);
    let call = async {
        let mut answer = client.get(url).send().await.ok()?;
        let body = answer.body().limit(MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    actix_rt::time::timeout(REPORT_TIMEOUT, call).await.ok()?
}
