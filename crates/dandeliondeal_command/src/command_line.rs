//! The subcommands of `dandeliondeal`.

use pico_args::Arguments;

use crate::{
    CommandError, audit_command, explain_command, measure_command, replay_command, set_command,
    settings_command, sheet_command, standalone,
};

const HELP: &str = "\
A router for pipelines over mixed accelerators.

usage: dandeliondeal COMMAND [ARGUMENTS]

  standalone     run an entry instance with stand-ins for all that it needs
  measure        measure the real code on loopback
  replay         replay traces against their stated outcomes
  sheet          print, check and accept sheets, show what is accepted
  set            change an attribute of the accepted sheet
  audit          read and verify the audit trail
  explain        tell what the routers' logs say of one request
  settings       check a settings file, or print the defaults

`dandeliondeal COMMAND --help` tells more.
Exit codes: 0 done, 1 failed, 2 bad usage or input, 3 conflict with another operator.
";

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Returns the command's error, or what is wrong with the arguments.
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
        Some(command) => Err(CommandError::usage(format!(
            "there is no command {command}"
        ))),
        None if help => print_help(HELP),
        None => Err(CommandError::usage("a command is missing; see --help")),
    }
}

/// Refuses arguments that nobody took.
///
/// # Errors
///
/// Names the first argument that is left.
pub fn reject_rest(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => {
            let rest = rest.to_string_lossy();
            Err(CommandError::usage(format!(
                "argument {rest} is not known; see --help"
            )))
        }
    }
}

fn run_or_help<Run>(
    help: bool,
    text: &str,
    arguments: Arguments,
    run: Run,
) -> Result<(), CommandError>
where
    Run: FnOnce(Arguments) -> Result<(), CommandError>,
{
    if help {
        print_help(text)
    } else {
        run(arguments)
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "printing help is one of the results of a command"
)]
fn print_help(text: &str) -> Result<(), CommandError> {
    print!("{text}");
    Ok(())
}
