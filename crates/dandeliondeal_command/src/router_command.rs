//! The daemon of a router, for any deployment's words.

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
use crate::command_line::reject_rest;
use crate::stop_signal::wait_for_stop;

const HELP: &str = "\
Runs a router until SIGINT or SIGTERM; open requests finish first.

usage: dandeliondeal-router [--settings FILE] [--check | --defaults]

  --settings FILE   the settings, in INI; without it, the file that the environment names
  --check           check the settings and exit
  --defaults        print every setting with its default and exit
";

/// Time between two looks at how many log lines were left out.
const DROPPED_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);
/// Connections to the store are made within this time; it answers within milliseconds.
const STORE_CONNECT_LIMIT: std::time::Duration = std::time::Duration::from_millis(300);
/// Longest answer of the store, in bytes: a page is about a megabyte.
const STORE_ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Shares of the store's rates by class: no claims are written here.
const STORE_SHARES: [f64; 4] = [0.0, 0.3, 0.3, 0.4];
/// Calls that each class may make at once: a start needs a few of each.
const STORE_BURST: f64 = 24.0;

/// Runs the daemon; `file` is the settings file where the arguments name none.
///
/// # Errors
///
/// Says which argument, setting or address is wrong.
pub fn run<Site, Words>(
    mut arguments: Arguments,
    file: Option<String>,
    site: Site,
    words: Words,
) -> Result<(), CommandError>
where
    Site: RequestDialect + FleetDialect,
    Words: StoreDialect,
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
    let named: Option<String> = arguments.opt_value_from_str("--settings")?;
    reject_rest(arguments)?;
    let file = named
        .or(file)
        .ok_or_else(|| CommandError::usage("--settings is missing; see --help"))?;
    let settings = read_settings(&file)?;
    if is_check {
        println!("{file}: ok");
        return Ok(());
    }
    let _log = start_bounded_log("info");
    actix_rt::System::new().block_on(serve(file, settings, site, words))
}

fn read_settings(file: &str) -> Result<RouterSettings, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
    RouterSettings::parse(file, &text).map_err(|errors| CommandError::usage_lines(&errors))
}

async fn serve<Site, Words>(
    file: String,
    settings: RouterSettings,
    site: Site,
    words: Words,
) -> Result<(), CommandError>
where
    Site: RequestDialect + FleetDialect,
    Words: StoreDialect,
{
    let clock = SystemClock;
    let incarnation = incarnation(&clock);
    let store = PlatformClient::with_dialect(store_settings(&settings, incarnation), clock, words);
    let instance = settings.instance.id.clone();
    let server = RouterServer::start(settings, clock, site, store, incarnation)
        .await
        .map_err(|error| CommandError::failed(format!("router: {error}")))?;
    tracing::info!(
        %instance,
        incarnation,
        callers = %server.caller_address(),
        readiness = %server.readiness_address(),
        metrics = %server.metrics_address(),
        "started"
    );
    actix_rt::spawn(note_reloads(file));
    let dropped = server.context().metrics().dropped_logs.clone();
    actix_rt::spawn(note_dropped(dropped));
    wait_for_stop().await?;
    tracing::info!(%instance, "stopping");
    server.stop().await;
    Ok(())
}

/// Counts log lines that were left out, and says so.
async fn note_dropped(counter: IntCounter) {
    loop {
        actix_rt::time::sleep(DROPPED_INTERVAL).await;
        let dropped = dropped_lines().saturating_sub(counter.get());
        if dropped > 0 {
            counter.inc_by(dropped);
            tracing::warn!(dropped, "log lines left out");
        }
    }
}

/// Checks the settings file again with each SIGHUP. What it sets is fixed for the life of a
/// process: addresses and bounds of the machine.
async fn note_reloads(file: String) {
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
                tracing::info!(file, "settings checked; they hold from the next start");
            }
            Err(error) => tracing::warn!(file, %error, "settings are wrong"),
        }
    }
}

/// Tells the starts of one instance apart; a later one is higher unless the time of day jumps.
fn incarnation<Time>(clock: &Time) -> Incarnation
where
    Time: Clock,
{
    let elapsed = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn store_settings(settings: &RouterSettings, seed: u64) -> PlatformSettings {
    let store = &settings.store;
    PlatformSettings {
        address: store.address,
        connect_timeout: STORE_CONNECT_LIMIT,
        call_timeout: store.timeout,
        answer_limit: STORE_ANSWER_LIMIT,
        budget: BudgetSettings {
            fleet_reads_per_second: store.reads_per_second,
            fleet_writes_per_second: store.writes_per_second,
            shares: STORE_SHARES,
            least_burst: STORE_BURST,
            ..BudgetSettings::default()
        },
        // Whoever follows the store repeats its calls itself.
        read_retries: 0,
        seed,
        ..PlatformSettings::default()
    }
}
