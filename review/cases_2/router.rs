//! Router process of the project, started with the command and the template of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};

/// Ports that all machines of a run use, each at its own loopback address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub inner: u16,
}

/// Figures of the deployment that the template asks for.
#[derive(Clone, Copy, Debug)]
pub struct SiteFigures {
    pub reads_per_s: u32,
    pub writes_per_s: u32,
    pub retry_slack: u32,
}

/// Returns a loopback network of this run: 127.x.zone.machine.
pub fn network() -> u8 {
    64 + u8::try_from(std::process::id() % 128).unwrap_or(0)
}

pub fn address(network: u8, zone: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network, zone, machine)
}

/// Returns ports that are free at an address.
pub fn free_ports(ip: Ipv4Addr) -> Ports {
    let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
    let mut ports = (20_000..30_000).step_by(20).filter(|port| {
        [0, 1, 5, 6]
            .into_iter()
            .all(|offset| is_free(port + offset))
    });
    let front = ports.next().expect("free ports");
    Ports {
        front,
        ready: front + 1,
        inner: front + 5,
    }
}

/// Folder for settings and logs, removed at the end.
pub struct RunFolder(PathBuf);

impl RunFolder {
    pub fn create() -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self(folder)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

pub struct Router {
    pub name: String,
    ip: Ipv4Addr,
    ports: Ports,
    child: Child,
}

impl Router {
    pub fn start(
        folder: &RunFolder,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: Ports,
        store: SocketAddr,
        figures: SiteFigures,
    ) -> Self {
        let template = fs::read_to_string("deploy/router.ini").expect("the settings template");
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("region", "tbilisi".to_owned()),
            ("listen.front", format!("{ip}:{}", ports.front)),
            ("listen.ready", format!("{ip}:{}", ports.ready)),
            ("ip", ip.to_string()),
            ("inner-ports.0", ports.inner.to_string()),
            ("inner-ports.1", (ports.inner + 1).to_string()),
            ("platform.addr", store.to_string()),
            ("platform.reads-per-s", figures.reads_per_s.to_string()),
            ("platform.writes-per-s", figures.writes_per_s.to_string()),
            ("bounds.budget-ratio", "0.2".to_owned()),
            ("bounds.retry-slack", figures.retry_slack.to_string()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("limits.cpu-share", "0.25".to_owned()),
        ];
        let text = values.iter().fold(template, |text, (key, value)| {
            text.replace(&format!("{{{{{key}}}}}"), value)
        });
        assert!(
            !text.contains("{{"),
            "a placeholder without a value:\n{text}"
        );
        let settings = folder.path().join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings written");
        let log = File::create(folder.path().join(format!("{name}.log"))).expect("a log");
        // The command of the role in deploy/system.toml.
        let child = Command::new("target/release/dandeliondeal-router")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("DANDELIONDEAL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the router starts");
        Self {
            name: name.to_owned(),
            ip,
            ports,
            child,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.front)
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(IpAddr::V4(self.ip), self.ports.ready);
        let answer = get(ready, "/ready");
        answer.is_some_and(|answer| answer.status == 200)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the value of a metric without labels.
    pub fn metric(&self, name: &str) -> Option<String> {
        let metrics = SocketAddr::new(IpAddr::V4(self.ip), 9464);
        let answer = get(metrics, "/metrics")?;
        let mut lines = answer.body.lines();
        let line = lines.find(|line| {
            line.split(' ')
                .next()
                .is_some_and(|key| key.ends_with(name))
        })?;
        line.split(' ').nth(1).map(str::to_owned)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all routers say that they are ready.
pub fn wait_until_ready(routers: &[Router], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let request = Request {
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: vec![("Host".to_owned(), address.to_string())],
        body: String::new(),
    };
    http::call(address, &request, Duration::from_secs(1)).ok()
}
