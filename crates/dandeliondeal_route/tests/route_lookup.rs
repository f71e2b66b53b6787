//! Routes, keys and splits.

use std::time::Duration;

use dandeliondeal_route::{
    MatchError, OrganisationRule, RepeatClass, RouteConfig, RouteRule, RouteTable, ServiceShare,
};

fn rule(id: &str, prefix: &str) -> RouteRule {
    RouteRule {
        id: id.into(),
        host: "desk.example".into(),
        path_prefix: prefix.into(),
        split: vec![ServiceShare {
            service: "orders".into(),
            weight: 1,
        }],
        repeat: RepeatClass::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        attempts: 2,
        urgency: 3,
        is_public: false,
        pause_objective: None,
    }
}

fn table() -> RouteTable {
    let mut open = rule("open", "/open/");
    open.is_public = true;
    RouteTable::new(RouteConfig {
        version: 4,
        routes: vec![rule("short", "/a/"), rule("long", "/a/b/"), open],
        organisations: vec![OrganisationRule {
            id: "workshop".into(),
            keys: vec!["key-1".into()],
            urgency: Some(1),
        }],
        ..RouteConfig::default()
    })
}

#[test]
fn longest_prefix() {
    let table = table();
    let found = table.find("desk.example", "/a/b/c", Some("key-1"));
    assert_eq!(&*found.expect("a route").route.id, "long");
    let found = table.find("Desk.Example:80", "/a/x", Some("key-1"));
    assert_eq!(&*found.expect("a route").route.id, "short");
}

#[test]
fn no_route() {
    let table = table();
    for (host, path) in [
        ("desk.example", "/b/"),
        ("other.example", "/a/"),
        ("desk.example", "/a"),
    ] {
        let found = table.find(host, path, Some("key-1"));
        assert_eq!(found.err(), Some(MatchError::NoRoute), "{host}{path}");
    }
}

#[test]
fn keys_needed() {
    let table = table();
    let found = table.find("desk.example", "/a/", None);
    assert_eq!(found.err(), Some(MatchError::UnknownKey));
    let found = table.find("desk.example", "/a/", Some("key-2"));
    assert_eq!(found.err(), Some(MatchError::UnknownKey));
    let found = table
        .find("desk.example", "/a/", Some("key-1"))
        .expect("a known key");
    assert_eq!(found.organisation.as_deref(), Some("workshop"));
    assert_eq!(found.urgency, 1);
}

#[test]
fn public_route() {
    let table = table();
    let found = table
        .find("desk.example", "/open/x", None)
        .expect("no key needed");
    assert_eq!(found.organisation, None);
    assert_eq!(found.urgency, 3);
}

#[test]
fn weighted_split() {
    let mut split = rule("split", "/s/");
    split.split = vec![
        ServiceShare {
            service: "old".into(),
            weight: 90,
        },
        ServiceShare {
            service: "new".into(),
            weight: 10,
        },
    ];
    let new = (0..10_000)
        .filter(|id| split.service_for(&format!("request-{id}")).map(|id| &**id) == Some("new"))
        .count();
    assert!((900..1_100).contains(&new), "{new}");
    assert_eq!(split.service_for("r"), split.service_for("r"));
    split.split.clear();
    assert_eq!(split.service_for("r"), None);
}
