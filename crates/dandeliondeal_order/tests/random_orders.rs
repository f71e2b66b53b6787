//! Two processes give orders in turn, over a network that delays and loses them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator as _, produce};
use dandeliondeal_order::{
    DesiredState, EndpointOrder, EngineContent, OrderAction, OrderAnswer, OrderEvent,
    OrderReconciler, OrderSettings, OrderTerm,
};
use dandeliondeal_types::{EndpointId, FencingNumber};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const SEEDS: u64 = 200;
const STEPS: usize = 500;
const ENDPOINTS: usize = 4;
const LOADS: usize = 2;
/// Longest time of an order on its way, which the grace period covers.
const LONGEST_WAY: Duration = Duration::from_secs(10);

type Choice = (u8, u8, u8);

struct Engine {
    checks_fencing: bool,
    content: EngineContent,
    highest: FencingNumber,
    /// Fencing numbers of the orders that took effect, in order.
    applied: Vec<FencingNumber>,
}

struct SentOrder {
    reconciler: usize,
    endpoint: usize,
    order: EndpointOrder,
    sent: Duration,
    arrived: Option<Duration>,
}

struct Fleet {
    start: Instant,
    elapsed: Duration,
    desks: Vec<OrderReconciler>,
    holder: Option<usize>,
    fence: FencingNumber,
    term: u64,
    engines: Vec<Engine>,
    orders: Vec<SentOrder>,
    reads: Vec<(usize, usize)>,
}

impl SentOrder {
    /// Whether it may yet take effect.
    fn is_open(&self, elapsed: Duration) -> bool {
        match self.arrived {
            None => elapsed <= self.sent + LONGEST_WAY,
            Some(arrived) => elapsed <= arrived + settings().order_life,
        }
    }
}

fn settings() -> OrderSettings {
    OrderSettings {
        loads_at_once: LOADS,
        ..OrderSettings::default()
    }
}

fn content(version: u8) -> EngineContent {
    EngineContent {
        model: "model-a".into(),
        version: version.to_string().into(),
        start: 0,
        end: 8,
    }
}

fn name(endpoint: usize) -> EndpointId {
    format!("engine-{endpoint}").into()
}

