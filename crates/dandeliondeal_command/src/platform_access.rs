//! Access to the platform for operators' commands: arguments, client, author and deadline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use dandeliondeal_config::{AcceptError, ChangeRequest, StoreSession};
use dandeliondeal_store::{PlatformClient, PlatformSettings};
use dandeliondeal_types::{Clock, SystemClock};
use pico_args::Arguments;
use serde::Serialize;

use crate::CommandError;
use crate::settings_command::read_settings;

/// Maximum time that a command waits for the platform.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of row changes listed in a conflict error.
const MAX_SHOWN_CHANGES: usize = 20;

/// Address of the platform and other arguments that operators' commands share.
#[derive(Debug)]
pub struct PlatformAccess {
    address: SocketAddr,
    author: Option<String>,
    /// Whether the command prints JSON lines instead of text.
    pub json: bool,
}

impl PlatformAccess {
    /// Returns access for the author `author`, without a command line.
    pub fn new<Text>(address: SocketAddr, author: Text) -> Self
    where
        Text: Into<String>,
    {
        Self {
            address,
            author: Some(author.into()),
            json: false,
        }
    }

    /// Removes the shared arguments from `arguments` and parses them.
    ///
    /// # Errors
    ///
    /// Returns which argument is missing or invalid.
    pub fn parse(arguments: &mut Arguments) -> Result<Self, CommandError> {
        let platform: Option<SocketAddr> = arguments.opt_value_from_str("--platform")?;
        let file: Option<String> = arguments.opt_value_from_str("--settings")?;
        let address = match (platform, file) {
            (Some(address), _) => address,
            (None, Some(file)) => read_settings(&file)?.platform.address,
            (None, None) => {
                return Err(CommandError::usage(
                    "--platform ADDRESS or --settings FILE is missing",
                ));
            }
        };
        Ok(Self {
            address,
            author: arguments.opt_value_from_str("--author")?,
            json: arguments.contains("--json"),
        })
    }

    /// Returns a client of the platform.
    pub fn client(&self) -> PlatformClient<SystemClock> {
        let settings = PlatformSettings {
            address: self.address,
            ..PlatformSettings::default()
        };
        PlatformClient::new(settings, SystemClock)
    }

    /// Returns a change request of this operator, with a new change id.
    ///
    /// # Errors
    ///
    /// Returns an error if neither `--author` nor the environment names the operator.
    pub fn request(&self) -> Result<ChangeRequest, CommandError> {
        let login_name = || std::env::var("USER").ok().filter(|name| !name.is_empty());
        let author = self.author.clone().or_else(login_name);
        let author = author.ok_or_else(|| CommandError::usage("--author NAME is missing"))?;
        let elapsed = SystemClock
            .wall_time()
            .duration_since(SystemTime::UNIX_EPOCH);
        let time = elapsed.unwrap_or_default();
        let process = std::process::id();
        Ok(ChangeRequest {
            change: format!("{:x}-{process:x}", time.as_nanos()).into(),
            author: author.into(),
            at_milliseconds: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            base: None,
            allow_removals: false,
        })
    }
}

/// Returns a store session with the deadline of one command.
pub fn store_session(
    client: &PlatformClient<SystemClock>,
) -> StoreSession<'_, PlatformClient<SystemClock>, SystemClock> {
    StoreSession {
        store: client,
        clock: &SystemClock,
        deadline: SystemClock.now() + COMMAND_TIMEOUT,
    }
}

/// Converts the error of a platform call, and adds how to proceed where there is a way.
pub fn convert_accept_error(error: AcceptError) -> CommandError {
    match error {
        AcceptError::Invalid { errors } => CommandError::usage_lines(&errors),
        AcceptError::Removal { .. } => CommandError::usage(format!("{error} (--allow-removals)")),
        AcceptError::Conflict { ref changes, .. } => {
            let shown = changes.iter().take(MAX_SHOWN_CHANGES);
            let shown: Vec<String> = shown.map(ToString::to_string).collect();
            CommandError::conflict(format!("{error}; {}", shown.join("; ")))
        }
        error => CommandError::failed(error.to_string()),
    }
}

/// Prints a value as one line of JSON.
pub fn print_json<Line>(line: &Line)
where
    Line: Serialize,
{
    println!("{}", serde_json::to_string(line).unwrap_or_default());
}

/// Formats milliseconds since the Unix epoch as UTC, for example `2026-01-31T12:30:59Z`.
pub fn format_utc(milliseconds: u64) -> Arc<str> {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(milliseconds);
    humantime::format_rfc3339_seconds(time).to_string().into()
}
