//! `dandeliondeal audit`: reads and verifies the audit trail.

use dandeliondeal_config::verify_trail;
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;
use crate::platform_access::{
    PlatformAccess, convert_accept_error, format_utc, print_json, store_session,
};

/// Help text of `dandeliondeal audit`.
pub const HELP: &str = "\
Prints every change, accepted or refused, and verifies that the audit trail is complete and
unaltered.

usage: dandeliondeal audit ACCESS

ACCESS:
  --platform ADDRESS   address of the platform, or
  --settings FILE      settings file of an entry instance, which names the platform
  --json               print JSON lines instead of text
";

/// Prints the audit trail and verifies it.
///
/// # Errors
///
/// Returns an error if the audit trail cannot be read or was altered.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    reject_remaining(arguments)?;
    let trail = actix_rt::System::new().block_on(async {
        let client = access.client();
        store_session(&client).read_trail().await
    });
    let trail = trail.map_err(convert_accept_error)?;
    for record in trail.iter().flat_map(|segment| &segment.records) {
        if access.json {
            print_json(record);
            continue;
        }
        println!(
            "{}  {}",
            format_utc(record.entry.at_milliseconds),
            record.entry
        );
        for change in &record.entry.changes {
            println!("    {change}");
        }
    }
    verify_trail(&trail).map_err(|error| CommandError::failed(format!("audit trail: {error}")))
}
