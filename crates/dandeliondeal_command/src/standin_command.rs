//! The command line of `dandeliondeal-standin`.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use dandeliondeal_standin::{
    EngineSettings, EngineStandin, PlatformSettings, PlatformStandin, ServiceSettings,
    ServiceStandin, StandinError,
};
use dandeliondeal_types::LayerRange;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_rest;
use crate::stop_signal::wait_for_stop;

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

/// Runs the program with these arguments.
///
/// # Errors
///
/// Says what is wrong with the arguments, or why the stand-in ended.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    let command = parse(arguments)?;
    actix_rt::System::new().block_on(serve(command))
}

/// Runs until stopped or told to die.
async fn serve(command: StandinCommand) -> Result<(), CommandError> {
    match command {
        StandinCommand::Help => {
            print!("{HELP}");
            Ok(())
        }
        StandinCommand::Platform(settings) => {
            let standin = PlatformStandin::start(settings).map_err(start_error)?;
            announce("platform", standin.address());
            run_until_end(standin.ended(), standin.stop()).await
        }
        StandinCommand::Engine(settings) => {
            let standin = EngineStandin::start(settings).map_err(start_error)?;
            announce("engine", standin.address());
            run_until_end(standin.ended(), standin.stop()).await
        }
        StandinCommand::Service(settings) => {
            let standin = ServiceStandin::start(settings).map_err(start_error)?;
            announce("service", standin.address());
            run_until_end(standin.ended(), standin.stop()).await
        }
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to `map_err`")]
fn start_error(error: StandinError) -> CommandError {
    CommandError::failed(error.to_string())
}

fn announce(kind: &str, address: SocketAddr) {
    println!("{kind} listening on {address}");
}

async fn run_until_end<Ended, Stop>(ended: Ended, stop: Stop) -> Result<(), CommandError>
where
    Ended: Future<Output = ()>,
    Stop: Future<Output = ()>,
{
    tokio::select! {
        () = ended => Err(CommandError::failed("stand-in was told to die")),
        signal = wait_for_stop() => {
            stop.await;
            signal
        }
    }
}

fn parse(mut arguments: Arguments) -> Result<StandinCommand, CommandError> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(StandinCommand::Help);
    }
    let kind = arguments.subcommand()?;
    let command = match kind.as_deref() {
        Some("platform") => StandinCommand::Platform(platform_settings(&mut arguments)?),
        Some("engine") => StandinCommand::Engine(engine_settings(&mut arguments)?),
        Some("service") => StandinCommand::Service(service_settings(&mut arguments)?),
        Some(other) => return Err(CommandError::usage(format!("there is no stand-in {other}"))),
        None => {
            return Err(CommandError::usage(
                "platform, engine or service is missing",
            ));
        }
    };
    reject_rest(arguments)?;
    Ok(command)
}

fn platform_settings(arguments: &mut Arguments) -> Result<PlatformSettings, CommandError> {
    let default = PlatformSettings::default();
    Ok(PlatformSettings {
        listen: listen_address(arguments)?,
        writes_per_second: value(arguments, "--writes-per-second", default.writes_per_second)?,
        reads_per_second: value(arguments, "--reads-per-second", default.reads_per_second)?,
        list_lag: milliseconds(arguments, "--list-lag-ms", default.list_lag)?,
    })
}

fn engine_settings(arguments: &mut Arguments) -> Result<EngineSettings, CommandError> {
    let default = EngineSettings::default();
    let layers = value(arguments, "--layers", default.layers)?;
    let whole = LayerRange::new(0, layers);
    let range = value(arguments, "--range", RangeArgument(whole))?.0;
    if range.is_empty() || !whole.contains(range) {
        return Err(CommandError::usage(format!(
            "--range {range} is not within {whole}"
        )));
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

fn service_settings(arguments: &mut Arguments) -> Result<ServiceSettings, CommandError> {
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

fn listen_address(arguments: &mut Arguments) -> Result<SocketAddr, CommandError> {
    arguments
        .value_from_str("--listen")
        .map_err(|error| wrong_value("--listen", &error))
}

fn value<Value>(
    arguments: &mut Arguments,
    name: &'static str,
    default: Value,
) -> Result<Value, CommandError>
where
    Value: FromStr,
    Value::Err: Display,
{
    arguments
        .opt_value_from_str(name)
        .map(|given| given.unwrap_or(default))
        .map_err(|error| wrong_value(name, &error))
}

fn milliseconds(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, CommandError> {
    let given: Option<u64> = arguments
        .opt_value_from_str(name)
        .map_err(|error| wrong_value(name, &error))?;
    Ok(given.map_or(default, Duration::from_millis))
}

fn yes_or_no(
    arguments: &mut Arguments,
    name: &'static str,
    default: bool,
) -> Result<bool, CommandError> {
    let default = if default { "yes" } else { "no" };
    match value(arguments, name, default.to_owned())?.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        other => Err(wrong_value(
            name,
            &format!("yes or no expected, not {other}"),
        )),
    }
}

fn wrong_value<Reason>(name: &str, reason: &Reason) -> CommandError
where
    Reason: Display + ?Sized,
{
    CommandError::usage(format!("{name}: {reason}; see --help"))
}
