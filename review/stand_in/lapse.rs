//! Open connections to the store go silent, and a replica leaves without a report that it drains.
//!
//! Three routers; the connections go silent at a moment that is not chosen.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Outcome, Record, Replica, Router, plain_config, run_caller};
use crate::store::{Door, Store};

/// `drain-ms` of the deployment.
const DRAIN_S: f64 = 2.0;
/// How much longer than `drain-ms` the replica serves.
const LONGER: Duration = Duration::from_millis(2000);
/// `stable-window-ms` of the deployment.
const STABLE_S: f64 = 3.0;
const CALLERS: usize = 12;

pub fn play(path: &str, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::new();
    store.write("config", "main", &plain_config(7, "order-desk"));
    let work = Duration::from_millis(100);
    let replicas: Vec<Replica> = [("i-1", "didube"), ("i-2", "saburtalo"), ("i-3", "isani")]
        .map(|(id, zone)| Replica::start(id, "order-desk", zone, work, &record, &store))
        .into();
    let zones = ["didube", "saburtalo", "isani"];
    let doors = zones.map(|_| store.open_door());
    let routers: Vec<Router> = zones
        .iter()
        .zip(&doors)
        .map(|(zone, door)| Router::start(&format!("front-{zone}-1"), zone, door))
        .collect();
    if let Some(router) = routers.iter().find(|router| !router.wait_until_ready()) {
        record.add(format!("a router is not ready\n{}", router.log()));
        record.write(path);
        return Verdict::NotRun;
    }
    record.add("the routers are ready".to_owned());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over: Arc<AtomicBool> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (record, outcomes, is_over) =
                (record.clone(), Arc::clone(&outcomes), Arc::clone(&is_over));
            let router = index % routers.len();
            let (address, name) = (routers[router].callers, format!("r{}c{index}", router + 1));
            thread::spawn(move || {
                let (pause, line) = (Duration::from_millis(140), "POST /deposit/2f HTTP/1.1");
                run_caller(address, &name, line, pause, &record, &outcomes, &is_over);
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        doors.iter().for_each(Door::silence_connections);
    }
    let silent_at = record.add("open connections to the store go silent; new ones work".to_owned());
    thread::sleep(Duration::from_millis(300));
    let leaver = &replicas[0];
    leaver.deregister();
    let gone = record.add(format!(
        "the store has removed the entry of {}, which goes on serving",
        leaver.id
    ));
    thread::sleep(Duration::from_secs_f64(DRAIN_S) + LONGER);
    leaver.end();
    record.add(format!("{} exits", leaver.id));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = outcomes.lock().unwrap();
    // DRAIN: a request reaches a replica later than `drain-ms` after the store acknowledged that it is gone,
    // taken from the caller and sent on by a machine in touch.
    let in_touch = if has_trouble {
        silent_at + STABLE_S
    } else {
        silent_at
    };
    let from = (gone + DRAIN_S).max(in_touch) + 0.02;
    let arrivals = leaver.arrivals.lock().unwrap();
    let sent_at = |id: &str| {
        outcomes
            .iter()
            .find(|outcome| outcome.id == id)
            .map(|outcome| outcome.sent_at)
    };
    let late = arrivals
        .iter()
        .filter(|arrival| sent_at(&arrival.id).is_some_and(|at| at > from))
        .count();
    let last = arrivals
        .iter()
        .map(|arrival| arrival.at)
        .max_by(f64::total_cmp)
        .unwrap_or(0.0);
    let lost = arrivals.iter().filter(|arrival| !arrival.has_ended).count();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    record.add(format!(
        "entry removed at {gone:.3}, in touch from {in_touch:.3}; {late} of {} requests at {} were sent from \
         {from:.3} on, the last one reached it {:.3} s after the removal; {lost} requests that it ran were cut \
         off by its exit; {served} served",
        arrivals.len(), leaver.id, last - gone
    ));
    drop(arrivals);
    record.write(path);
    if served == 0 {
        return Verdict::NotRun;
    }
    if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
