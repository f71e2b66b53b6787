//! Instances, services, and requests that may run at most once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimOrigin, ClaimRecord, ClaimState, ClaimView, OutcomeRecord,
    RequestFingerprint, ShardAction, ShardEvent, ShardReply, ShardTask, TicketId,
};
use dandeliondeal_types::{EndpointId, InstanceId, Outcome, RequestId};

use crate::StatedOutcome;
use crate::replay_engine::{CallFaults, take_one};
use crate::replay_world::{ReplayWorld, WorldTask};

/// Longest wait for a claim, and for the first request of a key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
const REPEAT_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an outcome to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_mins(1);

/// A plain service.
#[derive(Debug, Default)]
pub(crate) struct ReplayService {
    pub(crate) faults: CallFaults,
    pub(crate) is_dead: bool,
    /// Key and request of each call that ran.
    pub(crate) ledger: Vec<(Arc<str>, RequestId)>,
    settled: BTreeSet<RequestId>,
}

/// What comes back from a service, or fails to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServiceAnswer {
    Ran,
    Refused,
    TimedOut,
    Unsettled,
}

/// One request that may run at most once.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    pub(crate) instance: InstanceId,
    pub(crate) key: Arc<str>,
    pub(crate) service: EndpointId,
    pub(crate) end: StatedOutcome,
}

impl ReplayWorld {
    /// Starts a request that may run at most once: its key is claimed first.
    pub(crate) fn start_keyed(&mut self, request: &RequestId, keyed: KeyedRequest) {
        let record = ClaimRecord {
            key: ClaimKey {
                organisation: "guild".into(),
                key: Arc::clone(&keyed.key),
            },
            fingerprint: RequestFingerprint::of([keyed.service.as_bytes()]),
            request: Arc::clone(request),
            candidates: vec![Arc::clone(&keyed.service)],
        };
        self.services.entry(Arc::clone(&keyed.service)).or_default();
        self.keyed.insert(Arc::clone(request), keyed);
        self.submit(
            request,
            ShardTask::Claim(record, ClaimOrigin::Local),
            CLAIM_TIMEOUT,
        );
    }

    /// Hands an event to the claim log of an instance.
    pub(crate) fn shard_event(&mut self, id: &InstanceId, process: u32, event: ShardEvent) {
        let now = self.now();
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if instance.is_gone() || instance.process != process {
            return;
        }
        if instance.is_paused() {
            let task = WorldTask::Shard(Arc::clone(id), process, event);
            instance.held.push(task);
            return;
        }
        for action in instance.writer.handle(event, now) {
            self.shard_action(id, process, action);
        }
    }

    /// Carries out a call that has arrived at the platform.
    pub(crate) fn store_call(&mut self, id: &InstanceId, process: u32, action: ShardAction) {
        let Some(result) = self.store.call(action) else {
            return;
        };
        if result.is_late {
            self.after(self.store.late, WorldTask::LandLate);
        }
        let task = WorldTask::Shard(Arc::clone(id), process, result.event);
        self.after(result.wait + self.link(), task);
    }

    /// Carries out a call that has arrived at a service.
    pub(crate) fn service_call(&mut self, request: &RequestId) {
        let Some(service) = self.service_of(request) else {
            return;
        };
        let (service, key) = service;
        if service.is_dead {
            return self.answer_service(request, ServiceAnswer::Refused);
        }
        if take_one(&mut service.faults.lose_calls) {
            return;
        }
        if service.settled.contains(request) {
            return self.answer_service(request, ServiceAnswer::Refused);
        }
        service.ledger.push((key, Arc::clone(request)));
        if take_one(&mut service.faults.lose_answers) {
            return;
        }
        self.answer_service(request, ServiceAnswer::Ran);
    }

    /// Carries out a settlement that has arrived at a service.
    pub(crate) fn settlement_call(&mut self, request: &RequestId) {
        let Some((service, _)) = self.service_of(request) else {
            return;
        };
        let answer = if service.is_dead {
            ServiceAnswer::Unsettled
        } else if service.ledger.iter().any(|(_, ran)| ran == request) {
            ServiceAnswer::Ran
        } else {
            service.settled.insert(Arc::clone(request));
            ServiceAnswer::Refused
        };
        self.answer_service(request, answer);
    }

