//! `dandeliondeal explain`: the story of one request out of the instances' logs.

use std::io::{ErrorKind, Write};
use std::path::Path;

use pico_args::Arguments;

use crate::CommandError;
use crate::log_story::{InstanceLog, request_story};

/// What `dandeliondeal explain --help` prints.
pub const HELP: &str = "\
Prints what the logs of all instances tell of one request, in order, with what befell its engines
and its instance in the five seconds before.

usage: dandeliondeal explain REQUEST FILE...

REQUEST is the id of the caller's attempt; each FILE is the standard output of one instance.
Lines are marked: > names the request, e names an engine that it met, i is about its instance.
";

/// Runs the command.
///
/// # Errors
///
/// A file cannot be read, or no line names the request.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let request: String = arguments.free_from_str()?;
    let files = arguments.finish();
    if files.is_empty() {
        return Err(CommandError::usage("a log file is missing; see --help"));
    }
    let logs: Result<Vec<InstanceLog>, CommandError> =
        files.iter().map(|file| read(Path::new(file))).collect();
    let story = request_story(&request, &logs?);
    if story.is_empty() {
        let message = format!("no line of {} files names request {request}", files.len());
        return Err(CommandError::failed(message));
    }
    let mut output = std::io::stdout().lock();
    for line in story {
        match writeln!(output, "{line}") {
            Ok(()) => {}
            // The reader has seen enough.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => break,
            Err(error) => return Err(CommandError::failed(format!("output: {error}"))),
        }
    }
    Ok(())
}

fn read(file: &Path) -> Result<InstanceLog, CommandError> {
    let bytes = std::fs::read(file)
        .map_err(|error| CommandError::usage(format!("{}: {error}", file.display())))?;
    let name = file.file_stem().unwrap_or_default();
    Ok(InstanceLog {
        name: name.to_string_lossy().into_owned(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
