//! What membership costs an instance, and how soon a death is noticed, by fleet size.

use std::time::Duration;

use dandeliondeal_config::MembershipSettings;
use dandeliondeal_peer::FanOut;
use serde::Serialize;

use crate::fleet_site::{FleetSettings, FleetSite, holds_failed};
use crate::overhead::processor_time;
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "membership";
/// Heartbeat interval; figures a second are those of the default interval.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time until the news of all joins was repeated often enough.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which costs are counted.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time over which the arbiter is blocked again and again.
const LOAD_TIME: Duration = Duration::from_millis(1_600);
/// Length of one block of the arbiter, and of the pause after it.
const BLOCK_TIME: Duration = Duration::from_millis(100);

/// Figures of one fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MembershipFigures {
    /// Number of instances.
    pub instances: usize,
    /// Whether everyone sends to everyone.
    pub all_to_all: bool,
    /// Calls sent a second by one instance, at the default interval; so are the next two.
    pub calls_per_second: f64,
    /// Bytes a second of the bodies that one instance sends and gets back.
    pub bytes_per_second: f64,
    /// Processor time a second of one instance, in microseconds, idle loops and stand-in included.
    pub processor_micros_per_second: f64,
    /// Heartbeat intervals until every other instance holds a killed one to have failed.
    pub death_noticed_intervals: f64,
    /// Running instances given up wrongly while the arbiter was blocked half of the time.
    pub false_alarms: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says what could not be set up or was not noticed.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let sizes: &[usize] = if settings.long {
        &[8, 16, 32, 64]
    } else {
        &[8, 32]
    };
    println!("instances  sends to    calls/s   bytes/s   cpu us/s  death in  false alarms");
    for size in sizes {
        for fan_out in [FanOut::Ring, FanOut::All] {
            let figures = measure_fleet(*size, fan_out).await?;
            println!(
                "{:>9}  {:<10} {:>8.1}  {:>8.0}  {:>9.0}  {:>8.1}  {:>12}",
                figures.instances,
                if figures.all_to_all {
                    "everyone"
                } else {
                    "neighbours"
                },
                figures.calls_per_second,
                figures.bytes_per_second,
                figures.processor_micros_per_second,
                figures.death_noticed_intervals,
                figures.false_alarms
            );
            println!("{}", serde_json::to_string(&figures).unwrap_or_default());
        }
    }
    Ok(())
}

async fn measure_fleet(size: usize, fan_out: FanOut) -> Result<MembershipFigures, MeasureError> {
    let mut site = FleetSite::start(FleetSettings {
        measurement: NAME,
        size,
        fan_out,
        watchers_per_domain: 2,
        membership: MembershipSettings {
            heartbeat_interval: INTERVAL,
            ..MembershipSettings::default()
        },
    })
    .await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let (calls, bytes) = site.traffic();
    let spent = processor_time();
    actix_rt::time::sleep(IDLE_TIME).await;
    let spent = processor_time().saturating_sub(spent);
    let (calls, bytes) = {
        let (calls_after, bytes_after) = site.traffic();
        (calls_after - calls, bytes_after - bytes)
    };
    let default = MembershipSettings::default().heartbeat_interval;
    let intervals = IDLE_TIME.as_secs_f64() / INTERVAL.as_secs_f64();
    let share = size as f64 * intervals * default.as_secs_f64();
    let false_alarms = count_false_alarms(&site).await;
    let id = site.entries[0].context().settings().instance.id.clone();
    let killed = site.kill(0);
    let is_noticed = |site: &FleetSite| site.entries.iter().all(|entry| holds_failed(entry, &id));
    let noticed = site.wait_until("the death is noticed", is_noticed).await?;
    drop(killed);
    site.stop();
    Ok(MembershipFigures {
        instances: size,
        all_to_all: fan_out == FanOut::All,
        calls_per_second: calls as f64 / share,
        bytes_per_second: bytes as f64 / share,
        processor_micros_per_second: spent.as_secs_f64() * 1e6 / share,
        death_noticed_intervals: noticed.as_secs_f64() / INTERVAL.as_secs_f64(),
        false_alarms,
    })
}

/// Blocks the arbiter half of the time, as heavy work of all instances at once would.
async fn count_false_alarms(site: &FleetSite) -> u64 {
    let before = site.false_alarms();
    let blocks = LOAD_TIME.as_millis() / (BLOCK_TIME * 2).as_millis();
    for _ in 0..blocks {
        std::thread::sleep(BLOCK_TIME);
        actix_rt::time::sleep(BLOCK_TIME).await;
    }
    actix_rt::time::sleep(BLOCK_TIME * 4).await;
    site.false_alarms() - before
}
