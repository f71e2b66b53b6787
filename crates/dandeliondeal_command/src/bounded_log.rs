//! Logs as JSON lines on standard output, with a rate limit and without blocking the process.

use std::io::stdout;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tracing::{Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::json_log::level_filter;

/// Maximum number of lines queued for a slow reader of standard output; more are dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of lines per second below warning level.
///
/// This is about three lines per request on a loaded instance.
const MAX_LINES_PER_SECOND: u64 = 600;

/// Starts the log at `level`, unless the environment sets another level.
///
/// Dropping the returned guard writes the queued lines.
pub fn start_bounded_log(level: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(stdout());
    let json_layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let limited_layer = json_layer.with_filter(RateFilter::new(MAX_LINES_PER_SECOND));
    let log = tracing_subscriber::registry()
        .with(level_filter(level))
        .with(limited_layer);
    // A second call in the same process keeps the first log, so the error is ignored.
    drop(log.try_init());
    guard
}

/// Returns the number of log lines that the rate limit has dropped so far.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Number of dropped lines. A log filter can neither log nor reach the metrics, so the daemon
/// polls this counter.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Limits the number of log lines per second; warnings and errors always pass.
#[derive(Debug)]
struct RateFilter {
    lines_per_second: u64,
    start: Instant,
    current_second: AtomicU64,
    line_count: AtomicU64,
}

impl RateFilter {
    fn new(lines_per_second: u64) -> Self {
        Self {
            lines_per_second,
            start: Instant::now(),
            current_second: AtomicU64::new(0),
            line_count: AtomicU64::new(0),
        }
    }

    /// Counts a line against the limit of the current second, and returns whether it passes.
    fn allow_line(&self) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.line_count.store(0, Ordering::Relaxed);
        }
        let is_allowed = self.line_count.fetch_add(1, Ordering::Relaxed) < self.lines_per_second;
        if !is_allowed {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }
}

impl<Log> Filter<Log> for RateFilter
where
    Log: Subscriber,
{
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, Log>) -> bool {
        *metadata.level() <= Level::WARN || self.allow_line()
    }
}
