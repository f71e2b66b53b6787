//! Measures how one organisation's limit is shared among instances, in virtual time.
//!
//! One instance owns the limit and grants shares of it; every instance holds a grant and renews it
//! as its demand requires.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{
    GrantAnswer, GrantHolder, GrantOwner, GrantSettings, LimitAmount, LocalLimit,
};
use derive_more::Display;
use serde::Serialize;

use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "limits";
/// Limit of the organisation: 1,000 requests and 200,000 tokens per second.
const ORGANISATION_LIMIT: LimitAmount = LimitAmount {
    milli_requests: 1_000_000,
    tokens: 200_000,
    concurrency: 100_000,
};
/// Tokens per request. Below 200, the request limit is reached before the token limit.
const TOKENS_PER_REQUEST: f64 = 100.0;
/// Requests offered per second in every phase, which is twice the limit.
const OFFERED_REQUESTS_PER_SECOND: u32 = 2_000;
/// Interval at which each holder checks whether to renew its grant.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Amount by which each simulation step advances the virtual time.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Virtual time of each phase.
const PHASE_TIME: Duration = Duration::from_secs(40);
/// One-way delay of a message between instances.
const MESSAGE_DELAY: Duration = Duration::from_millis(10);
/// Share of the limit that has to be admitted within a second to count as settled.
const SETTLED_SHARE: f64 = 0.95;

/// Load pattern or fault of one phase. Faults run under the load of [`PhaseKind::Skewed`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PhaseKind {
    /// All instances get the same number of requests.
    Even,
    /// The first instance gets all requests.
    Skewed,
    /// The owner is killed at the start and a new owner takes over.
    OwnerKilled,
    /// The owner doesn't answer during the first quarter of the phase.
    OwnerPaused,
    /// The second instance gets all requests.
    Moved,
}

/// Figures of one phase.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "{instances:9} {phase:14} {admitted:9.3} {most_live:9.3} {settled_seconds:9.1} \
     {messages_per_second:9.2} {bytes_per_second:9.0}"
)]
pub struct LimitRow {
    /// Number of instances.
    pub instances: usize,
    /// Name of the load pattern or fault.
    pub phase: &'static str,
    /// Requests admitted in the last 10 s of the phase, as a share of the limit.
    pub admitted: f64,
    /// Maximum share of the limit that was granted at the same time.
    pub most_live: f64,
    /// Seconds until at least 0.95 of the limit was admitted in every second, or NaN if never.
    pub settled_seconds: f64,
    /// Messages per second and holder for this organisation, requests and answers together.
    pub messages_per_second: f64,
    /// Bytes of JSON in these messages per second and holder.
    pub bytes_per_second: f64,
}

/// A simulated owner and its holders, with their traffic in virtual time.
struct LimitSimulation {
    now: Instant,
    owner: GrantOwner,
    /// Whether the owner answers requests.
    is_answering: bool,
    holders: Vec<(GrantHolder, LocalLimit)>,
    /// Answers in transit: arrival time, index of the holder, answer, send time of the request.
    pending: Vec<(Instant, usize, GrantAnswer, Instant)>,
    term: u64,
    messages: u64,
    bytes: u64,
    most_live: u64,
    /// Number of simulation steps so far.
    step: u32,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the valid grants exceeded the limit.
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
        return Err(MeasureError::new(
            MEASUREMENT,
            "valid grants exceeded the limit",
        ));
    }
    Ok(())
}

/// Runs every phase with the given number of instances.
pub fn measure(instances: usize) -> Vec<LimitRow> {
    let mut simulation = LimitSimulation::new(instances);
    [
        ("even", PhaseKind::Even),
        ("skewed", PhaseKind::Skewed),
        ("moved", PhaseKind::Moved),
        ("owner killed", PhaseKind::OwnerKilled),
        ("owner paused", PhaseKind::OwnerPaused),
    ]
    .into_iter()
    .map(|(name, kind)| simulation.run_phase(name, kind))
    .collect()
}

