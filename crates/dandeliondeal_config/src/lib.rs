//! Process settings, the configuration sheet of the fleet, its revisions and the audit trail.
//!
//! [`EntrySettings`] and [`RouterSettings`] hold the settings of one process, read from its INI
//! file. The sheet is a CSV file that configures the whole fleet: [`read_sheet`] parses it into
//! [`SheetRows`], and [`compile_sheet`] compiles the rows into the
//! [`SheetModel`](dandeliondeal_types::SheetModel) that instances use.

pub mod accept_error;
pub mod accept_plan;
pub mod accept_sheet;
pub mod audit_entry;
pub mod audit_segment;
pub mod audit_trail;
pub mod content_hash;
pub mod entry_settings;
mod nearest_name;
pub mod readiness_gate;
pub mod revision_stamp;
pub mod rollout_machine;
pub mod router_settings;
pub mod secret_text;
pub mod setting_error;
mod setting_table;
mod setting_value;
mod settings_file;
mod sheet_cells;
pub mod sheet_chunk;
pub mod sheet_compiler;
mod sheet_entries;
pub mod sheet_error;
pub mod sheet_example;
pub mod sheet_manifest;
pub mod sheet_reader;
pub mod sheet_rows;
pub mod sheet_schema;
mod sheet_store;
pub mod store_session;

#[doc(inline)]
pub use accept_error::AcceptError;
#[doc(inline)]
pub use accept_plan::{AcceptPlan, ChangeRequest, plan_change};
#[doc(inline)]
pub use accept_sheet::AcceptReport;
#[doc(inline)]
pub use audit_entry::{ChangeEntry, ChangeVerdict};
#[doc(inline)]
pub use audit_segment::{AuditError, AuditRecord, AuditSegment, verify_trail};
#[doc(inline)]
pub use content_hash::{ContentHash, content_hash};
#[doc(inline)]
pub use entry_settings::{
    ClaimSettings, EntrySettings, InstanceSettings, LimitSettings, ListenSettings,
    MembershipSettings, PlatformSettings, RequestSettings, RolloutSettings, SecretSettings,
    StopSettings,
};
#[doc(inline)]
pub use readiness_gate::{ReadinessEvent, ReadinessGate};
#[doc(inline)]
pub use revision_stamp::RevisionStamp;
#[doc(inline)]
pub use rollout_machine::{RevisionSource, RolloutAction, RolloutEvent, RolloutMachine};
#[doc(inline)]
pub use router_settings::{
    AllowanceSettings, CHANGE_PAUSE, FIRST_BACKOFF, GradingMode, GradingSettings, MachineSettings,
    RouterListen, RouterSettings, StoreSettings,
};
#[doc(inline)]
pub use secret_text::SecretText;
#[doc(inline)]
pub use setting_error::SettingError;
#[doc(inline)]
pub use sheet_compiler::compile_sheet;
#[doc(inline)]
pub use sheet_error::{SheetColumn, SheetError};
#[doc(inline)]
pub use sheet_example::{EXAMPLE_KEY, example_sheet};
#[doc(inline)]
pub use sheet_manifest::{SheetHead, SheetManifest, StoredSheet};
#[doc(inline)]
pub use sheet_reader::read_sheet;
#[doc(inline)]
pub use sheet_rows::{RowChange, RowKey, RowValue, SheetRows};
#[doc(inline)]
pub use sheet_schema::SheetKind;
#[doc(inline)]
pub use store_session::StoreSession;
