//! Runs the checks of the project, formatter, linter and tests, and stops at the first that fails; of
//! the tests, all are run.
//! Run it with `cargo run -p ci`.
//!
//! Tests that are listed in `KNOWN-RED.txt` are skipped, and their names are printed. Each entry of
//! the file starts with a line `test: NAME`; the other lines are notes for developers.

use std::process::{Command, ExitCode};

const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

fn main() -> ExitCode {
    let known_failures = std::fs::read_to_string(KNOWN_FAILURES_FILE).unwrap_or_default();
    let skipped: Vec<&str> = known_failures
        .lines()
        .filter_map(|line| line.strip_prefix("test: "))
        .collect();
    let is_passing = run_cargo(&["fmt", "--all", "--check"], &[])
        && run_cargo(
            &[
                "clippy",
                "--workspace",
                "--all-targets",
                "--locked",
                "--",
                "-D",
                "warnings",
            ],
            &[],
        )
        && run_cargo(
            &["test", "--workspace", "--locked", "--no-fail-fast"],
            &skipped,
        );
    for test in &skipped {
        println!("known red, passed over: {test} (see {KNOWN_FAILURES_FILE})");
    }
    if is_passing {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs cargo without the tests whose exact names are in `skipped`; returns whether it succeeded.
fn run_cargo(arguments: &[&str], skipped: &[&str]) -> bool {
    println!("cargo {}", arguments.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(arguments);
    if !skipped.is_empty() {
        command.args(["--", "--exact"]);
        command.args(skipped.iter().flat_map(|test| ["--skip", test]));
    }
    match command.status() {
        Ok(status) => status.success(),
        Err(error) => {
            eprintln!("cargo {}: {error}", arguments.join(" "));
            false
        }
    }
}
