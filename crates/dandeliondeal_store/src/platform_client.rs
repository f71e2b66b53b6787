//! HTTP client of the platform.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::http::Method;
use awc::http::header::HeaderMap;
use awc::{Client, Connector};
use dandeliondeal_types::{
    Clock, InstanceList, InstanceRecord, KindChanges, KindSnapshot, KindStore, ObjectStore,
    ObjectValue, PutCondition, ReadFreshness, StoreEra, StoreError, StoreVersion,
    check_answer_status,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::call_budget::{BudgetSettings, CallBudget, CallClass, CallKind};
use crate::plain_dialect::{PlainDialect, parse};
use crate::send_failure::SendFailure;
use crate::store_dialect::{HttpAnswer, HttpCall, StoreDialect, StoreRequest};

/// Maximum time for which an idle connection is kept for another call.
///
/// A connection may stop responding without being closed, which only a timeout shows. A call that
/// starts later than this after that moment uses a new connection.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);

/// Settings of the platform client.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address that serves the object API and the instance list.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum time to wait for an answer.
    pub call_timeout: Duration,
    /// Maximum size of an answer body in bytes.
    pub answer_limit: usize,
    /// Maximum number of retries of a read.
    pub read_retries: u32,
    /// Delay before the first retry; it doubles with each retry, and jitter shortens it at random.
    pub initial_retry_delay: Duration,
    /// Rate limits of the platform.
    pub budget: BudgetSettings,
    /// Seed of the retry jitter; each instance needs a different one, so that retries spread out.
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
            initial_retry_delay: Duration::from_millis(20),
            budget: BudgetSettings::default(),
            seed: 0,
        }
    }
}

/// Client of the object API and the instance list.
///
/// Clones share connections and budget. Reads are retried; a write is sent once. After a lost
/// answer all pooled connections are discarded, since they may have become unresponsive as well.
#[derive(Clone)]
pub struct PlatformClient<Time, Dialect = PlainDialect> {
    shared: Rc<ClientState<Time>>,
    dialect: Dialect,
    class: CallClass,
}

struct ClientState<Time> {
    settings: PlatformSettings,
    clock: Time,
    /// HTTP clients by the first part of the objects' names.
    ///
    /// Calls for different kinds of objects share no connection, because a late answer to an earlier
    /// call cannot be told from the answer to one for another kind.
    clients: RefCell<HashMap<Arc<str>, Client>>,
    budget: RefCell<CallBudget>,
    jitter: RefCell<StdRng>,
    call_count: Cell<u64>,
    /// Era that the store stated last; 0 before.
    era: Cell<StoreEra>,
}

impl<Time, Dialect> std::fmt::Debug for PlatformClient<Time, Dialect> {
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
    /// Creates a client for the stand-ins' object API, without sending anything.
    pub fn new(settings: PlatformSettings, clock: Time) -> Self {
        Self::with_dialect(settings, clock, PlainDialect)
    }
}

