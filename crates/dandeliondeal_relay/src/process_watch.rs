//! Watches the processes of runs that were given up, or that an engine may have failed.
//!
//! The connection of such a run is closed, so that it does not show the end of the process. One
//! connection without a request to each such process does.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

use dandeliondeal_quarantine::ProcessId;
use dandeliondeal_types::{Clock, EndpointId};
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
/// Time between two checks whether a watch is still needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints whose processes are to be watched.
#[derive(Debug, Default)]
pub struct ProcessWatch {
    queued: RefCell<HashSet<EndpointId>>,
    news: Notify,
}

impl ProcessWatch {
    /// Asks for a watch of an endpoint's process.
    pub(crate) fn add(&self, endpoint: &EndpointId) {
        let mut queued = self.queued.borrow_mut();
        if queued.len() < MAX_WATCHES && queued.insert(EndpointId::clone(endpoint)) {
            self.news.notify_one();
        }
    }

    fn take(&self) -> Vec<EndpointId> {
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
    loop {
        tokio::select! {
            () = context.process_watch().news.notified() => {
                for endpoint in context.process_watch().take() {
                    if watched.len() < MAX_WATCHES && watched.insert(EndpointId::clone(&endpoint)) {
                        watches.push(watch_process(&context, endpoint));
                    }
                }
            }
            Some(endpoint) = watches.next() => {
                watched.remove(&endpoint);
            }
        }
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
    for _ in 0..MAX_CLOSED {
        let record = {
            let fleet = context.fleet().borrow();
            fleet.record(&endpoint).cloned()
        };
        let Some(record) = record else {
            break;
        };
        let process = process_id(&record);
        let now = context.now();
        if record.is_draining || !context.held_runs().borrow().holds_suspects(&process, now) {
            break;
        }
        let choice = ConnectionChoice::New;
        let opened = open_connection(context, &endpoint, record.address, choice, CONNECT_TIMEOUT);
        if let Ok(connection) = opened.await {
            context.held_runs().borrow_mut().record_contact(&process);
            let is_closed = tokio::select! {
                () = connection.wait_until_closed() => true,
                () = wait_for_given_up(context, &process) => false,
            };
            if !is_closed {
                break;
            }
        }
        if find_end(context, &endpoint).await.is_some() {
            break;
        }
    }
    endpoint
}

/// Waits until no run of a process that was given up can be the cause of its end any more.
async fn wait_for_given_up<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    process: &ProcessId,
) where
    Time: Clock,
{
    let holds_given_up = || {
        let held_runs = context.held_runs().borrow();
        held_runs.holds_given_up(process, context.now())
    };
    while holds_given_up() {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
