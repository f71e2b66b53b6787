//! Which runs a process held when it ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{HeldRuns, ProcessId, RunRecord, RunStage};

fn held_run(held: &mut HeldRuns, processes: &[&str]) -> Rc<RunRecord> {
    let features = vec!["request:1".into()];
    let run = Rc::new(RunRecord::new("id".into(), "drafting".into(), features, 7));
    for process in processes {
        held.add(&ProcessId::from(*process), &run);
    }
    run
}

/// Guards against sound streams that are refused after an outage of a domain: each engine of a chain
/// that ended counted as an end of its own.
#[test]
fn joint_chain() {
    let now = Instant::now();
    let mut held = HeldRuns::default();
    let run = held_run(&mut held, &["a", "b", "c"]);
    let ended = ["b", "a", "c"].map(|process| held.take_ended(&process.into(), now).len());
    assert_eq!(ended, [1, 0, 0]);
    // After a move, the run may end a process of the other chain.
    run.record_move();
    held.add(&ProcessId::from("d"), &run);
    assert_eq!(held.take_ended(&"d".into(), now).len(), 1);
}

/// Guards against ends that count for runs which were settled, or given up long before.
#[test]
fn former_runs() {
    let now = Instant::now();
    let mut held = HeldRuns::default();
    held_run(&mut held, &["a"]).settle();
    held_run(&mut held, &["a"]).give_up(now);
    let open = held_run(&mut held, &["a"]);
    let later = now + Duration::from_millis(1_100);
    let ended = held.take_ended(&"a".into(), later);
    assert_eq!(ended.len(), 1);
    assert!(Rc::ptr_eq(&ended[0], &open));
}

/// Guards against runs of a machine that goes with its process: they are forgotten before another
/// process in its place shows the end.
#[test]
fn unanswered_process() {
    let now = Instant::now();
    let mut held = HeldRuns::default();
    held_run(&mut held, &["a"]).give_up(now);
    held.record_unanswered("a", now + Duration::from_millis(300));
    let later = now + Duration::from_secs(8);
    held.sweep(later);
    assert_eq!(held.take_ended(&"a".into(), later).len(), 1);
}

/// Guards against sound streams that are not moved on after the end of a later engine: it counted like
/// the end of an engine that is about to begin the answer.
#[test]
fn later_engine() {
    let mut held = HeldRuns::default();
    let run = held_run(&mut held, &["first", "later"]);
    run.set_stage(RunStage::Head);
    assert_eq!(run.suspect("first").stage, RunStage::Head);
    assert_eq!(run.suspect("later").stage, RunStage::Events);
}

/// Guards against the end of a process that is attributed to no run, or to the process before it: runs
/// began before its registration was known.
#[test]
fn late_registration() {
    let now = Instant::now();
    let mut held = HeldRuns::default();
    held_run(&mut held, &["earlier"]);
    let earlier = ProcessId::from("earlier");
    assert_eq!(held.take_ended(&earlier, now).len(), 1);
    let run = held_run(&mut held, &["earlier"]);
    run.set_stage(RunStage::Head);
    let later = ProcessId::from("later");
    assert!(held.supersede(&earlier, &later, now).is_empty());
    let ended = held.take_ended(&later, now);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].suspect("later").stage, RunStage::Head);
    // Nobody saw the end of this process before its successor was registered.
    held_run(&mut held, &["unseen"]);
    assert_eq!(held.supersede(&"unseen".into(), &later, now).len(), 1);
}
