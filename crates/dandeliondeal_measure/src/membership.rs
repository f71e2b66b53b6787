//! Measures the cost of membership and the time to detect a killed instance, by fleet size.

use std::time::Duration;

use dandeliondeal_config::MembershipSettings;
use dandeliondeal_peer::FanOut;
use serde::Serialize;

use crate::fleet_testbed::{FleetSettings, FleetTestbed, considers_failed};
use crate::overhead::processor_time;
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "membership";
/// Heartbeat interval in the measurement. Figures per second are scaled to the default interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait until instances no longer repeat the joins in their heartbeats.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which the cost of an idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time over which the arbiter is blocked repeatedly.
const LOAD_TIME: Duration = Duration::from_millis(1_600);
/// Time for which the arbiter is blocked each time, and of the pause that follows.
const BLOCK_TIME: Duration = Duration::from_millis(100);

/// Figures of one fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MembershipFigures {
    /// Number of instances.
    pub instances: usize,
    /// Whether every instance sends heartbeats to all others.
    pub all_to_all: bool,
    /// Calls per second sent by one instance, scaled to the default heartbeat interval.
    pub calls_per_second: f64,
    /// Bytes per second of request and answer bodies of one instance, scaled in the same way.
    pub bytes_per_second: f64,
    /// Processor time per second of one instance in microseconds, scaled in the same way.
    ///
    /// This includes the idle loops and the stand-in platform.
    pub processor_micros_per_second: f64,
    /// Heartbeat intervals until all other instances consider a killed one to have failed.
    pub death_noticed_intervals: f64,
    /// Wrong reports of failed instances while the arbiter was blocked half of the time.
    pub false_alarms: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if a fleet cannot be started or doesn't detect the killed instance.
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
    let mut testbed = FleetTestbed::start(FleetSettings {
        measurement: MEASUREMENT,
        size,
        fan_out,
        watchers_per_domain: 2,
        membership: MembershipSettings {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            ..MembershipSettings::default()
        },
    })
    .await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let (calls, bytes) = testbed.traffic();
    let cpu_time = processor_time();
    actix_rt::time::sleep(IDLE_TIME).await;
    let cpu_time = processor_time().saturating_sub(cpu_time);
    let (calls, bytes) = {
        let (calls_after, bytes_after) = testbed.traffic();
        (calls_after - calls, bytes_after - bytes)
    };
    let default_interval = MembershipSettings::default().heartbeat_interval;
    let interval_count = IDLE_TIME.as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64();
    let instance_seconds = size as f64 * interval_count * default_interval.as_secs_f64();
    let false_alarms = count_false_alarms(&testbed).await;
    let id = testbed.entries[0].context().settings().instance.id.clone();
    let killed = testbed.kill(0);
    let is_detected = |testbed: &FleetTestbed| {
        testbed
            .entries
            .iter()
            .all(|entry| considers_failed(entry, &id))
    };
    let detection_time = testbed
        .wait_until("the detection of the killed instance", is_detected)
        .await?;
    drop(killed);
    testbed.stop();
    Ok(MembershipFigures {
        instances: size,
        all_to_all: fan_out == FanOut::All,
        calls_per_second: calls as f64 / instance_seconds,
        bytes_per_second: bytes as f64 / instance_seconds,
        processor_micros_per_second: cpu_time.as_secs_f64() * 1e6 / instance_seconds,
        death_noticed_intervals: detection_time.as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64(),
        false_alarms,
    })
}

/// Blocks the arbiter half of the time, which simulates heavy load on all instances.
///
/// Returns the number of wrong reports of failed instances.
async fn count_false_alarms(testbed: &FleetTestbed) -> u64 {
    let before = testbed.false_alarms();
    let blocks = LOAD_TIME.as_millis() / (BLOCK_TIME * 2).as_millis();
    for _ in 0..blocks {
        std::thread::sleep(BLOCK_TIME);
        actix_rt::time::sleep(BLOCK_TIME).await;
    }
    actix_rt::time::sleep(BLOCK_TIME * 4).await;
    testbed.false_alarms() - before
}
