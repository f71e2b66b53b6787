//! Which process a request belongs to, and whether it is known to be gone.

use dandeliondeal_entry::claim_link::{ClaimRoute, OwnerProcess};
use dandeliondeal_entry::request_id::{owner_of, request_id};

fn route(has_failed: bool) -> ClaimRoute {
    let route = ClaimRoute::default();
    route.set_processes(vec![OwnerProcess {
        instance: "entry-1".into(),
        incarnation: 0x20,
        has_failed,
    }]);
    route
}

#[test]
fn owner_named() {
    for shard in [None, Some(7)] {
        let id = request_id(&"entry-1-b".into(), 0x6_61c3, 12, shard);
        assert_eq!(owner_of(&id), Some(("entry-1-b", 0x6_61c3)));
    }
    assert_eq!(owner_of("entry"), None);
}

#[test]
fn owner_gone() {
    assert!(route(true).is_owner_gone("entry-1-20-5-s3"), "it failed");
    assert!(
        route(false).is_owner_gone("entry-1-1f-5-s3"),
        "it was started again"
    );
}

#[test]
fn owner_there() {
    assert!(!route(false).is_owner_gone("entry-1-20-5-s3"), "it runs");
    assert!(
        !route(true).is_owner_gone("entry-1-21-5-s3"),
        "a later process"
    );
    assert!(
        !route(true).is_owner_gone("entry-1-b-20-5-s3"),
        "another instance"
    );
    assert!(
        !ClaimRoute::default().is_owner_gone("entry-1-20-5-s3"),
        "nothing is known"
    );
}
