//! `dandeliondeal-entry`: runs the daemon of an entry instance.

use dandeliondeal_config::EntrySettings;
use dandeliondeal_entry::EntryServer;
use dandeliondeal_types::SystemClock;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;
use crate::json_log::start_log;
use crate::settings_command::read_settings;
use crate::stop_signal::wait_for_stop;

const HELP: &str = "\
Runs an entry instance until SIGINT or SIGTERM, then lets open requests finish.

usage: dandeliondeal-entry --settings FILE

`dandeliondeal settings default` prints a settings file with every key.
";

/// Runs the daemon until a stop signal arrives and open requests have finished.
///
/// # Errors
///
/// Returns which argument, setting, address or chart is invalid.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let file: String = arguments.value_from_str("--settings")?;
    reject_remaining(arguments)?;
    let settings = read_settings(&file)?;
    start_log("info");
    actix_rt::System::new().block_on(async {
        let mut entry = start_entry(settings).await?;
        entry
            .start_order_runner()
            .map_err(|error| CommandError::failed(format!("entry instance: {error}")))?;
        println!("callers listening on {}", entry.caller_address());
        println!("operators listening on {}", entry.operator_address());
        if let Some(link) = entry.link() {
            println!("peers listening on {}", link.address());
        }
        tracing::info!(
            callers = %entry.caller_address(),
            operators = %entry.operator_address(),
            "started"
        );
        wait_for_stop().await?;
        entry.stop().await;
        Ok(())
    })
}

/// Starts an entry instance and joins it to the fleet.
///
/// # Errors
///
/// Returns which address or chart is invalid.
pub async fn start_entry(
    settings: EntrySettings,
) -> Result<EntryServer<SystemClock>, CommandError> {
    let mut entry = EntryServer::start(settings, SystemClock)
        .await
        .map_err(|error| CommandError::failed(format!("entry instance: {error}")))?;
    entry
        .join_fleet()
        .map_err(|error| CommandError::failed(format!("peers: {error}")))?;
    Ok(entry)
}
