//! The session core over fake engines and random faults: same text, each layer once in order.

mod fake;

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator, produce};
use dandeliondeal_pipeline::{SessionSettings, SessionState};
use dandeliondeal_types::Outcome;
use fake::{FakeRun, RunEnd};
use rand::SeedableRng;
use rand::rngs::StdRng;

const CASES: u64 = 3_000;
/// Most random choices of one case; after them nothing fails any more.
const CHOICES: usize = 120;

fn choices(seed: u64) -> Vec<u8> {
    let options = Options::default().with_max_len(4_096);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    produce::<Vec<u8>>()
        .with()
        .len(0..CHOICES)
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
    let mut recovered = [0; 5];
    for seed in 0..CASES {
        let settings = match seed % 2 {
            0 => SessionSettings::default(),
            _ => small_log(),
        };
        let mut run = FakeRun::new(choices(seed), &settings);
        let end = run.finish(seed);
        let undisturbed = FakeRun::new(Vec::new(), &settings).finish_text();
        run.check_ledger(seed);
        match end {
            RunEnd::Whole(text) => {
                assert_eq!(text, undisturbed, "seed {seed}");
                run.check_whole(seed);
                ends[0] += 1;
            }
            RunEnd::GivenUp(text, error) => {
                assert!(undisturbed.starts_with(&text), "seed {seed}");
                if error.outcome() == Outcome::NotRun {
                    assert!(run.has_empty_ledger(), "seed {seed}: {error}");
                    ends[1] += 1;
                } else {
                    ends[2] += 1;
                }
            }
        }
        assert!(run.machine.is_over(), "seed {seed}");
        let count = run.machine.count();
        let counts = [
            count.resumed,
            count.imported,
            count.fed,
            count.rerun,
            count.restarted,
        ];
        for (sum, count) in recovered.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    assert!(
        ends[0] > 2_000 && ends[1] > 10 && ends[2] > 10,
        "whole, not run, in doubt: {ends:?}"
    );
    assert!(
        recovered.iter().all(|sum| *sum > 10),
        "resumed, imported, fed, rerun, restarted: {recovered:?}"
    );
    println!("ends {ends:?} recoveries {recovered:?}");
}

#[test]
fn undisturbed_run() {
    let mut run = FakeRun::new(Vec::new(), &SessionSettings::default());
    assert!(matches!(run.finish(0), RunEnd::Whole(_)));
    assert_eq!(run.machine.state(), SessionState::Done);
    run.check_whole(0);
    let count = run.machine.count();
    assert_eq!((count.resumed, count.fed, count.stale), (0, 0, 0));
}

#[test]
fn nothing_usable() {
    let mut run = FakeRun::new(Vec::new(), &SessionSettings::default());
    run.kill_all();
    let RunEnd::GivenUp(text, error) = run.finish(0) else {
        panic!("no engine runs");
    };
    assert!(text.is_empty());
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(
        error.wait().is_some(),
        "the caller is told when to come back"
    );
}
