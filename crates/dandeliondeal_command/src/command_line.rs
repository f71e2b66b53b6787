//! The subcommands of `dandeliondeal`.

use pico_args::Arguments;

use crate::{
    CommandError, audit_command, explain_command, measure_command, replay_command, set_command,
    settings_command, sheet_command, standalone,
};

const HELP: &str = "\
A router for pipelines over mixed accelerators.

usage: dandeliondeal COMMAND [ARGUMENTS]

  standalone     run an entry instance with stand-ins for everything it depends on
  measure        measure the production code over loopback
  replay         replay traces and check the outcomes
  sheet          print, check and accept sheets, show the accepted sheet
  set            change an attribute of the accepted sheet
  audit          read and verify the audit trail
  explain        print what the logs of all instances say about one request
  settings       check a settings file or print the default settings

`dandeliondeal COMMAND --help` prints details.
Exit codes: 0 success, 1 failed, 2 bad usage or input, 3 conflict with another operator.
";

/// Runs the subcommand that the arguments select.
///
/// # Errors
///
/// Returns the error of the subcommand, or which argument is missing or unknown.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let command = arguments.subcommand()?;
    let help = arguments.contains(["-h", "--help"]);
    match command.as_deref() {
        Some("standalone") => run_or_help(help, standalone::HELP, arguments, standalone::run),
        Some("measure") => {
            run_or_help(help, measure_command::HELP, arguments, measure_command::run)
        }
        Some("replay") => run_or_help(help, replay_command::HELP, arguments, replay_command::run),
        Some("sheet") => run_or_help(help, sheet_command::HELP, arguments, sheet_command::run),
        Some("set") => run_or_help(help, set_command::HELP, arguments, set_command::run),
        Some("audit") => run_or_help(help, audit_command::HELP, arguments, audit_command::run),
        Some("explain") => {
            run_or_help(help, explain_command::HELP, arguments, explain_command::run)
        }
        Some("settings") => run_or_help(
            help,
            settings_command::HELP,
            arguments,
            settings_command::run,
        ),
        Some(command) => Err(CommandError::usage(format!("unknown command {command}"))),
        None if help => print_help(HELP),
        None => Err(CommandError::usage("a command is missing; see --help")),
    }
}

/// Rejects arguments that no option or operand has consumed.
///
/// # Errors
///
/// Returns the first remaining argument.
pub fn reject_remaining(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => {
            let argument = argument.to_string_lossy();
            Err(CommandError::usage(format!(
                "unknown argument {argument}; see --help"
            )))
        }
    }
}

fn run_or_help<Run>(
    is_help: bool,
    help: &str,
    arguments: Arguments,
    run: Run,
) -> Result<(), CommandError>
where
    Run: FnOnce(Arguments) -> Result<(), CommandError>,
{
    if is_help {
        print_help(help)
    } else {
        run(arguments)
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "returns the same type as the subcommands"
)]
fn print_help(help: &str) -> Result<(), CommandError> {
    print!("{help}");
    Ok(())
}
