//! Waits for the signal that asks the process to stop.

use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns the error of the operating system if the signals cannot be received.
pub async fn wait_for_stop() -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::failed(format!("signals: {error}"));
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
