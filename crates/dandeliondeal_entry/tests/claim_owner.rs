//! The process that a request id names, and whether that process is known to have ended.

use dandeliondeal_entry::claim_link::{ClaimRoute, OwnerProcess};
use dandeliondeal_entry::request_id::{owner_of, request_id};

fn claim_route(has_failed: bool) -> ClaimRoute {
    let route = ClaimRoute::default();
    route.set_processes(vec![OwnerProcess {
        instance: "entry-1".into(),
        incarnation: 0x20,
        has_failed,
    }]);
    route
}

#[test]
fn owner_in_id() {
    for shard in [None, Some(7)] {
        let id = request_id(&"entry-1-b".into(), 0x6_61c3, 12, shard);
        assert_eq!(owner_of(&id), Some(("entry-1-b", 0x6_61c3)));
    }
    assert_eq!(owner_of("entry"), None);
}

#[test]
fn owner_ended() {
    assert!(
        claim_route(true).is_owner_gone("entry-1-20-5-s3"),
        "the process failed"
    );
    assert!(
        claim_route(false).is_owner_gone("entry-1-1f-5-s3"),
        "the instance restarted"
    );
}

#[test]
fn owner_running() {
    assert!(
        !claim_route(false).is_owner_gone("entry-1-20-5-s3"),
        "the process runs"
    );
    assert!(
        !claim_route(true).is_owner_gone("entry-1-21-5-s3"),
        "a later process"
    );
    assert!(
        !claim_route(true).is_owner_gone("entry-1-b-20-5-s3"),
        "another instance"
    );
    assert!(
        !ClaimRoute::default().is_owner_gone("entry-1-20-5-s3"),
        "no process is known"
    );
}
