//! The open connections of a hub stop responding: that to the store, and those to the other hubs.
//!
//! Members rely on what a hub has read, so it must not wait for one dead connection after the other
//! before it opens a new one to the store.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_config::{InstanceSettings, RouterSettings};
use dandeliondeal_peer::{PeerClient, PeerSettings};
use dandeliondeal_relay::RelayContext;
use dandeliondeal_relay::hub_selection::HubSelector;
use dandeliondeal_relay::instance_registry::PeerInstance;
use dandeliondeal_relay::shared_store::{FeedTable, SharedStore};
use dandeliondeal_types::{
    KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, StoreVersion, SystemClock,
};

/// Number of instances of a fleet that uses hubs.
const INSTANCE_COUNT: usize = 24;
/// Time after which a watch without a response is given up.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which the hub has to know what the store holds.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Store that does not respond to the first watch.
#[derive(Clone, Debug, Default)]
struct SilentStore {
    watches: Rc<Cell<u32>>,
}

impl KindStore for SilentStore {
    async fn snapshot(
        &self,
        kind: &str,
        _freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        Err(StoreError::unavailable(kind, "not part of the test"))
    }

    async fn changes(
        &self,
        kind: &str,
        _since: StoreVersion,
        timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        self.watches.set(self.watches.get() + 1);
        if self.watches.get() == 1 {
            actix_rt::time::sleep(timeout + CALL_TIMEOUT).await;
            return Err(StoreError::response_lost(kind, "timed out"));
        }
        Ok(KindChanges {
            version: 9.into(),
            ..KindChanges::default()
        })
    }
}

fn instance(id: &str, domain: &str, address: SocketAddr) -> PeerInstance {
    PeerInstance {
        id: id.into(),
        address,
        handover: None,
        failure_domain: domain.into(),
        processor_milli: None,
    }
}

#[actix_rt::test]
async fn silent_connections() {
    // Connections to this listener are never accepted, so calls over them get no response.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let silent_address = silent.local_addr().expect("an address");
    let settings = RouterSettings {
        instance: InstanceSettings::new("hub", "own", "region"),
        ..RouterSettings::default()
    };
    let context = RelayContext::new(settings, SystemClock, (), 1).expect("valid charts");
    let mut peers = vec![instance("hub", "own", silent_address)];
    peers.extend((1..INSTANCE_COUNT).map(|index| {
        let domain = format!("domain-{}", index % 4);
        instance(&format!("peer-{index}"), &domain, silent_address)
    }));
    context.set_peers(peers);
    let store = SharedStore::new(
        context.clone(),
        SilentStore::default(),
        PeerClient::new(PeerSettings::default()),
        HubSelector::new(context),
        FeedTable::default(),
    );
    let started = Instant::now();
    let changes = store
        .changes("endpoints", 7.into(), Duration::from_secs(1))
        .await;
    let elapsed = started.elapsed();
    assert_eq!(changes.map(|changes| changes.version), Ok(9.into()));
    assert!(elapsed < CONTACT_WINDOW, "known after {elapsed:?}");
}
