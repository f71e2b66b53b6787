//! Requests with bodies near the limit come in bursts, and each process runs out of memory.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, send, write_config};
use crate::record::Record;

/// Size of a body, below `max-body-bytes`.
const BODY_BYTES: usize = 2_100_000;
/// Streams a second at each of the two machines of the zone `isani`: 0.89 of 30.3 a second.
const STREAM_RATE: f64 = 13.5;
/// Factor on the rate in a burst, and its duration.
const BURST_FACTOR: f64 = 1.7;
const BURST_TIME: f64 = 3.0;
/// Times at which bursts begin, in seconds.
const BURSTS: [f64; 5] = [5.0, 15.0, 25.0, 35.0, 45.0];
/// Duration of the traffic, in seconds.
const CASE_TIME: f64 = 55.0;

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let config = write_config(1, 800, 110);
    let engines = [
        "a100", "a100", "a100", "a100", "l4", "l4", "l4", "l4", "l4", "l4",
    ];
    let deployment = Deployment::start(record, &config, &engines)?;
    let until = Instant::now() + Duration::from_secs(10);
    let body = vec![b'd'; BODY_BYTES];
    let headers = "Deadline-Ms: 20000\r\nModel: m0\r\nToken-Counts: 774,212\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:734\r\n";
    let request = ("POST", "/quote/1", headers);
    let is_loaded = || deployment.engines.iter().all(|engine| engine.is_loaded());
    while !is_loaded() || send(&deployment.machines[0], record, request, b"first") != 200 {
        if Instant::now() > until {
            return Err("the engines do not serve".to_owned());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let started = Instant::now();
    std::thread::scope(|scope| {
        for machine in &deployment.machines {
            let body = &body;
            scope.spawn(move || {
                std::thread::scope(|requests| {
                    let mut next = 0.0;
                    while next < CASE_TIME {
                        let due = started + Duration::from_secs_f64(next);
                        std::thread::sleep(due.saturating_duration_since(Instant::now()));
                        requests.spawn(|| send(machine, record, request, body));
                        let is_burst = has_trouble
                            && BURSTS
                                .iter()
                                .any(|at| (*at..*at + BURST_TIME).contains(&next));
                        next += 1.0
                            / if is_burst {
                                STREAM_RATE * BURST_FACTOR
                            } else {
                                STREAM_RATE
                            };
                    }
                });
            });
        }
    });
    Ok(deployment.judge())
}
