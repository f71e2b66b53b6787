//! Open connections to the store go silent, and the operator moves a route to another service.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Outcome, Record, Replica, Router, plain_config, run_caller};
use crate::store::Store;

/// `config-apply-ms` of the deployment.
const APPLY_S: f64 = 2.0;
/// `stable-window-ms` of the deployment.
const STABLE_S: f64 = 3.0;
const CALLERS: usize = 12;

pub fn play(path: &str, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::new();
    store.write("config", "main", &plain_config(7, "order-desk"));
    let start = |(id, zone, service): (&str, &str, &str)| {
        Replica::start(id, service, zone, Duration::from_millis(15), &record, &store)
    };
    let old = [
        ("old-1", "didube", "order-desk"),
        ("old-2", "saburtalo", "order-desk"),
        ("old-3", "isani", "order-desk"),
    ]
    .map(start);
    let new = [
        ("new-1", "didube", "order-desk-b"),
        ("new-2", "saburtalo", "order-desk-b"),
        ("new-3", "isani", "order-desk-b"),
    ]
    .map(start);
    let door = store.open_door();
    let router = Router::start("front-didube-1", "didube", &door);
    if !router.wait_until_ready() {
        record.add(format!("the router is not ready\n{}", router.log()));
        record.write(path);
        return Verdict::NotRun;
    }
    record.add("the router is ready".to_owned());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over: Arc<AtomicBool> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (record, outcomes, is_over) = (record.clone(), Arc::clone(&outcomes), Arc::clone(&is_over));
            let address = router.callers;
            thread::spawn(move || {
                let pause = Duration::from_millis(140);
                let line = "POST /deposit/2f HTTP/1.1";
                run_caller(address, &format!("a{index}"), line, pause, &record, &outcomes, &is_over);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    // The router watches the configuration for seconds at a time; the connections go silent early in
    // one of these calls.
    door.wait_for_watch("config");
    thread::sleep(Duration::from_millis(50));
    if has_trouble {
        door.silence_connections();
    }
    let silent_at = record.add("open connections to the store go silent; new ones work".to_owned());
    thread::sleep(Duration::from_millis(200));
    store.write("config", "main", &plain_config(8, "order-desk-b"));
    let acknowledged = record.add("the store has accepted version 8: routes lead to order-desk-b".to_owned());
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = outcomes.lock().unwrap();
    // CONFIG: a request sent later than `config-apply-ms` after the acknowledgement of a version is
    // handled as only an older version allows, by a machine in touch.
    let in_touch = if has_trouble { silent_at + STABLE_S } else { silent_at };
    let from = in_touch.max(acknowledged + APPLY_S) + 0.02;
    let run_by = |replicas: &[Replica], id: &str| {
        replicas.iter().any(|replica| {
            replica.arrivals.lock().unwrap().iter().any(|arrival| arrival.id == id)
        })
    };
    let checked: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.sent_at >= from).collect();
    let late: Vec<&str> = checked
        .iter()
        .filter(|outcome| run_by(&old, &outcome.id))
        .map(|outcome| outcome.id.as_str())
        .collect();
    let moved = checked.iter().filter(|outcome| run_by(&new, &outcome.id)).count();
    record.add(format!(
        "version 8 acknowledged at {acknowledged:.3}, in touch from {in_touch:.3}; of {} requests sent from \
         {from:.3} on, {} were run by the old service and {moved} by the new one: {}",
        checked.len(), late.len(), late.join(" ")
    ));
    record.write(path);
    if moved == 0 && late.is_empty() {
        return Verdict::NotRun;
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
