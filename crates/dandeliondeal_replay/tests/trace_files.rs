//! Replays all traces of this repository.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use dandeliondeal_replay::{Trace, coverage, replay};

fn traces() -> Vec<(PathBuf, Trace)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    paths
        .into_iter()
        .map(|path| {
            let trace = Trace::parse(&fs::read_to_string(&path).unwrap());
            let trace = trace.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
            (path, trace)
        })
        .collect()
}

#[test]
fn all_traces() {
    let mut mismatches = Vec::new();
    for (path, trace) in traces() {
        let report = replay(&trace).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert!(report.outcomes > 0, "{}", path.display());
        for mismatch in report.mismatches {
            mismatches.push(format!("{}: {mismatch}", path.display()));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

#[test]
fn covered_pairs() {
    let covered: BTreeSet<_> = traces()
        .iter()
        .flat_map(|(_, trace)| coverage(trace))
        .collect();
    let guarantees: BTreeSet<_> = covered.iter().map(|(guarantee, _)| *guarantee).collect();
    let failures: BTreeSet<_> = covered.iter().map(|(_, failure)| *failure).collect();
    let missing: Vec<_> = guarantees
        .iter()
        .flat_map(|guarantee| failures.iter().map(|failure| (*guarantee, *failure)))
        .filter(|pair| !covered.contains(pair))
        .collect();
    assert_eq!((guarantees.len(), failures.len()), (7, 10));
    assert!(missing.is_empty(), "{missing:?}");
}
