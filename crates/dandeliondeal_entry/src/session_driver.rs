//! Carries out what a session asks for, over sockets and timers.

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

use crate::engine_use::EngineHold;
use crate::log_budget::LogShare;
use crate::session_recorder::SessionRecorder;

/// Time between two ticks of a session.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a step's timeout after which its call is dropped, however late the answer may be.
const CALL_TIMEOUTS: u32 = 16;

/// Finds chains for one request.
pub trait ChainSource: Debug {
    /// The cheapest chain over `range` without the endpoints to avoid.
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain>;

    /// Whether an endpoint was seen leaving.
    fn is_leaving(&self, endpoint: &EndpointId) -> bool;
}

/// One session with everything that it runs on.
#[derive(Debug)]
pub struct SessionDriver<Engine, Chains, ClockSource> {
    /// The engines.
    pub engine: Engine,
    /// Where chains come from.
    pub chains: Chains,
    /// The clock.
    pub clock: ClockSource,
    /// The decisions.
    pub machine: SessionMachine,
    /// The request.
    pub request: RequestId,
    /// When the wait for the answer is over.
    pub deadline: Instant,
    /// The engines in use.
    pub hold: EngineHold,
    /// The memory in use.
    pub share: LogShare,
    /// Records the session, if the log takes it.
    pub recorder: Option<SessionRecorder>,
}

/// Timers and calls of a session.
#[derive(Debug)]
struct DriverState<Calls> {
    events: VecDeque<SessionEvent>,
    calls: Calls,
    overdue: Option<(AttemptNumber, Instant)>,
    next_tick: Instant,
    has_caller: bool,
    end: Option<Result<(), RouteError>>,
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
    /// Why the request was given up, with its outcome.
    pub async fn run(&mut self, tokens: &UnboundedSender<Token>) -> Result<(), RouteError> {
        let mut state = DriverState {
            events: VecDeque::from([SessionEvent::Begin]),
            calls: FuturesUnordered::new(),
            overdue: None,
            next_tick: self.clock.now() + TICK_INTERVAL,
            has_caller: true,
            end: None,
        };
        loop {
            while let Some(event) = state.events.pop_front() {
                for action in self.handle(event) {
                    if let Some(call) = self.act(action, &mut state, tokens) {
                        state
                            .calls
                            .push(perform(self.engine.clone(), self.request.clone(), call));
                    }
                }
            }
            self.account();
            if let Some(end) = state.end.take() {
                return end;
            }
            self.wait(&mut state, tokens).await;
        }
    }

    fn handle(&mut self, event: SessionEvent) -> Vec<SessionAction> {
        let now = self.clock.now();
        let Some(recorder) = &self.recorder else {
            return self.machine.handle(event, now);
        };
        recorder.input(&event, now);
        let actions = self.machine.handle(event, now);
        recorder.actions(&actions, now);
        actions
    }

    /// Carries out an action, or returns it if it is a call to wait for.
    fn act<Calls>(
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
            // The receiver is gone if the caller left; a request that goes on then has no reader.
            SessionAction::Deliver { token, .. } => drop(tokens.send(token)),
            SessionAction::Finish => state.end = Some(Ok(())),
            SessionAction::Fail { error } => state.end = Some(Err(error)),
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
                state.overdue = Some((attempt, self.clock.now() + timeout));
                return Some(action);
            }
            call => return Some(call),
        }
        None
    }

    /// Waits for the next event and queues it.
    async fn wait<Call>(
        &self,
        state: &mut DriverState<FuturesUnordered<Call>>,
        tokens: &UnboundedSender<Token>,
    ) where
        Call: Future<Output = SessionEvent>,
    {
        let overdue = state.overdue.map(|(_, time)| time);
        let wake = overdue
            .into_iter()
            .chain([state.next_tick, self.deadline])
            .min()
            .unwrap_or(self.deadline);
        let left = wake.saturating_duration_since(self.clock.now());
        tokio::select! {
            biased;
            Some(event) = state.calls.next(), if !state.calls.is_empty() => {
                state.events.push_back(event);
            }
            () = tokens.closed(), if state.has_caller => {
                state.has_caller = false;
                state.events.push_back(SessionEvent::CallerLeft);
            }
            () = actix_rt::time::sleep(left) => self.wake(state),
        }
    }

    /// Queues the events whose time has come.
    fn wake<Calls>(&self, state: &mut DriverState<Calls>) {
        let now = self.clock.now();
        if now >= self.deadline {
            state.events.push_back(SessionEvent::Deadline);
            return;
        }
        if let Some((attempt, time)) = state.overdue
            && now >= time
        {
            state.overdue = None;
            state.events.push_back(SessionEvent::Overdue { attempt });
        }
        if now >= state.next_tick {
            state.next_tick = now + TICK_INTERVAL;
            state.events.extend(self.leaving());
            state.events.push_back(SessionEvent::Tick);
        }
    }

    fn leaving(&self) -> impl Iterator<Item = SessionEvent> {
        self.machine
            .stages()
            .iter()
            .filter(|stage| self.chains.is_leaving(&stage.endpoint))
            .map(|stage| SessionEvent::Leaving {
                endpoint: stage.endpoint.clone(),
            })
    }

    /// Notes what the session occupies, and gives memory back where all sessions hold too much.
    fn account(&mut self) {
        self.hold
            .set(self.machine.stages().iter().map(|stage| &stage.endpoint));
        let logged = self.machine.logged();
        if self.share.set(logged as u64) {
            let stages = self.machine.stages().len().max(1);
            let limit = logged / stages / 2;
            if let Some(recorder) = &self.recorder {
                recorder.trim(limit, self.clock.now());
            }
            self.machine.trim_logs(limit);
            self.share.set(self.machine.logged() as u64);
        }
    }
}

/// Makes one call and returns its end as an event.
async fn perform<Engine>(engine: Engine, request: RequestId, call: SessionAction) -> SessionEvent
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
            let limit = timeout.saturating_mul(CALL_TIMEOUTS);
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
