//! `dandeliondeal settings`: checks a settings file or prints the default settings.

use std::fs;

use dandeliondeal_config::EntrySettings;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;

/// Help text of `dandeliondeal settings`.
pub const HELP: &str = "\
Checks a settings file of an entry instance, or prints the default settings.

usage: dandeliondeal settings check FILE
       dandeliondeal settings default
";

/// Checks a settings file or prints the default settings.
///
/// # Errors
///
/// Returns every error of the file, or which argument is missing or unknown.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    match arguments.subcommand()?.as_deref() {
        Some("default") => {
            reject_remaining(arguments)?;
            print!("{}", EntrySettings::default_text());
            Ok(())
        }
        Some("check") => {
            let file: String = arguments.free_from_str()?;
            reject_remaining(arguments)?;
            read_settings(&file)?;
            println!("{file}: ok");
            Ok(())
        }
        _ => Err(CommandError::usage(
            "expected `settings check FILE` or `settings default`",
        )),
    }
}

/// Reads and parses a settings file of an entry instance.
///
/// # Errors
///
/// Returns why the file cannot be read, or all its errors, one per line.
pub fn read_settings(file: &str) -> Result<EntrySettings, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
    EntrySettings::parse(file, &text).map_err(|errors| CommandError::usage_lines(&errors))
}
