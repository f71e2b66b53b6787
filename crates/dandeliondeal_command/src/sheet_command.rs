//! `dandeliondeal sheet`: checks and accepts sheets, and shows the accepted sheet.

use std::fs;
use std::sync::Arc;

use dandeliondeal_config::{
    AcceptError, AcceptReport, SheetManifest, SheetRows, compile_sheet, example_sheet, read_sheet,
};
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;
use crate::platform_access::{
    PlatformAccess, convert_accept_error, format_utc, print_json, store_session,
};
use crate::status_command;

/// Help text of `dandeliondeal sheet`.
pub const HELP: &str = "\
Prints, checks and accepts sheets, and shows the accepted sheet and its history.

usage: dandeliondeal sheet example
       dandeliondeal sheet check FILE
       dandeliondeal sheet accept FILE [--base REVISION] [--allow-removals] ACCESS
       dandeliondeal sheet show ACCESS
       dandeliondeal sheet diff FILE ACCESS
       dandeliondeal sheet history [--limit COUNT] ACCESS
       dandeliondeal sheet status --settings FILE [--platform ADDRESS] [--json]

ACCESS:
  --platform ADDRESS   address of the platform, or
  --settings FILE      settings file of an entry instance, which names the platform
  --author NAME        author of a change (default: the user's login name)
  --json               print JSON lines instead of text

  --base REVISION      accept only if this is still the latest revision
  --allow-removals     accept a sheet that removes more than a tenth of the accepted objects
";

/// Default number of revisions that `sheet history` prints.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Runs the `sheet` subcommand that the arguments select.
///
/// # Errors
///
/// Returns what is wrong with the arguments or the sheet, or why a platform call failed.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    match arguments.subcommand()?.as_deref() {
        Some("example") => {
            reject_remaining(arguments)?;
            print!("{}", example_sheet());
            Ok(())
        }
        Some("check") => check(arguments),
        Some("accept") => accept(arguments),
        Some("show") => show(arguments),
        Some("diff") => diff(arguments),
        Some("history") => history(arguments),
        Some("status") => status_command::run(arguments),
        _ => Err(CommandError::usage(
            "expected `sheet example|check|accept|show|diff|history|status`",
        )),
    }
}

fn read_bytes(file: &str) -> Result<Vec<u8>, CommandError> {
    fs::read(file).map_err(|error| CommandError::usage(format!("{file}: {error}")))
}

fn parse_rows(file: &str) -> Result<SheetRows, CommandError> {
    read_sheet(&read_bytes(file)?).map_err(|errors| CommandError::usage_lines(&errors))
}

fn check(mut arguments: Arguments) -> Result<(), CommandError> {
    let file: String = arguments.free_from_str()?;
    reject_remaining(arguments)?;
    let rows = parse_rows(&file)?;
    let model = compile_sheet(1, &rows).map_err(|errors| CommandError::usage_lines(&errors))?;
    println!(
        "{file}: ok: {} rows, {} routes, {} models, {} services, {} endpoints, {} organisations",
        rows.rows.len(),
        model.routes.len(),
        model.models.len(),
        model.services.len(),
        model.endpoints.len(),
        model.organisations.len(),
    );
    Ok(())
}

fn accept(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    let mut request = access.request()?;
    request.base = arguments.opt_value_from_str("--base")?;
    request.allow_removals = arguments.contains("--allow-removals");
    let file: String = arguments.free_from_str()?;
    reject_remaining(arguments)?;
    let bytes = read_bytes(&file)?;
    actix_rt::System::new().block_on(async {
        let client = access.client();
        let session = store_session(&client);
        let rows = match read_sheet(&bytes) {
            Ok(rows) => rows,
            Err(errors) => {
                let error = AcceptError::Invalid { errors };
                if let Err(failure) = session.record_refusal(&request, &error).await {
                    eprintln!(
                        "dandeliondeal: cannot record the refusal in the audit trail: {failure}"
                    );
                }
                return Err(convert_accept_error(error));
            }
        };
        let report = session
            .accept_sheet(&rows, &request)
            .await
            .map_err(convert_accept_error)?;
        print_report(&report, access.json);
        Ok(())
    })
}

/// Prints the revision and the number of changed rows of an accepted change.
pub(crate) fn print_report(report: &AcceptReport, json: bool) {
    let revision = report.revision;
    let count = report.changes.len();
    if json {
        print_json(&serde_json::json!({"revision": revision, "rows_changed": count}));
    } else if count == 0 {
        println!("revision {revision} says this already; nothing changed");
    } else {
        println!("accepted as revision {revision}: {count} rows changed");
    }
    if !report.audited {
        eprintln!(
            "dandeliondeal: the next change or `audit` will add this change to the audit trail"
        );
    }
}

fn show(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    reject_remaining(arguments)?;
    let stored = actix_rt::System::new().block_on(async {
        let client = access.client();
        store_session(&client).load_sheet().await
    });
    let stored = stored.map_err(convert_accept_error)?;
    eprintln!("revision {}", stored.head.stamp.revision);
    print!("{}", stored.rows.to_csv());
    Ok(())
}

fn diff(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    let file: String = arguments.free_from_str()?;
    reject_remaining(arguments)?;
    let rows = parse_rows(&file)?;
    let stored = actix_rt::System::new().block_on(async {
        let client = access.client();
        store_session(&client).load_sheet().await
    });
    let stored = stored.map_err(convert_accept_error)?;
    for change in rows.changes_since(&stored.rows) {
        if access.json {
            print_json(&change);
        } else {
            println!("{change}");
        }
    }
    Ok(())
}

fn history(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    let limit: Option<usize> = arguments.opt_value_from_str("--limit")?;
    reject_remaining(arguments)?;
    let history: Result<Vec<SheetManifest>, AcceptError> =
        actix_rt::System::new().block_on(async {
            let client = access.client();
            let limit = limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
            store_session(&client).load_history(limit).await
        });
    for manifest in history.map_err(convert_accept_error)? {
        if access.json {
            print_json(&manifest);
        } else {
            let time: Arc<str> = format_utc(manifest.at_milliseconds);
            println!("{:>8}  {time}  {}", manifest.revision, manifest.author);
        }
    }
    Ok(())
}
