//! Simulation of the lease for which instances contend.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_store::{LeaseAction, LeaseEvent, LeaseTime, StoreFault};
use dandeliondeal_types::InstanceId;

use crate::ReplayMismatch;
use crate::replay_simulation::{ReplaySimulation, SimulationTask};

/// Interval between lease ticks of a contending instance.
const LEASE_TICK_INTERVAL: Duration = Duration::from_millis(500);

impl ReplaySimulation {
    /// Handles a periodic tick: advances the lease and reconciles orders.
    pub(crate) fn handle_lease_tick(&mut self, id: &InstanceId, process: u32) {
        let task = SimulationTask::LeaseTick(Arc::clone(id), process);
        self.schedule(LEASE_TICK_INTERVAL, task);
        self.check_holders();
        self.handle_lease_event(id, process, LeaseEvent::Tick);
        self.reconcile_orders(id, process);
    }

    /// Passes an event to the lease state machine of an instance.
    pub(crate) fn handle_lease_event(&mut self, id: &InstanceId, process: u32, event: LeaseEvent) {
        let time = LeaseTime::of(self.clock());
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if let Some(action) = instance.lease.handle(event, time) {
            let task = SimulationTask::LeaseCall(Arc::clone(id), process, action);
            self.schedule(self.link_delay() + self.store.added_latency, task);
        }
        self.check_holders();
    }

    /// Executes a lease call that has arrived at the platform.
    pub(crate) fn handle_lease_call(&mut self, id: &InstanceId, process: u32, action: LeaseAction) {
        let is_write = matches!(action, LeaseAction::Put { .. });
        let fault = self.store.set_next_fault(is_write);
        let event = match action {
            LeaseAction::Get(name) => LeaseEvent::Read(self.store.objects.get_now(&name)),
            LeaseAction::Put {
                name,
                condition,
                body,
            } => LeaseEvent::Written(self.store.objects.put_now(&name, condition, body)),
        };
        if fault == StoreFault::Late {
            self.schedule(self.store.late_delay, SimulationTask::ApplyLateWrites);
        }
        let delay = self.store.result_delay(fault) + self.link_delay();
        self.schedule(
            delay,
            SimulationTask::LeaseEvent(Arc::clone(id), process, event),
        );
    }

    /// Returns the instance that may act under the lease now.
    pub(crate) fn lease_holder(&mut self) -> Option<InstanceId> {
        self.lease_holders().into_iter().next().map(|(id, _)| id)
    }

    /// Checks that at most one instance holds the lease and that fencing numbers never decrease.
    fn check_holders(&mut self) {
        let holders = self.lease_holders();
        if holders.len() > 1 {
            self.observed_violations.push(ReplayMismatch {
                line: 0,
                expected: "one holder of the lease at most".into(),
                found: format!("{holders:?} at {} ms", self.elapsed().as_millis()).into(),
            });
        }
        for (id, fencing_number) in holders {
            if fencing_number < self.highest_fencing_number {
                self.observed_violations.push(ReplayMismatch {
                    line: 0,
                    expected: format!("a fencing number above {}", self.highest_fencing_number)
                        .into(),
                    found: format!("{fencing_number} of {id}").into(),
                });
            }
            self.highest_fencing_number = self.highest_fencing_number.max(fencing_number);
        }
    }

    /// Returns the running instances that may act under the lease, with their fencing numbers.
    fn lease_holders(&mut self) -> Vec<(InstanceId, u64)> {
        let time = LeaseTime::of(self.clock());
        self.instances
            .iter_mut()
            .filter(|(_, instance)| !instance.is_terminated() && !instance.is_paused())
            .filter_map(|(id, instance)| {
                let fencing_number = instance.lease.fencing_number(time)?;
                Some((Arc::clone(id), fencing_number))
            })
            .collect()
    }
}
