//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Environment variable that sets the level filter, for example `debug` or
/// `dandeliondeal_entry=debug`.
const LEVEL_VARIABLE: &str = "DANDELIONDEAL_LOG";

/// Returns the level filter that the environment sets, or one for `level`.
pub fn level_filter(level: &str) -> EnvFilter {
    EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level))
}

/// Starts the log at `level`, unless the environment sets another level.
pub fn start_log(level: &str) {
    let filter = level_filter(level);
    let log = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second call in the same process keeps the first log, so the error is ignored.
    drop(log.try_init());
}
