//! Performs the actions of a session with engine calls and timers.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::{
    AttemptNumber, PlanChain, SessionAction, SessionEvent, SessionMachine,
};
use dandeliondeal_types::{
    Clock, EndpointId, EngineClient, LayerRange, RequestId, RouteError, Token,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc::UnboundedSender;

use crate::engine_use::EngineUseGuard;
use crate::log_budget::LogShare;
use crate::session_recorder::SessionRecorder;

/// Time between two ticks of a session.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Multiple of a step's timeout for which its call stays open to receive a late answer.
const CALL_TIMEOUT_FACTOR: u32 = 16;

/// Plans chains for one request.
pub trait ChainSource: Debug {
    /// Returns the cheapest chain over `range` that excludes the endpoints in `avoid`.
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain>;

    /// Returns whether an endpoint is leaving.
    fn is_leaving(&self, endpoint: &EndpointId) -> bool;
}

/// One session with the resources that it uses.
#[derive(Debug)]
pub struct SessionDriver<Engine, Chains, ClockSource> {
    /// Client for the engines.
    pub engine: Engine,
    /// Planner of chains.
    pub chains: Chains,
    /// Clock.
    pub clock: ClockSource,
    /// Session state machine.
    pub machine: SessionMachine,
    /// Id of the request.
    pub request: RequestId,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Guard that counts the engines that the session uses.
    pub engine_use: EngineUseGuard,
    /// Share of the memory budget for logged inputs.
    pub log_share: LogShare,
    /// Recorder of the session, if the log level enables it.
    pub recorder: Option<SessionRecorder>,
}

/// Pending events, calls and timers of a session.
#[derive(Debug)]
struct DriverState<Calls> {
    events: VecDeque<SessionEvent>,
    calls: Calls,
    step_deadline: Option<(AttemptNumber, Instant)>,
    next_tick: Instant,
    has_caller: bool,
    result: Option<Result<(), RouteError>>,
}

impl<Engine, Chains, ClockSource> SessionDriver<Engine, Chains, ClockSource>
where
    Engine: EngineClient,
    Chains: ChainSource,
    ClockSource: Clock,
{
    /// Runs the session to its end and sends its tokens in order.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request was abandoned, with its outcome.
    pub async fn run(&mut self, tokens: &UnboundedSender<Token>) -> Result<(), RouteError> {
        let mut state = DriverState {
            events: VecDeque::from([SessionEvent::Begin]),
            calls: FuturesUnordered::new(),
            step_deadline: None,
            next_tick: self.clock.now() + TICK_INTERVAL,
            has_caller: true,
            result: None,
        };
        loop {
            while let Some(event) = state.events.pop_front() {
                for action in self.handle_event(event) {
                    if let Some(call) = self.perform_action(action, &mut state, tokens) {
                        state.calls.push(perform_call(
                            self.engine.clone(),
                            self.request.clone(),
                            call,
                        ));
                    }
                }
            }
            self.update_usage();
            if let Some(result) = state.result.take() {
                return result;
            }
            self.wait_for_event(&mut state, tokens).await;
        }
    }

    fn handle_event(&mut self, event: SessionEvent) -> Vec<SessionAction> {
        let now = self.clock.now();
        let Some(recorder) = &self.recorder else {
            return self.machine.handle(event, now);
        };
        recorder.input(&event, now);
        let actions = self.machine.handle(event, now);
        recorder.actions(&actions, now);
        actions
    }

    /// Performs an action, or returns it if it is a call to wait for.
    fn perform_action<Calls>(
        &mut self,
        action: SessionAction,
        state: &mut DriverState<Calls>,
        tokens: &UnboundedSender<Token>,
    ) -> Option<SessionAction> {
        match action {
            SessionAction::Place { range, avoid } => {
                let chain = self.chains.plan(range, &avoid);
                state.events.push_back(SessionEvent::Placed { chain });
            }
            // The receiver is gone if the caller disconnected while the request continues.
            SessionAction::Deliver { token, .. } => drop(tokens.send(token)),
            SessionAction::Finish => state.result = Some(Ok(())),
            SessionAction::Fail { error } => state.result = Some(Err(error)),
            SessionAction::Cancel { endpoint } => {
                let (engine, request) = (self.engine.clone(), self.request.clone());
                actix_rt::spawn(async move { drop(engine.cancel(&endpoint, &request).await) });
            }
            SessionAction::Renew { endpoint, life } => {
                let (engine, request) = (self.engine.clone(), self.request.clone());
                actix_rt::spawn(async move { drop(engine.renew(&endpoint, &request, life).await) });
            }
            SessionAction::Step {
                attempt, timeout, ..
            } => {
                state.step_deadline = Some((attempt, self.clock.now() + timeout));
                return Some(action);
            }
            call => return Some(call),
        }
        None
    }

    /// Waits for the next event and queues it.
    async fn wait_for_event<Call>(
        &self,
        state: &mut DriverState<FuturesUnordered<Call>>,
        tokens: &UnboundedSender<Token>,
    ) where
        Call: Future<Output = SessionEvent>,
    {
        let step_deadline = state.step_deadline.map(|(_, time)| time);
        let wake_time = step_deadline
            .into_iter()
            .chain([state.next_tick, self.deadline])
            .min()
            .unwrap_or(self.deadline);
        let remaining = wake_time.saturating_duration_since(self.clock.now());
        tokio::select! {
            biased;
            Some(event) = state.calls.next(), if !state.calls.is_empty() => {
                state.events.push_back(event);
            }
            () = tokens.closed(), if state.has_caller => {
                state.has_caller = false;
                state.events.push_back(SessionEvent::CallerLeft);
            }
            () = actix_rt::time::sleep(remaining) => self.queue_due_events(state),
        }
    }

    /// Queues the events that are due.
    fn queue_due_events<Calls>(&self, state: &mut DriverState<Calls>) {
        let now = self.clock.now();
        if now >= self.deadline {
            state.events.push_back(SessionEvent::Deadline);
            return;
        }
        if let Some((attempt, time)) = state.step_deadline
            && now >= time
        {
            state.step_deadline = None;
            state.events.push_back(SessionEvent::Overdue { attempt });
        }
        if now >= state.next_tick {
            state.next_tick = now + TICK_INTERVAL;
            state.events.extend(self.leaving_events());
            state.events.push_back(SessionEvent::Tick);
        }
    }

    fn leaving_events(&self) -> impl Iterator<Item = SessionEvent> {
        self.machine
            .stages()
            .iter()
            .filter(|stage| self.chains.is_leaving(&stage.endpoint))
            .map(|stage| SessionEvent::Leaving {
                endpoint: stage.endpoint.clone(),
            })
    }

    /// Updates the resource use of the session, and trims its logs if the budget is exceeded.
    fn update_usage(&mut self) {
        self.engine_use
            .replace(self.machine.stages().iter().map(|stage| &stage.endpoint));
        let logged_inputs = self.machine.logged_inputs();
        if self.log_share.set(logged_inputs as u64) {
            let stages = self.machine.stages().len().max(1);
            let limit = logged_inputs / stages / 2;
            if let Some(recorder) = &self.recorder {
                recorder.trim(limit, self.clock.now());
            }
            self.machine.trim_logs(limit);
            self.log_share.set(self.machine.logged_inputs() as u64);
        }
    }
}

/// Performs one call and returns its result as an event.
async fn perform_call<Engine>(
    engine: Engine,
    request: RequestId,
    call: SessionAction,
) -> SessionEvent
where
    Engine: EngineClient,
{
    match call {
        SessionAction::Step {
            attempt,
            endpoint,
            call,
            timeout,
            fresh,
        } => {
            let limit = timeout.saturating_mul(CALL_TIMEOUT_FACTOR);
            match engine.step(&endpoint, call, limit, fresh).await {
                Ok(answer) => SessionEvent::Answered { attempt, answer },
                Err(error) => SessionEvent::Failed { attempt, error },
            }
        }
        SessionAction::Ask {
            attempt,
            endpoint,
            timeout,
        } => match engine.status(&endpoint, &request, timeout).await {
            Ok(status) => SessionEvent::Status { attempt, status },
            Err(error) => SessionEvent::Failed { attempt, error },
        },
        SessionAction::Export {
            attempt,
            endpoint,
            timeout,
        } => match engine.export(&endpoint, &request, timeout).await {
            Ok(cache) => SessionEvent::Exported { attempt, cache },
            Err(error) => SessionEvent::Failed { attempt, error },
        },
        SessionAction::Import {
            attempt,
            endpoint,
            lineage,
            cache,
            timeout,
        } => {
            let imported = engine.import(&endpoint, &request, lineage, cache, timeout);
            match imported.await {
                Ok(status) => SessionEvent::Imported { attempt, status },
                Err(error) => SessionEvent::Failed { attempt, error },
            }
        }
        SessionAction::Pause { wait } => {
            actix_rt::time::sleep(wait).await;
            SessionEvent::Resume
        }
        _ => SessionEvent::Tick,
    }
}
