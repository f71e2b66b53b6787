//! A replica leaves without a report that it drains, and the store comes back from a copy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Outcome, Record, Replica, Router, plain_config, run_caller};
use crate::store::Store;

/// `drain-ms` of the deployment.
const DRAIN_S: f64 = 2.0;
/// How much longer than `drain-ms` the replica serves.
const LONGER: Duration = Duration::from_millis(1700);
/// Time from the removal of the entry until the store is away, in which the router reads of it.
const KNOWN: Duration = Duration::from_millis(700);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);
/// Age of the copy at the store's return.
const COPY_AGE: Duration = Duration::from_secs(3);
/// `heartbeat-ms`: time after which the replica writes again what it wrote.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const CALLERS: usize = 12;

pub fn play(path: &str, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::new();
    store.write("config", "main", &plain_config(7, "order-desk"));
    let work = Duration::from_millis(100);
    let replicas: Vec<Replica> = [("i-1", "didube"), ("i-2", "saburtalo"), ("i-3", "isani")]
        .map(|(id, zone)| Replica::start(id, "order-desk", zone, work, &record, &store))
        .into();
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
            let (record, outcomes, is_over) =
                (record.clone(), Arc::clone(&outcomes), Arc::clone(&is_over));
            let address = router.callers;
            thread::spawn(move || {
                let pause = Duration::from_millis(140);
                let line = "POST /deposit/2f HTTP/1.1";
                run_caller(
                    address,
                    &format!("a{index}"),
                    line,
                    pause,
                    &record,
                    &outcomes,
                    &is_over,
                );
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let leaver = &replicas[0];
    let copy = store.copy();
    thread::sleep(COPY_AGE - AWAY - KNOWN);
    leaver.deregister();
    let gone = record.add(format!(
        "the store has removed the entry of {}, which goes on serving",
        leaver.id
    ));
    thread::sleep(KNOWN);
    if has_trouble {
        record.add("the store is away".to_owned());
        door.set_away(true);
    }
    thread::sleep(AWAY);
    if has_trouble {
        store.restore(copy);
        door.set_away(false);
        record.add("the store is back from a copy that is 3 s old".to_owned());
    }
    thread::sleep(HEARTBEAT);
    if has_trouble {
        leaver.deregister();
        record.add(format!("{} has removed its entry again", leaver.id));
    }
    thread::sleep(Duration::from_secs_f64(DRAIN_S) + LONGER - KNOWN - AWAY - HEARTBEAT);
    leaver.end();
    record.add(format!("{} exits", leaver.id));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let outcomes = outcomes.lock().unwrap();
    // DRAIN: a machine that has itself acknowledged that a replica is gone sends it a request later than
    // `drain-ms` after that, also while the store is in disruption. No request reaches the replica between
    // the removal and the return of the store, which shows that the router has read of it.
    let known = gone + KNOWN.as_secs_f64();
    let from = known + DRAIN_S;
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
    let away = arrivals
        .iter()
        .filter(|arrival| (gone + 0.3..known + AWAY.as_secs_f64()).contains(&arrival.at));
    let away = away.count();
    record.add(format!(
        "entry removed at {gone:.3}, read by the router before {known:.3}; {away} requests reached {} between 0.3 s \
         after the removal and the return of the store; {late} of {} were sent from {from:.3} on, the last one \
         reached it {:.3} s after the removal; {lost} requests that it ran were cut off by its exit; {served} served",
        leaver.id, arrivals.len(), last - gone
    ));
    drop(arrivals);
    record.write(path);
    if served == 0 || away > 0 {
        return Verdict::NotRun;
    }
    if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
