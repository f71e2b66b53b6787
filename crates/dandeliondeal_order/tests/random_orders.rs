//! Random runs of two processes that hold the lease in turn, over a network that delays and loses
//! orders.

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

const SEED_COUNT: u64 = 200;
const STEPS_PER_SEED: usize = 500;
const ENDPOINT_COUNT: usize = 4;
const LOADS_AT_ONCE: usize = 2;
/// Maximum delivery time of an order; the grace period has to cover it.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(10);

/// Three random bytes that select and parametrise one step of a run.
type RandomStep = (u8, u8, u8);

struct Engine {
    checks_fencing: bool,
    content: EngineContent,
    highest_fencing_number: FencingNumber,
    /// Fencing numbers of the orders that took effect, in the sequence in which they did.
    applied_fencing_numbers: Vec<FencingNumber>,
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
    reconcilers: Vec<OrderReconciler>,
    holder: Option<usize>,
    fencing_number: FencingNumber,
    term: u64,
    engines: Vec<Engine>,
    orders: Vec<SentOrder>,
    reads: Vec<(usize, usize)>,
}

impl SentOrder {
    /// Returns whether the order may still take effect.
    fn is_open(&self, elapsed: Duration) -> bool {
        match self.arrived {
            None => elapsed <= self.sent + MAX_DELIVERY_TIME,
            Some(arrived) => elapsed <= arrived + test_settings().order_ttl,
        }
    }
}

