//! A simulated instance of the system.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_claim::{ClaimSettings, ShardWriter, TicketId};
use dandeliondeal_config::{ReadinessGate, RolloutMachine};
use dandeliondeal_order::{OrderReconciler, OrderSettings};
use dandeliondeal_store::{LeaseMachine, LeaseSettings};
use dandeliondeal_types::{Incarnation, InstanceId, RequestId};

use crate::TraceError;
use crate::replay_simulation::SimulationTask;

/// Number of peers that have to confirm a revision while the platform is unavailable.
const CONFIRMING_PEERS: usize = 1;

/// State of an instance's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InstanceState {
    Running,
    /// The process is paused, and its tasks are deferred until it resumes.
    Paused,
    Terminated,
}

/// A simulated instance of the system.
#[derive(Debug)]
pub(crate) struct ReplayInstance {
    pub(crate) state: InstanceState,
    /// Simulated time at which a planned stop started.
    pub(crate) stop_started: Option<Duration>,
    /// Whether the load balancer has stopped routing requests to the instance.
    pub(crate) is_deregistered: bool,
    /// Tasks that became due while the instance was paused.
    pub(crate) deferred_tasks: Vec<SimulationTask>,
    /// Number of the current process, from 0; it increases at each start of the instance.
    pub(crate) process: u32,
    pub(crate) rollout: RolloutMachine,
    pub(crate) readiness_gate: ReadinessGate,
    /// Whether the periodic rollout tick has been scheduled.
    pub(crate) is_rollout_started: bool,
    pub(crate) lease: LeaseMachine,
    pub(crate) reconciler: OrderReconciler,
    /// Whether the lease was held when it was last checked for orders.
    pub(crate) was_lease_held: bool,
    /// Number of lease terms so far.
    pub(crate) lease_terms: u64,
    pub(crate) claim_writer: ShardWriter,
    /// Request of each task submitted to the claim log.
    pub(crate) tickets: BTreeMap<TicketId, RequestId>,
}

impl ReplayInstance {
    /// Creates the instance with this process number.
    pub(crate) fn new(line: usize, id: &InstanceId, process: u32) -> Result<Self, TraceError> {
        let incarnation = Incarnation::from(process) + 1;
        let settings = ClaimSettings {
            instance: Arc::clone(id),
            incarnation,
            shards: 1,
            ..ClaimSettings::default()
        };
        let lease = LeaseMachine::new(LeaseSettings {
            instance: Arc::clone(id),
            incarnation,
            ..LeaseSettings::default()
        })
        .map_err(|error| TraceError::new(line, error.to_string()))?;
        Ok(Self {
            state: InstanceState::Running,
            stop_started: None,
            is_deregistered: false,
            deferred_tasks: Vec::new(),
            process,
            rollout: RolloutMachine::default(),
            readiness_gate: ReadinessGate::new(CONFIRMING_PEERS),
            is_rollout_started: false,
            lease,
            reconciler: OrderReconciler::new(OrderSettings::default()),
            was_lease_held: false,
            lease_terms: 0,
            claim_writer: ShardWriter::new(0, settings),
            tickets: BTreeMap::new(),
        })
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.state == InstanceState::Paused
    }

    pub(crate) fn is_terminated(&self) -> bool {
        self.state == InstanceState::Terminated
    }

    /// Returns whether new requests reach the instance.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.is_terminated() && !self.is_deregistered
    }
}
