//! Simulated services and at-most-once requests, whose idempotency keys are claimed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimOrigin, ClaimRecord, ClaimState, ClaimView, OutcomeRecord,
    RequestFingerprint, ShardAction, ShardEvent, ShardReply, ShardTask, TicketId,
};
use dandeliondeal_types::{EndpointId, InstanceId, Outcome, RequestId};

use crate::RequestOutcome;
use crate::replay_engine::{CallFaults, consume_fault};
use crate::replay_simulation::{ReplaySimulation, SimulationTask};

/// Maximum time that a request waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a repeated request waits for the first request with its key.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that a request waits for the answer of a service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that the claim log has to record an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_mins(1);

/// A simulated service, which runs each call that reaches it.
#[derive(Debug, Default)]
pub(crate) struct ReplayService {
    pub(crate) faults: CallFaults,
    pub(crate) is_killed: bool,
    /// Key and request of each call that ran.
    pub(crate) ledger: Vec<(Arc<str>, RequestId)>,
    /// Requests settled as not run, whose calls are refused from then on.
    settled_requests: BTreeSet<RequestId>,
}

/// Result of a call or a settlement at a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServiceAnswer {
    Ran,
    Refused,
    TimedOut,
    /// The settlement failed, so it is unknown whether the call ran.
    Unsettled,
}

/// A request with an idempotency key, which runs at most once.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    pub(crate) instance: InstanceId,
    pub(crate) key: Arc<str>,
    pub(crate) service: EndpointId,
    pub(crate) outcome: RequestOutcome,
}

impl ReplaySimulation {
    /// Starts an at-most-once request by claiming its idempotency key.
    pub(crate) fn start_keyed(&mut self, request: &RequestId, keyed: KeyedRequest) {
        let record = ClaimRecord {
            key: ClaimKey {
                organisation: "guild".into(),
                key: Arc::clone(&keyed.key),
            },
            fingerprint: RequestFingerprint::from_parts([keyed.service.as_bytes()]),
            request: Arc::clone(request),
            candidates: vec![Arc::clone(&keyed.service)],
        };
        self.services.entry(Arc::clone(&keyed.service)).or_default();
        self.keyed_requests.insert(Arc::clone(request), keyed);
        self.submit_claim_task(
            request,
            ShardTask::Claim(record, ClaimOrigin::Local),
            CLAIM_TIMEOUT,
        );
    }

    /// Passes an event to the claim log of an instance.
    pub(crate) fn handle_shard_event(&mut self, id: &InstanceId, process: u32, event: ShardEvent) {
        let now = self.now();
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if instance.is_terminated() || instance.process != process {
            return;
        }
        if instance.is_paused() {
            let task = SimulationTask::ShardEvent(Arc::clone(id), process, event);
            instance.deferred_tasks.push(task);
            return;
        }
        for action in instance.claim_writer.handle(event, now) {
            self.handle_shard_action(id, process, action);
        }
    }

    /// Executes a claim log call that has arrived at the platform.
    pub(crate) fn handle_store_call(&mut self, id: &InstanceId, process: u32, action: ShardAction) {
        let Some(result) = self.store.execute(action) else {
            return;
        };
        if result.is_write_late {
            self.schedule(self.store.late_delay, SimulationTask::ApplyLateWrites);
        }
        let task = SimulationTask::ShardEvent(Arc::clone(id), process, result.event);
        self.schedule(result.delay + self.link_delay(), task);
    }

    /// Executes a call that has arrived at a service.
    pub(crate) fn handle_service_call(&mut self, request: &RequestId) {
        let Some(service_and_key) = self.service_for(request) else {
            return;
        };
        let (service, key) = service_and_key;
        if service.is_killed {
            return self.schedule_service_answer(request, ServiceAnswer::Refused);
        }
        if consume_fault(&mut service.faults.lose_calls) {
            return;
        }
        if service.settled_requests.contains(request) {
            return self.schedule_service_answer(request, ServiceAnswer::Refused);
        }
        service.ledger.push((key, Arc::clone(request)));
        if consume_fault(&mut service.faults.lose_answers) {
            return;
        }
        self.schedule_service_answer(request, ServiceAnswer::Ran);
    }

    /// Executes a settlement that has arrived at a service.
    ///
    /// A settlement asks whether the call ran and, if it did not, prevents it from running later.
    pub(crate) fn handle_settlement_call(&mut self, request: &RequestId) {
        let Some((service, _)) = self.service_for(request) else {
            return;
        };
        let answer = if service.is_killed {
            ServiceAnswer::Unsettled
        } else if service
            .ledger
            .iter()
            .any(|(_, executed)| executed == request)
        {
            ServiceAnswer::Ran
        } else {
            service.settled_requests.insert(Arc::clone(request));
            ServiceAnswer::Refused
        };
        self.schedule_service_answer(request, answer);
    }