impl LimitSimulation {
    fn new(instances: usize) -> Self {
        let now = Instant::now();
        let holder = |number| {
            let name = format!("entry-{number}").into();
            let limit = LocalLimit::new(LimitAmount::default(), now);
            (GrantHolder::new(name, 1), limit)
        };
        Self {
            now,
            owner: GrantOwner::new(
                GrantSettings::default(),
                ORGANISATION_LIMIT,
                1,
                true,
                now,
                now,
            ),
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

    fn run_phase(&mut self, name: &'static str, kind: PhaseKind) -> LimitRow {
        (self.messages, self.bytes, self.most_live) = (0, 0, 0);
        match kind {
            PhaseKind::OwnerKilled => self.replace_owner(true),
            PhaseKind::OwnerPaused => self.is_answering = false,
            _ => {}
        }
        let start = self.now;
        let (mut admitted_this_second, mut admitted_at_end, mut settled_time) = (0, 0, None);
        while self.now < start + PHASE_TIME {
            admitted_this_second += self.advance(kind);
            let elapsed = self.now.duration_since(start);
            if elapsed.as_millis().is_multiple_of(1000) {
                if f64::from(admitted_this_second) >= SETTLED_SHARE * 1000.0 {
                    settled_time.get_or_insert(elapsed);
                } else {
                    settled_time = None;
                }
                if elapsed > PHASE_TIME.saturating_sub(Duration::from_secs(10)) {
                    admitted_at_end += admitted_this_second;
                }
                admitted_this_second = 0;
            }
            if kind == PhaseKind::OwnerPaused && elapsed == PHASE_TIME / 4 {
                self.is_answering = true;
            }
        }
        let holder_seconds = PHASE_TIME.as_secs_f64() * self.holders.len() as f64;
        LimitRow {
            instances: self.holders.len(),
            phase: name,
            // The limit admits 10,000 requests in the last 10 s of the phase.
            admitted: f64::from(admitted_at_end) / 10_000.0,
            most_live: self.most_live as f64 / ORGANISATION_LIMIT.milli_requests as f64,
            settled_seconds: settled_time.map_or(f64::NAN, |time: Duration| time.as_secs_f64()),
            messages_per_second: self.messages as f64 / holder_seconds,
            bytes_per_second: self.bytes as f64 / holder_seconds,
        }
    }

    /// Starts the next owner with a new term.
    ///
    /// With `has_predecessor_ended`, the new owner has proof that no earlier owner is running.
    fn replace_owner(&mut self, has_predecessor_ended: bool) {
        self.term += 1;
        let settings = GrantSettings::default();
        let now = self.now;
        self.owner = GrantOwner::new(settings, ORGANISATION_LIMIT, self.term, false, now, now);
        if has_predecessor_ended {
            self.owner.record_predecessors_ended(now);
        }
    }

    /// Advances the virtual time by one step and returns the number of admitted requests.
    fn advance(&mut self, kind: PhaseKind) -> u32 {
        self.now += STEP_TIME;
        self.step += 1;
        self.owner.confirm(self.now);
        self.deliver_answers();
        let admitted = self.offer_requests(kind);
        self.renew_grants();
        let holders = self.holders.iter().map(|(holder, _)| holder);
        let granted: u64 = holders
            .map(|holder| holder.amount(self.now).milli_requests)
            .sum();
        self.most_live = self.most_live.max(granted);
        admitted
    }

    fn offer_requests(&mut self, kind: PhaseKind) -> u32 {
        let requests_per_step =
            OFFERED_REQUESTS_PER_SECOND * u32::try_from(STEP_TIME.as_millis()).unwrap_or(1) / 1000;
        let count = self.holders.len();
        let mut admitted = 0;
        for number in 0..requests_per_step {
            let holder_index = match kind {
                PhaseKind::Even => (self.step * requests_per_step + number) as usize % count,
                PhaseKind::Moved => 1,
                _ => 0,
            };
            let (holder, limit) = &mut self.holders[holder_index];
            limit.set_share(holder.amount(self.now), self.now);
            if limit.admit(TOKENS_PER_REQUEST, self.now).is_ok() {
                limit.finish(0.0);
                admitted += 1;
            }
        }
        admitted
    }

    /// Lets each holder check once per renewal interval whether it has to renew its grant.
    ///
    /// The checks of the holders are spread evenly over the interval.
    fn renew_grants(&mut self) {
        let steps_per_renewal =
            usize::try_from(RENEWAL_INTERVAL.as_millis() / STEP_TIME.as_millis()).unwrap_or(1);
        let slot = self.step as usize % steps_per_renewal;
        for number in (slot..self.holders.len()).step_by(steps_per_renewal) {
            let (holder, limit) = &mut self.holders[number];
            let demand = limit.demand(self.now);
            if !holder.should_request(demand, self.now) {
                continue;
            }
            let request = holder.request(demand, self.now);
            self.count_message(&request);
            if self.is_answering {
                let answer = self.owner.request(&request, self.now + MESSAGE_DELAY);
                self.count_message(&answer);
                let arrival = self.now + MESSAGE_DELAY * 2;
                self.pending.push((arrival, number, answer, self.now));
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= now);
        self.pending = pending;
        for (_, number, answer, sent) in due {
            self.holders[number].0.process_answer(answer, sent);
        }
    }

    fn count_message<Message>(&mut self, message: &Message)
    where
        Message: Serialize,
    {
        self.messages += 1;
        self.bytes += serde_json::to_vec(message).map_or(0, |text| text.len()) as u64;
    }
}
