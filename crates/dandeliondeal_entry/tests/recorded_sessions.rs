//! The replay of a recorded session leads to the same actions.

mod common;

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use awc::http::Method;
use common::{LAYERS, TestSite, completion, engine_settings, test_settings};
use dandeliondeal_replay::{Trace, replay};
use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::LayerRange;
use tracing_subscriber::EnvFilter;

/// A log writer that stores the log in memory.
#[derive(Clone, Default)]
struct MemoryLog(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[actix_rt::test]
async fn recorded_recovery() {
    let log = MemoryLog::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(EnvFilter::new("dandeliondeal_trace=trace"))
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let ranges = [LayerRange::new(0, 3), LayerRange::new(3, LAYERS)];
    let site = TestSite::start(test_settings(), ranges.map(engine_settings).to_vec()).await;
    site.engines[0].set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    site.engines[1].set_faults(FaultChange {
        bad_answers: Some(1),
        ..FaultChange::default()
    });
    let answer = site
        .call(
            Method::POST,
            "/v1/completions",
            &completion("quote", 4, false),
        )
        .await;
    assert_eq!(answer.status, 200);

    let log = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    let report = replay(&Trace::from_log("recorded", &log).unwrap()).unwrap();
    assert!(report.is_match(), "{:?}", report.mismatches);
    assert!(report.events > 10 && report.outcomes > 10);

    let altered = log.replacen("Deliver { position: 6", "Deliver { position: 7", 1);
    assert_ne!(altered, log);
    let report = replay(&Trace::from_log("altered", &altered).unwrap()).unwrap();
    assert_eq!(report.mismatches.len(), 1);
}
