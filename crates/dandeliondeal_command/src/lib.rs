//! Command lines of dandeliondeal and its daemons.
//!
//! Each subcommand is a module with a `run` function that takes the remaining arguments. The
//! programs under `src/bin` only set the memory allocator and call these functions.

pub mod audit_command;
pub mod bounded_log;
pub mod command_error;
pub mod command_line;
pub mod entry_command;
pub mod explain_command;
pub mod json_log;
pub mod measure_command;
pub mod platform_access;
pub mod replay_command;
pub mod request_timeline;
pub mod router_command;
pub mod set_command;
pub mod settings_command;
pub mod sheet_command;
pub mod standalone;
pub mod standin_command;
mod status_command;
pub mod stop_signal;

#[doc(inline)]
pub use command_error::CommandError;
