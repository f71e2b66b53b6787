//! Waits for a signal that stops the process.

use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns the error of the operating system if the signal handlers cannot be installed.
pub async fn wait_for_stop() -> Result<(), CommandError> {
    let to_command_error =
        |error: std::io::Error| CommandError::failed(format!("signals: {error}"));
    let mut interrupt = signal(SignalKind::interrupt()).map_err(to_command_error)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(to_command_error)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
