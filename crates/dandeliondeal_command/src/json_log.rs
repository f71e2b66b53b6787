//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Environment variable that sets the level, for example `debug` or `dandeliondeal_entry=debug`.
const LEVEL_VARIABLE: &str = "DANDELIONDEAL_LOG";

/// Starts the log with `level` where the environment names none.
pub fn start_log(level: &str) {
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new(level));
    let log = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second start in one process leaves the first log as it is.
    drop(log.try_init());
}