impl<Time, Dialect> PlatformClient<Time, Dialect>
where
    Time: Clock,
    Dialect: StoreDialect,
{
    /// Creates a client that uses `dialect`, without sending anything.
    pub fn with_dialect(settings: PlatformSettings, clock: Time, dialect: Dialect) -> Self {
        let budget = CallBudget::new(settings.budget.clone(), clock.now());
        let jitter = StdRng::seed_from_u64(settings.seed);
        let shared = ClientState {
            settings,
            clock,
            clients: RefCell::default(),
            budget: RefCell::new(budget),
            jitter: RefCell::new(jitter),
            call_count: Cell::new(0),
            era: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
            dialect,
            class: CallClass::default(),
        }
    }

    /// Returns a clone whose calls are charged to the budget of another class.
    #[must_use]
    pub fn with_class(&self, class: CallClass) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
            dialect: self.dialect.clone(),
            class,
        }
    }

    /// Sets the number of instances that share the platform's rates.
    pub fn resize_fleet(&self, instances: usize) {
        self.shared.budget.borrow_mut().resize_fleet(instances);
    }

    /// Returns the number of calls sent so far by this client and its clones.
    pub fn calls(&self) -> u64 {
        self.shared.call_count.get()
    }

    async fn read(&self, request: StoreRequest<'_>) -> Result<HttpAnswer, StoreError> {
        let call = self.dialect.encode(&request);
        self.read_call(request.name(), call).await
    }

    async fn read_call(&self, name: &str, call: HttpCall) -> Result<HttpAnswer, StoreError> {
        let timeout = self.shared.settings.call_timeout;
        let mut attempt = 0;
        let mut remaining_wait = timeout;
        loop {
            match self.call(name, call.clone(), timeout, CallKind::Read).await {
                Err(StoreError::Unavailable { .. } | StoreError::ResponseLost { .. })
                    if attempt < self.shared.settings.read_retries =>
                {
                    let delay = self.retry_delay(attempt);
                    actix_rt::time::sleep(delay).await;
                    attempt += 1;
                }
                // A read waits until the budget allows it. A write returns the error, because its
                // caller may have a deadline.
                Err(StoreError::OverBudget { wait }) if wait <= remaining_wait => {
                    remaining_wait -= wait;
                    actix_rt::time::sleep(wait).await;
                }
                result => return result,
            }
        }
    }

    fn retry_delay(&self, attempt: u32) -> Duration {
        let max_delay = self.shared.settings.initial_retry_delay * 2_u32.saturating_pow(attempt);
        let jitter = self.shared.jitter.borrow_mut().random_range(0.5..=1.0);
        max_delay.mul_f64(jitter)
    }

    async fn write(&self, request: StoreRequest<'_>) -> Result<HttpAnswer, StoreError> {
        let call = self.dialect.encode(&request);
        let timeout = self.shared.settings.call_timeout;
        self.call(request.name(), call, timeout, CallKind::Write)
            .await
    }

    async fn call(
        &self,
        name: &str,
        call: HttpCall,
        timeout: Duration,
        kind: CallKind,
    ) -> Result<HttpAnswer, StoreError> {
        self.take_budget(kind)?;
        let result = self.send(name, call, timeout).await;
        let answer = match result {
            Err(error) => {
                if !error.is_not_written() {
                    self.shared.clients.borrow_mut().clear();
                }
                return Err(error);
            }
            Ok(answer) => answer,
        };
        self.dialect.check(name, &answer)?;
        Ok(answer)
    }

    fn client(&self, name: &str) -> Client {
        let kind = name.split_once('/').map_or(name, |(kind, _)| kind);
        let mut clients = self.shared.clients.borrow_mut();
        if let Some(client) = clients.get(kind) {
            return client.clone();
        }
        let client = http_client(&self.shared.settings);
        clients.insert(kind.into(), client.clone());
        client
    }

    fn take_budget(&self, kind: CallKind) -> Result<(), StoreError> {
        let now = self.shared.clock.now();
        let mut budget = self.shared.budget.borrow_mut();
        budget
            .take(self.class, kind, now)
            .map_err(|wait| StoreError::OverBudget { wait })
    }

    async fn send(
        &self,
        name: &str,
        call: HttpCall,
        timeout: Duration,
    ) -> Result<HttpAnswer, StoreError> {
        self.shared.call_count.set(self.shared.call_count.get() + 1);
        let settings = &self.shared.settings;
        let url = format!("http://{}{}", settings.address, call.path);
        let mut request = self.client(name).request(call.method, url);
        for header in call.headers {
            request = request.insert_header(header);
        }
        let request = request.timeout(timeout);
        let send_result = request.send_body(call.body).await;
        let mut answer = send_result.map_err(|error| match SendFailure::classify(&error) {
            SendFailure::NotSent => StoreError::unavailable(name, &error),
            SendFailure::AnswerLost => StoreError::response_lost(name, &error),
        })?;
        // The HTTP library returns an interim head as the answer; the final one may follow.
        check_answer_status(answer.status().as_u16())
            .map_err(|error| StoreError::response_lost(name, &error))?;
        let body_future = answer.body().limit(settings.answer_limit);
        let body = actix_rt::time::timeout(timeout, body_future)
            .await
            .map_err(|_elapsed| {
                StoreError::response_lost(name, "timed out while reading the answer")
            })?
            .map_err(|error| StoreError::response_lost(name, &error))?;
        Ok(HttpAnswer {
            status: answer.status(),
            headers: answer.headers().clone(),
            body,
            era: self.record_era(answer.headers()),
        })
    }

    /// Records the era that an answer states; returns the one in force.
    fn record_era(&self, headers: &HeaderMap) -> StoreEra {
        let previous = self.shared.era.get();
        let era = self.dialect.read_era(headers).unwrap_or(previous);
        if era != previous {
            self.shared.era.set(era);
            if previous != 0 {
                tracing::warn!(era, previous, "store was restored from a copy");
            }
        }
        era
    }

    /// Checks that a version may be the condition of a write.
    ///
    /// A restored store assigns revisions again, so that an earlier one may belong to other content.
    fn check_condition(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        if version.era == self.shared.era.get() {
            return Ok(());
        }
        Err(StoreError::Conflict {
            name: name.into(),
            found: None,
        })
    }
}

/// Creates the error of a write during which the store was restored; it may have replaced content that
/// the writer has not read.
fn restored_error(name: &str) -> StoreError {
    StoreError::response_lost(name, "the store was restored from a copy meanwhile")
}