fn test_settings() -> OrderSettings {
    OrderSettings {
        loads_at_once: LOADS_AT_ONCE,
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

fn endpoint_id(endpoint: usize) -> EndpointId {
    format!("engine-{endpoint}").into()
}

impl Fleet {
    fn new() -> Self {
        let new_engine = |index| Engine {
            checks_fencing: index == 0,
            content: content(0),
            highest_fencing_number: 0,
            applied_fencing_numbers: Vec::new(),
        };
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            reconcilers: (0..2)
                .map(|_| OrderReconciler::new(test_settings()))
                .collect(),
            holder: None,
            fencing_number: 0,
            term: 0,
            engines: (0..ENDPOINT_COUNT).map(new_engine).collect(),
            orders: Vec::new(),
            reads: Vec::new(),
        }
    }

    fn run_step(&mut self, (kind, first, second): RandomStep) -> Result<(), String> {
        let reconciler = usize::from(first) % 2;
        match kind % 16 {
            0..=1 => self.elapsed += Duration::from_millis(u64::from(second) * 20),
            2 => self.elapsed += Duration::from_secs(u64::from(second) / 4),
            3 if second < 40 => self.change_holder(reconciler),
            4 if second < 60 => return self.set_desired(second),
            5..=7 => self.deliver(usize::from(second), first),
            8..=9 => return self.answer_read(usize::from(second), first < 200),
            _ => return self.handle(reconciler, OrderEvent::Tick),
        }
        Ok(())
    }

    fn change_holder(&mut self, reconciler: usize) {
        self.holder = Some(reconciler);
        self.fencing_number += 1;
        self.term += 1;
    }

    fn set_desired(&mut self, version: u8) -> Result<(), String> {
        for reconciler in 0..self.reconcilers.len() {
            let states: BTreeMap<EndpointId, DesiredState> = (0..ENDPOINT_COUNT)
                .map(|index| {
                    let state = DesiredState {
                        content: content(version),
                        layers: 8,
                        checks_fencing: self.engines[index].checks_fencing,
                    };
                    (endpoint_id(index), state)
                })
                .collect();
            self.handle(reconciler, OrderEvent::Desired(states))?;
        }
        Ok(())
    }

    fn handle(&mut self, reconciler: usize, event: OrderEvent) -> Result<(), String> {
        let term = (self.holder == Some(reconciler)).then_some(OrderTerm {
            fencing_number: self.fencing_number,
            number: self.term,
        });
        let now = self.start + self.elapsed;
        let actions = self.reconcilers[reconciler]
            .handle(event, term, now)
            .map_err(|error| error.to_string())?;
        for action in actions {
            match action {
                OrderAction::Read(endpoint) => self.reads.push((reconciler, index_of(&endpoint))),
                OrderAction::Send(endpoint, order) => {
                    self.send(reconciler, index_of(&endpoint), order)?;
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
        let is_in_flight =
            |sent: &&SentOrder| sent.reconciler == reconciler && sent.is_open(self.elapsed);
        let mut orders_in_flight = self.orders.iter().filter(is_in_flight);
        if orders_in_flight.any(|sent| sent.endpoint == endpoint) {
            return Err(format!(
                "endpoint {endpoint} already has an order in flight"
            ));
        }
        if self.orders.iter().filter(is_in_flight).count() >= LOADS_AT_ONCE {
            return Err(format!("more than {LOADS_AT_ONCE} orders are in flight"));
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

    /// Advances one order: it is lost, arrives, is refused or takes effect. Its answer may be lost.
    fn deliver(&mut self, selector: usize, random: u8) {
        let (elapsed, order_ttl) = (self.elapsed, test_settings().order_ttl);
        self.orders
            .retain(|order| order.arrived.is_some() || elapsed <= order.sent + MAX_DELIVERY_TIME);
        if self.orders.is_empty() {
            return;
        }
        let position = selector % self.orders.len();
        let arrived = *self.orders[position].arrived.get_or_insert(elapsed);
        if random < 100 {
            return;
        }
        let sent = self.orders.remove(position);
        let engine = &mut self.engines[sent.endpoint];
        let fencing_number = sent.order.fencing_number;
        let is_stale = engine.checks_fencing && fencing_number < engine.highest_fencing_number;
        let is_expired = elapsed > arrived + order_ttl;
        let answer = if is_stale || is_expired {
            OrderAnswer::Refused
        } else {
            engine.content = sent.order.content;
            engine.highest_fencing_number = engine.highest_fencing_number.max(fencing_number);
            engine.applied_fencing_numbers.push(fencing_number);
            OrderAnswer::Applied
        };
        let received_answer = if random < 130 {
            OrderAnswer::Lost
        } else {
            answer
        };
        let event = OrderEvent::Answered(endpoint_id(sent.endpoint), received_answer);
        // Errors are ignored here; `check` verifies the resulting fencing numbers.
        let _ = self.handle(sent.reconciler, event);
    }

    fn answer_read(&mut self, selector: usize, is_answered: bool) -> Result<(), String> {
        if self.reads.is_empty() {
            return Ok(());
        }
        let (reconciler, endpoint) = self.reads.remove(selector % self.reads.len());
        let content = self.engines[endpoint].content.clone();
        let event = OrderEvent::Read(endpoint_id(endpoint), is_answered.then_some(content));
        self.handle(reconciler, event)
    }

    /// Checks that no endpoint applied an order of an earlier lease holder after one of a later.
    fn check(&self) -> Result<(), String> {
        for engine in &self.engines {
            if !engine.applied_fencing_numbers.is_sorted() {
                return Err(format!(
                    "applied out of order: {:?}",
                    engine.applied_fencing_numbers
                ));
            }
        }
        Ok(())
    }
}

fn index_of(endpoint: &EndpointId) -> usize {
    endpoint
        .trim_start_matches("engine-")
        .parse()
        .expect("index")
}

fn random_steps(seed: u64) -> Vec<RandomStep> {
    let options = Options::default();
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let generator = produce::<Vec<RandomStep>>().with().len(STEPS_PER_SEED);
    generator.generate(&mut driver).expect("random input")
}

#[test]
fn fencing_numbers_never_decrease() {
    let mut applied_count = 0;
    for seed in 0..SEED_COUNT {
        let mut fleet = Fleet::new();
        for step in random_steps(seed) {
            let result = fleet.run_step(step).and_then(|()| fleet.check());
            result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        applied_count += fleet
            .engines
            .iter()
            .map(|engine| engine.applied_fencing_numbers.len())
            .sum::<usize>();
    }
    assert!(
        applied_count as u64 > SEED_COUNT,
        "only {applied_count} orders took effect"
    );
}

#[test]
fn desired_state_reached() {
    let mut fleet = Fleet::new();
    fleet.change_holder(0);
    fleet.set_desired(7).expect("set desired");
    for step in 0..400_usize {
        fleet.elapsed += Duration::from_millis(500);
        fleet.handle(0, OrderEvent::Tick).expect("tick");
        fleet.answer_read(step, true).expect("read");
        fleet.deliver(step, 255);
    }
    assert_eq!(fleet.reconcilers[0].unconfirmed_count(), 0);
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.content == content(7))
    );
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.applied_fencing_numbers.len() == 1)
    );
}
