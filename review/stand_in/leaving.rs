//! A replica leaves while the router is partitioned from the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Outcome, Record, Replica, Router, plain_config, run_caller};
use crate::store::Store;

/// `drain-ms` of the deployment.
const DRAIN_S: f64 = 2.0;
/// Duration of the partition.
const CUT: Duration = Duration::from_millis(5500);
/// How much longer than `drain-ms` the replica serves.
const LONGER: Duration = Duration::from_millis(1500);
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
    // The spans of the rules begin after a calm time.
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        record.add("the router is partitioned from the store".to_owned());
        door.set_cut(true);
    }
    thread::sleep(Duration::from_millis(500));
    let leaver = &replicas[0];
    leaver.leave();
    record.add(format!("the store has accepted that {} drains", leaver.id));
    thread::sleep(Duration::from_secs_f64(DRAIN_S) + LONGER);
    leaver.end();
    record.add(format!("{} exits", leaver.id));
    thread::sleep(CUT - Duration::from_millis(500) - Duration::from_secs_f64(DRAIN_S) - LONGER);
    if has_trouble {
        door.set_cut(false);
        record.add("the partition has healed".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&record, leaver, &outcomes.lock().unwrap());
    record.write(path);
    verdict
}

/// DRAIN: no request that a caller sent later than `drain-ms` after the router had passed on an answer
/// with `Server-Leaving` may reach that replica.
fn judge(record: &Record, leaver: &Replica, outcomes: &[Outcome]) -> Verdict {
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    let told = outcomes
        .iter()
        .filter(|outcome| {
            outcome.headers.contains_key("server-leaving")
                && outcome.headers.get("replica-id") == Some(&leaver.id)
        })
        .map(|outcome| outcome.ended_at)
        .min_by(f64::total_cmp);
    let Some(told) = told else {
        record.add(format!(
            "no answer with Server-Leaving was passed on; {served} served"
        ));
        // The router may have known of the leave before the replica could say so.
        return if served > 0 {
            Verdict::Held
        } else {
            Verdict::NotRun
        };
    };
    let arrivals = leaver.arrivals.lock().unwrap();
    let sent_at = |id: &str| {
        outcomes
            .iter()
            .find(|outcome| outcome.id == id)
            .map(|outcome| outcome.sent_at)
    };
    let late: Vec<&str> = arrivals
        .iter()
        .filter(|arrival| sent_at(&arrival.id).is_some_and(|sent_at| sent_at > told + DRAIN_S))
        .map(|arrival| arrival.id.as_str())
        .collect();
    let lost = arrivals.iter().filter(|arrival| !arrival.has_ended).count();
    record.add(format!(
        "first answer with Server-Leaving passed on at {told:.3}; {} of {} requests at {} were sent over \
         {DRAIN_S} s later; {lost} requests that it ran were cut off by its exit; {served} served: {}",
        late.len(), arrivals.len(), leaver.id, late.join(" ")
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
