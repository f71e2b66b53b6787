//! Settings, the sheet, revisions and the audit trail.
//!
//! [`EntrySettings`] holds what one process reads from its INI file. A sheet is read with
//! [`read_sheet`] into [`SheetRows`] and compiled with [`compile_sheet`] into the
//! [`SheetModel`](dandeliondeal_types::SheetModel) that instances run.

pub mod entry_settings;
mod nearest_name;
pub mod secret_text;
pub mod setting_error;
mod setting_table;
mod setting_value;
mod settings_file;
mod sheet_cells;
pub mod sheet_compiler;
pub mod sheet_error;
pub mod sheet_example;
pub mod sheet_reader;
pub mod sheet_rows;
pub mod sheet_schema;
mod sheet_sections;

#[doc(inline)]
pub use entry_settings::{
    ClaimSettings, EntrySettings, InstanceSettings, LimitSettings, ListenSettings,
    MembershipSettings, PlatformSettings, RequestSettings, RolloutSettings, SecretSettings,
    StopSettings,
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
pub use sheet_reader::read_sheet;
#[doc(inline)]
pub use sheet_rows::{RowKey, RowValue, SheetRows};
#[doc(inline)]
pub use sheet_schema::SheetKind;
