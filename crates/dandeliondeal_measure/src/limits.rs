//! Grants of one organisation's limit among instances, in virtual time.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{
    GrantAnswer, GrantHolder, GrantOwner, GrantSettings, LimitAmount, LocalLimit,
};
use derive_more::Display;
use serde::Serialize;

use crate::{MeasureError, MeasureSettings};

const NAME: &str = "limits";
const LIMIT: LimitAmount = LimitAmount {
    milli_requests: 1_000_000,
    tokens: 200_000,
    concurrency: 100_000,
};
/// Tokens of each request; the tokens are the scarcer limit only above 200.
const TOKENS: f64 = 100.0;
/// Requests offered a second in every phase: twice the limit.
const OFFERED: u32 = 2_000;
const RENEWAL: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
const PHASE: Duration = Duration::from_secs(40);
/// One way between instances.
const DELAY: Duration = Duration::from_millis(10);
/// Share of the limit that counts as settled.
const SETTLED: f64 = 0.95;

/// What is done to the instances in one phase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PhaseKind {
    Even,
    Skewed,
    OwnerKilled,
    OwnerPaused,
    Moved,
}

/// One phase of the run.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "{instances:9} {phase:14} {admitted:9.3} {most_live:9.3} {settled_seconds:9.1} \
     {messages_per_second:9.2} {bytes_per_second:9.0}"
)]
pub struct LimitRow {
    /// Instances.
    pub instances: usize,
    /// What happened at its start.
    pub phase: &'static str,
    /// Requests admitted in its last 10 s as a share of the limit.
    pub admitted: f64,
    /// Most of the limit that was granted at once.
    pub most_live: f64,
    /// Time until 0.95 of the limit was admitted over a second.
    pub settled_seconds: f64,
    /// Messages a second and holder, both ways, for this organisation.
    pub messages_per_second: f64,
    /// Bytes of their JSON a second and holder.
    pub bytes_per_second: f64,
}

struct LimitDriver {
    now: Instant,
    owner: GrantOwner,
    is_answering: bool,
    holders: Vec<(GrantHolder, LocalLimit)>,
    pending: Vec<(Instant, usize, GrantAnswer, Instant)>,
    term: u64,
    messages: u64,
    bytes: u64,
    most_live: u64,
    step: u32,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says if the live grants exceeded the limit.
pub fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let sizes: &[usize] = if settings.long {
        &[8, 60, 420]
    } else {
        &[8, 60]
    };
    println!(
        "{:>9} {:14} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "instances", "phase", "admitted", "most live", "settled s", "messages", "bytes/s"
    );
    let rows: Vec<LimitRow> = sizes.iter().flat_map(|&size| measure(size)).collect();
    for row in &rows {
        println!("{row}");
    }
    for row in &rows {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
    }
    if rows.iter().any(|row| row.most_live > 1.0) {
        return Err(MeasureError::new(NAME, "live grants exceeded the limit"));
    }
    Ok(())
}

/// Runs every phase with so many instances.
pub fn measure(instances: usize) -> Vec<LimitRow> {
    let mut driver = LimitDriver::new(instances);
    [
        ("even", PhaseKind::Even),
        ("skewed", PhaseKind::Skewed),
        ("moved", PhaseKind::Moved),
        ("owner killed", PhaseKind::OwnerKilled),
        ("owner paused", PhaseKind::OwnerPaused),
    ]
    .into_iter()
    .map(|(name, kind)| driver.phase(name, kind))
    .collect()
}

impl LimitDriver {
    fn new(instances: usize) -> Self {
        let now = Instant::now();
        let holder = |number| {
            let name = format!("entry-{number}").into();
            let limit = LocalLimit::new(LimitAmount::default(), now);
            (GrantHolder::new(name, 1), limit)
        };
        Self {
            now,
            owner: GrantOwner::new(GrantSettings::default(), LIMIT, 1, true, now, now),
            is_answering: true,
            holders: (0..instances).map(holder).collect(),
            pending: Vec::new(),
            term: 1,
            messages: 0,
            bytes: 0,
            most_live: 0,
            step: 0,
        }
    }

