//! A log on standard output whose volume is bounded and that never blocks.

use std::io::stdout;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tracing::{Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::json_log::level_filter;

/// Lines that wait for a slow reader of standard output; further ones are dropped.
const QUEUED_LINES: usize = 4_096;
/// Lines a second below the level of a warning; some three for each request of a loaded instance.
const LINES_PER_SECOND: u64 = 600;

/// Starts the log with `level` where the environment names none.
///
/// The guard writes what is queued when it is dropped.
pub fn start_bounded_log(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(stdout());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let bounded = lines.with_filter(RateFilter::new(LINES_PER_SECOND));
    let log = tracing_subscriber::registry()
        .with(level_filter(level))
        .with(bounded);
    // A second start in one process leaves the first log as it is.
    drop(log.try_init());
    guard
}

/// Lines that were left out so far, for the metrics.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// A filter cannot log by itself, nor reach the metrics; whoever runs the process asks for this.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Passes a bounded number of lines each second; warnings and errors always pass.
#[derive(Debug)]
struct RateFilter {
    limit: u64,
    start: Instant,
    second: AtomicU64,
    lines: AtomicU64,
}

impl RateFilter {
    fn new(limit: u64) -> Self {
        Self {
            limit,
            start: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    fn take(&self) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.lines.fetch_add(1, Ordering::Relaxed) < self.limit;
        if !is_allowed {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }
}

impl<Log> Filter<Log> for RateFilter
where
    Log: Subscriber,
{
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, Log>) -> bool {
        *metadata.level() <= Level::WARN || self.take()
    }
}
