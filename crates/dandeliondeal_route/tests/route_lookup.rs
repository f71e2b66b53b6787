//! Tests route lookup, API keys and weighted splits.

use std::time::Duration;

use dandeliondeal_route::{
    MatchError, OrganisationRule, RepeatClass, RouteConfig, RouteRule, RouteTable, ServiceShare,
};

fn rule(id: &str, prefix: &str) -> RouteRule {
    RouteRule {
        id: id.into(),
        host: "desk.example".into(),
        path_prefix: prefix.into(),
        service_shares: vec![ServiceShare {
            service: "orders".into(),
            weight: 1,
        }],
        repeat_class: RepeatClass::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        attempts: 2,
        urgency: 3,
        is_public: false,
        pause_objective: None,
    }
}

fn table() -> RouteTable {
    let mut public_rule = rule("open", "/open/");
    public_rule.is_public = true;
    RouteTable::new(RouteConfig {
        version: 4,
        routes: vec![rule("short", "/a/"), rule("long", "/a/b/"), public_rule],
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
fn unmatched_route() {
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
fn required_key() {
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
    let mut split_rule = rule("split", "/s/");
    split_rule.service_shares = vec![
        ServiceShare {
            service: "old".into(),
            weight: 90,
        },
        ServiceShare {
            service: "new".into(),
            weight: 10,
        },
    ];
    let new_count = (0..10_000)
        .filter(|id| {
            split_rule
                .service_for(&format!("request-{id}"))
                .map(|id| &**id)
                == Some("new")
        })
        .count();
    assert!((900..1_100).contains(&new_count), "{new_count}");
    assert_eq!(split_rule.service_for("r"), split_rule.service_for("r"));
    split_rule.service_shares.clear();
    assert_eq!(split_rule.service_for("r"), None);
}
