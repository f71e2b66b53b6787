//! In-memory network of engines, whose faults follow a list of random choices.

mod engine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::{
    AttemptNumber, PlanChain, PlanStage, SessionAction, SessionEvent, SessionMachine,
    SessionSettings, SessionSpec,
};
use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, Lineage, Position, RouteError, StepAnswer, StepCall,
    StepName, Token,
};

use engine::{FakeEngine, FakeSession, LedgerEntry, error};

pub const LAYERS: u32 = 6;
const PROMPT: [Token; 5] = [7, 1, 3, 3, 9];
const MAX_TOKENS: usize = 8;
/// Maximum number of events that one run processes.
const EVENT_LIMIT: usize = 20_000;
/// Layer ranges of the engines; two engines serve each.
const RANGES: [(u32, u32); 7] = [(0, 2), (0, 3), (2, 4), (1, 5), (4, 6), (3, 6), (0, 6)];

/// How a session ended, and the tokens that it delivered.
#[derive(Debug)]
pub enum RunEnd {
    Complete(Vec<Token>),
    Failed(Vec<Token>, RouteError),
}

#[derive(Debug)]
pub struct FakeRun {
    pub machine: SessionMachine,
    engines: BTreeMap<EndpointId, (LayerRange, FakeEngine)>,
    ledger: Vec<LedgerEntry>,
    /// Number of engine restarts so far.
    processes: u32,
    /// Random choices that are left; without any, no fault occurs.
    choices: VecDeque<u8>,
    events: VecDeque<SessionEvent>,
    /// Step calls that have not reached their engine yet.
    late_calls: Vec<(AttemptNumber, EndpointId, StepCall)>,
    /// Answers that have not reached the session yet.
    late_events: Vec<SessionEvent>,
    delivered: Vec<Token>,
    end: Option<RunEnd>,
    now: Instant,
}

impl FakeRun {
    pub fn new(choices: Vec<u8>, settings: &SessionSettings) -> Self {
        let spec = SessionSpec {
            request: "r".into(),
            model: "m".into(),
            layers: LAYERS,
            prompt: PROMPT.into(),
            max_tokens: MAX_TOKENS,
            end_token: None,
            priority: 0,
            repeatable: true,
        };
        let settings = SessionSettings {
            leave_grace: Duration::ZERO,
            ..settings.clone()
        };
        let engines = RANGES
            .iter()
            .chain(&RANGES)
            .enumerate()
            .map(|(index, range)| {
                let range = LayerRange::new(range.0, range.1);
                (format!("e{index}").into(), (range, FakeEngine::default()))
            })
            .collect();
        Self {
            machine: SessionMachine::new(spec, settings).expect("the built-in chart is valid"),
            engines,
            ledger: Vec::new(),
            processes: 0,
            choices: choices.into(),
            events: VecDeque::from([SessionEvent::Begin]),
            late_calls: Vec::new(),
            late_events: Vec::new(),
            delivered: Vec::new(),
            end: None,
            now: Instant::now(),
        }
    }

    pub fn kill_all(&mut self) {
        for (_, engine) in self.engines.values_mut() {
            engine.is_dead = true;
        }
    }

    /// Runs until the session has ended and returns the delivered tokens.
    pub fn into_tokens(mut self) -> Vec<Token> {
        match self.finish(0) {
            RunEnd::Complete(tokens) | RunEnd::Failed(tokens, _) => tokens,
        }
    }

    /// Runs until the session has ended, then delivers the late calls to their engines.
    pub fn finish(&mut self, seed: u64) -> RunEnd {
        for _ in 0..EVENT_LIMIT {
            self.inject_fault();
            let Some(event) = self.events.pop_front() else {
                break;
            };
            self.now += Duration::from_millis(1);
            for action in self.machine.handle(event, self.now) {
                self.perform(action);
            }
        }
        while let Some((_, endpoint, call)) = self.late_calls.pop() {
            let _late = self.apply(&endpoint, &call);
        }
        let state = self.machine.state();
        self.end
            .take()
            .unwrap_or_else(|| panic!("seed {seed}: the session did not end, {state:?}"))
    }

    /// Returns the next random choice below `count`, or 0 if none is left.
    fn choose(&mut self, count: u8) -> u8 {
        self.choices.pop_front().map_or(0, |choice| choice % count)
    }

    /// May kill or restart an engine, report one as leaving, deliver a late call or answer, or end
    /// the request.
    fn inject_fault(&mut self) {
        match self.choose(16) {
            1 => {
                self.change_engine(|engine| engine.is_dead = true);
            }
            2 => {
                // Connections end with the process, so late calls to it are lost.
                self.processes += 1;
                let process = self.processes;
                let restarted = self.change_engine(|engine| {
                    *engine = FakeEngine {
                        process,
                        ..FakeEngine::default()
                    };
                });
                self.late_calls
                    .retain(|(_, endpoint, _)| *endpoint != restarted);
            }
            3 | 4 => {
                if let Some((attempt, endpoint, call)) = self.late_calls.pop() {
                    let result = self.apply(&endpoint, &call);
                    self.report(attempt, result);
                }
            }
            5..=7 => self.events.extend(self.late_events.pop()),
            8 => {
                let index = usize::from(self.choose(255));
                let stages = self.machine.stages();
                if !stages.is_empty() {
                    let endpoint = stages[index % stages.len()].endpoint.clone();
                    self.events.push_front(SessionEvent::Leaving { endpoint });
                }
            }
            9 if self.choose(30) == 1 => self.events.push_front(SessionEvent::Deadline),
            10 if self.choose(30) == 1 => self.events.push_front(SessionEvent::CallerLeft),
            _ => {}
        }
    }

