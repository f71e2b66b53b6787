//! Sinks that apply configuration and registrations from the store to the context.

use std::time::Instant;

use dandeliondeal_route::RouteTable;
use dandeliondeal_types::{
    Clock, EndpointRecord, KindChanges, KindSnapshot, ObjectValue, StoreVersion,
};

use crate::crash_watch::{log_changes, process_id, record_successor};
use crate::dialect::FleetDialect;
use crate::fleet_view::FleetChange;
use crate::loss_board::publish_loss;
use crate::loss_notice::LossEvidence;
use crate::relay_context::RelayContext;
use crate::store_watch::KindSink;

/// Applies new configurations.
#[derive(Debug)]
pub struct ConfigSink<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
}

impl<Time, Dialect> ConfigSink<Time, Dialect> {
    /// Creates a sink that writes to `context`.
    pub fn new(context: RelayContext<Time, Dialect>) -> Self {
        Self { context }
    }
}

impl<Time, Dialect> ConfigSink<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    fn apply_config(&self, object: &ObjectValue) {
        let config = match self
            .context
            .dialect()
            .read_config(&object.name, &object.body)
        {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(error) => {
                tracing::warn!(
                    %error,
                    revision = object.version.revision,
                    era = object.version.era,
                    "configuration cannot be decoded; keeping the active one"
                );
                return;
            }
        };
        let version = config.version;
        let routes = config.routes.len();
        let in_force = self.context.set_table(RouteTable::new(config));
        tracing::info!(
            version,
            routes,
            revision = object.version.revision,
            era = object.version.era,
            in_force,
            "configuration read"
        );
    }
}

impl<Time, Dialect> KindSink for ConfigSink<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    fn apply_snapshot(&self, snapshot: KindSnapshot, _lapse_until: Option<Instant>) {
        for object in &snapshot.objects {
            self.apply_config(object);
        }
    }

    fn apply_changes(&self, changes: KindChanges, _lapse_until: Option<Instant>) {
        for event in changes.events.iter().filter(|event| !event.is_deleted) {
            self.apply_config(&event.object);
        }
    }

    fn record_answer(&self, started: Instant) {
        self.context.pauses().record_config_read(started);
    }

    async fn wait_for_recheck(&self) {
        self.context.pauses().wait_for_recheck().await;
    }
}

/// Applies the registrations of endpoints.
#[derive(Debug)]
pub struct EndpointSink<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
}

impl<Time, Dialect> EndpointSink<Time, Dialect> {
    /// Creates a sink that writes to `context`.
    pub fn new(context: RelayContext<Time, Dialect>) -> Self {
        Self { context }
    }
}

impl<Time, Dialect> EndpointSink<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    fn decode_record(&self, object: &ObjectValue) -> Option<EndpointRecord> {
        match self
            .context
            .dialect()
            .read_endpoint(&object.name, &object.body)
        {
            Ok(record) => Some(record),
            Err(error) => {
                tracing::warn!(
                    %error,
                    revision = object.version.revision,
                    era = object.version.era,
                    "registration cannot be decoded; skipped"
                );
                None
            }
        }
    }

    fn publish_change(&self, change: &FleetChange, version: StoreVersion) {
        let (event, id) = match change {
            FleetChange::Changed(id) => ("changed", id),
            FleetChange::Draining(id) => ("draining", id),
            FleetChange::Gone(id) => ("gone", id),
            FleetChange::Lapsing(id) => ("lapsing", id),
        };
        if matches!(change, FleetChange::Gone(_)) {
            self.context.tracker().forget(id);
            self.context.report_cache().forget(id);
            self.context.first_engines().forget(id);
            self.context.pool().borrow_mut().close_endpoint(id);
        }
        let fleet = self.context.fleet().borrow();
        let record = fleet.record(id);
        let layers = record.and_then(|record| record.layers);
        let layers = layers.map(|layers| layers.to_string());
        let StoreVersion { era, revision } = version;
        tracing::info!(endpoint = %id, event, layers, revision, era, "endpoint registration");
    }
}

impl<Time, Dialect> EndpointSink<Time, Dialect>
where
    Time: Clock,
{
    /// Records the ends of processes in whose place another one has started.
    fn confirm_ends(&self, now: Instant) {
        let superseded = self.context.fleet().borrow_mut().take_superseded();
        for (record, later) in &superseded {
            let process = process_id(record);
            self.context
                .crashes()
                .borrow_mut()
                .confirm_end(&process, now);
            if !record.is_draining {
                record_successor(&self.context, &process, &process_id(later));
            }
            let is_engine = self.context.fleet().borrow().is_engine(record);
            if is_engine && !record.is_draining && self.context.losses().is_shared() {
                let incarnation = Some(record.started_at_ms);
                let evidence = LossEvidence::Superseded;
                publish_loss(&self.context, &record.id, incarnation, evidence);
            }
        }
        if !superseded.is_empty() {
            log_changes(&self.context);
        }
    }
}

impl<Time, Dialect> KindSink for EndpointSink<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    fn apply_snapshot(&self, snapshot: KindSnapshot, lapse_until: Option<Instant>) {
        let records = snapshot
            .objects
            .iter()
            .filter_map(|object| self.decode_record(object));
        let records = records.collect();
        let now = self.context.now();
        let changes = {
            let mut fleet = self.context.fleet().borrow_mut();
            fleet.record_store_era(snapshot.version.era, now);
            fleet.replace(records, lapse_until, now)
        };
        self.context.record_endpoint_list();
        self.confirm_ends(now);
        for change in &changes {
            self.publish_change(change, snapshot.version);
        }
    }

    fn apply_changes(&self, changes: KindChanges, lapse_until: Option<Instant>) {
        let now = self.context.now();
        for event in &changes.events {
            let change = if event.is_deleted {
                let mut fleet = self.context.fleet().borrow_mut();
                fleet.delete(&event.object.name, lapse_until, now)
            } else {
                let record = self.decode_record(&event.object);
                let mut fleet = self.context.fleet().borrow_mut();
                record.and_then(|record| fleet.update(record, now))
            };
            if let Some(change) = change {
                self.publish_change(&change, event.object.version);
            }
        }
        self.confirm_ends(now);
    }
}
