//! State charts that are loaded from files, validated and interpreted.
//!
//! A chart is an INI file. Section `[chart]` gives its name and initial state. Each section
//! `[state NAME]` has one line per event: `event = target`, `event = ignore` or `event = refuse`.
//!
//! # Examples
//!
//! ```
//! use dandeliondeal_chart::{ChartTable, chart_labels};
//!
//! chart_labels! {
//!     /// States of a door.
//!     pub enum DoorState { Open = "open", Closed = "closed" }
//! }
//! chart_labels! {
//!     /// Events of a door.
//!     pub enum DoorEvent { Push = "push", Pull = "pull" }
//! }
//!
//! let text = "[chart]\nname=door\ninitial=open\n\
//!     [state open]\npush=closed\npull=ignore\n\
//!     [state closed]\npush=refuse\npull=open\n";
//! let table = ChartTable::<DoorState, DoorEvent>::parse(text)?;
//! assert_eq!(table.next(DoorState::Open, DoorEvent::Push)?, DoorState::Closed);
//! assert!(table.next(DoorState::Closed, DoorEvent::Push).is_err());
//! # Ok::<(), dandeliondeal_chart::ChartError>(())
//! ```

pub mod chart_error;
pub mod chart_label;
pub mod chart_machine;
pub mod chart_table;

#[doc(inline)]
pub use chart_error::ChartError;
#[doc(inline)]
pub use chart_label::ChartLabel;
#[doc(inline)]
pub use chart_machine::ChartMachine;
#[doc(inline)]
pub use chart_table::ChartTable;
