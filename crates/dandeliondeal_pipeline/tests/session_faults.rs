//! Sessions over in-memory engines with random faults.
//!
//! A complete output equals that of a fault-free run, and each engine process runs each layer at
//! most once per lineage and position, in order.

mod fake;

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator, produce};
use dandeliondeal_pipeline::{SessionSettings, SessionState};
use dandeliondeal_types::Outcome;
use fake::{FakeRun, RunEnd};
use rand::SeedableRng;
use rand::rngs::StdRng;

const CASES: u64 = 3_000;
/// Maximum number of random choices of one case; without any left, no fault occurs.
const MAX_CHOICES: usize = 120;

fn choices(seed: u64) -> Vec<u8> {
    let options = Options::default().with_max_len(4_096);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    produce::<Vec<u8>>()
        .with()
        .len(0..MAX_CHOICES)
        .generate(&mut driver)
        .expect("the generator has enough input")
}

fn small_log() -> SessionSettings {
    SessionSettings {
        log_positions: 3,
        step_positions: 4,
        ..SessionSettings::default()
    }
}

#[test]
fn random_faults() {
    let mut ends = [0; 3];
    let mut recoveries = [0; 5];
    for seed in 0..CASES {
        let settings = match seed % 2 {
            0 => SessionSettings::default(),
            _ => small_log(),
        };
        let mut run = FakeRun::new(choices(seed), &settings);
        let end = run.finish(seed);
        let expected = FakeRun::new(Vec::new(), &settings).into_tokens();
        run.check_ledger(seed);
        match end {
            RunEnd::Complete(tokens) => {
                assert_eq!(tokens, expected, "seed {seed}");
                run.check_coverage(seed);
                ends[0] += 1;
            }
            RunEnd::Failed(tokens, error) => {
                assert!(expected.starts_with(&tokens), "seed {seed}");
                if error.outcome() == Outcome::NotRun {
                    assert!(run.has_empty_ledger(), "seed {seed}: {error}");
                    ends[1] += 1;
                } else {
                    ends[2] += 1;
                }
            }
        }
        assert!(run.machine.is_over(), "seed {seed}");
        let counters = run.machine.counters();
        let counts = [
            counters.resumed,
            counters.imported,
            counters.replayed,
            counters.rerun,
            counters.restarted,
        ];
        for (sum, count) in recoveries.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    assert!(
        ends[0] > 2_000 && ends[1] > 10 && ends[2] > 10,
        "complete, not run, in doubt: {ends:?}"
    );
    assert!(
        recoveries.iter().all(|sum| *sum > 10),
        "resumed, imported, fed, rerun, restarted: {recoveries:?}"
    );
    println!("ends {ends:?} recoveries {recoveries:?}");
}

#[test]
fn fault_free_run() {
    let mut run = FakeRun::new(Vec::new(), &SessionSettings::default());
    assert!(matches!(run.finish(0), RunEnd::Complete(_)));
    assert_eq!(run.machine.state(), SessionState::Done);
    run.check_coverage(0);
    let counters = run.machine.counters();
    assert_eq!(
        (counters.resumed, counters.replayed, counters.stale),
        (0, 0, 0)
    );
}

#[test]
fn no_usable_engine() {
    let mut run = FakeRun::new(Vec::new(), &SessionSettings::default());
    run.kill_all();
    let RunEnd::Failed(tokens, error) = run.finish(0) else {
        panic!("the request completed without a running engine");
    };
    assert!(tokens.is_empty());
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(error.retry_delay().is_some(), "the error has no retry time");
}