impl Fleet {
    fn new() -> Self {
        let engine = |index| Engine {
            checks_fencing: index == 0,
            content: content(0),
            highest: 0,
            applied: Vec::new(),
        };
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            desks: (0..2).map(|_| OrderReconciler::new(settings())).collect(),
            holder: None,
            fence: 0,
            term: 0,
            engines: (0..ENDPOINTS).map(engine).collect(),
            orders: Vec::new(),
            reads: Vec::new(),
        }
    }

    fn act(&mut self, (kind, first, second): Choice) -> Result<(), String> {
        let reconciler = usize::from(first) % 2;
        match kind % 16 {
            0..=1 => self.elapsed += Duration::from_millis(u64::from(second) * 20),
            2 => self.elapsed += Duration::from_secs(u64::from(second) / 4),
            3 if second < 40 => self.change_holder(reconciler),
            4 if second < 60 => return self.desire(second),
            5..=7 => self.deliver(usize::from(second), first),
            8..=9 => return self.answer_read(usize::from(second), first < 200),
            _ => return self.handle(reconciler, OrderEvent::Tick),
        }
        Ok(())
    }

    fn change_holder(&mut self, reconciler: usize) {
        self.holder = Some(reconciler);
        self.fence += 1;
        self.term += 1;
    }

    fn desire(&mut self, version: u8) -> Result<(), String> {
        for reconciler in 0..self.desks.len() {
            let states: BTreeMap<EndpointId, DesiredState> = (0..ENDPOINTS)
                .map(|index| {
                    let state = DesiredState {
                        content: content(version),
                        layers: 8,
                        checks_fencing: self.engines[index].checks_fencing,
                    };
                    (name(index), state)
                })
                .collect();
            self.handle(reconciler, OrderEvent::Desired(states))?;
        }
        Ok(())
    }

    fn handle(&mut self, reconciler: usize, event: OrderEvent) -> Result<(), String> {
        let term = (self.holder == Some(reconciler)).then_some(OrderTerm {
            fence: self.fence,
            number: self.term,
        });
        let now = self.start + self.elapsed;
        let actions = self.desks[reconciler]
            .handle(event, term, now)
            .map_err(|error| error.to_string())?;
        for action in actions {
            match action {
                OrderAction::Read(endpoint) => self.reads.push((reconciler, index(&endpoint))),
                OrderAction::Send(endpoint, order) => {
                    self.send(reconciler, index(&endpoint), order)?;
                }
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        reconciler: usize,
        endpoint: usize,
        order: EndpointOrder,
    ) -> Result<(), String> {
        if self.holder != Some(reconciler) {
            return Err(format!(
                "reconciler {reconciler} sent an order without the lease"
            ));
        }
        let open = |sent: &&SentOrder| sent.reconciler == reconciler && sent.is_open(self.elapsed);
        let mut open_orders = self.orders.iter().filter(open);
        if open_orders.any(|sent| sent.endpoint == endpoint) {
            return Err(format!("endpoint {endpoint} has an order out already"));
        }
        if self.orders.iter().filter(open).count() >= LOADS {
            return Err(format!("more than {LOADS} orders are out"));
        }
        self.orders.push(SentOrder {
            reconciler,
            endpoint,
            order,
            sent: self.elapsed,
            arrived: None,
        });
        Ok(())
    }

    /// Moves an order on: it arrives, takes effect, is refused, or is lost.
    fn deliver(&mut self, choice: usize, luck: u8) {
        let (elapsed, life) = (self.elapsed, settings().order_life);
        self.orders
            .retain(|order| order.arrived.is_some() || elapsed <= order.sent + LONGEST_WAY);
        if self.orders.is_empty() {
            return;
        }
        let position = choice % self.orders.len();
        let arrived = *self.orders[position].arrived.get_or_insert(elapsed);
        if luck < 100 {
            return;
        }
        let sent = self.orders.remove(position);
        let engine = &mut self.engines[sent.endpoint];
        let fence = sent.order.fencing_number;
        let is_stale = engine.checks_fencing && fence < engine.highest;
        let is_expired = elapsed > arrived + life;
        let answer = if is_stale || is_expired {
            OrderAnswer::Refused
        } else {
            engine.content = sent.order.content;
            engine.highest = engine.highest.max(fence);
            engine.applied.push(fence);
            OrderAnswer::Applied
        };
        let told = if luck < 130 {
            OrderAnswer::Lost
        } else {
            answer
        };
        let event = OrderEvent::Answered(name(sent.endpoint), told);
        // The chart refuses nothing here; `check` sees what matters.
        let _ = self.handle(sent.reconciler, event);
    }

    fn answer_read(&mut self, choice: usize, is_answered: bool) -> Result<(), String> {
        if self.reads.is_empty() {
            return Ok(());
        }
        let (reconciler, endpoint) = self.reads.remove(choice % self.reads.len());
        let found = self.engines[endpoint].content.clone();
        let event = OrderEvent::Read(name(endpoint), is_answered.then_some(found));
        self.handle(reconciler, event)
    }

    /// No endpoint obeyed an earlier holder after a later one.
    fn check(&self) -> Result<(), String> {
        for engine in &self.engines {
            if !engine.applied.is_sorted() {
                return Err(format!("applied {:?}", engine.applied));
            }
        }
        Ok(())
    }
}

fn index(endpoint: &EndpointId) -> usize {
    endpoint
        .trim_start_matches("engine-")
        .parse()
        .expect("index")
}

fn choices(seed: u64) -> Vec<Choice> {
    let options = Options::default();
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let generator = produce::<Vec<Choice>>().with().len(STEPS);
    generator.generate(&mut driver).expect("random input")
}

#[test]
fn fenced_orders() {
    let mut applied = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new();
        for choice in choices(seed) {
            let result = fleet.act(choice).and_then(|()| fleet.check());
            result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        applied += fleet
            .engines
            .iter()
            .map(|engine| engine.applied.len())
            .sum::<usize>();
    }
    assert!(applied as u64 > SEEDS, "only {applied} orders took effect");
}

#[test]
fn desired_reached() {
    let mut fleet = Fleet::new();
    fleet.change_holder(0);
    fleet.desire(7).expect("desire");
    for step in 0..400_usize {
        fleet.elapsed += Duration::from_millis(500);
        fleet.handle(0, OrderEvent::Tick).expect("tick");
        fleet.answer_read(step, true).expect("read");
        fleet.deliver(step, 255);
    }
    assert_eq!(fleet.desks[0].unsettled(), 0);
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.content == content(7))
    );
    assert!(fleet.engines.iter().all(|engine| engine.applied.len() == 1));
}
