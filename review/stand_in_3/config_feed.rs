//! The configuration changes often while it is large, and each process runs out of memory.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, send, write_config};
use crate::record::Record;

/// Routes beyond the usual ones; the configuration then has 0.95 MB, below `value-bytes`.
const MORE_ROUTES: usize = 4_400;
/// Time between two changes: three storms at once with a change each 0.33 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(110);
/// Duration of the case, from the first change.
const CASE_TIME: Duration = Duration::from_secs(95);
/// Time between two requests of the clients at each machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(800);

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let config = write_config(1, 800, MORE_ROUTES);
    record.say(&format!("configuration of {} bytes", config.len()));
    let deployment = Deployment::start(record, &config, &[])?;
    let is_over = AtomicBool::new(false);
    let mut version = 1;
    std::thread::scope(|scope| {
        for machine in &deployment.machines {
            scope.spawn(|| {
                while !is_over.load(Relaxed) {
                    let request = ("POST", "/deposit/1", "Deadline-Ms: 1500\r\n");
                    send(machine, record, request, &[b'd'; 600]);
                    std::thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
        let started = Instant::now();
        let mut next = started;
        while started.elapsed() < CASE_TIME {
            if has_trouble {
                version += 1;
                let config = write_config(version, 800 + version % 7, MORE_ROUTES);
                deployment.store.put("config", "main", &config);
                record.add(&format!("operator writes version {version}"));
            }
            next += CHANGE_INTERVAL;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        is_over.store(true, Relaxed);
    });
    record.say(&format!("{} changes of the configuration", version - 1));
    Ok(deployment.judge())
}
