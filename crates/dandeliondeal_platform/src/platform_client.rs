//! The platform over HTTP.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::http::{Method, StatusCode, header};
use awc::{Client, Connector};
use bytes::Bytes;
use dandeliondeal_types::{
    Clock, InstanceList, InstanceRecord, ObjectStore, ObjectValue, PutCondition, StoreError,
    Version,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::call_budget::{BudgetSettings, CallBudget, CallClass, CallKind};
use crate::object_record::ObjectRecord;
use crate::send_failure::SendFailure;

/// How the platform is reached.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the object API and the instance list.
    pub address: SocketAddr,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait for an answer.
    pub call_timeout: Duration,
    /// Longest answer that is read, in bytes.
    pub answer_limit: usize,
    /// Further attempts at a read.
    pub read_retries: u32,
    /// Pause before the first further attempt; it doubles with each, and is jittered.
    pub retry_pause: Duration,
    /// Rates of the platform.
    pub budget: BudgetSettings,
    /// Seed of the jitter; give each instance its own.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7100)),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
            answer_limit: 64 * 1024 * 1024,
            read_retries: 2,
            retry_pause: Duration::from_millis(20),
            budget: BudgetSettings::default(),
            seed: 0,
        }
    }
}

/// Client of the object API and the instance list.
///
/// Clones share connections and budget. Reads are retried; a write is sent once. After a lost
/// answer all kept connections are given up, since others may have gone silent with it.
#[derive(Clone)]
pub struct PlatformClient<Time> {
    shared: Rc<ClientState<Time>>,
    class: CallClass,
}

struct ClientState<Time> {
    settings: PlatformSettings,
    clock: Time,
    client: RefCell<Client>,
    budget: RefCell<CallBudget>,
    jitter: RefCell<StdRng>,
    calls: Cell<u64>,
}

/// One HTTP call.
struct PlatformCall<'call> {
    name: &'call str,
    path: String,
    method: Method,
    condition: Option<PutCondition>,
    body: Option<Arc<str>>,
    timeout: Duration,
}

/// An answer, read whole.
struct PlatformAnswer {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl<Time> std::fmt::Debug for PlatformClient<Time> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PlatformClient")
            .field("address", &self.shared.settings.address)
            .field("class", &self.class)
            .finish_non_exhaustive()
    }
}

impl<Time> PlatformClient<Time>
where
    Time: Clock,
{
    /// Makes a client; nothing is sent yet.
    pub fn new(settings: PlatformSettings, clock: Time) -> Self {
        let budget = CallBudget::new(settings.budget.clone(), clock.now());
        let client = http_client(&settings);
        let jitter = StdRng::seed_from_u64(settings.seed);
        let shared = ClientState {
            settings,
            clock,
            client: RefCell::new(client),
            budget: RefCell::new(budget),
            jitter: RefCell::new(jitter),
            calls: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
            class: CallClass::default(),
        }
    }

    /// The same client, drawing on the budget of another class.
    #[must_use]
    pub fn with_class(&self, class: CallClass) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
            class,
        }
    }

    /// Sets the number of instances that share the platform.
    pub fn resize_fleet(&self, instances: usize) {
        self.shared.budget.borrow_mut().resize_fleet(instances);
    }

    /// Calls sent so far by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.shared.calls.get()
    }

    async fn read(
        &self,
        name: &str,
        path: String,
        timeout: Duration,
    ) -> Result<PlatformAnswer, StoreError> {
        let mut attempt = 0;
        let mut patience = timeout;
        loop {
            let call = PlatformCall {
                name,
                path: path.clone(),
                method: Method::GET,
                condition: None,
                body: None,
                timeout,
            };
            match self.call(call, CallKind::Read).await {
                Err(StoreError::Unavailable { .. } | StoreError::AnswerLost { .. })
                    if attempt < self.shared.settings.read_retries =>
                {
                    let pause = self.retry_pause(attempt);
                    actix_rt::time::sleep(pause).await;
                    attempt += 1;
                }
                // A read may wait for its turn; a write tells its caller, who may have a deadline.
                Err(StoreError::OverBudget { wait }) if wait <= patience => {
                    patience -= wait;
                    actix_rt::time::sleep(wait).await;
                }
                result => return result,
            }
        }
    }

    fn retry_pause(&self, attempt: u32) -> Duration {
        let longest = self.shared.settings.retry_pause * 2_u32.saturating_pow(attempt);
        let share = self.shared.jitter.borrow_mut().random_range(0.5..=1.0);
        longest.mul_f64(share)
    }

    async fn call(
        &self,
        call: PlatformCall<'_>,
        kind: CallKind,
    ) -> Result<PlatformAnswer, StoreError> {
        self.take_budget(kind)?;
        let name = call.name;
        let result = self.send(call).await;
        let answer = match result {
            Err(error) => {
                if !error.is_not_written() {
                    let client = http_client(&self.shared.settings);
                    self.shared.client.replace(client);
                }
                return Err(error);
            }
            Ok(answer) => answer,
        };
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::PRECONDITION_REQUIRED
            | StatusCode::BAD_REQUEST => Err(unavailable(name, &answer.status)),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
                name: name.into(),
                found: answer.version,
            }),
            status if status.is_server_error() => Err(lost(name, &status)),
            _ => Ok(answer),
        }
    }

    fn take_budget(&self, kind: CallKind) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let mut budget = self.shared.budget.borrow_mut();
        budget
            .take(self.class, kind, now)
            .map_err(|wait| StoreError::OverBudget { wait })
    }

    async fn send(&self, call: PlatformCall<'_>) -> Result<PlatformAnswer, StoreError> {
        self.shared.calls.set(self.shared.calls.get() + 1);
        let settings = &self.shared.settings;
        let address = format!("http://{}{}", settings.address, call.path);
        let mut request = self.shared.client.borrow().request(call.method, address);
        request = match call.condition {
            Some(PutCondition::Absent) => request.insert_header((header::IF_NONE_MATCH, "*")),
            Some(PutCondition::Version(version)) => {
                request.insert_header((header::IF_MATCH, format!("\"{version}\"")))
            }
            None => request,
        };
        let request = request.timeout(call.timeout);
        let body = call.body.map(|body| body.to_string()).unwrap_or_default();
        let sent = request.send_body(body).await;
        let mut answer = sent.map_err(|error| match SendFailure::classify(&error) {
            SendFailure::NotSent => unavailable(call.name, &error),
            SendFailure::AnswerLost => lost(call.name, &error),
        })?;
        let bytes = answer.body().limit(settings.answer_limit);
        let body = actix_rt::time::timeout(call.timeout, bytes)
            .await
            .map_err(|_elapsed| lost(call.name, "answer stopped half-way"))?
            .map_err(|error| lost(call.name, &error))?;
        Ok(PlatformAnswer {
            status: answer.status(),
            version: version_of(answer.headers().get(header::ETAG)),
            body,
        })
    }
}

