//! `dandeliondeal set`: changes one attribute of the accepted sheet.

use std::sync::Arc;

use dandeliondeal_config::{AcceptError, RowKey, SheetColumn, SheetError, SheetKind, read_sheet};
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_rest;
use crate::platform_access::{PlatformAccess, accept_failed, store_call};
use crate::sheet_command::print_report;

/// What `dandeliondeal set --help` prints.
pub const HELP: &str = "\
Changes attributes of one thing of the accepted sheet, on the same path as `sheet accept`.

usage: dandeliondeal set KIND NAME ATTRIBUTE=VALUE... [--base REVISION] ACCESS

ACCESS:
  --platform ADDRESS   address of the platform, or
  --settings FILE      settings of an entry instance, which name it
  --author NAME        who makes the change (default: the user's login name)
  --json               JSON lines in place of text

  --base REVISION      accept only if this revision is still the last one
";

/// Runs the command.
///
/// # Errors
///
/// What is wrong with the arguments or the change, or why the platform did not take it.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    let mut request = access.request()?;
    request.base = arguments.opt_value_from_str("--base")?;
    let label: String = arguments.free_from_str()?;
    let kind = SheetKind::from_label(&label)
        .ok_or_else(|| CommandError::usage(format!("there is no kind {label}")))?;
    let name: Arc<str> = arguments.free_from_str::<String>()?.into();
    let mut pairs = Vec::new();
    while let Some(pair) = arguments.opt_free_from_str::<String>()? {
        pairs.push(parse_pair(&pair, kind)?);
    }
    reject_rest(arguments)?;
    if pairs.is_empty() {
        return Err(CommandError::usage("ATTRIBUTE=VALUE is missing"));
    }
    actix_rt::System::new().block_on(async {
        let client = access.client();
        let report = store_call(&client)
            .change_sheet(&request, |rows| {
                let mut rows = rows.clone();
                if !rows.has(kind, &name) {
                    return Err(unknown_thing(kind, &name));
                }
                for (attribute, value) in pairs {
                    let name = Arc::clone(&name);
                    let key = RowKey {
                        kind,
                        name,
                        attribute,
                    };
                    rows.set(key, value);
                }
                // Reading it back applies the checks of a sheet to the new values.
                read_sheet(rows.to_csv().as_bytes())
                    .map_err(|errors| AcceptError::Invalid { errors })
            })
            .await
            .map_err(accept_failed)?;
        print_report(&report, access.json);
        Ok(())
    })
}

fn parse_pair(pair: &str, kind: SheetKind) -> Result<(Arc<str>, Arc<str>), CommandError> {
    let (attribute, value) = pair
        .split_once('=')
        .ok_or_else(|| CommandError::usage(format!("expected ATTRIBUTE=VALUE, not {pair}")))?;
    if !kind.has_attribute(attribute) {
        let known: Vec<&str> = kind.attributes().iter().map(|known| known.name).collect();
        let known = known.join(", ");
        return Err(CommandError::usage(format!(
            "{kind} has no attribute {attribute}; expected one of {known}"
        )));
    }
    Ok((attribute.into(), value.into()))
}

fn unknown_thing(kind: SheetKind, name: &str) -> AcceptError {
    let problem = format!("the accepted sheet has no {kind} {name}");
    let error = SheetError::new(0, SheetColumn::Name, problem, "a name that the sheet has");
    AcceptError::Invalid {
        errors: vec![error],
    }
}
