//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Environment variable that sets the level, for example `debug` or `dandeliondeal_entry=debug`.
const LEVEL_VARIABLE: &str = "DANDELIONDEAL_LOG";

/// The filter that the environment names, or `level`.
pub fn level_filter(level: &str) -> EnvFilter {
    EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level))
}

/// Starts the log with `level` where the environment names none.
pub fn start_log(level: &str) {
    let filter = level_filter(level);
    let log = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second start in one process leaves the first log as it is.
    drop(log.try_init());
}
