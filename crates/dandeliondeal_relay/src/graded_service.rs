//! Decides which services of a configuration are graded.

use std::collections::HashSet;

use dandeliondeal_config::GradingMode;
use dandeliondeal_route::{RouteRule, RouteTable};
use dandeliondeal_types::ServiceId;

/// Returns the services to which requests are admitted by urgency.
///
/// In the mode `auto`, a model service is graded if its streaming routes differ in urgency, latency
/// objective or pause objective, or if organisations differ in the urgency that they state. A plain
/// service is graded if a model service is. Only in a configuration without streams from models do
/// its own routes decide: otherwise a deployment whose streams are all alike would be served in
/// another way because of its plain routes.
pub fn graded_services(table: &RouteTable, mode: GradingMode) -> HashSet<ServiceId> {
    let all = || table.services().map(|rule| ServiceId::clone(&rule.id));
    match mode {
        GradingMode::Off => return HashSet::new(),
        GradingMode::On => return all().collect(),
        GradingMode::Auto => {}
    }
    let is_model = |service: &ServiceId| {
        let rule = table.service(service);
        rule.is_some_and(|rule| rule.engine.is_some()) && has_route(table, service, true)
    };
    let (models, plain): (Vec<ServiceId>, Vec<ServiceId>) = all().partition(is_model);
    if models.is_empty() {
        let graded = plain
            .into_iter()
            .filter(|service| is_graded(table, service, false));
        return graded.collect();
    }
    let models = models.into_iter();
    let mut graded: HashSet<ServiceId> = models
        .filter(|service| is_graded(table, service, true))
        .collect();
    if !graded.is_empty() {
        graded.extend(plain);
    }
    graded
}

/// Returns whether the routes of a service, or its organisations, differ in what they need.
fn is_graded(table: &RouteTable, service: &ServiceId, is_stream: bool) -> bool {
    let mut routes = routes_of(table, service, is_stream);
    let Some(first) = routes.next() else {
        return false;
    };
    table.has_different_urgencies() || routes.any(|route| has_other_needs(first, route))
}

fn has_other_needs(left: &RouteRule, right: &RouteRule) -> bool {
    left.urgency != right.urgency
        || left.latency_objective != right.latency_objective
        || left.pause_objective != right.pause_objective
}

fn has_route(table: &RouteTable, service: &ServiceId, is_stream: bool) -> bool {
    routes_of(table, service, is_stream).next().is_some()
}

fn routes_of<'table>(
    table: &'table RouteTable,
    service: &'table ServiceId,
    is_stream: bool,
) -> impl Iterator<Item = &'table RouteRule> {
    let routes = table.routes_of(service);
    routes.filter(move |route| route.repeat_class.is_stream() == is_stream)
}
