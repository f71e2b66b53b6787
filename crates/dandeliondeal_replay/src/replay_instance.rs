//! An instance of the system in a trace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_claim::{ClaimSettings, ShardWriter, TicketId};
use dandeliondeal_config::{ReadinessGate, RolloutMachine};
use dandeliondeal_order::{OrderReconciler, OrderSettings};
use dandeliondeal_store::{LeaseMachine, LeaseSettings};
use dandeliondeal_types::{Incarnation, InstanceId, RequestId};

use crate::TraceError;
use crate::replay_world::WorldTask;

/// Peers that confirm a revision while the platform is down.
const CONFIRMING_PEERS: usize = 1;

/// Whether an instance's process does anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InstanceRun {
    Running,
    /// It stands still; what comes waits.
    Paused,
    Gone,
}

/// One instance of the system.
#[derive(Debug)]
pub(crate) struct ReplayInstance {
    pub(crate) run: InstanceRun,
    /// When a planned stop began.
    pub(crate) stopping: Option<Duration>,
    /// Whether the balancer sends no more callers.
    pub(crate) is_unlisted: bool,
    /// What came while the instance stood still.
    pub(crate) held: Vec<WorldTask>,
    pub(crate) process: u32,
    pub(crate) rollout: RolloutMachine,
    pub(crate) gate: ReadinessGate,
    /// Whether the rollout runs.
    pub(crate) is_rolling: bool,
    pub(crate) lease: LeaseMachine,
    pub(crate) reconciler: OrderReconciler,
    /// Whether the lease was held when it was last checked for an order.
    pub(crate) is_holding: bool,
    /// Terms of the lease so far.
    pub(crate) terms: u64,
    pub(crate) writer: ShardWriter,
    pub(crate) tickets: BTreeMap<TicketId, RequestId>,
}

impl ReplayInstance {
    /// The instance in its process with this number.
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
            run: InstanceRun::Running,
            stopping: None,
            is_unlisted: false,
            held: Vec::new(),
            process,
            rollout: RolloutMachine::default(),
            gate: ReadinessGate::new(CONFIRMING_PEERS),
            is_rolling: false,
            lease,
            reconciler: OrderReconciler::new(OrderSettings::default()),
            is_holding: false,
            terms: 0,
            writer: ShardWriter::new(0, settings),
            tickets: BTreeMap::new(),
        })
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.run == InstanceRun::Paused
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.run == InstanceRun::Gone
    }

    /// Whether new requests reach the instance.
    pub(crate) fn takes_requests(&self) -> bool {
        !self.is_gone() && !self.is_unlisted
    }
}
