//! Store access for large fleets: one hub in each failure domain watches the store, and the other
//! instances, its members, ask their hub.
//!
//! Each call to the store is charged, including a waiting watch, and the allowed call rate does not
//! grow with the fleet. A member watches the store itself if its hub does not answer in time or has
//! not heard from the store recently. If the store does not answer either, the member asks the hubs
//! of all failure domains.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dandeliondeal_peer::{PeerClient, PeerError};
use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, Version,
};
use serde::{Deserialize, Serialize};

use crate::hub_choice::HubChoice;
use crate::instance_registry::PeerInstance;
use crate::kind_feed::{FeedReply, KindFeed};
use crate::relay_context::RelayContext;

/// Method that asks a hub for the changes of a kind.
pub(crate) const FEED_METHOD: &str = "store-changes";
/// Number of instances from which hubs save store calls: three hubs make about as many calls as
/// this number of instances that watch the store themselves.
const FEED_FLEET: usize = 24;
/// Maximum duration of a hub's watch; it is short so that members can tell that the hub is not cut
/// off.
const HUB_WATCH: Duration = Duration::from_millis(500);
/// Maximum time for which a hub delays its reply to a member while nothing changes.
const MEMBER_WAIT: Duration = Duration::from_millis(600);
/// Maximum wait of a member for its hub's reply.
const MEMBER_LIMIT: Duration = Duration::from_millis(900);
/// Interval at which a hub checks for changes while a member waits.
const NEWS_INTERVAL: Duration = Duration::from_millis(40);

/// Request of a member for changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct FeedQuestion {
    kind: String,
    seen: Version,
}

/// Follows kinds of store objects through hubs; clones share the state.
#[derive(Debug)]
pub struct SharedStore<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    client: PeerClient,
    hubs: HubChoice<Time, Dialect>,
    feeds: FeedTable,
}

/// Change feeds by kind; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct FeedTable {
    feeds: Rc<RefCell<HashMap<String, KindFeed>>>,
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
        }
    }
}

impl FeedTable {
    fn with<Result, Use>(&self, kind: &str, call: Use) -> Result
    where
        Use: FnOnce(&mut KindFeed) -> Result,
    {
        let mut feeds = self.feeds.borrow_mut();
        call(feeds.entry(kind.to_owned()).or_default())
    }

    /// Answers a member at once if there are changes, or after [`MEMBER_HOLD_TIME`] if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the request cannot be decoded.
    pub async fn answer<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        body: &str,
    ) -> Result<String, PeerError>
    where
        Time: Clock,
    {
        let refused = |error: serde_json::Error| PeerError::refused(FEED_METHOD, error.to_string());
        let question: FeedQuestion = serde_json::from_str(body).map_err(refused)?;
        let until = context.now() + MEMBER_WAIT;
        loop {
            let now = context.now();
            let (has_news, reply) = self.with(&question.kind, |feed| {
                (feed.has_news(question.seen), feed.since(question.seen, now))
            });
            if has_news || reply == FeedReply::Unproven || now >= until {
                return serde_json::to_string(&reply).map_err(refused);
            }
            actix_rt::time::sleep(NEWS_INTERVAL).await;
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
        hubs: HubChoice<Time, Dialect>,
        feeds: FeedTable,
    ) -> Self {
        Self {
            context,
            store,
            client,
            hubs,
            feeds,
        }
    }

    /// Returns the hub to ask; `None` if this instance watches the store itself.
    fn hub(&self) -> Option<PeerInstance> {
        let own = &self.context.settings().instance;
        let hub = self.hubs.hub_of(&own.failure_domain)?;
        (self.context.instances() >= FEED_FLEET && hub.id != own.id).then_some(hub)
    }

    async fn ask(&self, hub: &PeerInstance, kind: &str, seen: Version) -> FeedReply {
        let question = FeedQuestion {
            kind: kind.to_owned(),
            seen,
        };
        let reply = self
            .client
            .call_within(hub.address, FEED_METHOD, &question, MEMBER_LIMIT);
        match reply.await {
            Ok(FeedReply::Unproven) => {
                tracing::info!(hub = %hub.id, kind, "hub has not heard from the store");
                self.hubs.avoid(&hub.id);
                FeedReply::Unproven
            }
            Ok(reply) => reply,
            Err(error) => {
                tracing::info!(hub = %hub.id, kind, %error, "hub tells no changes");
                self.hubs.avoid(&hub.id);
                FeedReply::Unproven
            }
        }
    }

    /// Asks the hubs of all failure domains for changes; used while the store does not answer.
    async fn changes_elsewhere(&self, kind: &str, seen: Version) -> Option<KindChanges> {
        let own = &self.context.settings().instance;
        for hub in self.hubs.first_choices(&own.failure_domain) {
            if hub.id == own.id {
                continue;
            }
            if let FeedReply::Changes(changes) = self.ask(&hub, kind, seen).await {
                return Some(changes);
            }
        }
        None
    }

    async fn watch(
        &self,
        kind: &str,
        seen: Version,
        limit: Duration,
    ) -> Result<KindChanges, StoreError> {
        let changes = self.store.changes(kind, seen, limit).await?;
        let now = self.context.now();
        self.feeds
            .with(kind, |feed| feed.extend(seen, &changes, now));
        Ok(changes)
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
        let snapshot = self.store.snapshot(kind, freshness).await?;
        let now = self.context.now();
        self.feeds
            .with(kind, |feed| feed.restart(snapshot.version, now));
        Ok(snapshot)
    }

    async fn changes(
        &self,
        kind: &str,
        seen: Version,
        limit: Duration,
    ) -> Result<KindChanges, StoreError> {
        if self.context.instances() < FEED_FLEET {
            return self.watch(kind, seen, limit).await;
        }
        if let Some(hub) = self.hub()
            && let FeedReply::Changes(changes) = self.ask(&hub, kind, seen).await
        {
            return Ok(changes);
        }
        match self.watch(kind, seen, HUB_WATCH).await {
            Err(error) if !error.is_history_gone() => {
                let changes = self.changes_elsewhere(kind, seen).await;
                changes.ok_or(error)
            }
            result => result,
        }
    }
}
