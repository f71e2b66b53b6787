//! `dandeliondeal settings`: checks a settings file, or prints the defaults.

use std::fs;

use dandeliondeal_config::EntrySettings;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_rest;

/// What `dandeliondeal settings --help` prints.
pub const HELP: &str = "\
Checks the settings of an entry instance, or prints the defaults.

usage: dandeliondeal settings check FILE
       dandeliondeal settings default
";

/// Runs the command.
///
/// # Errors
///
/// Every error of the file, or what is wrong with the arguments.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    match arguments.subcommand()?.as_deref() {
        Some("default") => {
            reject_rest(arguments)?;
            print!("{}", EntrySettings::default_text());
            Ok(())
        }
        Some("check") => {
            let file: String = arguments.free_from_str()?;
            reject_rest(arguments)?;
            read_settings(&file)?;
            println!("{file}: ok");
            Ok(())
        }
        _ => Err(CommandError::usage(
            "expected `settings check FILE` or `settings default`",
        )),
    }
}

/// Reads the settings of an entry instance.
///
/// # Errors
///
/// Every error of the file, a line each.
pub fn read_settings(file: &str) -> Result<EntrySettings, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
    EntrySettings::parse(file, &text).map_err(|errors| CommandError::usage_lines(&errors))
}