    /// Ends a request, or starts its settlement, according to the answer of its service.
    pub(crate) fn handle_service_answer(&mut self, request: &RequestId, answer: ServiceAnswer) {
        let Some(keyed) = self.keyed_requests.get(request) else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&keyed.instance) else {
            return;
        };
        if instance.is_terminated() || keyed.outcome != RequestOutcome::Open {
            return;
        }
        if instance.is_paused() {
            let task = SimulationTask::ServiceAnswer(Arc::clone(request), answer);
            instance.deferred_tasks.push(task);
            return;
        }
        let supports_settlement = self.settings.settling_services.contains(&keyed.service);
        match answer {
            ServiceAnswer::Ran => self.finish_keyed(request, Outcome::Answered),
            ServiceAnswer::Refused => self.finish_keyed(request, Outcome::NotRun),
            ServiceAnswer::TimedOut if supports_settlement => {
                let task = SimulationTask::SettlementCall(Arc::clone(request));
                self.schedule(self.link_delay(), task);
            }
            ServiceAnswer::TimedOut | ServiceAnswer::Unsettled => {
                self.finish_keyed(request, Outcome::InDoubt);
            }
        }
    }

    fn submit_claim_task(&mut self, request: &RequestId, task: ShardTask, timeout: Duration) {
        let deadline = self.now() + timeout;
        let Some(id) = self
            .keyed_requests
            .get(request)
            .map(|keyed| Arc::clone(&keyed.instance))
        else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let ticket = instance.tickets.len() as TicketId;
        instance.tickets.insert(ticket, Arc::clone(request));
        let process = instance.process;
        let event = ShardEvent::Submit {
            ticket,
            task,
            deadline,
        };
        self.handle_shard_event(&id, process, event);
    }

    fn handle_shard_action(&mut self, id: &InstanceId, process: u32, action: ShardAction) {
        match action {
            ShardAction::Reply(ticket, reply) => {
                let instance = self.instances.get(id);
                let request = instance.and_then(|instance| instance.tickets.get(&ticket));
                if let Some(request) = request.cloned() {
                    self.handle_claim_reply(&request, reply);
                }
            }
            ShardAction::Wake(at) => {
                let delay = at.saturating_duration_since(self.now());
                let task = SimulationTask::ShardEvent(Arc::clone(id), process, ShardEvent::Tick);
                self.schedule(delay, task);
            }
            call => {
                let delay = self.link_delay() + self.store.added_latency;
                self.schedule(
                    delay,
                    SimulationTask::StoreCall(Arc::clone(id), process, call),
                );
            }
        }
    }

    fn handle_claim_reply(&mut self, request: &RequestId, reply: ShardReply) {
        match reply {
            ShardReply::Claimed => self.call_service(request),
            ShardReply::Repeat(view) => self.handle_repeat(request, &view),
            ShardReply::Found(Some(view)) => self.copy_outcome(request, view.state),
            ShardReply::KeyReused => self.set_outcome(request, RequestOutcome::NotRun),
            // The request is withdrawn, but an earlier request with the same key may have run.
            ShardReply::Unconfirmed(_) | ShardReply::Withdrawn => {
                self.set_outcome(request, RequestOutcome::InDoubt);
            }
            ShardReply::Found(None) => self.set_outcome(request, RequestOutcome::InDoubt),
            ShardReply::Recorded => {}
        }
    }

    fn call_service(&mut self, request: &RequestId) {
        let Some((service, _)) = self.service_for(request) else {
            return;
        };
        let delay = service.faults.added_latency + self.link_delay();
        self.schedule(delay, SimulationTask::ServiceCall(Arc::clone(request)));
        let timeout_task =
            SimulationTask::ServiceAnswer(Arc::clone(request), ServiceAnswer::TimedOut);
        self.schedule(SERVICE_TIMEOUT, timeout_task);
    }

    fn handle_repeat(&mut self, request: &RequestId, view: &ClaimView) {
        if view.state == ClaimState::Running {
            let task = ShardTask::Await(Arc::clone(&view.request));
            return self.submit_claim_task(request, task, REPEAT_TIMEOUT);
        }
        self.copy_outcome(request, view.state);
    }

    /// Sets the outcome of a repeated request to that of the first request with its key.
    fn copy_outcome(&mut self, request: &RequestId, state: ClaimState) {
        let outcome = state.outcome().unwrap_or(Outcome::InDoubt);
        self.set_outcome(request, outcome.into());
    }

    fn finish_keyed(&mut self, request: &RequestId, outcome: Outcome) {
        self.set_outcome(request, outcome.into());
        let answer = (outcome == Outcome::Answered).then(|| ClaimAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Some("done".into()),
        });
        let record = OutcomeRecord {
            request: Arc::clone(request),
            outcome,
            answer,
        };
        self.submit_claim_task(request, ShardTask::Record(record), RECORD_TIMEOUT);
    }

    fn set_outcome(&mut self, request: &RequestId, outcome: RequestOutcome) {
        if let Some(keyed) = self.keyed_requests.get_mut(request)
            && keyed.outcome == RequestOutcome::Open
        {
            keyed.outcome = outcome;
        }
    }

    fn schedule_service_answer(&mut self, request: &RequestId, answer: ServiceAnswer) {
        let added_latency = self
            .service_for(request)
            .map_or(Duration::ZERO, |(service, _)| service.faults.added_latency);
        let task = SimulationTask::ServiceAnswer(Arc::clone(request), answer);
        self.schedule(added_latency + self.link_delay(), task);
    }

    fn service_for(&mut self, request: &RequestId) -> Option<(&mut ReplayService, Arc<str>)> {
        let keyed = self.keyed_requests.get(request)?;
        let key = Arc::clone(&keyed.key);
        Some((self.services.get_mut(&keyed.service)?, key))
    }
}
