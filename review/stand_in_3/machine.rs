//! A machine of the platform that runs one router: starts it, kills it over its memory limit, starts it
//! again.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Memory of a machine of the small deployments, in MB (`memory-mb`).
pub const MEMORY_MB: u64 = 260;
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the memory is read.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A machine; dropping it ends its process.
pub struct Machine {
    name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// Number of times that the process ended by itself, memory over the limit included.
    pub ends: Arc<AtomicU64>,
    /// Highest memory that was seen, in MB.
    pub peak_mb: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    process: Arc<Mutex<Option<Child>>>,
}

fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let listeners = [(); COUNT].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

fn start_process(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .env_clear()
        .env("DANDELIONDEAL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn resident_mb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace()
        .nth(1)?
        .parse::<u64>()
        .ok()
        .map(|kilobytes| kilobytes / 1024)
}

impl Machine {
    /// Starts a router with the settings of the deploy file's template.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let [callers, readiness, peers, handover, metrics] = free_addresses();
        let settings: PathBuf = folder.join(format!("{name}.ini"));
        let text = format!(
            "[instance]\nid = {name}\nfailure_domain = isani\nregion = tbilisi\n\n[endpoints]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\nhandover = {handover}\nmetrics = {metrics}\n\n[store]\naddress = {}\nreads_per_second = 2000\nwrites_per_second = 400\n\n[allowances]\nrepeat_ratio = 0.2\nrepeat_slack = 202\nrepeat_window = 10 s\ngrace = 8 s\n\n[machine]\ndescriptors = 4100\nprocessor = 0.25\n",
            store.address
        );
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = start_process(program, &settings, &log)?;
        let machine = Self {
            name: name.to_owned(),
            callers,
            readiness,
            ends: Arc::default(),
            peak_mb: Arc::default(),
            is_over: Arc::default(),
            process: Arc::new(Mutex::new(Some(child))),
        };
        let (ends, peak_mb) = (Arc::clone(&machine.ends), Arc::clone(&machine.peak_mb));
        let (is_over, process) = (Arc::clone(&machine.is_over), Arc::clone(&machine.process));
        let (program, name, record) = (program.to_owned(), name.to_owned(), record.clone());
        std::thread::spawn(move || {
            while !is_over.load(Relaxed) {
                std::thread::sleep(LOOK_INTERVAL);
                let mut slot = process.lock().expect("process");
                let Some(child) = slot.as_mut() else { return };
                let memory = resident_mb(child.id()).unwrap_or(0);
                peak_mb.fetch_max(memory, Relaxed);
                let is_too_large = memory > MEMORY_MB;
                if is_too_large {
                    let _ = child.kill();
                    let _ = child.wait();
                } else if !matches!(child.try_wait(), Ok(Some(_))) {
                    continue;
                }
                ends.fetch_add(1, Relaxed);
                record.say(&format!("machine {name}: process ended with {memory} MB of memory in use, limit {MEMORY_MB} MB"));
                drop(slot);
                std::thread::sleep(RESTART_DELAY);
                let mut slot = process.lock().expect("process");
                if is_over.load(Relaxed) {
                    return;
                }
                *slot = start_process(&program, &settings, &log).ok();
            }
        });
        Ok(machine)
    }

    /// Waits until the router is ready; returns whether it is.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let head = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            let reply = http::call(self.readiness, head, b"", Duration::from_secs(1));
            if reply.is_ok_and(|reply| reply.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.is_over.store(true, Relaxed);
        if let Some(mut child) = self.process.lock().expect("process").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
