//! A small deployment: store, replicas, and the two machines of one zone.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::machine::{MEMORY_MB, Machine};
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

/// Router program, relative to the repository, as in the deploy file.
const PROGRAM: &str = "target/release/dandeliondeal-router";
/// Number of times that a process has to end by itself on each of two machines for the rule to be
/// broken.
const MAX_ENDS: u64 = 3;

/// Running deployment; dropping it ends the routers and removes the temporary folder.
pub struct Deployment {
    pub store: Store,
    pub record: Record,
    pub machines: Vec<Machine>,
    pub engines: Vec<Replica>,
    folder: PathBuf,
}

/// Returns a configuration with `more_routes` routes that nobody uses.
pub fn write_config(version: u64, timeout_ms: u64, more_routes: usize) -> String {
    let mut routes = vec![
        format!("{{\"name\":\"r-deposit\",\"host\":\"desk.example\",\"path-prefix\":\"/deposit/\",\"kind\":\"unsafe\",\"timeout-ms\":{timeout_ms},\"slo-ms\":100,\"priority\":2,\"service\":\"order-desk\",\"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}"),
        "{\"name\":\"r-status\",\"host\":\"desk.example\",\"path-prefix\":\"/status/\",\"kind\":\"safe\",\"timeout-ms\":800,\"slo-ms\":100,\"priority\":2,\"service\":\"order-desk\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}".to_owned(),
        "{\"name\":\"r-quote\",\"host\":\"desk.example\",\"path-prefix\":\"/quote/\",\"kind\":\"stream\",\"timeout-ms\":20000,\"slo-ms\":500,\"priority\":1,\"service\":\"drafting-desk\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":250}".to_owned(),
    ];
    routes.extend((0..more_routes).map(|index| {
        format!("{{\"name\":\"r-m{index:07}\",\"host\":\"more{}.example\",\"path-prefix\":\"/more{index}/\",\"kind\":\"safe\",\"timeout-ms\":800,\"slo-ms\":100,\"priority\":2,\"service\":\"order-desk\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}", index % 20)
    }));
    let services = "{\"name\":\"drafting-desk\",\"health-path\":\"/health\",\"max-conns\":1078,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":192,\"kv-capacity\":100000,\"token-kv-bytes\":590000,\"link-mbps\":400000.0,\"stride\":4,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load-s\":14.0,\"warm-s\":1.0}],\"step_ms\":1.02,\"per_seq_ms\":0.00459,\"context_per_k\":0.00615,\"read_per_s\":164000.0,\"pairs_per_m\":0.199,\"chunk\":512,\"report_lag_ms\":200.0,\"loads-per-s\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":774,\"answer\":210},\"layers\":80,\"layer-mb\":1750.0,\"act-bytes\":29500,\"pipe-mbps\":19000.0,\"kinds\":[{\"name\":\"a100\",\"mb\":72000.0,\"pace\":2.4,\"read-x\":3.2},{\"name\":\"v100\",\"mb\":14400.0,\"pace\":5.3,\"read-x\":7.9},{\"name\":\"l4\",\"mb\":21600.0,\"pace\":16.0,\"read-x\":8.2}]}},{\"name\":\"order-desk\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"workshop\",\"api-keys\":[\"key-of-the-workshop\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

impl Deployment {
    /// Starts everything with a configuration; waits until the routers are ready.
    pub fn start(record: &Record, config: &str, engines: &[&str]) -> Result<Self, String> {
        Self::launch(record, config, engines, true)
    }

    /// Starts everything but the replicas of the plain service.
    pub fn start_without_desk(
        record: &Record,
        config: &str,
        engines: &[&str],
    ) -> Result<Self, String> {
        Self::launch(record, config, engines, false)
    }

    fn launch(
        record: &Record,
        config: &str,
        engines: &[&str],
        has_desk: bool,
    ) -> Result<Self, String> {
        let program = Path::new(PROGRAM);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start();
        store.put("config", "main", config);
        for index in (1..=3).filter(|_| has_desk) {
            Replica::start(
                &store,
                record,
                &format!("i-desk-{index}"),
                "order-desk",
                None,
            );
        }
        let engines = engines.iter().enumerate().map(|(index, kind)| {
            Replica::start(
                &store,
                record,
                &format!("i-draft-{index}"),
                "drafting-desk",
                Some(*kind),
            )
        });
        let mut deployment = Self {
            engines: engines.collect(),
            store,
            record: record.clone(),
            machines: Vec::new(),
            folder: folder.clone(),
        };
        for name in ["front-isani-1", "front-isani-2"] {
            let machine = Machine::start(program, &folder, name, &deployment.store, record);
            deployment
                .machines
                .push(machine.map_err(|error| format!("{PROGRAM}: {error}"))?);
        }
        let limit = Duration::from_secs(10);
        if deployment
            .machines
            .iter()
            .all(|machine| machine.wait_until_ready(limit))
        {
            record.say("routers are ready");
            Ok(deployment)
        } else {
            Err("the routers are not ready".to_owned())
        }
    }

    /// Records how often each process ended by itself, and returns the verdict of the rule "Fault".
    pub fn judge(&self) -> Verdict {
        for machine in &self.machines {
            self.record.say(&format!(
                "machine {}: {} ends by itself, {} MB at most of {MEMORY_MB} MB",
                machine.name(),
                machine.ends.load(Relaxed),
                machine.peak_mb.load(Relaxed)
            ));
        }
        let machines = self.machines.iter();
        let failing = machines
            .filter(|machine| machine.ends.load(Relaxed) >= MAX_ENDS)
            .count();
        if failing >= 2 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends a client's request to a router and records how it ends; returns the status, 0 without one.
pub fn send(machine: &Machine, record: &Record, request: (&str, &str, &str), body: &[u8]) -> u16 {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(1);
    let (method, path, headers) = request;
    let attempt = format!("{:016x}", ATTEMPTS.fetch_add(1, Relaxed));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\nApi-Key: key-of-the-workshop\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    record.add(&format!(
        "client sends {attempt} to {}: {method} {path}, {} bytes",
        machine.name(),
        body.len()
    ));
    let reply = http::call(machine.callers, &head, body, Duration::from_secs(20));
    let (status, end) = match &reply {
        Ok(reply) => (reply.status(), if reply.is_whole { "whole" } else { "cut" }),
        Err(_) => (0, "no answer"),
    };
    record.add(&format!("client has {status} to {attempt}, {end}"));
    if end == "cut" { 0 } else { status }
}
