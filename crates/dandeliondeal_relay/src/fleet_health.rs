//! Monitors of the endpoints: when an endpoint counts as failed, and how plain endpoints are ranked.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_balance::{EndpointMonitor, HealthSettings, MonitorSettings};
use dandeliondeal_chart::ChartError;
use dandeliondeal_types::InstanceId;

/// Minimum number of instances that the monitor of plain endpoints is told of.
///
/// A monitor that believes itself alone ranks by predicted completion times. The time of an endpoint
/// that has not been called is only assumed, and endpoints send no load reports. An endpoint that is
/// assumed to be slower than the measured ones would never be called. Of several instances, each
/// compares the queues.
const MIN_INSTANCE_COUNT: usize = 2;

/// Creates the monitor of the endpoints of plain services.
///
/// # Errors
///
/// Returns [`ChartError`] if the health chart is invalid.
pub(crate) fn plain_monitor(instance: &InstanceId) -> Result<EndpointMonitor, ChartError> {
    let health = HealthSettings {
        // Plain services fail a share of their calls in normal operation.
        suspicion_share: 0.35,
        failure_share: 0.75,
        recovery_share: 0.2,
        failure_run: 4,
        suspicion_run: 3,
        test_delay: Duration::from_millis(700),
        max_test_delay: Duration::from_secs(3),
        list_lag: Duration::ZERO,
        ..HealthSettings::default()
    };
    let mut monitor = create_monitor(instance, health)?;
    set_instance_count(&mut monitor, 1);
    Ok(monitor)
}

/// Creates the monitor of the engines.
///
/// # Errors
///
/// Returns [`ChartError`] if the health chart is invalid.
pub(crate) fn engine_monitor(instance: &InstanceId) -> Result<EndpointMonitor, ChartError> {
    let health = HealthSettings {
        // An engine is marked as failed only on evidence, so one failure is enough.
        failure_run: 1,
        suspicion_run: 1,
        min_overdue_time: Duration::from_mins(1),
        test_delay: Duration::from_millis(1_500),
        // A check costs no request, so a recovery can be noticed soon.
        max_test_delay: Duration::from_secs(3),
        list_lag: Duration::ZERO,
        ..HealthSettings::default()
    };
    create_monitor(instance, health)
}

/// Sets the number of instances of the monitor of plain endpoints.
pub(crate) fn set_instance_count(monitor: &mut EndpointMonitor, instance_count: usize) {
    monitor.set_instance_count(instance_count.max(MIN_INSTANCE_COUNT));
}

fn create_monitor(
    instance: &InstanceId,
    health: HealthSettings,
) -> Result<EndpointMonitor, ChartError> {
    let settings = MonitorSettings {
        health,
        ..MonitorSettings::default()
    };
    EndpointMonitor::new(Arc::clone(instance), settings)
}
