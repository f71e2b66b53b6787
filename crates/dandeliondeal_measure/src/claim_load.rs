//! Puts load on a claim testbed and measures throughput and delay.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::MeasureError;
use crate::claim_testbed::{ClaimMode, ClaimTestbed};

/// Load on a testbed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimLoad {
    /// Claims per second at a constant rate, independent of the completion of earlier claims.
    Steady(f64),
    /// Number of claims that are in flight at any time.
    Full(usize),
}

/// Figures of one load on one testbed.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ClaimFigures {
    /// Number of instances.
    pub instances: usize,
    /// How claims were written to the platform.
    pub mode: ClaimMode,
    /// Load on the testbed.
    pub load: ClaimLoad,
    /// Confirmed claims per second.
    pub claims_per_second: f64,
    /// Number of claims that were not confirmed.
    pub failed: u64,
    /// Writes per second that the platform received.
    pub writes_per_second: f64,
    /// Claims per write; each claim includes the record of its outcome.
    pub claims_per_write: f64,
    /// Calls of all kinds per second that the platform received.
    pub calls_per_second: f64,
    /// Median time to confirm a claim in milliseconds.
    pub delay_p50: f64,
    /// 95th percentile of the time to confirm a claim in milliseconds.
    pub delay_p95: f64,
}

/// Results of the claims of one load.
#[derive(Debug)]
struct ClaimTally {
    /// Times to confirm a claim in microseconds.
    delays: Histogram<u64>,
    failed: u64,
}

/// Measures a load on a testbed of `instances` for `time`, after a warm-up with the same load.
///
/// # Errors
///
/// Returns an error if the testbed cannot be started.
pub async fn measure_load(
    instances: usize,
    mode: ClaimMode,
    load: ClaimLoad,
    time: Duration,
) -> Result<ClaimFigures, MeasureError> {
    let testbed = Rc::new(ClaimTestbed::start(instances, mode)?);
    run_load(&testbed, load, WARM_UP_TIME).await?;
    let (writes_before, calls_before) = testbed.platform_calls();
    let start = Instant::now();
    let tally = run_load(&testbed, load, time).await?;
    let seconds = start.elapsed().as_secs_f64();
    let (writes, calls) = testbed.platform_calls();
    testbed.stop();
    let writes = (writes - writes_before) as f64;
    let claims = tally.delays.len() as f64;
    Ok(ClaimFigures {
        instances,
        mode,
        load,
        claims_per_second: claims / seconds,
        failed: tally.failed,
        writes_per_second: writes / seconds,
        claims_per_write: claims / writes.max(1.0),
        calls_per_second: (calls - calls_before) as f64 / seconds,
        delay_p50: tally.delays.value_at_quantile(0.5) as f64 / 1e3,
        delay_p95: tally.delays.value_at_quantile(0.95) as f64 / 1e3,
    })
}

/// Time before the measurement starts, in which every shard is read for the first time.
const WARM_UP_TIME: Duration = Duration::from_millis(200);

async fn run_load(
    testbed: &Rc<ClaimTestbed>,
    load: ClaimLoad,
    time: Duration,
) -> Result<ClaimTally, MeasureError> {
    let delays =
        Histogram::new(3).map_err(|error| MeasureError::new("claims", error.to_string()))?;
    let tally = Rc::new(RefCell::new(ClaimTally { delays, failed: 0 }));
    let end = Instant::now() + time;
    match load {
        ClaimLoad::Full(in_flight) => {
            let workers = (0..in_flight).map(|_| async {
                while Instant::now() < end {
                    record_claim(testbed, &tally).await;
                }
            });
            join_all(workers).await;
        }
        ClaimLoad::Steady(rate) => run_steady(testbed, &tally, rate, end).await,
    }
    let tally = Rc::try_unwrap(tally)
        .map_err(|_| MeasureError::new("claims", "the tally is still in use by a claim"))?;
    Ok(tally.into_inner())
}

/// Starts claims at a constant rate until `end`, then waits for all of them.
async fn run_steady(
    testbed: &Rc<ClaimTestbed>,
    tally: &Rc<RefCell<ClaimTally>>,
    rate: f64,
    end: Instant,
) {
    let interval = Duration::from_secs_f64(1.0 / rate);
    let mut next_start = Instant::now();
    let mut tasks = Vec::new();
    while next_start < end {
        let (testbed, tally) = (Rc::clone(testbed), Rc::clone(tally));
        tasks.push(actix_rt::spawn(async move {
            record_claim(&testbed, &tally).await;
        }));
        next_start += interval;
        actix_rt::time::sleep(next_start.saturating_duration_since(Instant::now())).await;
    }
    join_all(tasks).await;
}

/// Makes one claim and adds its result to the tally.
async fn record_claim(testbed: &ClaimTestbed, tally: &RefCell<ClaimTally>) {
    let time = testbed.claim().await;
    let mut tally = tally.borrow_mut();
    match time {
        None => tally.failed += 1,
        Some(time) => {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes itself, so recording a value does not fail.
            let _ = tally.delays.record(micros);
        }
    }
}
