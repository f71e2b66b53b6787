//! The share of the platform's rates that this instance may use, by class of call.

use std::time::{Duration, Instant};

/// What a call to the platform is for.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum CallClass {
    /// Claims of non-repeatable requests.
    Claims,
    /// Leases.
    Leases,
    /// The sheet and its audit trail.
    #[default]
    Configuration,
    /// Instance list and status.
    Status,
}

impl CallClass {
    const COUNT: usize = 4;

    const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a call reads or writes; the platform limits the two apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads, lists, and waiting watches.
    Read,
    /// Writes and deletions.
    Write,
}

/// Rates of the platform and how the classes share them.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Reads a second that the platform grants the whole fleet.
    pub fleet_reads_per_second: f64,
    /// Writes a second that the platform grants the whole fleet.
    pub fleet_writes_per_second: f64,
    /// Share of each class, in the order of [`CallClass`]; the sum is at most 1.
    pub shares: [f64; CallClass::COUNT],
    /// Instances that write claims when the fleet is larger: the preferred ones of the shards.
    pub claim_writers: usize,
    /// Unused calls are kept for this long.
    pub burst: Duration,
    /// Calls that each class may always make at once.
    pub least_burst: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            fleet_reads_per_second: 2_000.0,
            fleet_writes_per_second: 300.0,
            shares: [0.6, 0.1, 0.2, 0.1],
            claim_writers: 16,
            burst: Duration::from_secs(2),
            least_burst: 8.0,
        }
    }
}

/// Token buckets for each class and kind of call.
///
/// # Examples
///
/// ```
/// use dandeliondeal_store::{BudgetSettings, CallBudget, CallClass, CallKind};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = CallBudget::new(BudgetSettings::default(), now);
/// budget.resize_fleet(420);
/// assert!(budget.take(CallClass::Claims, CallKind::Write, now).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct CallBudget {
    settings: BudgetSettings,
    fleet: usize,
    buckets: [[TokenBucket; 2]; CallClass::COUNT],
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled: Instant,
}

impl CallBudget {
    /// Makes a full budget for a fleet of one instance.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let bucket = TokenBucket {
            tokens: settings.least_burst,
            filled: now,
        };
        Self {
            settings,
            fleet: 1,
            buckets: [[bucket; 2]; CallClass::COUNT],
        }
    }

    /// Sets the number of instances that share the platform.
    pub fn resize_fleet(&mut self, instances: usize) {
        self.fleet = instances.max(1);
    }

    /// Calls a second that this instance may make.
    pub fn rate(&self, class: CallClass, kind: CallKind) -> f64 {
        let fleet_rate = match kind {
            CallKind::Read => self.settings.fleet_reads_per_second,
            CallKind::Write => self.settings.fleet_writes_per_second,
        };
        let sharers = match class {
            CallClass::Claims => self.fleet.min(self.settings.claim_writers.max(1)),
            _ => self.fleet,
        };
        fleet_rate * self.settings.shares[class.index()] / sharers as f64
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// The time until a call is allowed again.
    pub fn take(&mut self, class: CallClass, kind: CallKind, now: Instant) -> Result<(), Duration> {
        let rate = self.rate(class, kind);
        let limit = (rate * self.settings.burst.as_secs_f64()).max(self.settings.least_burst);
        let bucket = &mut self.buckets[class.index()][kind as usize];
        let elapsed = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(limit);
        bucket.filled = bucket.filled.max(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