    /// Takes what a service said into the request.
    pub(crate) fn service_answer(&mut self, request: &RequestId, answer: ServiceAnswer) {
        let Some(keyed) = self.keyed.get(request) else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&keyed.instance) else {
            return;
        };
        if instance.is_gone() || keyed.end != StatedOutcome::Open {
            return;
        }
        if instance.is_paused() {
            let task = WorldTask::ServiceAnswer(Arc::clone(request), answer);
            instance.held.push(task);
            return;
        }
        let settles = self.settings.settling_services.contains(&keyed.service);
        match answer {
            ServiceAnswer::Ran => self.end_keyed(request, Outcome::Answered),
            ServiceAnswer::Refused => self.end_keyed(request, Outcome::NotRun),
            ServiceAnswer::TimedOut if settles => {
                let task = WorldTask::SettlementCall(Arc::clone(request));
                self.after(self.link(), task);
            }
            ServiceAnswer::TimedOut | ServiceAnswer::Unsettled => {
                self.end_keyed(request, Outcome::InDoubt);
            }
        }
    }

    fn submit(&mut self, request: &RequestId, task: ShardTask, timeout: Duration) {
        let deadline = self.now() + timeout;
        let Some(id) = self
            .keyed
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
        self.shard_event(&id, process, event);
    }

    fn shard_action(&mut self, id: &InstanceId, process: u32, action: ShardAction) {
        match action {
            ShardAction::Reply(ticket, reply) => {
                let instance = self.instances.get(id);
                let request = instance.and_then(|instance| instance.tickets.get(&ticket));
                if let Some(request) = request.cloned() {
                    self.claim_reply(&request, reply);
                }
            }
            ShardAction::Wake(at) => {
                let wait = at.saturating_duration_since(self.now());
                let task = WorldTask::Shard(Arc::clone(id), process, ShardEvent::Tick);
                self.after(wait, task);
            }
            call => {
                let wait = self.link() + self.store.slow;
                self.after(wait, WorldTask::StoreCall(Arc::clone(id), process, call));
            }
        }
    }

    fn claim_reply(&mut self, request: &RequestId, reply: ShardReply) {
        match reply {
            ShardReply::Claimed => self.dispatch(request),
            ShardReply::Repeat(view) => self.repeat(request, &view),
            ShardReply::Found(Some(view)) => self.tell(request, view.state),
            ShardReply::KeyReused => self.set_end(request, StatedOutcome::NotRun),
            // The request is withdrawn, but an earlier one with its key may have run.
            ShardReply::Unconfirmed(_) | ShardReply::Withdrawn => {
                self.set_end(request, StatedOutcome::InDoubt);
            }
            ShardReply::Found(None) => self.set_end(request, StatedOutcome::InDoubt),
            ShardReply::Recorded => {}
        }
    }

    fn dispatch(&mut self, request: &RequestId) {
        let Some((service, _)) = self.service_of(request) else {
            return;
        };
        let wait = service.faults.slow + self.link();
        self.after(wait, WorldTask::ServiceCall(Arc::clone(request)));
        let timeout = WorldTask::ServiceAnswer(Arc::clone(request), ServiceAnswer::TimedOut);
        self.after(SERVICE_TIMEOUT, timeout);
    }

    fn repeat(&mut self, request: &RequestId, view: &ClaimView) {
        if view.state == ClaimState::Running {
            let task = ShardTask::Await(Arc::clone(&view.request));
            return self.submit(request, task, REPEAT_TIMEOUT);
        }
        self.tell(request, view.state);
    }

    /// Gives a repeat the outcome of the first request with its key.
    fn tell(&mut self, request: &RequestId, state: ClaimState) {
        let outcome = state.outcome().unwrap_or(Outcome::InDoubt);
        self.set_end(request, outcome.into());
    }

    fn end_keyed(&mut self, request: &RequestId, outcome: Outcome) {
        self.set_end(request, outcome.into());
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
        self.submit(request, ShardTask::Record(record), RECORD_TIMEOUT);
    }

    fn set_end(&mut self, request: &RequestId, end: StatedOutcome) {
        if let Some(keyed) = self.keyed.get_mut(request)
            && keyed.end == StatedOutcome::Open
        {
            keyed.end = end;
        }
    }

    fn answer_service(&mut self, request: &RequestId, answer: ServiceAnswer) {
        let slow = self
            .service_of(request)
            .map_or(Duration::ZERO, |(service, _)| service.faults.slow);
        let task = WorldTask::ServiceAnswer(Arc::clone(request), answer);
        self.after(slow + self.link(), task);
    }

    fn service_of(&mut self, request: &RequestId) -> Option<(&mut ReplayService, Arc<str>)> {
        let keyed = self.keyed.get(request)?;
        let key = Arc::clone(&keyed.key);
        Some((self.services.get_mut(&keyed.service)?, key))
    }
}
