//! A stand-in for the platform, with its object API and its instance list.

mod instance_history;
mod object_table;
mod platform_handler;
mod platform_standin;
mod rate_limiter;

pub use object_table::PlatformEntry;
pub use platform_handler::{CallCounts, PlatformSettings};
pub use platform_standin::PlatformStandin;
