//! All instances of a large fleet start at once. Each must not read many pages of endpoints at full
//! price and watch the store before it knows the hub of its failure domain.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_config::RouterSettings;
use dandeliondeal_relay::RelayContext;
use dandeliondeal_relay::store_watch::{KindSink, follow_kind};
use dandeliondeal_types::{
    KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, StoreVersion, SystemClock,
};

/// A call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    List(ReadFreshness),
    Watch(StoreVersion),
}

/// Store that records its calls; the first watch may fail because the history is lost.
#[derive(Clone, Debug, Default)]
struct CountedStore {
    calls: Rc<RefCell<Vec<(StoreCall, Instant)>>>,
    is_history_lost: bool,
}

impl CountedStore {
    fn record(&self, call: StoreCall) {
        self.calls.borrow_mut().push((call, Instant::now()));
    }
}

impl KindStore for CountedStore {
    async fn snapshot(
        &self,
        _kind: &str,
        freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        self.record(StoreCall::List(freshness));
        Ok(KindSnapshot {
            version: 7.into(),
            ..KindSnapshot::default()
        })
    }

    async fn changes(
        &self,
        kind: &str,
        since: StoreVersion,
        _timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        self.record(StoreCall::Watch(since));
        if self.is_history_lost && self.calls.borrow().len() == 2 {
            return Err(StoreError::HistoryExpired { name: kind.into() });
        }
        actix_rt::time::sleep(Duration::from_mins(1)).await;
        Ok(KindChanges::default())
    }
}

#[derive(Debug)]
struct IgnoredChanges;

impl KindSink for IgnoredChanges {
    fn apply_snapshot(&self, _snapshot: KindSnapshot, _lapse_until: Option<Instant>) {}

    fn apply_changes(&self, _changes: KindChanges, _lapse_until: Option<Instant>) {}
}

/// Follows a kind until the store has been called `count` times; returns the calls.
async fn first_calls(store: CountedStore, count: usize) -> Vec<(StoreCall, Instant)> {
    let context = RelayContext::new(RouterSettings::default(), SystemClock, (), 1);
    let context = context.expect("valid charts");
    let follower = follow_kind(
        context,
        store.clone(),
        "endpoints",
        ReadFreshness::Relaxed,
        IgnoredChanges,
    );
    let task = actix_rt::spawn(follower);
    let calls = Rc::clone(&store.calls);
    for _ in 0..400 {
        if calls.borrow().len() >= count {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    task.abort();
    calls.borrow().clone()
}

#[actix_rt::test]
async fn delayed_watch() {
    let calls = first_calls(CountedStore::default(), 2).await;
    assert_eq!(calls[0].0, StoreCall::List(ReadFreshness::Relaxed));
    assert_eq!(calls[1].0, StoreCall::Watch(7.into()));
    let delay = calls[1].1 - calls[0].1;
    assert!(delay >= Duration::from_millis(500), "{delay:?}");
}

#[actix_rt::test]
async fn lost_history() {
    // The relaxed list was older than the store's history, so a current one is read.
    let store = CountedStore {
        is_history_lost: true,
        ..CountedStore::default()
    };
    let calls = first_calls(store, 3).await;
    assert_eq!(calls[2].0, StoreCall::List(ReadFreshness::Latest));
}
