//! `dandeliondeal audit`: reads and verifies the audit trail.

use dandeliondeal_config::verify_trail;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_rest;
use crate::platform_access::{PlatformAccess, accept_failed, print_json, store_call, utc_text};

/// What `dandeliondeal audit --help` prints.
pub const HELP: &str = "\
Prints every change, accepted or refused, and verifies that the trail is whole and unaltered.

usage: dandeliondeal audit ACCESS

ACCESS:
  --platform ADDRESS   address of the platform, or
  --settings FILE      settings of an entry instance, which name it
  --json               JSON lines in place of text
";

/// Runs the command.
///
/// # Errors
///
/// Why the trail cannot be read, or where it was altered.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    reject_rest(arguments)?;
    let trail = actix_rt::System::new().block_on(async {
        let client = access.client();
        store_call(&client).read_trail().await
    });
    let trail = trail.map_err(accept_failed)?;
    for record in trail.iter().flat_map(|segment| &segment.records) {
        if access.json {
            print_json(record);
            continue;
        }
        println!(
            "{}  {}",
            utc_text(record.entry.at_milliseconds),
            record.entry
        );
        for change in &record.entry.changes {
            println!("    {change}");
        }
    }
    verify_trail(&trail).map_err(|error| CommandError::failed(format!("audit trail: {error}")))
}
