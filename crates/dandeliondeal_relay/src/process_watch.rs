//! Watches the processes of runs that were given up, and checks those that may have failed.
//!
//! The connection of a run that was given up is closed, so that it does not show the end of the
//! process. Another run that the process holds does; without one, a connection without a request.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use dandeliondeal_http::EndpointConnection;
use dandeliondeal_quarantine::ProcessId;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;

use crate::crash_watch::{find_end, process_id};
use crate::endpoint_exchange::{CONNECT_TIMEOUT, ConnectionChoice, open_connection};
use crate::relay_context::RelayContext;

/// Maximum number of endpoints that are watched at a time.
const MAX_WATCHES: usize = 512;
/// Maximum number of connections that an endpoint may close before the watch of it ends.
const MAX_CLOSED: usize = 3;
/// Time between two looks at whether a watch is still needed.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two checks of an endpoint.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why the process of an endpoint is looked at.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum WatchCause {
    /// A run was given up: the process may end a short while later.
    GivenUp,
    /// A stream is silent or the engine has failed: the process may have ended.
    Failure,
}

/// Endpoints whose processes are to be watched.
#[derive(Debug, Default)]
pub struct ProcessWatch {
    queued: RefCell<HashMap<EndpointId, WatchCause>>,
    news: Notify,
}

impl ProcessWatch {
    /// Asks for a watch of an endpoint's process.
    pub(crate) fn add(&self, endpoint: &EndpointId, cause: WatchCause) {
        let mut queued = self.queued.borrow_mut();
        if queued.len() >= MAX_WATCHES {
            return;
        }
        let known = queued.entry(EndpointId::clone(endpoint)).or_insert(cause);
        *known = cause.max(*known);
        self.news.notify_one();
    }

    fn take(&self) -> Vec<(EndpointId, WatchCause)> {
        self.queued.borrow_mut().drain().collect()
    }
}

/// Watches the processes that are asked for until the task is dropped.
pub async fn run_process_watch<Time, Dialect>(context: RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let mut watches = FuturesUnordered::new();
    let mut watched: HashSet<EndpointId> = HashSet::new();
    let mut checks = FuturesUnordered::new();
    let mut checked: HashMap<EndpointId, Instant> = HashMap::new();
    loop {
        tokio::select! {
            () = context.process_watch().news.notified() => {
                let now = context.now();
                checked.retain(|_, at| now.saturating_duration_since(*at) < CHECK_INTERVAL);
                for (endpoint, cause) in context.process_watch().take() {
                    if cause == WatchCause::Failure && !checked.contains_key(&endpoint) {
                        checked.insert(EndpointId::clone(&endpoint), now);
                        checks.push(check_held(&context, EndpointId::clone(&endpoint)));
                    }
                    if watched.len() < MAX_WATCHES && watched.insert(EndpointId::clone(&endpoint)) {
                        watches.push(watch_process(&context, endpoint));
                    }
                }
            }
            Some(endpoint) = watches.next() => {
                watched.remove(&endpoint);
            }
            Some(()) = checks.next() => {}
        }
    }
}

/// Returns the registration and the process of an endpoint that is not about to stop.
fn running_process<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
) -> Option<(EndpointRecord, ProcessId)>
where
    Time: Clock,
{
    let fleet = context.fleet().borrow();
    let record = fleet
        .record(endpoint)
        .filter(|record| !record.is_draining)?;
    Some((record.clone(), process_id(record)))
}

/// Opens a connection to a process; finds out whether it has ended if that fails.
async fn open_watch<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    (record, process): &(EndpointRecord, ProcessId),
) -> Option<EndpointConnection>
where
    Time: Clock,
{
    let choice = ConnectionChoice::New;
    let opened = open_connection(context, &record.id, record.address, choice, CONNECT_TIMEOUT);
    if let Ok(connection) = opened.await {
        context.held_runs().borrow_mut().record_contact(process);
        return Some(connection);
    }
    find_end(context, &record.id).await;
    None
}

/// Finds out whether the process of an endpoint has ended if it holds runs.
async fn check_held<Time, Dialect>(context: &RelayContext<Time, Dialect>, endpoint: EndpointId)
where
    Time: Clock,
{
    let Some(running) = running_process(context, &endpoint) else {
        return;
    };
    let is_held = context.held_runs().borrow().holds_open(&running.1);
    if is_held {
        drop(open_watch(context, &running).await);
    }
}

/// Waits until the process of an endpoint has ended, or its end would not be due to a run that was
/// given up.
async fn watch_process<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: EndpointId,
) -> EndpointId
where
    Time: Clock,
{
    let mut closed_count = 0;
    while closed_count < MAX_CLOSED
        && let Some(running) = running_process(context, &endpoint)
        && holds_given_up(context, &running.1)
    {
        if context.held_runs().borrow().holds_open(&running.1) {
            actix_rt::time::sleep(LOOK_INTERVAL).await;
            continue;
        }
        closed_count += 1;
        let Some(connection) = open_watch(context, &running).await else {
            continue;
        };
        let is_closed = tokio::select! {
            () = connection.wait_until_closed() => true,
            () = wait_for_given_up(context, &running.1) => false,
        };
        if is_closed {
            find_end(context, &endpoint).await;
        }
    }
    endpoint
}

fn holds_given_up<Time, Dialect>(context: &RelayContext<Time, Dialect>, process: &ProcessId) -> bool
where
    Time: Clock,
{
    let held_runs = context.held_runs().borrow();
    held_runs.holds_given_up(process, context.now())
}

/// Waits until no run of a process that was given up can be the cause of its end any more.
async fn wait_for_given_up<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    process: &ProcessId,
) where
    Time: Clock,
{
    while holds_given_up(context, process) {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
}
