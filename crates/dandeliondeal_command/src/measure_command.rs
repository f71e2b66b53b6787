//! `dandeliondeal measure`: measurements of the real code on loopback.

use dandeliondeal_measure::{self as measure, MeasureError, MeasureSettings};
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_rest;

/// What `dandeliondeal measure --help` prints.
pub const HELP: &str = "\
Measures the real code with stand-ins on loopback; prints a table and JSON lines.

usage: dandeliondeal measure NAME [--seed NUMBER] [--long] [--plots]

  choice       ways to choose an endpoint, at several lags of load reports, in virtual time
  claims       claims a platform write, the delay of a claim, calls as the fleet grows
  footprint    memory and processor time of the control state as it grows
  limits       grants of an organisation's limit among instances, in virtual time
  membership   cost of heartbeats and time to notice a death, by fleet size
  overhead     time to the first token beside the engines' own, processor time a token
  overload     goodput above the capacity; a small organisation beside a burst; virtual time
  recovery     time from a failure to the next token, beside detection and a restart
  rollout      time from acceptance to in force everywhere, by fleet size
  throughput   tokens a second over the bound of the slowest stage, planners compared

  --seed NUMBER   seed of everything random (default 1)
  --long          more samples; without it a measurement takes 40 s at most
  --plots         write SVG plots of choice and overload to the working directory
";

/// Runs one measurement.
///
/// # Errors
///
/// Returns why the measurement did not finish, or what is wrong with the arguments.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let defaults = MeasureSettings::default();
    let settings = MeasureSettings {
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(defaults.seed),
        long: arguments.contains("--long"),
        plots: arguments.contains("--plots"),
    };
    let name: String = arguments.free_from_str()?;
    reject_rest(arguments)?;
    actix_rt::System::new().block_on(async {
        match &*name {
            "choice" => finish(measure::choice::run(settings)),
            "claims" => finish(measure::claims::run(settings).await),
            "footprint" => finish(measure::footprint::run(settings)),
            "limits" => finish(measure::limits::run(settings)),
            "membership" => finish(measure::membership::run(settings).await),
            "overhead" => finish(measure::overhead::run(settings).await),
            "overload" => finish(measure::overload::run(settings)),
            "recovery" => finish(measure::recovery::run(settings).await),
            "rollout" => finish(measure::rollout::run(settings).await),
            "throughput" => finish(measure::throughput::run(settings).await),
            _ => Err(CommandError::usage(format!(
                "there is no measurement {name}; see --help"
            ))),
        }
    })
}

fn finish(result: Result<(), MeasureError>) -> Result<(), CommandError> {
    result.map_err(|error| CommandError::failed(error.to_string()))
}
