//! The store comes back from a copy; afterwards the operator takes a key away.
//!
//! The fleet is large enough that one router in each zone watches the store for the others.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::{self, Request};
use crate::record::Record;
use crate::replica::Replica;
use crate::router::{self, Router, RunFolder, SiteFigures};
use crate::store::Store;
use crate::{Outcome, config};

const ZONES: [&str; 3] = ["didube", "saburtalo", "isani"];
/// Routers of each zone; 24 together, of the 82 machines of the site.
const ROUTERS_PER_ZONE: u8 = 8;
/// Figures of the site `ggmsw-grown`.
const FIGURES: SiteFigures = SiteFigures {
    reads_per_s: 6_000,
    writes_per_s: 1_200,
    retry_slack: 348,
};
/// `stable-window-ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
/// `config-apply-ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time from the start of the machines to the first requests, as on the site.
const LEAD_TIME: Duration = Duration::from_secs(14);
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(8);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Margin after the bounds of the rule.
const MARGIN: Duration = Duration::from_millis(500);

const KEPT_KEY: &str = "key-of-workshop-a";
const REVOKED_KEY: &str = "key-of-workshop-b";

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let network = router::network();
    let ports = router::free_ports(router::address(network, 1, 1));
    let store = Store::start((router::address(network, 200, 1), 0).into());
    let quoted = |key: &str| format!("\"{key}\"");
    let (kept, revoked) = (quoted(KEPT_KEY), quoted(REVOKED_KEY));
    store.write(
        "config",
        "main",
        &config(3, &[("workshop-a", &kept), ("workshop-b", &revoked)]),
    );
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
        for machine in 1..=ROUTERS_PER_ZONE {
            let name = format!("front-{zone}-{machine}");
            let ip = router::address(network, zone_index, machine);
            let address = store.address();
            routers.push(Router::start(
                &folder, &name, zone, ip, ports, address, FIGURES,
            ));
        }
    }
    record.tell(&format!("{} routers started", routers.len()));
    if !router::wait_until_ready(&routers, Duration::from_secs(12)) {
        return Outcome::NotRun("the routers are not ready".to_owned());
    }
    let started_ms = record.now_ms();
    thread::sleep(LEAD_TIME.saturating_sub(Duration::from_millis(started_ms)));
    record.tell(&format!(
        "all ready; {} routers registered; revision {}",
        store.count("routers"),
        store.revision()
    ));
    let first = ask_all(record, &routers, "before", REVOKED_KEY);
    if first.iter().any(|status| *status != Some(200)) {
        return Outcome::NotRun(format!(
            "not all routers serve before the disruption: {first:?}"
        ));
    }
    let copy = store.copy();
    record.tell(&format!(
        "copy of the store taken at revision {}",
        store.revision()
    ));
    thread::sleep(COPY_AGE);
    let revision = store.revision();
    if has_trouble {
        store.restore(copy, AWAY_TIME);
        record.tell(&format!(
            "store was away for {} ms and is back from the copy; revision {revision} before",
            AWAY_TIME.as_millis()
        ));
        // The operator and the replicas write again what they wrote last; the copy holds it already.
        store.write(
            "config",
            "main",
            &config(3, &[("workshop-a", &kept), ("workshop-b", &revoked)]),
        );
        for replica in &replicas {
            replica.register(&store);
        }
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(200));
    let served = ask_all(record, &routers, "after", REVOKED_KEY);
    record.tell(&format!(
        "{} of {} routers serve the key while it is valid",
        served.iter().filter(|status| **status == Some(200)).count(),
        served.len()
    ));
    let revision = store.write(
        "config",
        "main",
        &config(4, &[("workshop-a", &kept), ("workshop-b", "")]),
    );
    record.tell(&format!(
        "version 4 takes the key of workshop-b away; acknowledged at revision {revision}"
    ));
    let mut broken = 0;
    for round in 1_u32..=3 {
        // Sent later than `config-apply-ms` after the acknowledgement.
        thread::sleep(if round == 1 {
            CONFIG_APPLY + MARGIN
        } else {
            Duration::from_secs(3)
        });
        let label = format!("late{round}");
        let statuses = ask_all(record, &routers, &label, REVOKED_KEY);
        let count = statuses
            .iter()
            .filter(|status| **status == Some(200))
            .count();
        let kept_count = ask_all(record, &routers, &format!("kept{round}"), KEPT_KEY);
        let kept_count = kept_count
            .iter()
            .filter(|status| **status == Some(200))
            .count();
        record.tell(&format!(
            "round {round}: {count} of {} routers still serve the key that was taken away; \
             {kept_count} serve the other one; revision {}",
            routers.len(),
            store.revision()
        ));
        broken += count;
    }
    let late_runs: usize = replicas
        .iter()
        .flat_map(Replica::runs)
        .filter(|run| run.request.starts_with("late") && run.tenant == "workshop-b")
        .count();
    let versions: Vec<String> = routers
        .iter()
        .map(|router| {
            router
                .metric("config_version")
                .unwrap_or_else(|| "?".to_owned())
        })
        .collect();
    record.tell(&format!(
        "configuration in force by router: {}",
        versions.join(" ")
    ));
    record.tell(&format!(
        "{late_runs} requests with the key ran after the bound"
    ));
    if routers.iter_mut().any(|router| !router.is_running()) {
        return Outcome::NotRun("a router has exited".to_owned());
    }
    if broken > 0 && late_runs > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends one request to each router; returns the statuses.
fn ask_all(record: &Record, routers: &[Router], label: &str, key: &str) -> Vec<Option<u16>> {
    let statuses = routers.iter().enumerate().map(|(index, router)| {
        let id = format!("{label}-{index:02}");
        let request = Request {
            method: "POST".to_owned(),
            path: "/deposit-confirm/7".to_owned(),
            headers: [
                ("Host", "desk.example"),
                ("Attempt-Id", &id),
                ("Deadline-Ms", "1500"),
                ("Api-Key", key),
            ]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .to_vec(),
            body: "amount=100".to_owned(),
        };
        record.line(&format!(
            "sent     router={} request={id} key={key}",
            router.name
        ));
        let answer = http::call(router.front(), &request, Duration::from_millis(1_500));
        let status = answer.as_ref().ok().map(|answer| answer.status);
        let seal = answer
            .ok()
            .and_then(|answer| answer.header("replica-seal").map(str::to_owned));
        record.line(&format!(
            "answered router={} request={id} status={status:?} seal={}",
            router.name,
            seal.as_deref().unwrap_or("-")
        ));
        status
    });
    statuses.collect()
}
