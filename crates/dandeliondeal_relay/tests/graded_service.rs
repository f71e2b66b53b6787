//! Which services of a configuration are graded.

mod support;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::GradingMode;
use dandeliondeal_layout::EngineProfile;
use dandeliondeal_relay::graded_service::graded_services;
use dandeliondeal_route::{
    OrganisationRule, RepeatClass, RouteConfig, RouteRule, RouteTable, ServiceRule, ServiceShare,
};
use support::profile;

fn route(id: &str, service: &str, repeat_class: RepeatClass) -> RouteRule {
    RouteRule {
        id: id.into(),
        host: "desk.example".into(),
        path_prefix: format!("/{id}/").into(),
        service_shares: vec![ServiceShare {
            service: service.into(),
            weight: 1,
        }],
        repeat_class,
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(500),
        attempts: 2,
        urgency: 1,
        is_public: false,
        pause_objective: Some(Duration::from_millis(250)),
    }
}

fn service(id: &str, engine: Option<EngineProfile>) -> ServiceRule {
    ServiceRule {
        id: id.into(),
        health_path: "/health".into(),
        connection_limit: 10,
        engine: engine.map(Arc::new),
    }
}

/// Returns a model service with two equal streaming routes, and a plain service with two routes of
/// different objectives.
fn config() -> RouteConfig {
    let mut reads = route("reads", "orders", RepeatClass::Safe);
    reads.latency_objective = Duration::from_millis(150);
    RouteConfig {
        version: 1,
        routes: vec![
            route("drafts", "drafting", RepeatClass::ResumableStream),
            route("letters", "drafting", RepeatClass::Stream),
            reads,
            route("orders", "orders", RepeatClass::Unsafe),
        ],
        services: vec![
            service("drafting", Some(profile())),
            service("orders", None),
        ],
        organisations: vec![organisation(None)],
        ..RouteConfig::default()
    }
}

fn organisation(urgency: Option<u8>) -> OrganisationRule {
    OrganisationRule {
        id: "workshop".into(),
        keys: vec!["key-1".into()],
        urgency,
    }
}

fn graded(config: RouteConfig, mode: GradingMode) -> Vec<String> {
    let services: HashSet<_> = graded_services(&RouteTable::new(config), mode);
    let mut names: Vec<String> = services.iter().map(ToString::to_string).collect();
    names.sort();
    names
}

// Plain routes that differ must not make a deployment graded whose streams are all alike.
#[test]
fn equal_streams() {
    assert!(graded(config(), GradingMode::Auto).is_empty());
}

#[test]
fn different_streams() {
    let changes: [fn(&mut RouteRule); 3] = [
        |route| route.urgency = 2,
        |route| route.latency_objective = Duration::from_secs(1),
        |route| route.pause_objective = Some(Duration::from_millis(200)),
    ];
    for change in changes {
        let mut config = config();
        change(&mut config.routes[0]);
        assert_eq!(graded(config, GradingMode::Auto), ["drafting", "orders"]);
    }
}

// An urgency that all organisations state gives their requests no order.
#[test]
fn own_urgency() {
    let mut config = config();
    config.organisations = vec![organisation(Some(1))];
    assert!(graded(config, GradingMode::Auto).is_empty());
}

// Organisations with different urgencies make a model service graded, and those beside it.
#[test]
fn different_organisations() {
    let mut other = organisation(Some(2));
    other.id = "market".into();
    other.keys = vec!["key-2".into()];
    let mut config = config();
    config.organisations = vec![organisation(Some(1)), other];
    assert_eq!(
        graded(config.clone(), GradingMode::Auto),
        ["drafting", "orders"]
    );
    config.organisations[1].urgency = Some(1);
    assert!(graded(config, GradingMode::Auto).is_empty());
}

// A route that sends no request to the model says nothing about its callers.
#[test]
fn unused_share() {
    let mut config = config();
    config.routes[0].urgency = 2;
    config.routes[0].service_shares[0].weight = 0;
    assert!(graded(config, GradingMode::Auto).is_empty());
}

#[test]
fn plain_only() {
    let mut config = config();
    config.routes.drain(..2);
    config.services.remove(0);
    assert_eq!(graded(config.clone(), GradingMode::Auto), ["orders"]);
    config.routes[0].latency_objective = config.routes[1].latency_objective;
    assert!(graded(config, GradingMode::Auto).is_empty());
}

#[test]
fn forced_mode() {
    assert_eq!(graded(config(), GradingMode::On), ["drafting", "orders"]);
    let mut config = config();
    config.routes[0].urgency = 2;
    assert!(graded(config, GradingMode::Off).is_empty());
}
