//! What the operators' commands share: the platform, the author and the deadline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use dandeliondeal_config::{AcceptError, ChangeRequest, StoreCall};
use dandeliondeal_store::{PlatformClient, PlatformSettings};
use dandeliondeal_types::{Clock, SystemClock};
use pico_args::Arguments;
use serde::Serialize;

use crate::CommandError;
use crate::settings_command::read_settings;

/// Longest time that a command waits for the platform.
const PATIENCE: Duration = Duration::from_secs(30);
/// Number of row changes that a conflict shows.
const SHOWN_CHANGES: usize = 20;

/// The platform as an operator reaches it.
#[derive(Debug)]
pub struct PlatformAccess {
    address: SocketAddr,
    author: Option<String>,
    /// Whether to print JSON lines.
    pub json: bool,
}

impl PlatformAccess {
    /// Access of a named author, without a command line.
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

    /// Takes the shared arguments.
    ///
    /// # Errors
    ///
    /// Says which argument is missing or wrong.
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

    /// A client of the platform.
    pub fn client(&self) -> PlatformClient<SystemClock> {
        let settings = PlatformSettings {
            address: self.address,
            ..PlatformSettings::default()
        };
        PlatformClient::new(settings, SystemClock)
    }

    /// A request for a change by this operator.
    ///
    /// # Errors
    ///
    /// If it is not known who asks.
    pub fn request(&self) -> Result<ChangeRequest, CommandError> {
        let login = || std::env::var("USER").ok().filter(|name| !name.is_empty());
        let author = self.author.clone().or_else(login);
        let author = author.ok_or_else(|| CommandError::usage("--author NAME is missing"))?;
        let since = SystemClock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let time = since.unwrap_or_default();
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

/// Calls on a client until the deadline of a command.
pub fn store_call(
    client: &PlatformClient<SystemClock>,
) -> StoreCall<'_, PlatformClient<SystemClock>, SystemClock> {
    StoreCall {
        store: client,
        clock: &SystemClock,
        deadline: SystemClock.now() + PATIENCE,
    }
}

/// Tells an operator why a change was not accepted.
pub fn accept_failed(error: AcceptError) -> CommandError {
    match error {
        AcceptError::Invalid { errors } => CommandError::usage_lines(&errors),
        AcceptError::Removal { .. } => CommandError::usage(format!("{error} (--allow-removals)")),
        AcceptError::Conflict { ref changes, .. } => {
            let shown = changes.iter().take(SHOWN_CHANGES);
            let shown: Vec<String> = shown.map(ToString::to_string).collect();
            CommandError::conflict(format!("{error}; {}", shown.join("; ")))
        }
        error => CommandError::failed(error.to_string()),
    }
}

/// Prints one line as JSON.
pub fn print_json<Line>(line: &Line)
where
    Line: Serialize,
{
    println!("{}", serde_json::to_string(line).unwrap_or_default());
}

/// A time of day in UTC, as `2026-01-31T12:30:59Z`.
pub fn utc_text(milliseconds: u64) -> Arc<str> {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(milliseconds);
    humantime::format_rfc3339_seconds(time).to_string().into()
}
