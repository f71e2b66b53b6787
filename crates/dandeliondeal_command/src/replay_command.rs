//! `dandeliondeal replay`: replays traces and compares the outcomes with the stated ones.

use std::path::{Path, PathBuf};

use dandeliondeal_replay::{ReplayReport, Trace, replay};
use pico_args::Arguments;
use serde_json::json;

use crate::CommandError;

/// Help text of `dandeliondeal replay`.
pub const HELP: &str = "\
Replays traces and compares the outcomes with those that the traces state.

usage: dandeliondeal replay [--json] [--log] FILE...

  --json   print a JSON line for each trace
  --log    the files are logs of dandeliondeal-entry, written with
           DANDELIONDEAL_LOG=info,dandeliondeal_trace=trace; such a log contains prompts

Prints a line for each trace and for each mismatch. docs/TRACES.md describes the format.
Exit codes: 0 all outcomes match, 1 a mismatch, 2 a file is unreadable or invalid.
";

/// Replays the files that the arguments name.
///
/// # Errors
///
/// Returns how many traces did not match, or which file is unreadable or invalid.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let is_json = arguments.contains("--json");
    let is_log = arguments.contains("--log");
    let paths: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if paths.is_empty() {
        return Err(CommandError::usage("a trace file is missing; see --help"));
    }
    let mut mismatched = 0;
    for path in &paths {
        let report = replay_file(path, is_log)?;
        print_report(path, &report, is_json);
        mismatched += usize::from(!report.is_match());
    }
    if mismatched > 0 {
        let message = format!("{mismatched} of {} traces did not match", paths.len());
        return Err(CommandError::failed(message));
    }
    Ok(())
}

fn replay_file(path: &Path, is_log: bool) -> Result<ReplayReport, CommandError> {
    let file_error = |reason: String| CommandError::usage(format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let trace = if is_log {
        Trace::from_log(&path.to_string_lossy(), &text)
    } else {
        Trace::parse(&text)
    };
    let trace = trace.map_err(|error| file_error(error.to_string()))?;
    replay(&trace).map_err(|error| file_error(error.to_string()))
}

fn print_report(path: &Path, report: &ReplayReport, is_json: bool) {
    let mismatches: Vec<String> = report.mismatches.iter().map(ToString::to_string).collect();
    if is_json {
        let line = json!({
            "file": path,
            "trace": report.trace,
            "events": report.events,
            "outcomes": report.outcomes,
            "mismatches": mismatches,
        });
        println!("{line}");
        return;
    }
    let verdict = if report.is_match() { "ok" } else { "MISMATCH" };
    let (events, outcomes) = (report.events, report.outcomes);
    println!(
        "{}: {verdict}, {events} events, {outcomes} outcomes",
        path.display()
    );
    for mismatch in mismatches {
        println!("  {mismatch}");
    }
}