impl<Time, Dialect> ObjectStore for PlatformClient<Time, Dialect>
where
    Time: Clock,
    Dialect: StoreDialect,
{
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        let answer = self.read(StoreRequest::Get { name }).await?;
        self.dialect.read_object(name, &answer)
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        if let PutCondition::Version(replaced) = condition {
            self.check_condition(name, replaced)?;
        }
        let request = StoreRequest::Put {
            name,
            condition,
            body: &body,
        };
        let answer = self.write(request).await?;
        let version = self.dialect.read_version(name, &answer)?;
        match condition {
            PutCondition::Version(replaced) if version.era != replaced.era => {
                Err(restored_error(name))
            }
            PutCondition::Version(replaced) if version <= replaced => {
                let (version, replaced) = (version.revision, replaced.revision);
                let reason = format!("answer with version {version} to a write over {replaced}");
                Err(StoreError::response_lost(name, &reason))
            }
            _ => Ok(version),
        }
    }

    async fn delete(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        self.check_condition(name, version)?;
        let answer = self.write(StoreRequest::Delete { name, version }).await?;
        if answer.era != version.era {
            return Err(restored_error(name));
        }
        if answer.status.is_success() {
            return Ok(());
        }
        let reason = format!("unexpected answer {}", answer.status);
        Err(StoreError::response_lost(name, &reason))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        let answer = self.read(StoreRequest::List { prefix }).await?;
        self.dialect.read_list(prefix, &answer)
    }

    /// Waits on the platform for a change, and reads the object with another call if the watch ends
    /// without one.
    ///
    /// The read is needed because a watch on an unresponsive connection cannot be distinguished
    /// from a watch without changes.
    async fn watch(
        &self,
        name: &str,
        known_version: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        let call = self.dialect.encode(&StoreRequest::Watch {
            name,
            known_version,
            timeout,
        });
        let call_timeout = timeout + self.shared.settings.call_timeout;
        match self.call(name, call, call_timeout, CallKind::Read).await {
            Ok(answer) => match self.dialect.read_watch(name, &answer) {
                Some(value) => value,
                None => self.get(name).await,
            },
            Err(error @ StoreError::OverBudget { .. }) => Err(error),
            Err(_) => self.get(name).await,
        }
    }
}

impl<Time, Dialect> KindStore for PlatformClient<Time, Dialect>
where
    Time: Clock,
    Dialect: StoreDialect,
{
    /// Reads all pages of a kind.
    ///
    /// The version is that of the first page, so changes made while later pages were read are
    /// reported again by the following watch. Pages of different eras are not one list.
    async fn snapshot(
        &self,
        kind: &str,
        freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        let mut snapshot = KindSnapshot::default();
        let mut after: Option<String> = None;
        loop {
            let request = StoreRequest::KindPage {
                kind,
                after: after.as_deref(),
                freshness,
            };
            let answer = self.read(request).await?;
            let page = self.dialect.read_page(kind, &answer)?;
            if after.is_none() {
                snapshot.version = page.version;
            } else if page.version.era != snapshot.version.era {
                return Err(StoreError::HistoryExpired { name: kind.into() });
            }
            snapshot.objects.extend(page.objects);
            if page.next.is_none() || page.next == after {
                return Ok(snapshot);
            }
            after = page.next;
        }
    }

    /// Waits for changes of a kind.
    ///
    /// A failed call is not retried; the caller can continue from the same version.
    async fn changes(
        &self,
        kind: &str,
        since: StoreVersion,
        timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        let call = self.dialect.encode(&StoreRequest::KindWatch {
            kind,
            since,
            timeout,
        });
        let call_timeout = timeout + self.shared.settings.call_timeout;
        let answer = self.call(kind, call, call_timeout, CallKind::Read).await?;
        let changes = self.dialect.read_changes(kind, &answer)?;
        if changes.version.era != since.era {
            // The revision of `since` denotes other content now, or none.
            return Err(StoreError::HistoryExpired { name: kind.into() });
        }
        if changes.version < since {
            let (last, since) = (changes.version.revision, since.revision);
            let reason = format!("changes up to {last} in answer to {since}");
            return Err(StoreError::response_lost(kind, &reason));
        }
        Ok(changes)
    }
}

impl<Time> InstanceList for PlatformClient<Time>
where
    Time: Clock,
{
    async fn instances(&self) -> Result<Vec<InstanceRecord>, StoreError> {
        let name = "instances";
        let call = HttpCall::without_body(Method::GET, "/instances".to_owned());
        let answer = self.read_call(name, call).await?;
        parse(name, &answer)
    }
}

fn http_client(settings: &PlatformSettings) -> Client {
    let connector = Connector::new()
        .timeout(settings.connect_timeout)
        .conn_keep_alive(MAX_IDLE_TIME);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}
