//! Rate limits for this instance's share of the platform's capacity, by class of call.

use std::time::{Duration, Instant};

/// Purpose of a platform call; each class has its own share of the rates.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum CallClass {
    /// Claims for non-repeatable requests.
    Claims,
    /// Reads and writes of leases.
    Leases,
    /// Reads and writes of the sheet and its audit trail.
    #[default]
    Configuration,
    /// Reads of the instance list, and instance status.
    Status,
}

impl CallClass {
    const COUNT: usize = 4;

    const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a call reads or writes; the platform limits the two rates separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads, lists and watches.
    Read,
    /// Writes and deletions.
    Write,
}

/// Rate limits of the platform, and the share of each class of call.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Reads per second that the platform allows the whole fleet.
    pub fleet_reads_per_second: f64,
    /// Writes per second that the platform allows the whole fleet.
    pub fleet_writes_per_second: f64,
    /// Share of each class, in the order of [`CallClass`]; must not sum to more than 1.
    pub shares: [f64; CallClass::COUNT],
    /// Maximum number of instances that write claims.
    ///
    /// In a larger fleet only the preferred instance of each shard writes claims, so the claim rate
    /// is divided by this number instead of the fleet size.
    pub max_claim_writers: usize,
    /// Time over which unused calls accumulate.
    pub burst_window: Duration,
    /// Minimum number of calls that each class may make in one burst.
    pub min_burst_calls: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            fleet_reads_per_second: 2_000.0,
            fleet_writes_per_second: 300.0,
            shares: [0.6, 0.1, 0.2, 0.1],
            max_claim_writers: 16,
            burst_window: Duration::from_secs(2),
            min_burst_calls: 8.0,
        }
    }
}

/// Token buckets, one for each class and kind of call.
///
/// # Examples
///
/// ```
/// use dandeliondeal_store::{BudgetSettings, CallBudget, CallClass, CallKind};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = CallBudget::new(BudgetSettings::default(), now);
/// // The platform's rates are shared by 420 instances.
/// budget.resize_fleet(420);
/// assert!(budget.take(CallClass::Claims, CallKind::Write, now).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct CallBudget {
    settings: BudgetSettings,
    fleet_size: usize,
    buckets: [[TokenBucket; 2]; CallClass::COUNT],
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl CallBudget {
    /// Creates a budget for a fleet of one instance, with `min_burst_calls` in each bucket.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let bucket = TokenBucket {
            tokens: settings.min_burst_calls,
            refilled_at: now,
        };
        Self {
            settings,
            fleet_size: 1,
            buckets: [[bucket; 2]; CallClass::COUNT],
        }
    }

    /// Sets the number of instances that share the platform's rates.
    pub fn resize_fleet(&mut self, instances: usize) {
        self.fleet_size = instances.max(1);
    }

    /// Returns the number of calls per second that this instance may make.
    pub fn rate(&self, class: CallClass, kind: CallKind) -> f64 {
        let fleet_rate = match kind {
            CallKind::Read => self.settings.fleet_reads_per_second,
            CallKind::Write => self.settings.fleet_writes_per_second,
        };
        let sharing_instances = match class {
            CallClass::Claims => self.fleet_size.min(self.settings.max_claim_writers.max(1)),
            _ => self.fleet_size,
        };
        fleet_rate * self.settings.shares[class.index()] / sharing_instances as f64
    }

    /// Consumes one call from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until the next call is allowed.
    pub fn take(&mut self, class: CallClass, kind: CallKind, now: Instant) -> Result<(), Duration> {
        let rate = self.rate(class, kind);
        let capacity =
            (rate * self.settings.burst_window.as_secs_f64()).max(self.settings.min_burst_calls);
        let bucket = &mut self.buckets[class.index()][kind as usize];
        let elapsed = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = bucket.refilled_at.max(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