    fn phase(&mut self, name: &'static str, kind: PhaseKind) -> LimitRow {
        (self.messages, self.bytes, self.most_live) = (0, 0, 0);
        match kind {
            PhaseKind::OwnerKilled => self.replace_owner(true),
            PhaseKind::OwnerPaused => self.is_answering = false,
            _ => {}
        }
        let start = self.now;
        let (mut second, mut last, mut settled) = (0, 0, None);
        while self.now < start + PHASE {
            second += self.step(kind);
            let elapsed = self.now.duration_since(start);
            if elapsed.as_millis().is_multiple_of(1000) {
                if f64::from(second) >= SETTLED * 1000.0 {
                    settled.get_or_insert(elapsed);
                } else {
                    settled = None;
                }
                if elapsed > PHASE.saturating_sub(Duration::from_secs(10)) {
                    last += second;
                }
                second = 0;
            }
            if kind == PhaseKind::OwnerPaused && elapsed == PHASE / 4 {
                self.is_answering = true;
            }
        }
        let per_holder = PHASE.as_secs_f64() * self.holders.len() as f64;
        LimitRow {
            instances: self.holders.len(),
            phase: name,
            admitted: f64::from(last) / 10_000.0,
            most_live: self.most_live as f64 / LIMIT.milli_requests as f64,
            settled_seconds: settled.map_or(f64::NAN, |time: Duration| time.as_secs_f64()),
            messages_per_second: self.messages as f64 / per_holder,
            bytes_per_second: self.bytes as f64 / per_holder,
        }
    }

    /// The platform gives the next owner its term; the dead one is known to have ended.
    fn replace_owner(&mut self, is_known: bool) {
        self.term += 1;
        let settings = GrantSettings::default();
        let now = self.now;
        self.owner = GrantOwner::new(settings, LIMIT, self.term, false, now, now);
        if is_known {
            self.owner.record_predecessors_ended(now);
        }
    }

    /// One step of virtual time; returns the admitted requests.
    fn step(&mut self, kind: PhaseKind) -> u32 {
        self.now += STEP;
        self.step += 1;
        self.owner.confirm(self.now);
        self.deliver();
        let admitted = self.offer(kind);
        self.renew();
        let live = self.holders.iter().map(|(holder, _)| holder);
        let live: u64 = live
            .map(|holder| holder.amount(self.now).milli_requests)
            .sum();
        self.most_live = self.most_live.max(live);
        admitted
    }

    fn offer(&mut self, kind: PhaseKind) -> u32 {
        let per_step = OFFERED * u32::try_from(STEP.as_millis()).unwrap_or(1) / 1000;
        let count = self.holders.len();
        let mut admitted = 0;
        for number in 0..per_step {
            let place = match kind {
                PhaseKind::Even => (self.step * per_step + number) as usize % count,
                PhaseKind::Moved => 1,
                _ => 0,
            };
            let (holder, limit) = &mut self.holders[place];
            limit.set_share(holder.amount(self.now), self.now);
            if limit.admit(TOKENS, self.now).is_ok() {
                limit.finish(0.0);
                admitted += 1;
            }
        }
        admitted
    }

    /// Each holder looks once a second, spread over the second, whether it has to ask.
    fn renew(&mut self) {
        let steps = usize::try_from(RENEWAL.as_millis() / STEP.as_millis()).unwrap_or(1);
        let slot = self.step as usize % steps;
        for number in (slot..self.holders.len()).step_by(steps) {
            let (holder, limit) = &mut self.holders[number];
            let demand = limit.demand(self.now);
            if !holder.should_request(demand, self.now) {
                continue;
            }
            let request = holder.request(demand, self.now);
            self.count(&request);
            if self.is_answering {
                let answer = self.owner.request(&request, self.now + DELAY);
                self.count(&answer);
                let arrival = self.now + DELAY * 2;
                self.pending.push((arrival, number, answer, self.now));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= now);
        self.pending = pending;
        for (_, number, answer, sent) in due {
            self.holders[number].0.process_answer(answer, sent);
        }
    }

    fn count<Message>(&mut self, message: &Message)
    where
        Message: Serialize,
    {
        self.messages += 1;
        self.bytes += serde_json::to_vec(message).map_or(0, |text| text.len()) as u64;
    }
}
