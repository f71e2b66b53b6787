//! Store access for large fleets: one hub in each failure domain watches the store, and the other
//! instances, its members, ask their hub.
//!
//! Each call to the store, including a waiting watch, counts towards an allowed call rate that does
//! not grow with the fleet. A member watches the store itself if its hub does not answer in time or
//! has no recent answer from the store. If the store does not answer either, the member asks the
//! hubs of all failure domains. While no hub reaches the store, members call it only every few seconds.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dandeliondeal_peer::{PeerClient, PeerError};
use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, Version,
};
use serde::{Deserialize, Serialize};

use crate::change_feed::{ChangeFeed, FeedReply};
use crate::hub_selection::HubSelector;
use crate::instance_registry::PeerInstance;
use crate::outage_probe::{HubAccess, OutageProbe};
use crate::relay_context::RelayContext;

/// Method that asks a hub for the changes of a kind.
pub(crate) const CHANGES_METHOD: &str = "store-changes";
/// Minimum number of instances for which hubs are used.
///
/// Three hubs make about as many store calls as this number of instances that watch the store
/// themselves.
const MIN_HUB_FLEET: usize = 24;
/// Maximum duration of a watch in a fleet that uses hubs.
///
/// It is short so that a hub that is not cut off always has a recent answer from the store.
const HUB_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum duration of the watch over a new connection after one without a response.
const RETRY_WATCH_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time for which a hub delays its reply to a member while nothing changes.
const MEMBER_HOLD_TIME: Duration = Duration::from_millis(600);
/// Maximum wait of a member for its hub's reply.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a hub checks for changes while a member waits.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Request of a member for changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedRequest {
    kind: String,
    seen: Version,
}

/// Follows kinds of store objects through hubs; clones share the state.
#[derive(Debug)]
pub struct SharedStore<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    client: PeerClient,
    hubs: HubSelector<Time, Dialect>,
    feeds: FeedTable,
    probes: Rc<RefCell<HashMap<String, OutageProbe>>>,
}

/// Change feeds by kind; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct FeedTable {
    feeds: Rc<RefCell<HashMap<String, ChangeFeed>>>,
}

impl<Time, Dialect, Store> Clone for SharedStore<Time, Dialect, Store>
where
    Store: Clone,
{
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            store: self.store.clone(),
            client: self.client.clone(),
            hubs: self.hubs.clone(),
            feeds: self.feeds.clone(),
            probes: Rc::clone(&self.probes),
        }
    }
}

impl FeedTable {
    fn with_feed<Output, Use>(&self, kind: &str, call: Use) -> Output
    where
        Use: FnOnce(&mut ChangeFeed) -> Output,
    {
        let mut feeds = self.feeds.borrow_mut();
        call(feeds.entry(kind.to_owned()).or_default())
    }

    /// Answers a member at once if there are changes, or after `MEMBER_HOLD_TIME` if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the request cannot be decoded.
    pub async fn answer_member<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        body: &str,
    ) -> Result<String, PeerError>
    where
        Time: Clock,
    {
        let refuse =
            |error: serde_json::Error| PeerError::refused(CHANGES_METHOD, error.to_string());
        let request: FeedRequest = serde_json::from_str(body).map_err(refuse)?;
        let until = context.now() + MEMBER_HOLD_TIME;
        loop {
            let now = context.now();
            let (has_changes, reply) = self.with_feed(&request.kind, |feed| {
                (
                    feed.has_changes_since(request.seen),
                    feed.reply_since(request.seen, now),
                )
            });
            if has_changes || reply == FeedReply::Unproven || now >= until {
                return serde_json::to_string(&reply).map_err(refuse);
            }
            actix_rt::time::sleep(FEED_POLL_INTERVAL).await;
        }
    }
}

