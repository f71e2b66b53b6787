//! `dandeliondeal set`: changes attributes of one object of the accepted sheet.

use std::sync::Arc;

use dandeliondeal_config::{AcceptError, RowKey, SheetColumn, SheetError, SheetKind, read_sheet};
use pico_args::Arguments;

use crate::CommandError;
use crate::command_line::reject_remaining;
use crate::platform_access::{PlatformAccess, convert_accept_error, store_session};
use crate::sheet_command::print_report;

/// Help text of `dandeliondeal set`.
pub const HELP: &str = "\
Changes attributes of one object of the accepted sheet, in the same way as `sheet accept`.

usage: dandeliondeal set KIND NAME ATTRIBUTE=VALUE... [--base REVISION] ACCESS

ACCESS:
  --platform ADDRESS   address of the platform, or
  --settings FILE      settings file of an entry instance, which names the platform
  --author NAME        author of the change (default: the user's login name)
  --json               print JSON lines instead of text

  --base REVISION      accept only if this is still the latest revision
";

/// Changes the attributes that the arguments name.
///
/// # Errors
///
/// Returns what is wrong with the arguments or the change, or why it was not accepted.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let access = PlatformAccess::parse(&mut arguments)?;
    let mut request = access.request()?;
    request.base = arguments.opt_value_from_str("--base")?;
    let label: String = arguments.free_from_str()?;
    let kind = SheetKind::from_label(&label)
        .ok_or_else(|| CommandError::usage(format!("unknown kind {label}")))?;
    let name: Arc<str> = arguments.free_from_str::<String>()?.into();
    let mut pairs = Vec::new();
    while let Some(pair) = arguments.opt_free_from_str::<String>()? {
        pairs.push(parse_pair(&pair, kind)?);
    }
    reject_remaining(arguments)?;
    if pairs.is_empty() {
        return Err(CommandError::usage("ATTRIBUTE=VALUE is missing"));
    }
    actix_rt::System::new().block_on(async {
        let client = access.client();
        let report = store_session(&client)
            .change_sheet(&request, |rows| {
                let mut rows = rows.clone();
                if !rows.contains(kind, &name) {
                    return Err(unknown_object(kind, &name));
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
                // Parsing the sheet again applies its checks to the new values.
                read_sheet(rows.to_csv().as_bytes())
                    .map_err(|errors| AcceptError::Invalid { errors })
            })
            .await
            .map_err(convert_accept_error)?;
        print_report(&report, access.json);
        Ok(())
    })
}

fn parse_pair(pair: &str, kind: SheetKind) -> Result<(Arc<str>, Arc<str>), CommandError> {
    let (attribute, value) = pair
        .split_once('=')
        .ok_or_else(|| CommandError::usage(format!("expected ATTRIBUTE=VALUE, not {pair}")))?;
    if !kind.has_attribute(attribute) {
        let names: Vec<&str> = kind
            .attributes()
            .iter()
            .map(|attribute| attribute.name)
            .collect();
        let names = names.join(", ");
        return Err(CommandError::usage(format!(
            "{kind} has no attribute {attribute}; expected one of {names}"
        )));
    }
    Ok((attribute.into(), value.into()))
}

fn unknown_object(kind: SheetKind, name: &str) -> AcceptError {
    let problem = format!("the accepted sheet has no {kind} {name}");
    let error = SheetError::new(0, SheetColumn::Name, problem, "a name that the sheet has");
    AcceptError::Invalid {
        errors: vec![error],
    }
}
