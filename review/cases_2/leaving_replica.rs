//! A replica that leaves says so in its answers while the store turns one machine away.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request};
use crate::record::Record;
use crate::replica::Replica;
use crate::router::{self, Router, RunFolder, SiteFigures};
use crate::store::Store;
use crate::{Outcome, config};

const ZONES: [&str; 3] = ["didube", "saburtalo", "isani"];
/// Figures of the site `ggmsw`.
const FIGURES: SiteFigures = SiteFigures {
    reads_per_s: 2_000,
    writes_per_s: 400,
    retry_slack: 202,
};
/// `drain-ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the replica serves beyond `drain-ms` before it exits.
const SERVED_LONGER: Duration = Duration::from_millis(3_000);
/// Time for which the store turns the machine away.
const REFUSED_TIME: Duration = Duration::from_millis(9_000);
/// Time from the start of the machines to the first requests, as on the site.
const LEAD_TIME: Duration = Duration::from_secs(10);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const KEY: &str = "key-of-workshop-a";

/// Request and its answer, as the client saw them.
#[derive(Clone, Debug)]
struct Exchange {
    id: String,
    sent_ms: u64,
    answered_ms: u64,
    status: Option<u16>,
    says_leaving: bool,
    replica: String,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let network = router::network();
    let ports = router::free_ports(router::address(network, 1, 1));
    let store = Store::start((router::address(network, 200, 1), 0).into());
    store.write("config", "main", &config(3, &[("workshop-a", &format!("\"{KEY}\""))]));
    let replicas: Vec<Replica> = (1_u8..=3)
        .map(|index| {
            let address = (router::address(network, 100, index), 0).into();
            let zone = ZONES[usize::from(index - 1)];
            let id = format!("i-desk-{index}");
            let work = Duration::from_millis(15);
            Replica::start(&id, "order-desk", zone, address, work, record)
        })
        .collect();
    for replica in &replicas {
        replica.register(&store);
    }
    let folder = RunFolder::create();
    let mut routers = Vec::new();
    for (zone_index, zone) in (1_u8..).zip(ZONES) {
        let name = format!("front-{zone}-1");
        let ip = router::address(network, zone_index, 1);
        let door = store.open_door(&name, (router::address(network, 200, 1 + zone_index), 0).into());
        routers.push(Router::start(&folder, &name, zone, ip, ports, door, FIGURES));
    }
    if !router::wait_until_ready(&routers, Duration::from_secs(9)) {
        return Outcome::NotRun("the routers are not ready".to_owned());
    }
    thread::sleep(LEAD_TIME.saturating_sub(Duration::from_millis(record.now_ms())));
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let client = {
        let (exchanges, is_over) = (Arc::clone(&exchanges), Arc::clone(&is_over));
        let (front, record) = (routers[0].front(), Arc::clone(record));
        thread::spawn(move || {
            let mut threads = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (exchanges, record) = (Arc::clone(&exchanges), Arc::clone(&record));
                threads.push(thread::spawn(move || {
                    let exchange = ask(&record, front, number);
                    exchanges.lock().unwrap().push(exchange);
                }));
                thread::sleep(REQUEST_INTERVAL);
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    let machine = routers[0].name.clone();
    if has_trouble {
        store.set_refused(&machine, true);
        record.tell(&format!("store turns {machine} away"));
    }
    thread::sleep(Duration::from_secs(1));
    let leaving = &replicas[0];
    leaving.leave();
    let revision = leaving.register(&store);
    record.tell(&format!(
        "{} leaves; its draining is acknowledged at revision {revision}",
        leaving.id
    ));
    thread::sleep(DRAIN + SERVED_LONGER);
    leaving.exit(Duration::from_millis(500));
    record.tell(&format!("{} has exited", leaving.id));
    store.delete("servers", &leaving.id);
    thread::sleep(REFUSED_TIME - Duration::from_secs(1) - DRAIN - SERVED_LONGER);
    store.set_refused(&machine, false);
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let _ = client.join();
    if routers.iter_mut().any(|router| !router.is_running()) {
        return Outcome::NotRun("a router has exited".to_owned());
    }
    judge(record, &exchanges.lock().unwrap(), leaving)
}

fn ask(record: &Record, front: std::net::SocketAddr, number: u32) -> Exchange {
    // The mix of the site: 7.42 to 3.0.
    let is_unsafe = number % 7 < 5;
    let id = format!("a{number:04}");
    let (method, path, body) = if is_unsafe {
        ("POST", "/deposit-confirm/7", "amount=100")
    } else {
        ("GET", "/order-status/7", "")
    };
    let request = Request {
        method: method.to_owned(),
        path: path.to_owned(),
        headers: [
            ("Host", "desk.example"),
            ("Attempt-Id", &id),
            ("Deadline-Ms", "1500"),
            ("Api-Key", KEY),
        ]
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .to_vec(),
        body: body.to_owned(),
    };
    let sent_ms = record.now_ms();
    record.line(&format!("sent     request={id} {method} {path}"));
    let answer = http::call(front, &request, Duration::from_millis(1_500));
    let answer = answer.ok();
    let header = |name| answer.as_ref().and_then(|answer| answer.header(name));
    let exchange = Exchange {
        id,
        sent_ms,
        answered_ms: record.now_ms(),
        status: answer.as_ref().map(|answer| answer.status),
        says_leaving: header("server-leaving") == Some("1"),
        replica: header("replica-seal").unwrap_or("-").to_owned(),
    };
    record.line(&format!(
        "answered request={} status={:?} leaving={} seal={}",
        exchange.id, exchange.status, exchange.says_leaving, exchange.replica
    ));
    exchange
}

/// Counts the requests that a client sent later than `drain-ms` after the machine had passed on an
/// answer with `Server-Leaving`, and that reached that replica.
fn judge(record: &Record, exchanges: &[Exchange], leaving: &Replica) -> Outcome {
    let drain_ms = u64::try_from(DRAIN.as_millis()).unwrap_or(u64::MAX);
    let told = exchanges.iter().filter(|exchange| exchange.says_leaving);
    let Some(told_ms) = told.map(|exchange| exchange.answered_ms).min() else {
        record.tell("no answer with Server-Leaving was passed on");
        return Outcome::Held;
    };
    record.tell(&format!("first answer with Server-Leaving was passed on at {told_ms} ms"));
    let runs = leaving.runs();
    let late: Vec<&Exchange> = exchanges
        .iter()
        .filter(|exchange| exchange.sent_ms > told_ms + drain_ms)
        .filter(|exchange| runs.iter().any(|run| run.request == exchange.id))
        .collect();
    let lost: Vec<&str> = late
        .iter()
        .filter(|exchange| exchange.status != Some(200))
        .map(|exchange| &*exchange.id)
        .collect();
    let last_ms = runs.iter().map(|run| run.at_ms).max().unwrap_or(0);
    let unanswered = runs.iter().filter(|run| !run.is_answered).count();
    record.tell(&format!(
        "{} requests sent later than {drain_ms} ms after that reached {}, the last at {last_ms} ms; \
         {unanswered} were lost with it, of which callers got no success: {lost:?}",
        late.len(),
        leaving.id
    ));
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
