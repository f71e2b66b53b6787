//! The command line of `dandeliondeal-standin`.

use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use dandeliondeal_standin::{
    EngineSettings, EngineStandin, PlatformSettings, PlatformStandin, ServiceSettings,
    ServiceStandin, StandinError,
};
use dandeliondeal_types::LayerRange;
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a stand-in that failed or was told to die.
const EXIT_FAILED: u8 = 1;
/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Small stand-ins for what dandeliondeal talks to, each as a process.

Usage:
  dandeliondeal-standin platform --listen ADDR [--writes-per-second N] [--reads-per-second N]
                                 [--list-lag-ms N]
  dandeliondeal-standin engine   --listen ADDR [--model NAME] [--layers N] [--range A..B]
                                 [--layer-us N] [--link-us N] [--capacity N]
                                 [--checks-fencing yes|no] [--weight-load-ms N]
  dandeliondeal-standin service  --listen ADDR [--name NAME] [--settles yes|no]
                                 [--duration-ms N] [--capacity N]

Each serves GET /ledger and takes POST /faults. It stops gracefully on SIGINT and SIGTERM.
Exit: 0 stopped, 1 failed or told to die, 2 wrong usage.
";

/// What to start.
#[derive(Clone, Debug)]
enum StandinCommand {
    Help,
    Platform(PlatformSettings),
    Engine(EngineSettings),
    Service(ServiceSettings),
}

/// Runs the program with these arguments, the program's own name left out.
pub fn run_standin(arguments: Vec<OsString>) -> ExitCode {
    let command = match parse(Arguments::from_vec(arguments)) {
        Ok(command) => command,
        Err(message) => return fail(EXIT_USAGE, &format!("{message}; see --help")),
    };
    if matches!(command, StandinCommand::Help) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(serve(command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail(EXIT_FAILED, "told to die"),
        Err(error) => fail(EXIT_FAILED, &error),
    }
}

fn fail<Message>(code: u8, message: &Message) -> ExitCode
where
    Message: Display + ?Sized,
{
    eprintln!("dandeliondeal-standin: {message}");
    ExitCode::from(code)
}

/// Runs until stopped (`true`) or told to die (`false`).
async fn serve(command: StandinCommand) -> Result<bool, StandinError> {
    match command {
        StandinCommand::Help => Ok(true),
        StandinCommand::Platform(settings) => {
            let standin = PlatformStandin::start(settings)?;
            announce("platform", standin.address());
            Ok(run_until_end(standin.ended(), standin.stop()).await)
        }
        StandinCommand::Engine(settings) => {
            let standin = EngineStandin::start(settings)?;
            announce("engine", standin.address());
            Ok(run_until_end(standin.ended(), standin.stop()).await)
        }
        StandinCommand::Service(settings) => {
            let standin = ServiceStandin::start(settings)?;
            announce("service", standin.address());
            Ok(run_until_end(standin.ended(), standin.stop()).await)
        }
    }
}

fn announce(kind: &str, address: SocketAddr) {
    println!("{kind} listening on {address}");
}

async fn run_until_end<Ended, Stop>(ended: Ended, stop: Stop) -> bool
where
    Ended: Future<Output = ()>,
    Stop: Future<Output = ()>,
{
    tokio::select! {
        () = ended => false,
        () = stop_signal() => {
            stop.await;
            true
        }
    }
}

/// Waits for SIGINT or SIGTERM; without a handler the signal ends the process as usual.
async fn stop_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn parse(mut arguments: Arguments) -> Result<StandinCommand, String> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(StandinCommand::Help);
    }
    let kind = arguments
        .subcommand()
        .map_err(|error| error.to_string())?
        .ok_or("platform, engine or service expected")?;
    let command = match kind.as_str() {
        "platform" => StandinCommand::Platform(platform_settings(&mut arguments)?),
        "engine" => StandinCommand::Engine(engine_settings(&mut arguments)?),
        "service" => StandinCommand::Service(service_settings(&mut arguments)?),
        other => return Err(format!("unknown stand-in {other}")),
    };
    match arguments.finish().first() {
        None => Ok(command),
        Some(extra) => Err(format!("unexpected argument {}", extra.display())),
    }
}

fn platform_settings(arguments: &mut Arguments) -> Result<PlatformSettings, String> {
    let default = PlatformSettings::default();
    Ok(PlatformSettings {
        listen: listen_address(arguments)?,
        writes_per_second: value(arguments, "--writes-per-second", default.writes_per_second)?,
        reads_per_second: value(arguments, "--reads-per-second", default.reads_per_second)?,
        list_lag: milliseconds(arguments, "--list-lag-ms", default.list_lag)?,
    })
}

fn engine_settings(arguments: &mut Arguments) -> Result<EngineSettings, String> {
    let default = EngineSettings::default();
    let layers = value(arguments, "--layers", default.layers)?;
    let whole = LayerRange::new(0, layers);
    let range = value(arguments, "--range", RangeArgument(whole))?.0;
    if range.is_empty() || !whole.contains(range) {
        return Err(format!("--range {range} is not within {whole}"));
    }
    Ok(EngineSettings {
        listen: listen_address(arguments)?,
        model: value(arguments, "--model", default.model.to_string())?.into(),
        layers,
        range,
        layer_microseconds: value(arguments, "--layer-us", default.layer_microseconds)?,
        link_microseconds: value(arguments, "--link-us", default.link_microseconds)?,
        capacity: value(arguments, "--capacity", default.capacity)?,
        checks_fencing: yes_or_no(arguments, "--checks-fencing", default.checks_fencing)?,
        weight_load: milliseconds(arguments, "--weight-load-ms", default.weight_load)?,
        ..default
    })
}

fn service_settings(arguments: &mut Arguments) -> Result<ServiceSettings, String> {
    let default = ServiceSettings::default();
    Ok(ServiceSettings {
        listen: listen_address(arguments)?,
        name: value(arguments, "--name", default.name.to_string())?.into(),
        settles: yes_or_no(arguments, "--settles", default.settles)?,
        duration: milliseconds(arguments, "--duration-ms", default.duration)?,
        capacity: value(arguments, "--capacity", default.capacity)?,
    })
}

/// A layer range as typed, `A..B`.
#[derive(Clone, Copy, Debug)]
struct RangeArgument(LayerRange);

impl FromStr for RangeArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bounds = text.split_once("..").ok_or("expected A..B")?;
        let number = |bound: &str| bound.parse().map_err(|_| "expected A..B".to_owned());
        Ok(Self(LayerRange::new(number(bounds.0)?, number(bounds.1)?)))
    }
}

fn listen_address(arguments: &mut Arguments) -> Result<SocketAddr, String> {
    arguments
        .value_from_str("--listen")
        .map_err(|error| format!("--listen: {error}"))
}

fn value<Value>(
    arguments: &mut Arguments,
    name: &'static str,
    default: Value,
) -> Result<Value, String>
where
    Value: FromStr,
    Value::Err: Display,
{
    arguments
        .opt_value_from_str(name)
        .map(|given| given.unwrap_or(default))
        .map_err(|error| format!("{name}: {error}"))
}

fn milliseconds(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, String> {
    let given: Option<u64> = arguments
        .opt_value_from_str(name)
        .map_err(|error| format!("{name}: {error}"))?;
    Ok(given.map_or(default, Duration::from_millis))
}

fn yes_or_no(arguments: &mut Arguments, name: &'static str, default: bool) -> Result<bool, String> {
    let default = if default { "yes" } else { "no" };
    match value(arguments, name, default.to_owned())?.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        other => Err(format!("{name}: yes or no expected, not {other}")),
    }
}