impl<Time> ObjectStore for PlatformClient<Time>
where
    Time: Clock,
{
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        let timeout = self.shared.settings.call_timeout;
        let answer = self.read(name, object_path(name), timeout).await?;
        object_value(name, &answer)
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<Version, StoreError> {
        let call = PlatformCall {
            name,
            path: object_path(name),
            method: Method::PUT,
            condition: Some(condition),
            body: Some(body),
            timeout: self.shared.settings.call_timeout,
        };
        let answer = self.call(call, CallKind::Write).await?;
        match answer.version {
            Some(version) if answer.status.is_success() => Ok(version),
            _ => Err(lost(name, &format!("unexpected answer {}", answer.status))),
        }
    }

    async fn delete(&self, name: &str, version: Version) -> Result<(), StoreError> {
        let call = PlatformCall {
            name,
            path: object_path(name),
            method: Method::DELETE,
            condition: Some(PutCondition::Version(version)),
            body: None,
            timeout: self.shared.settings.call_timeout,
        };
        let answer = self.call(call, CallKind::Write).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(lost(name, &format!("unexpected answer {}", answer.status)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        let path = format!("/objects?prefix={}", encode(prefix));
        let timeout = self.shared.settings.call_timeout;
        let answer = self.read(prefix, path, timeout).await?;
        let records: Vec<ObjectRecord> = parse(prefix, &answer)?;
        Ok(records.into_iter().map(ObjectRecord::into_value).collect())
    }

    /// Waits on the platform for a change, then reads the object over another call if the watch
    /// ended without a change: a watch whose connection went silent looks just like a quiet one.
    async fn watch(
        &self,
        name: &str,
        seen: Version,
        limit: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        let limit_ms = limit.as_millis();
        let call = PlatformCall {
            name,
            path: format!("{}?watch={seen}&limit_ms={limit_ms}", object_path(name)),
            method: Method::GET,
            condition: None,
            body: None,
            timeout: limit + self.shared.settings.call_timeout,
        };
        match self.call(call, CallKind::Read).await {
            Ok(answer) if answer.status != StatusCode::NOT_MODIFIED => object_value(name, &answer),
            Err(error @ StoreError::OverBudget { .. }) => Err(error),
            _ => self.get(name).await,
        }
    }
}

impl<Time> InstanceList for PlatformClient<Time>
where
    Time: Clock,
{
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError> {
        let name = "instances";
        let timeout = self.shared.settings.call_timeout;
        let answer = self.read(name, "/instances".to_owned(), timeout).await?;
        parse(name, &answer)
    }
}

fn http_client(settings: &PlatformSettings) -> Client {
    let connector = Connector::new().timeout(settings.connect_timeout);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", encode(name))
}

/// Percent-encodes all but unreserved characters and `/`.
fn encode(name: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte) {
            text.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(text, "%{byte:02X}");
        }
    }
    text
}

fn version_of(value: Option<&header::HeaderValue>) -> Option<Version> {
    value?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn object_value(name: &str, answer: &PlatformAnswer) -> Result<Option<ObjectValue>, StoreError> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let text = std::str::from_utf8(&answer.body).map_err(|error| lost(name, &error))?;
    match answer.version {
        Some(version) if answer.status.is_success() => Ok(Some(ObjectValue {
            name: name.into(),
            version,
            body: text.into(),
        })),
        _ => Err(lost(name, &format!("unexpected answer {}", answer.status))),
    }
}

fn parse<Parsed>(name: &str, answer: &PlatformAnswer) -> Result<Parsed, StoreError>
where
    Parsed: serde::de::DeserializeOwned,
{
    if !answer.status.is_success() {
        return Err(unavailable(name, &answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| lost(name, &error))
}

fn unavailable<Reason>(name: &str, reason: &Reason) -> StoreError
where
    Reason: Display + ?Sized,
{
    StoreError::Unavailable {
        name: name.into(),
        reason: reason.to_string().into(),
    }
}

fn lost<Reason>(name: &str, reason: &Reason) -> StoreError
where
    Reason: Display + ?Sized,
{
    StoreError::AnswerLost {
        name: name.into(),
        reason: reason.to_string().into(),
    }
}
