//! The daemon of a router, generic over the wire formats of a deployment.

use std::fs;
use std::time::UNIX_EPOCH;

use dandeliondeal_config::RouterSettings;
use dandeliondeal_relay::{FleetDialect, RequestDialect, RouterServer};
use dandeliondeal_store::{BudgetSettings, PlatformClient, PlatformSettings, StoreDialect};
use dandeliondeal_types::{Clock, Incarnation, SystemClock};
use pico_args::Arguments;
use prometheus::IntCounter;
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;
use crate::bounded_log::{dropped_lines, start_bounded_log};
use crate::command_line::reject_remaining;
use crate::stop_signal::wait_for_stop;

const HELP: &str = "\
Runs a router until SIGINT or SIGTERM, then lets open requests finish.

usage: dandeliondeal-router [--settings FILE] [--check | --defaults]

  --settings FILE   settings file in INI format (default: the file named in the environment)
  --check           check the settings and exit
  --defaults        print every setting with its default and exit
";

/// Interval between reports of dropped log lines.
const DROPPED_LINES_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);
/// Timeout for a connection to the store, which normally answers within milliseconds.
const STORE_CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Maximum size of an answer of the store, in bytes. A page is about one megabyte.
const MAX_STORE_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Shares of the store's call rates by call class. Claims have none, as a router writes no claims.
const STORE_SHARES: [f64; 4] = [0.0, 0.3, 0.3, 0.4];
/// Minimum number of store calls in one burst per class. A start needs a few calls of each class.
const MIN_STORE_BURST: f64 = 24.0;

/// Runs the daemon; `file` is the settings file if the arguments name none.
///
/// # Errors
///
/// Returns which argument, setting or address is invalid.
pub fn run<Dialect, StorageDialect>(
    mut arguments: Arguments,
    file: Option<String>,
    dialect: Dialect,
    store_dialect: StorageDialect,
) -> Result<(), CommandError>
where
    Dialect: RequestDialect + FleetDialect,
    StorageDialect: StoreDialect,
{
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--defaults") {
        print!("{}", RouterSettings::default_text());
        return Ok(());
    }
    let is_check = arguments.contains("--check");
    let file_argument: Option<String> = arguments.opt_value_from_str("--settings")?;
    reject_remaining(arguments)?;
    let file = file_argument
        .or(file)
        .ok_or_else(|| CommandError::usage("--settings is missing; see --help"))?;
    let settings = read_settings(&file)?;
    if is_check {
        println!("{file}: ok");
        return Ok(());
    }
    let _log_guard = start_bounded_log("info");
    actix_rt::System::new().block_on(serve(file, settings, dialect, store_dialect))
}

fn read_settings(file: &str) -> Result<RouterSettings, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
    RouterSettings::parse(file, &text).map_err(|errors| CommandError::usage_lines(&errors))
}

async fn serve<Dialect, StorageDialect>(
    file: String,
    settings: RouterSettings,
    dialect: Dialect,
    store_dialect: StorageDialect,
) -> Result<(), CommandError>
where
    Dialect: RequestDialect + FleetDialect,
    StorageDialect: StoreDialect,
{
    let clock = SystemClock;
    let incarnation = incarnation(&clock);
    let store =
        PlatformClient::with_dialect(store_settings(&settings, incarnation), clock, store_dialect);
    let instance = settings.instance.id.clone();
    let server = RouterServer::start(settings, clock, dialect, store, incarnation)
        .await
        .map_err(|error| CommandError::failed(format!("router: {error}")))?;
    tracing::info!(
        %instance,
        version = env!("CARGO_PKG_VERSION"),
        incarnation,
        callers = %server.caller_address(),
        readiness = %server.readiness_address(),
        metrics = %server.metrics_address(),
        "started"
    );
    actix_rt::spawn(check_reloads(file));
    let dropped = server.context().metrics().dropped_logs.clone();
    actix_rt::spawn(report_dropped_lines(dropped));
    wait_for_stop().await?;
    tracing::info!(%instance, "stopping");
    server.stop().await;
    Ok(())
}

/// Adds dropped log lines to the metric and logs their number.
async fn report_dropped_lines(counter: IntCounter) {
    loop {
        actix_rt::time::sleep(DROPPED_LINES_INTERVAL).await;
        let dropped = dropped_lines().saturating_sub(counter.get());
        if dropped > 0 {
            counter.inc_by(dropped);
            tracing::warn!(dropped, "log lines dropped by the rate limit");
        }
    }
}

/// Checks the settings file again on each SIGHUP, without applying it. Its settings are addresses
/// and limits of the machine, which stay fixed while the process runs.
async fn check_reloads(file: String) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            tracing::warn!(%error, "SIGHUP cannot be received");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match read_settings(&file) {
            Ok(_settings) => {
                tracing::info!(file, "settings are valid and apply from the next start");
            }
            Err(error) => tracing::warn!(file, %error, "settings are invalid"),
        }
    }
}

/// Returns a number that identifies this start of the instance: microseconds since the Unix
/// epoch. A later start has a higher number unless the system clock is set back.
fn incarnation<Time>(clock: &Time) -> Incarnation
where
    Time: Clock,
{
    let elapsed = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn store_settings(settings: &RouterSettings, seed: u64) -> PlatformSettings {
    let store = &settings.store;
    PlatformSettings {
        address: store.address,
        connect_timeout: STORE_CONNECT_TIMEOUT,
        call_timeout: store.timeout,
        answer_limit: MAX_STORE_ANSWER_BYTES,
        budget: BudgetSettings {
            fleet_reads_per_second: store.reads_per_second,
            fleet_writes_per_second: store.writes_per_second,
            shares: STORE_SHARES,
            min_burst_calls: MIN_STORE_BURST,
            ..BudgetSettings::default()
        },
        // The tasks that follow the store retry their own calls.
        read_retries: 0,
        seed,
        ..PlatformSettings::default()
    }
}
