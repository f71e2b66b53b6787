//! The lease that instances contend for.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_store::{LeaseAction, LeaseEvent, LeaseTime, StoreFault};
use dandeliondeal_types::InstanceId;

use crate::ReplayMismatch;
use crate::replay_world::{ReplayWorld, WorldTask};

/// Time between two ticks of a contender.
const LEASE_INTERVAL: Duration = Duration::from_millis(500);

impl ReplayWorld {
    /// Lets time go by at a contender.
    pub(crate) fn lease_tick(&mut self, id: &InstanceId, process: u32) {
        let task = WorldTask::LeaseTick(Arc::clone(id), process);
        self.after(LEASE_INTERVAL, task);
        self.check_holders();
        self.lease_event(id, process, LeaseEvent::Tick);
        self.order_tick(id, process);
    }

    /// Hands an event to a contender.
    pub(crate) fn lease_event(&mut self, id: &InstanceId, process: u32, event: LeaseEvent) {
        let time = LeaseTime::of(self.clock());
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if let Some(action) = instance.lease.handle(event, time) {
            let task = WorldTask::LeaseCall(Arc::clone(id), process, action);
            self.after(self.link() + self.store.slow, task);
        }
        self.check_holders();
    }

    /// Carries out a contender's call that has arrived at the platform.
    pub(crate) fn lease_call(&mut self, id: &InstanceId, process: u32, action: LeaseAction) {
        let is_write = matches!(action, LeaseAction::Put { .. });
        let fault = self.store.prepare(is_write);
        let event = match action {
            LeaseAction::Get(name) => LeaseEvent::Read(self.store.objects.get_now(&name)),
            LeaseAction::Put {
                name,
                condition,
                body,
            } => LeaseEvent::Written(self.store.objects.put_now(&name, condition, body)),
        };
        if fault == StoreFault::Late {
            self.after(self.store.late, WorldTask::LandLate);
        }
        let wait = self.store.wait(fault) + self.link();
        self.after(wait, WorldTask::Lease(Arc::clone(id), process, event));
    }

    /// The instance that may act under the lease now.
    pub(crate) fn holder(&mut self) -> Option<InstanceId> {
        self.holders().into_iter().next().map(|(id, _)| id)
    }

    /// At most one instance may act at any moment, and fencing numbers only rise.
    fn check_holders(&mut self) {
        let holders = self.holders();
        if holders.len() > 1 {
            self.reverts.push(ReplayMismatch {
                line: 0,
                expected: "one holder of the lease at most".into(),
                found: format!("{holders:?} at {} ms", self.elapsed().as_millis()).into(),
            });
        }
        for (id, fence) in holders {
            if fence < self.highest_fence {
                self.reverts.push(ReplayMismatch {
                    line: 0,
                    expected: format!("a fencing number above {}", self.highest_fence).into(),
                    found: format!("{fence} of {id}").into(),
                });
            }
            self.highest_fence = self.highest_fence.max(fence);
        }
    }

    fn holders(&mut self) -> Vec<(InstanceId, u64)> {
        let time = LeaseTime::of(self.clock());
        self.instances
            .iter_mut()
            .filter(|(_, instance)| !instance.is_gone() && !instance.is_paused())
            .filter_map(|(id, instance)| {
                let fence = instance.lease.fence(time)?;
                Some((Arc::clone(id), fence))
            })
            .collect()
    }
}
