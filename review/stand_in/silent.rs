//! Open connections to the store go silent, and the operator moves a route to another service.
//!
//! Nine routers, as the deployment has; the connections go silent at moments that are not chosen.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::site::{Outcome, Record, Replica, Router, plain_config, run_caller};
use crate::store::{Door, Store};

/// `config-apply-ms` of the deployment.
const APPLY_S: f64 = 2.0;
/// `stable-window-ms` of the deployment.
const STABLE_S: f64 = 3.0;
const ROUTERS: usize = 9;
const CALLERS_PER_ROUTER: usize = 2;
/// Number of times that the connections go silent.
const ROUNDS: u64 = 4;
/// Times from one round to the next, which are no multiples of the time that a watch lasts.
const ROUND_MS: [u64; ROUNDS as usize] = [7_400, 8_700, 6_900, 6_500];

/// Version of the configuration, the service that it replaces, and what the rule needs to know.
struct Round {
    version: u64,
    old_service: &'static str,
    acknowledged: f64,
    in_touch: f64,
    ended: f64,
}

pub fn play(path: &str, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::new();
    store.write("config", "main", &plain_config(7, "order-desk"));
    let replicas: Vec<Replica> = ["order-desk", "order-desk-b"]
        .into_iter()
        .flat_map(|service| ["didube", "saburtalo", "isani"].map(|zone| (service, zone)))
        .map(|(service, zone)| {
            let work = Duration::from_millis(15);
            Replica::start(
                &format!("{service}-{zone}"),
                service,
                zone,
                work,
                &record,
                &store,
            )
        })
        .collect();
    let doors: Vec<Door> = (0..ROUTERS).map(|_| store.open_door()).collect();
    let zones = ["didube", "saburtalo", "isani"];
    let routers: Vec<Router> = doors
        .iter()
        .enumerate()
        .map(|(index, door)| {
            let zone = zones[index % zones.len()];
            Router::start(
                &format!("front-{zone}-{}", 1 + index / zones.len()),
                zone,
                door,
            )
        })
        .collect();
    if let Some(router) = routers.iter().find(|router| !router.wait_until_ready()) {
        record.add(format!("a router is not ready\n{}", router.log()));
        record.write(path);
        return Verdict::NotRun;
    }
    record.add("the routers are ready".to_owned());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over: Arc<AtomicBool> = Arc::default();
    let mut callers = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        for caller in 0..CALLERS_PER_ROUTER {
            let (record, outcomes, is_over) =
                (record.clone(), Arc::clone(&outcomes), Arc::clone(&is_over));
            let (address, name) = (router.callers, format!("r{}c{caller}", index + 1));
            callers.push(thread::spawn(move || {
                let (pause, line) = (Duration::from_millis(100), "POST /deposit/2f HTTP/1.1");
                run_caller(address, &name, line, pause, &record, &outcomes, &is_over);
            }));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let rounds: Vec<Round> = (0..ROUNDS)
        .map(|round| play_round(round, has_trouble, &record, &store, &doors))
        .collect();
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let verdict = judge(&record, &rounds, &replicas, &outcomes.lock().unwrap());
    record.write(path);
    verdict
}

fn play_round(
    round: u64,
    has_trouble: bool,
    record: &Record,
    store: &Store,
    doors: &[Door],
) -> Round {
    if has_trouble {
        doors.iter().for_each(Door::silence_connections);
    }
    let silent_at = record.add("open connections to the store go silent; new ones work".to_owned());
    thread::sleep(Duration::from_millis(200));
    let services = ["order-desk", "order-desk-b"];
    let (old_service, new_service) = if round % 2 == 0 {
        (services[0], services[1])
    } else {
        (services[1], services[0])
    };
    let version = 8 + round;
    store.write("config", "main", &plain_config(version, new_service));
    let acknowledged = record.add(format!(
        "the store has accepted version {version}: routes lead to {new_service}"
    ));
    thread::sleep(Duration::from_millis(ROUND_MS[round as usize] - 200));
    let in_touch = if has_trouble {
        silent_at + STABLE_S
    } else {
        silent_at
    };
    Round {
        version,
        old_service,
        acknowledged,
        in_touch,
        ended: record.now(),
    }
}

/// CONFIG: no request that is sent later than `config-apply-ms` after the acknowledgement of a version is
/// handled as only an older version allows, by a machine in touch.
fn judge(record: &Record, rounds: &[Round], replicas: &[Replica], outcomes: &[Outcome]) -> Verdict {
    let mut run_by: HashMap<String, &str> = HashMap::new();
    for replica in replicas {
        for arrival in replica.arrivals.lock().unwrap().iter() {
            run_by.insert(arrival.id.clone(), &replica.service);
        }
    }
    let (mut late_count, mut sound_count) = (0, 0);
    for round in rounds {
        let from = round.in_touch.max(round.acknowledged + APPLY_S) + 0.02;
        let checked = outcomes
            .iter()
            .filter(|outcome| (from..round.ended).contains(&outcome.sent_at));
        let run = checked.filter_map(|outcome| Some((outcome, *run_by.get(&outcome.id)?)));
        let (late, sound): (Vec<_>, Vec<_>) =
            run.partition(|(_, service)| *service == round.old_service);
        let late: Vec<&str> = late
            .iter()
            .map(|(outcome, _)| outcome.id.as_str())
            .collect();
        let mut routers: Vec<&str> = late.iter().map(|id| &id[..2]).collect();
        routers.dedup();
        routers.sort_unstable();
        routers.dedup();
        let last = outcomes
            .iter()
            .filter(|outcome| late.contains(&outcome.id.as_str()));
        let last = last
            .map(|outcome| outcome.sent_at - round.in_touch)
            .fold(0.0, f64::max);
        record.add(format!(
            "version {} acknowledged at {:.3}, in touch from {:.3}: of requests sent from {from:.3} on, {} were run \
             by the old service, at routers {routers:?}, the last one sent {last:.3} s after they were in touch, and \
             {} by the new one: {}",
            round.version, round.acknowledged, round.in_touch, late.len(), sound.len(), late.join(" ")
        ));
        late_count += late.len();
        sound_count += sound.len();
    }
    if late_count > 0 {
        Verdict::Broken
    } else if sound_count > 0 {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}