    fn change_engine<Change>(&mut self, change: Change) -> EndpointId
    where
        Change: FnOnce(&mut FakeEngine),
    {
        // Half of the faults affect an engine of the current chain.
        let choice = usize::from(self.choose(254));
        let stages = self.machine.stages();
        let endpoint = if choice % 2 == 0 && !stages.is_empty() {
            stages[choice / 2 % stages.len()].endpoint.clone()
        } else {
            let index = choice % self.engines.len();
            self.engines.keys().nth(index).expect("in range").clone()
        };
        let (_, engine) = self.engines.get_mut(&endpoint).expect("a known engine");
        change(engine);
        endpoint
    }

    fn apply(&mut self, endpoint: &EndpointId, call: &StepCall) -> Result<StepAnswer, RouteError> {
        let (_, engine) = self.engines.get_mut(endpoint).expect("a known engine");
        if engine.is_dead {
            return Err(error(ErrorKind::Refused, endpoint));
        }
        engine.step(endpoint, call, &mut self.ledger)
    }

    fn report(&mut self, attempt: AttemptNumber, result: Result<StepAnswer, RouteError>) {
        self.events.push_back(match result {
            Ok(answer) => SessionEvent::Answered { attempt, answer },
            Err(error) => SessionEvent::Failed { attempt, error },
        });
    }

    fn perform(&mut self, action: SessionAction) {
        match action {
            SessionAction::Step {
                attempt,
                endpoint,
                call,
                ..
            } => self.step(attempt, &endpoint, call),
            SessionAction::Ask {
                attempt, endpoint, ..
            } => {
                let status = self.engines[&endpoint].1.status();
                let event = SessionEvent::Status { attempt, status };
                self.answer_call(attempt, &endpoint, event);
            }
            SessionAction::Export {
                attempt, endpoint, ..
            } => self.export(attempt, &endpoint),
            SessionAction::Import {
                attempt,
                endpoint,
                lineage,
                cache,
                ..
            } => self.import(attempt, &endpoint, lineage, &cache),
            SessionAction::Place { range, avoid } => {
                let chain = self.place(range, &avoid);
                self.events.push_front(SessionEvent::Placed { chain });
            }
            SessionAction::Pause { .. } => self.events.push_back(SessionEvent::Resume),
            SessionAction::Cancel { endpoint } => {
                let (_, engine) = self.engines.get_mut(&endpoint).expect("a known engine");
                engine.session = None;
            }
            SessionAction::Deliver { token, .. } => self.delivered.push(token),
            SessionAction::Finish => self.set_end(RunEnd::Complete(self.delivered.clone())),
            SessionAction::Fail { error } => {
                self.set_end(RunEnd::Failed(self.delivered.clone(), error));
            }
            SessionAction::Renew { .. } => {}
        }
    }

    fn set_end(&mut self, end: RunEnd) {
        assert!(self.end.is_none(), "a second end: {end:?}");
        self.end = Some(end);
    }

    fn step(&mut self, attempt: AttemptNumber, endpoint: &EndpointId, call: StepCall) {
        let overdue = SessionEvent::Overdue { attempt };
        match self.choose(14) {
            1 => {
                // The answer is lost, or arrives late and twice.
                if let Ok(answer) = self.apply(endpoint, &call) {
                    let late = SessionEvent::Answered { attempt, answer };
                    self.late_events.extend([late.clone(), late]);
                }
                self.events.push_back(overdue);
            }
            2 => {
                self.late_calls.push((attempt, endpoint.clone(), call));
                self.events.push_back(overdue);
            }
            3 => self.events.push_back(overdue),
            4 => {
                let _lost = self.apply(endpoint, &call);
                let error = error(ErrorKind::NoAnswer, endpoint);
                self.events
                    .push_back(SessionEvent::Failed { attempt, error });
            }
            5 => {
                let result = self
                    .apply(endpoint, &call)
                    .map(|answer| self.corrupt(answer));
                self.report(attempt, result);
            }
            6 => {
                let result = self.apply(endpoint, &call);
                self.report(attempt, result.clone());
                self.report(attempt, result);
            }
            _ => {
                let result = self.apply(endpoint, &call);
                self.report(attempt, result);
            }
        }
    }

