//! Puts load on a claim site and counts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::MeasureError;
use crate::claim_site::{ClaimMode, ClaimSite};

/// How much is asked of the site.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimLoad {
    /// So many claims a second, whether or not earlier ones are done.
    Steady(f64),
    /// So many claims in flight.
    Full(usize),
}

/// Figures of one load on one site.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ClaimFigures {
    /// Number of instances.
    pub instances: usize,
    /// How claims reached the platform.
    pub mode: ClaimMode,
    /// The load.
    pub load: ClaimLoad,
    /// Claims confirmed a second.
    pub claims_per_second: f64,
    /// Claims that were not confirmed.
    pub failed: u64,
    /// Writes that the platform got a second.
    pub writes_per_second: f64,
    /// Claims, each with its outcome, for each write.
    pub claims_per_write: f64,
    /// Calls of all kinds that the platform got a second.
    pub calls_per_second: f64,
    /// Median delay of a claim in milliseconds.
    pub delay_p50: f64,
    /// Delay that 95 in 100 claims stay under, in milliseconds.
    pub delay_p95: f64,
}

#[derive(Debug)]
struct ClaimTally {
    delays: Histogram<u64>,
    failed: u64,
}

/// Puts a load on a site of `instances` for `time`, after a while of the same to warm up.
///
/// # Errors
///
/// The site cannot be started.
pub async fn load_site(
    instances: usize,
    mode: ClaimMode,
    load: ClaimLoad,
    time: Duration,
) -> Result<ClaimFigures, MeasureError> {
    let site = Rc::new(ClaimSite::start(instances, mode)?);
    run_load(&site, load, WARM_UP).await?;
    let (writes_before, calls_before) = site.calls();
    let start = Instant::now();
    let tally = run_load(&site, load, time).await?;
    let seconds = start.elapsed().as_secs_f64();
    let (writes, calls) = site.calls();
    site.stop();
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

/// Time before the counting starts, in which every shard is read once.
const WARM_UP: Duration = Duration::from_millis(200);

async fn run_load(
    site: &Rc<ClaimSite>,
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
                    claim(site, &tally).await;
                }
            });
            join_all(workers).await;
        }
        ClaimLoad::Steady(rate) => steady(site, &tally, rate, end).await,
    }
    let tally = Rc::try_unwrap(tally).map_err(|_| MeasureError::new("claims", "tally in use"))?;
    Ok(tally.into_inner())
}

async fn steady(site: &Rc<ClaimSite>, tally: &Rc<RefCell<ClaimTally>>, rate: f64, end: Instant) {
    let pause = Duration::from_secs_f64(1.0 / rate);
    let mut due = Instant::now();
    let mut tasks = Vec::new();
    while due < end {
        let (site, tally) = (Rc::clone(site), Rc::clone(tally));
        tasks.push(actix_rt::spawn(async move { claim(&site, &tally).await }));
        due += pause;
        actix_rt::time::sleep(due.saturating_duration_since(Instant::now())).await;
    }
    join_all(tasks).await;
}

async fn claim(site: &ClaimSite, tally: &RefCell<ClaimTally>) {
    let time = site.claim().await;
    let mut tally = tally.borrow_mut();
    match time {
        None => tally.failed += 1,
        Some(time) => {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // The histogram grows with its values.
            let _ = tally.delays.record(micros);
        }
    }
}
