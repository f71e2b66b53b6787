//! A whole site of separate processes: platform, engines, service and entry instances.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::Client;
use dandeliondeal_config::{EXAMPLE_KEY, example_sheet};

const ENTRY: &str = env!("CARGO_BIN_EXE_dandeliondeal-entry");
const OPERATOR: &str = env!("CARGO_BIN_EXE_dandeliondeal");
const STANDIN: &str = env!("CARGO_BIN_EXE_dandeliondeal-standin");

/// Longest wait for the site to be ready.
const START_TIME: Duration = Duration::from_secs(20);

/// A process that is ended with its handle.
pub struct SiteProcess {
    child: Child,
    pub address: String,
    pub operators: String,
    peers: String,
}

/// The processes of a site.
pub struct ProcessSite {
    pub platform: SiteProcess,
    pub engines: Vec<SiteProcess>,
    pub service: SiteProcess,
    pub entries: Vec<SiteProcess>,
    folder: PathBuf,
}

/// An answer, read whole.
#[derive(Debug)]
pub struct SiteAnswer {
    pub outcome: String,
    pub request: String,
    pub body: String,
}

impl SiteProcess {
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
        let operators = addresses.get(1).cloned().unwrap_or_default();
        let peers = addresses.get(2).cloned().unwrap_or_default();
        Self {
            child,
            address: addresses.remove(0),
            operators,
            peers,
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

    /// Waits for the end of the process and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        // It may have ended already, as the test wanted it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProcessSite {
    /// Starts the site of the example sheet with three entry instances and waits until all of
    /// them are ready. `name` is the test's; it keeps the settings files of tests apart.
    pub async fn start(name: &str) -> Self {
        let any = "127.0.0.1:0";
        let platform = SiteProcess::start(STANDIN, &["platform", "--listen", any]);
        let engines: Vec<SiteProcess> = ["0..12", "12..24", "0..12", "12..24"]
            .iter()
            .map(|range| {
                let model = ["--model", "drafter", "--layers", "24", "--range", range];
                let rest = ["--layer-us", "200", "--capacity", "64"];
                let arguments = [&["engine", "--listen", any][..], &model, &rest].concat();
                SiteProcess::start(STANDIN, &arguments)
            })
            .collect();
        let service = SiteProcess::start(
            STANDIN,
            &[
                "service",
                "--listen",
                any,
                "--name",
                "order-desk",
                "--duration-ms",
                "20",
            ],
        );
        let folder =
            std::env::temp_dir().join(format!("dandeliondeal-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut site = Self {
            platform,
            engines,
            service,
            entries: Vec::new(),
            folder,
        };
        site.accept_sheet();
        for number in 1..=3 {
            site.start_entry(number).await;
        }
        for entry in &site.entries {
            wait_ready(&entry.operators).await;
        }
        site
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

    /// Starts one more entry instance and enters it in the platform's instance list.
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
        let entry = SiteProcess::start(ENTRY, &["--settings", file.to_str().unwrap()]);
        let record = format!(
            r#"{{"id":"entry-{number}","role":"entry","state":"live","address":"{}",
            "failure_domain":"didube","region":"tbilisi","incarnation":0}}"#,
            entry.peers
        );
        let url = format!("http://{}/instances/entry-{number}", self.platform.address);
        let answer = Client::default().put(url).send_body(record).await.unwrap();
        assert!(answer.status().is_success());
        self.entries.push(entry);
    }
}

impl Drop for ProcessSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn wait_ready(operators: &str) {
    let deadline = Instant::now() + START_TIME;
    loop {
        let url = format!("http://{operators}/health/ready");
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

/// Sends a request of a caller; `None` if the connection broke.
pub async fn post(address: &str, path: &str, key: Option<&str>, body: &str) -> Option<SiteAnswer> {
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
    Some(SiteAnswer {
        outcome: outcome.unwrap_or_default(),
        request: request.unwrap_or_default(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    })
}

/// The ledger of a stand-in, a JSON value a line.
pub async fn ledger(address: &str) -> Vec<serde_json::Value> {
    let url = format!("http://{address}/ledger");
    let mut answer = Client::default().get(url).send().await.unwrap();
    let body = answer.body().limit(64 * 1024 * 1024).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Sets faults of a stand-in.
pub async fn faults(address: &str, change: &str) {
    let url = format!("http://{address}/faults");
    let answer = Client::default()
        .post(url)
        .send_body(change.to_owned())
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
}
