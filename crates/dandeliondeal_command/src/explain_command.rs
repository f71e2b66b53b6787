//! `dandeliondeal explain`: prints the timeline of one request from the logs of all instances.

use std::io::{ErrorKind, Write};
use std::path::Path;

use pico_args::Arguments;

use crate::CommandError;
use crate::request_timeline::{InstanceLog, request_timeline};

/// Help text of `dandeliondeal explain`.
pub const HELP: &str = "\
Prints the log lines of all instances that name one request, in order of time, with the events of
its engines and its instance from five seconds before until its end.

usage: dandeliondeal explain REQUEST FILE...

REQUEST is the id of the caller's attempt; each FILE is the standard output of one instance.
Marks: > the line names the request, e it names an engine of the request, i it is about the
instance of the request.
";

/// Prints the timeline of the request that the arguments name.
///
/// # Errors
///
/// Returns which file cannot be read, or that no line names the request.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let request: String = arguments.free_from_str()?;
    let files = arguments.finish();
    if files.is_empty() {
        return Err(CommandError::usage("a log file is missing; see --help"));
    }
    let logs: Result<Vec<InstanceLog>, CommandError> =
        files.iter().map(|file| read_log(Path::new(file))).collect();
    let timeline = request_timeline(&request, &logs?);
    if timeline.is_empty() {
        let message = format!("no line in {} files names request {request}", files.len());
        return Err(CommandError::failed(message));
    }
    let mut output = std::io::stdout().lock();
    for entry in timeline {
        match writeln!(output, "{entry}") {
            Ok(()) => {}
            // The reader has closed the pipe, for example `head`.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => break,
            Err(error) => return Err(CommandError::failed(format!("output: {error}"))),
        }
    }
    Ok(())
}

fn read_log(file: &Path) -> Result<InstanceLog, CommandError> {
    let bytes = std::fs::read(file)
        .map_err(|error| CommandError::usage(format!("{}: {error}", file.display())))?;
    let name = file.file_stem().unwrap_or_default();
    Ok(InstanceLog {
        name: name.to_string_lossy().into_owned(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
