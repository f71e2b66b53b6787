//! The stand-in platform: object API and instance list.

mod call_rate;
mod instance_history;
mod object_table;
mod platform_handler;
mod platform_standin;

pub use object_table::PlatformEntry;
pub use platform_handler::{CallCounts, PlatformSettings};
pub use platform_standin::PlatformStandin;
