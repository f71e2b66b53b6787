//! A test cluster of separate processes: a platform, engines, a service and entry instances.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::Client;
use dandeliondeal_config::{EXAMPLE_KEY, example_sheet};

const ENTRY: &str = env!("CARGO_BIN_EXE_dandeliondeal-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_dandeliondeal");
const STANDIN: &str = env!("CARGO_BIN_EXE_dandeliondeal-standin");

/// Maximum time until each entry instance is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when its handle is dropped.
pub struct ClusterProcess {
    child: Child,
    pub address: String,
    pub operator_address: String,
    peer_address: String,
}

/// The processes of a cluster and the folder of their files.
pub struct ProcessCluster {
    pub platform: ClusterProcess,
    pub engines: Vec<ClusterProcess>,
    pub service: ClusterProcess,
    pub entries: Vec<ClusterProcess>,
    folder: PathBuf,
}

/// Complete answer to a caller.
#[derive(Debug)]
pub struct CallerAnswer {
    pub outcome: String,
    pub request: String,
    pub body: String,
}

impl ClusterProcess {
    fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut addresses = Vec::new();
        let count = if program == ENTRY { 3 } else { 1 };
        while addresses.len() < count {
            let line = lines.next().unwrap().unwrap();
            addresses.extend(line.rsplit(' ').next().map(str::to_owned));
        }
        let operator_address = addresses.get(1).cloned().unwrap_or_default();
        let peer_address = addresses.get(2).cloned().unwrap_or_default();
        Self {
            child,
            address: addresses.remove(0),
            operator_address,
            peer_address,
        }
    }

    /// Sends a signal by name: `KILL`, `STOP`, `CONT`, `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until the process has exited and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for ClusterProcess {
    fn drop(&mut self) {
        // The process may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProcessCluster {
    /// Starts the cluster of the example sheet with three entry instances, and waits until all of
    /// them are ready. `name` is a unique test name, part of the folder of the test's files.
    pub async fn start(name: &str) -> Self {
        let any_port = "127.0.0.1:0";
        let platform = ClusterProcess::start(STANDIN, &["platform", "--listen", any_port]);
        let engines: Vec<ClusterProcess> = ["0..12", "12..24", "0..12", "12..24"]
            .iter()
            .map(|range| {
                let model = ["--model", "drafter", "--layers", "24", "--range", range];
                let load = ["--layer-us", "200", "--capacity", "64"];
                let arguments = [&["engine", "--listen", any_port][..], &model, &load].concat();
                ClusterProcess::start(STANDIN, &arguments)
            })
            .collect();
        let service = ClusterProcess::start(
            STANDIN,
            &[
                "service",
                "--listen",
                any_port,
                "--name",
                "order-desk",
                "--duration-ms",
                "20",
            ],
        );
        let folder =
            std::env::temp_dir().join(format!("dandeliondeal-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut cluster = Self {
            platform,
            engines,
            service,
            entries: Vec::new(),
            folder,
        };
        cluster.accept_sheet();
        for number in 1..=3 {
            cluster.start_entry(number).await;
        }
        for entry in &cluster.entries {
            wait_ready(&entry.operator_address).await;
        }
        cluster
    }

    fn accept_sheet(&self) {
        let mut sheet = example_sheet().to_owned();
        for (index, engine) in self.engines.iter().enumerate() {
            sheet = sheet.replace(&format!("127.0.0.1:{}", 9_001 + index), &engine.address);
        }
        sheet = sheet.replace("127.0.0.1:9005", &self.service.address);
        let file = self.folder.join("sheet.csv");
        std::fs::write(&file, sheet).unwrap();
        let status = Command::new(OPERATOR)
            .args(["sheet", "accept", file.to_str().unwrap(), "--author", "ana"])
            .args(["--platform", &self.platform.address])
            .stdout(Stdio::null())
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Starts another entry instance and adds it to the instance list of the platform.
    async fn start_entry(&mut self, number: usize) {
        let settings = format!(
            "[instance]\nid = entry-{number}\nfailure_domain = didube\nregion = tbilisi\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\naddress = {}\n\
             [secrets]\npeer = peer-secret-of-the-test\noperator = operator-secret-of-the-test\n\
             [stop]\nbalancer_lag = 500 ms\n",
            self.platform.address
        );
        let file = self.folder.join(format!("entry-{number}.ini"));
        std::fs::write(&file, settings).unwrap();
        let entry = ClusterProcess::start(ENTRY, &["--settings", file.to_str().unwrap()]);
        let record = format!(
            r#"{{"id":"entry-{number}","role":"entry","state":"live","address":"{}",
            "failure_domain":"didube","region":"tbilisi","incarnation":0}}"#,
            entry.peer_address
        );
        let url = format!("http://{}/instances/entry-{number}", self.platform.address);
        let answer = Client::default().put(url).send_body(record).await.unwrap();
        assert!(answer.status().is_success());
        self.entries.push(entry);
    }
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until the entry instance at an operators' address is ready.
async fn wait_ready(operator_address: &str) {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let url = format!("http://{operator_address}/health/ready");
        if Client::default()
            .get(url)
            .send()
            .await
            .is_ok_and(|answer| answer.status() == 200)
        {
            return;
        }
        assert!(Instant::now() < deadline, "an entry instance is not ready");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a caller's request, and returns `None` if the connection broke.
pub async fn send_request(
    address: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Option<CallerAnswer> {
    let mut request = Client::builder()
        .disable_timeout()
        .finish()
        .post(format!("http://{address}{path}"))
        .force_close()
        .insert_header(("authorization", format!("Bearer {EXAMPLE_KEY}")));
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let mut answer = request.send_body(body.to_owned()).await.ok()?;
    let header = |name: &str| {
        answer
            .headers()
            .get(name)
            .map(|value| value.to_str().unwrap().to_owned())
    };
    let (outcome, request) = (
        header("dandeliondeal-outcome"),
        header("dandeliondeal-request-id"),
    );
    let body = answer.body().limit(16 * 1024 * 1024).await.ok()?;
    Some(CallerAnswer {
        outcome: outcome.unwrap_or_default(),
        request: request.unwrap_or_default(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    })
}

/// Returns the ledger of a stand-in, one JSON value per line.
pub async fn read_ledger(address: &str) -> Vec<serde_json::Value> {
    let url = format!("http://{address}/ledger");
    let mut answer = Client::default().get(url).send().await.unwrap();
    let body = answer.body().limit(64 * 1024 * 1024).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Sets the faults that a stand-in injects.
pub async fn set_faults(address: &str, change: &str) {
    let url = format!("http://{address}/faults");
    let answer = Client::default()
        .post(url)
        .send_body(change.to_owned())
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
}
