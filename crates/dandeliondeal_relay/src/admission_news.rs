//! Passes load reports on to the admission gates, and publishes their shares.

use dandeliondeal_limit::DemandReport;
use dandeliondeal_types::{Clock, ServiceId};
use rand::Rng;

use crate::load_exchange::LoadSummary;
use crate::relay_context::RelayContext;
use crate::request_admission::{milliseconds, start_ticker};

/// Passes the totals of all instances on to the gates; `local` is the part of this instance in them.
pub(crate) fn apply_news<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    fleet: &LoadSummary,
    local: &LoadSummary,
) where
    Time: Clock,
    Dialect: 'static,
{
    let Some(table) = context.table() else {
        return;
    };
    let now = context.now();
    let no_demand = DemandReport::default();
    let mut waiting_services = Vec::new();
    for (service, entry) in context.admission().services.borrow_mut().iter_mut() {
        let demand = fleet.demand.get(service);
        // A hub of an earlier version drops the demand: there is no news of it.
        if demand.is_none() && local.demand.contains_key(service) {
            continue;
        }
        let view = context.fleet().borrow();
        let rule = table.service(service);
        let room = if let Some(profile) = rule.and_then(|rule| rule.engine.as_ref()) {
            let instance_count = context.instance_count();
            view.model_room(service, profile, context.tracker(), instance_count, now)
        } else {
            let open_calls = fleet.open_calls.get(service).copied();
            view.plain_room(service, open_calls.unwrap_or_default())
        };
        drop(view);
        entry.has_capacity = room.capacity > 0.0;
        let demand = demand.unwrap_or(&no_demand);
        let draws = || context.with_rng(Rng::random::<f64>);
        let actions = entry.gate.set_news(demand, room, draws, now);
        entry.dispatch(&actions);
        if entry.gate.next_tick().is_some() {
            waiting_services.push(ServiceId::clone(service));
        }
    }
    for service in waiting_services {
        start_ticker(context, &service);
    }
}

/// Updates the metrics of the gates, and logs the shares that changed.
pub(crate) fn publish_shares<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let now = context.now();
    let metrics = &context.metrics().admission;
    for (service, entry) in context.admission().services.borrow_mut().iter_mut() {
        let state = entry.gate.describe(now);
        let fill = state.room.map(|room| room.fill());
        if let Some(fill) = fill {
            let gauge = metrics.fill.with_label_values(&[&**service]);
            gauge.set(fill);
        }
        let (previous, changes) = (entry.ranks(), entry.record_shares(&state));
        for rank in previous.into_iter().chain(state.shares.keys().copied()) {
            let share = state.shares.get(&rank).copied().unwrap_or(1.0);
            let labels = [&**service, &*rank.to_string()];
            metrics.share.with_label_values(&labels).set(share);
        }
        for change in changes {
            tracing::info!(
                service = %service,
                rank = change.rank,
                from = change.from,
                share = change.to,
                fill,
                supply = state.supply,
                news_age_ms = state.news_age.map(milliseconds),
                "admission share changed"
            );
        }
    }
}
