//! `dandeliondeal-standin`: runs a stand-in for a platform, an engine or a service.

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
use crate::command_line::reject_remaining;
use crate::stop_signal::wait_for_stop;

const HELP: &str = "\
Runs a stand-in for a platform, an engine or a service that dandeliondeal calls, as a process.

usage:
  dandeliondeal-standin platform --listen ADDR [--writes-per-second N] [--reads-per-second N]
                                 [--list-lag-ms N]
  dandeliondeal-standin engine   --listen ADDR [--model NAME] [--layers N] [--range A..B]
                                 [--layer-us N] [--link-us N] [--capacity N]
                                 [--checks-fencing yes|no] [--weight-load-ms N]
  dandeliondeal-standin service  --listen ADDR [--name NAME] [--settles yes|no]
                                 [--duration-ms N] [--capacity N]

Each stand-in serves GET /ledger and POST /faults, and stops gracefully on SIGINT and SIGTERM.
Exit codes: 0 stopped, 1 failed or ended by the `die` fault, 2 invalid arguments.
";

/// Command that the arguments select.
#[derive(Clone, Debug)]
enum StandinCommand {
    Help,
    Platform(PlatformSettings),
    Engine(EngineSettings),
    Service(ServiceSettings),
}

/// Runs the stand-in that the arguments select, or prints the help text.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the stand-in fails.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    let command = parse(arguments)?;
    actix_rt::System::new().block_on(serve(command))
}

/// Runs the stand-in until a stop signal arrives or the `die` fault ends it.
async fn serve(command: StandinCommand) -> Result<(), CommandError> {
    match command {
        StandinCommand::Help => {
            print!("{HELP}");
            Ok(())
        }
        StandinCommand::Platform(settings) => {
            let standin = PlatformStandin::start(settings).map_err(convert_standin_error)?;
            print_address("platform", standin.address());
            run_until_end(standin.wait_until_ended(), standin.stop()).await
        }
        StandinCommand::Engine(settings) => {
            let standin = EngineStandin::start(settings).map_err(convert_standin_error)?;
            print_address("engine", standin.address());
            run_until_end(standin.wait_until_ended(), standin.stop()).await
        }
        StandinCommand::Service(settings) => {
            let standin = ServiceStandin::start(settings).map_err(convert_standin_error)?;
            print_address("service", standin.address());
            run_until_end(standin.wait_until_ended(), standin.stop()).await
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "`map_err` passes the error by value"
)]
fn convert_standin_error(error: StandinError) -> CommandError {
    CommandError::failed(error.to_string())
}

fn print_address(kind: &str, address: SocketAddr) {
    println!("{kind} listening on {address}");
}

async fn run_until_end<Ended, Stop>(ended: Ended, stop: Stop) -> Result<(), CommandError>
where
    Ended: Future<Output = ()>,
    Stop: Future<Output = ()>,
{
    tokio::select! {
        () = ended => Err(CommandError::failed("the `die` fault ended the stand-in")),
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
        Some(other) => return Err(CommandError::usage(format!("unknown stand-in {other}"))),
        None => {
            return Err(CommandError::usage(
                "missing subcommand: expected platform, engine or service",
            ));
        }
    };
    reject_remaining(arguments)?;
    Ok(command)
}

fn platform_settings(arguments: &mut Arguments) -> Result<PlatformSettings, CommandError> {
    let defaults = PlatformSettings::default();
    Ok(PlatformSettings {
        listen: parse_listen_address(arguments)?,
        writes_per_second: parse_value(
            arguments,
            "--writes-per-second",
            defaults.writes_per_second,
        )?,
        reads_per_second: parse_value(arguments, "--reads-per-second", defaults.reads_per_second)?,
        list_lag: parse_milliseconds(arguments, "--list-lag-ms", defaults.list_lag)?,
    })
}

fn engine_settings(arguments: &mut Arguments) -> Result<EngineSettings, CommandError> {
    let defaults = EngineSettings::default();
    let layers = parse_value(arguments, "--layers", defaults.layers)?;
    let all_layers = LayerRange::new(0, layers);
    let range = parse_value(arguments, "--range", RangeArgument(all_layers))?.0;
    if range.is_empty() || !all_layers.contains(range) {
        return Err(CommandError::usage(format!(
            "--range {range} is not within {all_layers}"
        )));
    }
    Ok(EngineSettings {
        listen: parse_listen_address(arguments)?,
        model: parse_value(arguments, "--model", defaults.model.to_string())?.into(),
        layers,
        range,
        layer_microseconds: parse_value(arguments, "--layer-us", defaults.layer_microseconds)?,
        link_microseconds: parse_value(arguments, "--link-us", defaults.link_microseconds)?,
        capacity: parse_value(arguments, "--capacity", defaults.capacity)?,
        checks_fencing: parse_yes_or_no(arguments, "--checks-fencing", defaults.checks_fencing)?,
        weight_load_duration: parse_milliseconds(
            arguments,
            "--weight-load-ms",
            defaults.weight_load_duration,
        )?,
        ..defaults
    })
}

fn service_settings(arguments: &mut Arguments) -> Result<ServiceSettings, CommandError> {
    let defaults = ServiceSettings::default();
    Ok(ServiceSettings {
        listen: parse_listen_address(arguments)?,
        name: parse_value(arguments, "--name", defaults.name.to_string())?.into(),
        settles: parse_yes_or_no(arguments, "--settles", defaults.settles)?,
        duration: parse_milliseconds(arguments, "--duration-ms", defaults.duration)?,
        capacity: parse_value(arguments, "--capacity", defaults.capacity)?,
    })
}

/// Layer range in the form `A..B`.
#[derive(Clone, Copy, Debug)]
struct RangeArgument(LayerRange);

impl FromStr for RangeArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bounds = text.split_once("..").ok_or("expected A..B")?;
        let parse_bound = |bound: &str| bound.parse().map_err(|_| "expected A..B".to_owned());
        Ok(Self(LayerRange::new(
            parse_bound(bounds.0)?,
            parse_bound(bounds.1)?,
        )))
    }
}

fn parse_listen_address(arguments: &mut Arguments) -> Result<SocketAddr, CommandError> {
    arguments
        .value_from_str("--listen")
        .map_err(|error| value_error("--listen", &error))
}

fn parse_value<Value>(
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
        .map(|argument| argument.unwrap_or(default))
        .map_err(|error| value_error(name, &error))
}

fn parse_milliseconds(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, CommandError> {
    let argument: Option<u64> = arguments
        .opt_value_from_str(name)
        .map_err(|error| value_error(name, &error))?;
    Ok(argument.map_or(default, Duration::from_millis))
}

fn parse_yes_or_no(
    arguments: &mut Arguments,
    name: &'static str,
    default: bool,
) -> Result<bool, CommandError> {
    let default = if default { "yes" } else { "no" };
    match parse_value(arguments, name, default.to_owned())?.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        other => Err(value_error(
            name,
            &format!("expected yes or no, not {other}"),
        )),
    }
}

fn value_error<Reason>(name: &str, reason: &Reason) -> CommandError
where
    Reason: Display + ?Sized,
{
    CommandError::usage(format!("{name}: {reason}; see --help"))
}