impl<Time, Dialect, Store> SharedStore<Time, Dialect, Store>
where
    Time: Clock,
    Dialect: std::fmt::Debug + 'static,
    Store: KindStore,
{
    /// Creates access to `store` through hubs, which are called with `client`.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        store: Store,
        client: PeerClient,
        hubs: HubSelector<Time, Dialect>,
        feeds: FeedTable,
    ) -> Self {
        Self {
            context,
            store,
            client,
            hubs,
            feeds,
            probes: Rc::default(),
        }
    }

    /// Returns the hub to ask; `None` if this instance watches the store itself.
    fn hub(&self) -> Option<PeerInstance> {
        let own = &self.context.settings().instance;
        let hub = self.hubs.hub_of(&own.failure_domain)?;
        (self.context.instance_count() >= MIN_HUB_FLEET && hub.id != own.id).then_some(hub)
    }

    async fn ask_hub(&self, hub: &PeerInstance, kind: &str, seen: Version) -> FeedReply {
        let request = FeedRequest {
            kind: kind.to_owned(),
            seen,
        };
        let reply =
            self.client
                .call_with_timeout(hub.address, CHANGES_METHOD, &request, MEMBER_TIMEOUT);
        match reply.await {
            Ok(FeedReply::Unproven) => {
                tracing::info!(hub = %hub.id, kind, "hub has no recent answer from the store");
                self.hubs.exclude(&hub.id);
                FeedReply::Unproven
            }
            Ok(reply) => reply,
            Err(error) => {
                tracing::info!(hub = %hub.id, kind, %error, "call to hub failed");
                self.hubs.exclude(&hub.id);
                FeedReply::Unproven
            }
        }
    }

    /// Asks the hubs of all failure domains in turn until one returns changes.
    ///
    /// Used after a failed call to the store.
    async fn changes_from_hubs(&self, kind: &str, seen: Version) -> Option<KindChanges> {
        let own = &self.context.settings().instance;
        for hub in self.hubs.preferred_hubs(&own.failure_domain) {
            if hub.id == own.id {
                continue;
            }
            if let FeedReply::Changes(changes) = self.ask_hub(&hub, kind, seen).await {
                return Some(changes);
            }
        }
        None
    }

    async fn watch_store(
        &self,
        kind: &str,
        seen: Version,
        limit: Duration,
    ) -> Result<KindChanges, StoreError> {
        let changes = self
            .call_store(kind, self.store.changes(kind, seen, limit))
            .await?;
        let now = self.context.now();
        self.feeds
            .with_feed(kind, |feed| feed.extend(seen, &changes, now));
        Ok(changes)
    }

    /// Makes a call to the store, and records whether it was answered.
    async fn call_store<Output, Call>(&self, kind: &str, call: Call) -> Result<Output, StoreError>
    where
        Call: Future<Output = Result<Output, StoreError>>,
    {
        let now = self.context.now();
        self.with_probe(kind, |probe| probe.record_call(now));
        let result = call.await;
        let is_answered = match &result {
            Ok(_) => true,
            Err(error) => error.is_history_expired(),
        };
        self.with_probe(kind, |probe| probe.record_result(is_answered));
        result
    }

    fn with_probe<Output, Use>(&self, kind: &str, call: Use) -> Output
    where
        Use: FnOnce(&mut OutageProbe) -> Output,
    {
        let mut probes = self.probes.borrow_mut();
        call(probes.entry(kind.to_owned()).or_default())
    }

    /// Returns whether this instance may call the store, which did not answer its last call.
    async fn may_call_store(&self, kind: &str) -> bool {
        let own = &self.context.settings().instance;
        let now = self.context.now();
        if self.context.instance_count() < MIN_HUB_FLEET
            || !self.with_probe(kind, |probe| probe.needs_hub(now))
        {
            return true;
        }
        let hubs = self.hubs.preferred_hubs(&own.failure_domain);
        if hubs.is_empty() || hubs.iter().any(|hub| hub.id == own.id) {
            return true;
        }
        let index = self.with_probe(kind, |probe| probe.next_hub(hubs.len()));
        let request = FeedRequest {
            kind: kind.to_owned(),
            seen: Version::default(),
        };
        let address = hubs[index].address;
        let reply =
            self.client
                .call_with_timeout(address, CHANGES_METHOD, &request, MEMBER_TIMEOUT);
        let access = match reply.await {
            Ok(FeedReply::Unproven) => HubAccess::Lost,
            Ok(FeedReply::ReadStore | FeedReply::Changes(_)) => HubAccess::Reached,
            Err(error) => {
                tracing::debug!(hub = %hubs[index].id, kind, %error, "call to hub failed");
                HubAccess::Unknown
            }
        };
        OutageProbe::allows_call(access)
    }
}

impl<Time, Dialect, Store> KindStore for SharedStore<Time, Dialect, Store>
where
    Time: Clock,
    Dialect: std::fmt::Debug + 'static,
    Store: KindStore,
{
    async fn snapshot(
        &self,
        kind: &str,
        freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        if !self.may_call_store(kind).await {
            return Err(StoreError::unavailable(kind, "no hub reaches the store"));
        }
        let snapshot = self
            .call_store(kind, self.store.snapshot(kind, freshness))
            .await?;
        let now = self.context.now();
        self.feeds
            .with_feed(kind, |feed| feed.restart(snapshot.version, now));
        Ok(snapshot)
    }

    async fn changes(
        &self,
        kind: &str,
        since: Version,
        timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        if self.context.instance_count() < MIN_HUB_FLEET {
            return self.watch_store(kind, since, timeout).await;
        }
        if let Some(hub) = self.hub()
            && let FeedReply::Changes(changes) = self.ask_hub(&hub, kind, since).await
        {
            return Ok(changes);
        }
        let mut result = self.watch_store(kind, since, HUB_WATCH_TIMEOUT).await;
        if matches!(result, Err(StoreError::ResponseLost { .. })) {
            // The connection alone may be dead, and those to other hubs as well. Asking each of them
            // would take longer than a new connection to the store.
            tracing::info!(kind, "no response from the store; trying a new connection");
            result = self.watch_store(kind, since, RETRY_WATCH_TIMEOUT).await;
        }
        match result {
            Err(error) if !error.is_history_expired() => {
                let changes = self.changes_from_hubs(kind, since).await;
                changes.ok_or(error)
            }
            result => result,
        }
    }
}
