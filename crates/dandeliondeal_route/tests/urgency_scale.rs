//! Tests the order of requests by the urgency of organisation and route.

use std::time::Duration;

use dandeliondeal_route::{
    OrganisationRule, RepeatClass, RouteConfig, RouteRule, RouteTable, ServiceShare, UrgencyPair,
    UrgencyScale,
};

fn pair(urgency: u8, route_urgency: u8) -> UrgencyPair {
    UrgencyPair {
        urgency,
        route_urgency,
    }
}

fn rule(urgency: u8, service: &str, is_public: bool) -> RouteRule {
    RouteRule {
        id: format!("route-{urgency}").into(),
        host: "desk.example".into(),
        path_prefix: format!("/{urgency}/").into(),
        service_shares: vec![ServiceShare {
            service: service.into(),
            weight: 1,
        }],
        repeat_class: RepeatClass::Stream,
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(500),
        attempts: 2,
        urgency,
        is_public,
        pause_objective: None,
    }
}

fn organisation(id: &str, urgency: Option<u8>) -> OrganisationRule {
    OrganisationRule {
        id: id.into(),
        keys: vec![format!("key-{id}").into()],
        urgency,
    }
}

fn table(routes: Vec<RouteRule>, organisations: Vec<OrganisationRule>) -> RouteTable {
    RouteTable::new(RouteConfig {
        version: 1,
        routes,
        organisations,
        ..RouteConfig::default()
    })
}

/// Returns the effective urgency of a request to the service `drafting`.
fn level(table: &RouteTable, path: &str, key: Option<&str>) -> u8 {
    let found = table.find("desk.example", path, key).expect("a route");
    table.urgency_scale("drafting").level(found.urgency_pair())
}

/// Guards against routes that count alike because their callers state the same urgency.
#[test]
fn equal_organisations() {
    let routes = (0..3).map(|urgency| rule(urgency, "drafting", false));
    let organisations = vec![organisation("a", Some(1)), organisation("b", Some(1))];
    let table = table(routes.collect(), organisations);
    let levels = ["/0/", "/1/", "/2/"].map(|path| level(&table, path, Some("key-b")));
    assert_eq!(levels, [0, 1, 2]);
}

/// Guards against a route that comes before a more urgent organisation.
#[test]
fn organisation_first() {
    let routes = vec![rule(0, "drafting", false), rule(2, "drafting", false)];
    let organisations = vec![organisation("a", Some(1)), organisation("b", Some(3))];
    let table = table(routes, organisations);
    let levels = [("/0/", "a"), ("/2/", "a"), ("/0/", "b"), ("/2/", "b")]
        .map(|(path, name)| level(&table, path, Some(&format!("key-{name}"))));
    assert_eq!(levels, [0, 1, 2, 3]);
}

/// Guards against an organisation without an urgency that is taken for the most urgent one.
#[test]
fn unstated_urgency() {
    let routes = vec![rule(0, "drafting", false), rule(2, "drafting", false)];
    let organisations = vec![organisation("a", Some(1)), organisation("b", None)];
    let table = table(routes, organisations);
    // The pairs are (0, 0), (1, 0), (1, 2) and (2, 2).
    let levels = [("/0/", "b"), ("/0/", "a"), ("/2/", "a"), ("/2/", "b")]
        .map(|(path, name)| level(&table, path, Some(&format!("key-{name}"))));
    assert_eq!(levels, [0, 1, 2, 3]);
}

/// Guards against numbers that are spent on requests which the service never gets.
#[test]
fn other_routes() {
    let mut unused = rule(4, "drafting", false);
    unused.service_shares[0].weight = 0;
    let routes = vec![
        rule(0, "orders", true),
        unused,
        rule(5, "drafting", false),
        rule(6, "drafting", true),
    ];
    let table = table(routes, vec![organisation("a", Some(7))]);
    // The service gets (6, 6), (7, 5) and (7, 6).
    assert_eq!(level(&table, "/6/", None), 0);
    assert_eq!(level(&table, "/5/", Some("key-a")), 1);
    assert_eq!(level(&table, "/6/", Some("key-a")), 2);
}

/// Guards against numbers out of range, or out of order, where there are more pairs than numbers.
#[test]
fn shared_numbers() {
    let pairs: Vec<UrgencyPair> = (0..7)
        .flat_map(|urgency| (0..9).map(move |route_urgency| pair(urgency, route_urgency)))
        .collect();
    let scale = UrgencyScale::new(pairs.iter().rev().copied());
    let levels: Vec<u8> = pairs.iter().map(|&pair| scale.level(pair)).collect();
    assert!(levels.is_sorted(), "{levels:?}");
    assert_eq!((levels[0], levels[pairs.len() - 1]), (0, 9));
    for number in 0..10 {
        let sharing = pairs.iter().filter(|pair| scale.level(**pair) == number);
        let count = sharing.count();
        assert!((6..=7).contains(&count), "{count} pairs have {number}");
    }
}

/// Guards against a panic for a request that an earlier configuration admitted.
#[test]
fn unknown_pair() {
    assert_eq!(UrgencyScale::default().level(pair(3, 3)), 0);
    let scale = UrgencyScale::new([pair(1, 0), pair(1, 4)]);
    assert_eq!(scale.level(pair(1, 2)), 1);
    assert_eq!(scale.level(pair(9, 9)), 1);
}
