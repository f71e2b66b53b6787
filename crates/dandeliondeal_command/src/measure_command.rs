//! `dandeliondeal measure`: measures the production code over loopback connections.

use dandeliondeal_measure::{self as measure, MeasureError, MeasureSettings};
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;

/// Help text of `dandeliondeal measure`.
pub const HELP: &str = "\
Measures the production code with stand-ins over loopback; prints a table and JSON lines.

usage: dandeliondeal measure NAME [--seed NUMBER] [--long] [--plots]

  choice       policies that choose an endpoint, at several load report delays, in virtual time
  claims       claims per platform write, claim latency, platform calls as the fleet grows
  footprint    memory and processor time of the control state, by its size
  limits       division of an organisation's limit among instances, in virtual time
  membership   cost of heartbeats and time to detect a dead instance, by fleet size
  overhead     time to first token compared with the engines alone, processor time per token
  overload     goodput above capacity, a small organisation during a burst, in virtual time
  recovery     time from a failure to the next token, compared with detection and a restart
  rollout      time from accepting a sheet until every instance uses it, by fleet size
  throughput   tokens per second relative to the limit of the slowest stage, by planner

  --seed NUMBER   seed of the random numbers (default 1)
  --long          take more samples; without it, a measurement takes at most 40 s
  --plots         write SVG plots (only choice and overload) to the working directory
";

/// Runs one measurement.
///
/// # Errors
///
/// Returns why the measurement failed, or which argument is missing or invalid.
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
    reject_remaining(arguments)?;
    actix_rt::System::new().block_on(async {
        match &*name {
            "choice" => convert_result(measure::choice::run(settings)),
            "claims" => convert_result(measure::claims::run(settings).await),
            "footprint" => convert_result(measure::footprint::run(settings)),
            "limits" => convert_result(measure::limits::run(settings)),
            "membership" => convert_result(measure::membership::run(settings).await),
            "overhead" => convert_result(measure::overhead::run(settings).await),
            "overload" => convert_result(measure::overload::run(settings)),
            "recovery" => convert_result(measure::recovery::run(settings).await),
            "rollout" => convert_result(measure::rollout::run(settings).await),
            "throughput" => convert_result(measure::throughput::run(settings).await),
            _ => Err(CommandError::usage(format!(
                "unknown measurement {name}; see --help"
            ))),
        }
    })
}

fn convert_result(result: Result<(), MeasureError>) -> Result<(), CommandError> {
    result.map_err(|error| CommandError::failed(error.to_string()))
}
