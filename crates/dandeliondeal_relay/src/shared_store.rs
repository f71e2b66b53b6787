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
use std::time::{Duration, Instant};

use dandeliondeal_peer::{PeerClient, PeerError};
use dandeliondeal_types::{
    Clock, InstanceId, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError,
    StoreVersion,
};

use crate::change_feed::ChangeFeed;
use crate::feed_reply::{FeedReply, FeedRequest};
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
/// Time for which a hub of an earlier build, which states no era, is not asked again.
const EARLIER_BUILD_TIME: Duration = Duration::from_mins(1);
/// Mean delay between the news of a restore and the new list.
const RELIST_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a hub checks for changes while a member waits.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Follows kinds of store objects through hubs; clones share the state.
#[derive(Debug)]
pub struct SharedStore<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    client: PeerClient,
    hubs: HubSelector<Time, Dialect>,
    feeds: FeedTable,
    probes: Rc<RefCell<HashMap<String, OutageProbe>>>,
    /// Hubs of an earlier build, which state no era, with the time until which they are not asked.
    earlier_builds: Rc<RefCell<HashMap<InstanceId, Instant>>>,
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
            earlier_builds: Rc::clone(&self.earlier_builds),
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
        let position = request.position();
        let until = context.now() + MEMBER_HOLD_TIME;
        loop {
            let now = context.now();
            let (has_changes, reply) = self.with_feed(&request.kind, |feed| {
                (
                    feed.has_changes_since(position, now),
                    feed.reply_since(position, now),
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
            earlier_builds: Rc::default(),
        }
    }

    /// Returns the hub to ask; `None` if this instance watches the store itself.
    fn hub(&self) -> Option<PeerInstance> {
        let own = &self.context.settings().instance;
        let now = self.context.now();
        let mut earlier_builds = self.earlier_builds.borrow_mut();
        earlier_builds.retain(|_, until| now < *until);
        let hub = if earlier_builds.is_empty() {
            self.hubs.hub_of(&own.failure_domain)?
        } else {
            let count = earlier_builds.len() + 1;
            let ranked = self.hubs.ranked_hubs(&own.failure_domain, count);
            let mut usable = ranked.into_iter();
            usable.find(|hub| !earlier_builds.contains_key(&hub.id))?
        };
        (self.context.instance_count() >= MIN_HUB_FLEET && hub.id != own.id).then_some(hub)
    }

    async fn ask_hub(&self, hub: &PeerInstance, kind: &str, seen: StoreVersion) -> FeedReply {
        let request = FeedRequest::new(kind, seen);
        let reply =
            self.client
                .call_with_timeout(hub.address, CHANGES_METHOD, &request, MEMBER_TIMEOUT);
        match reply.await {
            Ok(FeedReply::Unproven) => {
                tracing::info!(hub = %hub.id, kind, "hub has no recent answer from the store");
                self.hubs.exclude(&hub.id);
                FeedReply::Unproven
            }
            Ok(FeedReply::Changes(changes)) if changes.version.era != seen.era => {
                // Without the era its reply does not show whether changes are missing.
                tracing::info!(hub = %hub.id, kind, era = seen.era, "hub states no era");
                let until = self.context.now() + EARLIER_BUILD_TIME;
                let id = InstanceId::clone(&hub.id);
                self.earlier_builds.borrow_mut().insert(id, until);
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
    async fn changes_from_hubs(&self, kind: &str, seen: StoreVersion) -> Option<KindChanges> {
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
        seen: StoreVersion,
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
        let request = FeedRequest::new(kind, StoreVersion::default());
        let address = hubs[index].address;
        let reply =
            self.client
                .call_with_timeout(address, CHANGES_METHOD, &request, MEMBER_TIMEOUT);
        let access = match reply.await {
            Ok(FeedReply::Unproven) => HubAccess::Lost,
            Ok(FeedReply::ReadStore | FeedReply::Restored | FeedReply::Changes(_)) => {
                HubAccess::Reached
            }
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
        since: StoreVersion,
        timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        if self.context.instance_count() < MIN_HUB_FLEET {
            return self.watch_store(kind, since, timeout).await;
        }
        if let Some(hub) = self.hub() {
            match self.ask_hub(&hub, kind, since).await {
                FeedReply::Changes(changes) => return Ok(changes),
                FeedReply::Restored => {
                    tracing::info!(hub = %hub.id, kind, era = since.era, "hub is in a later era");
                    // All members learn of a restore at once; their lists are spread in time.
                    actix_rt::time::sleep(self.context.jitter(RELIST_DELAY)).await;
                    return Err(StoreError::HistoryExpired { name: kind.into() });
                }
                FeedReply::Unproven | FeedReply::ReadStore => {}
            }
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