    /// Changes an answer so that it does not match its call.
    fn corrupt(&mut self, answer: StepAnswer) -> StepAnswer {
        let mut name = answer.name.clone();
        let mut outputs = answer.outputs;
        match self.choose(5) {
            0 => name.position += 1,
            1 => name.range.end += 1,
            2 => name.lineage += 1,
            3 => name.request = "other".into(),
            _ => outputs = outputs.iter().copied().chain([1]).collect(),
        }
        StepAnswer {
            name: StepName { ..name },
            outputs,
        }
    }

    /// Queues the result of a call, or a failure if the engine is dead or the answer is lost.
    fn answer_call(&mut self, attempt: AttemptNumber, endpoint: &EndpointId, event: SessionEvent) {
        let is_dead = self.engines[endpoint].1.is_dead;
        let event = match (is_dead, self.choose(6)) {
            (true, _) => SessionEvent::Failed {
                attempt,
                error: error(ErrorKind::Refused, endpoint),
            },
            (false, 1) => SessionEvent::Failed {
                attempt,
                error: error(ErrorKind::NoAnswer, endpoint),
            },
            (false, _) => event,
        };
        self.events.push_back(event);
    }

    fn export(&mut self, attempt: AttemptNumber, endpoint: &EndpointId) {
        let Some(session) = &self.engines[endpoint].1.session else {
            let error = error(ErrorKind::Gone, endpoint);
            return self
                .events
                .push_back(SessionEvent::Failed { attempt, error });
        };
        let fields: Vec<String> = [
            u64::from(session.range.start),
            u64::from(session.range.end),
            session.next_position,
        ]
        .iter()
        .chain(&session.cache)
        .map(u64::to_string)
        .collect();
        let cache: Arc<str> = fields.join(" ").into();
        self.answer_call(attempt, endpoint, SessionEvent::Exported { attempt, cache });
    }

    fn import(
        &mut self,
        attempt: AttemptNumber,
        endpoint: &EndpointId,
        lineage: Lineage,
        cache: &str,
    ) {
        let numbers: Vec<u64> = cache
            .split(' ')
            .map(|number| number.parse().expect("a number"))
            .collect();
        let layer = |index: usize| u32::try_from(numbers[index]).expect("a layer");
        let (_, engine) = self.engines.get_mut(endpoint).expect("a known engine");
        engine.session = Some(FakeSession {
            lineage,
            range: LayerRange::new(layer(0), layer(1)),
            next_position: numbers[2],
            cache: numbers[3..].to_vec(),
            last_answer: None,
        });
        let status = engine.status().expect("just imported");
        self.answer_call(
            attempt,
            endpoint,
            SessionEvent::Imported { attempt, status },
        );
    }

    /// Returns the first chain that a depth-first search finds, with a random order of engines.
    fn place(&mut self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        let offset = usize::from(self.choose(255));
        let mut ids: Vec<EndpointId> = self.engines.keys().cloned().collect();
        let length = ids.len();
        ids.rotate_left(offset % length);
        ids.retain(|id| !avoid.contains(id));
        let stages = self.cover(range, &ids)?;
        Some(PlanChain {
            stages,
            cost: Duration::ZERO,
        })
    }

    /// Returns stages that cover `range`, on distinct engines among `ids`.
    fn cover(&self, range: LayerRange, ids: &[EndpointId]) -> Option<Vec<PlanStage>> {
        if range.is_empty() {
            return Some(Vec::new());
        }
        ids.iter().find_map(|id| {
            let served = self.engines[id].0;
            if served.start > range.start || served.end <= range.start {
                return None;
            }
            let end = served.end.min(range.end);
            let others: Vec<EndpointId> =
                ids.iter().filter(|other| *other != id).cloned().collect();
            let rest = self.cover(LayerRange::new(end, range.end), &others)?;
            let stage = PlanStage {
                endpoint: id.clone(),
                range: LayerRange::new(range.start, end),
            };
            Some(std::iter::once(stage).chain(rest).collect())
        })
    }

    pub fn has_empty_ledger(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Checks that no layer ran twice for a position in a lineage, and that positions ran in order.
    pub fn check_ledger(&self, seed: u64) {
        let mut entries = BTreeSet::new();
        let mut last_positions: BTreeMap<(u32, Lineage, u32), Position> = BTreeMap::new();
        for &(process, lineage, position, layer) in &self.ledger {
            assert!(
                entries.insert((process, lineage, position, layer)),
                "seed {seed}: layer {layer} ran twice at {position} in lineage {lineage}"
            );
            let previous = last_positions.insert((process, lineage, layer), position);
            assert!(
                previous.is_none_or(|previous| previous + 1 == position),
                "seed {seed}"
            );
        }
    }

    /// Checks that every layer ran for every position that the output depends on.
    pub fn check_coverage(&self, seed: u64) {
        let ran: BTreeSet<(Position, u32)> = self
            .ledger
            .iter()
            .map(|(_, _, position, layer)| (*position, *layer))
            .collect();
        for position in 0..(PROMPT.len() + MAX_TOKENS - 1) as Position {
            for layer in 0..LAYERS {
                assert!(ran.contains(&(position, layer)), "seed {seed}");
            }
        }
    }
}
