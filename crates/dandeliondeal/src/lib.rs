//! A router for model pipelines over mixed accelerators.
//!
//! Callers send HTTP requests to any of several entry instances. Each request ends with a complete
//! answer, with confirmation that it did not run, or, if a fault leaves this unknown, with an error
//! that says so. This crate re-exports:
//!
//! - [`types`]: ids, the clock, outcomes, errors, and interfaces to external systems;
//! - [`chart`]: state charts in INI format, and their interpreter;
//! - [`pipeline`]: planning over layer ranges, sessions, recovery;
//! - [`store`], [`claim`], [`order`]: the object API, at-most-once requests, orders to endpoints;
//! - [`config`], [`peer`]: settings, the configuration sheet, the audit trail, membership;
//! - [`balance`], [`limit`]: endpoint selection, health, rate limits, admission;
//! - [`replay`]: replay of recorded traces and comparison with their expected outcomes;
//! - [`http`]: listeners, and connections to endpoints;
//! - [`layout`], [`route`], [`relay`]: the router for engines that pass a request along their chain
//!   themselves;
//! - [`entry`]: the entry instance.
//!
//! # Examples
//!
//! ```no_run
//! use dandeliondeal::prelude::*;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let text = std::fs::read_to_string("entry.ini")?;
//! let settings = EntrySettings::parse("entry.ini", &text).map_err(|errors| errors[0].clone())?;
//! actix_rt::System::new().block_on(async {
//!     let entry = EntryServer::start(settings, SystemClock).await?;
//!     println!("callers: {}", entry.caller_address());
//!     entry.stop().await;
//!     Ok(())
//! })
//! # }
//! ```

#[doc(inline)]
pub use dandeliondeal_balance as balance;
#[doc(inline)]
pub use dandeliondeal_chart as chart;
#[doc(inline)]
pub use dandeliondeal_claim as claim;
#[doc(inline)]
pub use dandeliondeal_config as config;
#[doc(inline)]
pub use dandeliondeal_entry as entry;
#[doc(inline)]
pub use dandeliondeal_http as http;
#[doc(inline)]
pub use dandeliondeal_layout as layout;
#[doc(inline)]
pub use dandeliondeal_limit as limit;
#[doc(inline)]
pub use dandeliondeal_order as order;
#[doc(inline)]
pub use dandeliondeal_peer as peer;
#[doc(inline)]
pub use dandeliondeal_pipeline as pipeline;
#[doc(inline)]
pub use dandeliondeal_relay as relay;
#[doc(inline)]
pub use dandeliondeal_replay as replay;
#[doc(inline)]
pub use dandeliondeal_route as route;
#[doc(inline)]
pub use dandeliondeal_store as store;
#[doc(inline)]
pub use dandeliondeal_types as types;

pub mod prelude;
