//! `dandeliondeal sheet status`: prints the accepted revision and the one in use by each instance.

use dandeliondeal_config::sheet_manifest::HEAD_NAME;
use dandeliondeal_config::{EntrySettings, SecretText, SheetHead};
use dandeliondeal_entry::peer_handler::{InstanceStatus, STATUS_METHOD};
use dandeliondeal_peer::{PeerClient, PeerSettings};
use dandeliondeal_types::{InstanceList, InstanceRecord, InstanceRole};
use pico_args::Arguments;
use serde::Serialize;

use crate::CommandError;
use crate::command_line::reject_remaining;
use crate::platform_access::{PlatformAccess, convert_accept_error, print_json, store_session};
use crate::settings_command::read_settings;

/// Status of one instance, printed as one line.
#[derive(Debug, Serialize)]
struct StatusLine {
    instance: String,
    revision: Option<u64>,
    is_behind: bool,
    is_ready: bool,
    problem: Option<String>,
}

/// Prints the status of each entry instance.
///
/// # Errors
///
/// Returns why the platform cannot be read, or how many instances are behind or do not answer.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let file: Option<String> = arguments.opt_value_from_str("--settings")?;
    let platform = arguments.opt_value_from_str("--platform")?;
    let json = arguments.contains("--json");
    reject_remaining(arguments)?;
    let settings = file.as_deref().map(read_settings).transpose()?;
    let default_address = settings.as_ref().map(|settings| settings.platform.address);
    let address = platform
        .or(default_address)
        .ok_or_else(|| CommandError::usage("--settings FILE or --platform ADDRESS is missing"))?;
    let access = PlatformAccess::new(address, "status");
    actix_rt::System::new().block_on(print_status(&access, settings.as_ref(), json))
}

async fn print_status(
    access: &PlatformAccess,
    settings: Option<&EntrySettings>,
    json: bool,
) -> Result<(), CommandError> {
    let platform = access.client();
    let head = store_session(&platform)
        .read_json::<SheetHead>(HEAD_NAME)
        .await;
    let accepted = head.map_err(convert_accept_error)?.1.stamp.revision;
    let records = platform
        .instances()
        .await
        .map_err(|error| CommandError::failed(error.to_string()))?;
    let secret = settings.map_or_else(SecretText::default, |settings| {
        settings.secrets.peer.clone()
    });
    let client = PeerClient::new(PeerSettings {
        secret,
        ..PeerSettings::default()
    });
    if !json {
        println!("accepted: revision {accepted}");
    }
    let mut behind = 0;
    for record in records {
        if record.role != InstanceRole::Entry {
            continue;
        }
        let line = query_instance(&client, &record, accepted).await;
        behind += usize::from(line.is_behind);
        print_line(&line, json);
    }
    if behind > 0 {
        let message = format!("{behind} instances do not have revision {accepted} in force");
        return Err(CommandError::failed(message));
    }
    Ok(())
}

async fn query_instance(client: &PeerClient, record: &InstanceRecord, accepted: u64) -> StatusLine {
    let reply = client
        .call_with_retry(record.address, STATUS_METHOD, &())
        .await;
    let instance = record.id.to_string();
    match reply {
        Ok(status) => {
            let status: InstanceStatus = status;
            let revision = status.in_force.revision;
            StatusLine {
                instance,
                revision: Some(revision),
                is_behind: revision < accepted,
                is_ready: status.is_ready,
                problem: None,
            }
        }
        Err(error) => StatusLine {
            instance,
            revision: None,
            is_behind: true,
            is_ready: false,
            problem: Some(error.to_string()),
        },
    }
}

fn print_line(line: &StatusLine, json: bool) {
    if json {
        return print_json(line);
    }
    let revision = line
        .revision
        .map_or_else(|| "unknown".to_owned(), |revision| revision.to_string());
    let readiness = if line.is_ready { "ready" } else { "not ready" };
    let problem = line.problem.as_deref().unwrap_or("");
    println!(
        "{:<20} {revision:>8}  {readiness}  {problem}",
        line.instance
    );
}
