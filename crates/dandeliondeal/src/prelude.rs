//! Common imports for users of the library.

#[doc(inline)]
pub use dandeliondeal_config::{EntrySettings, compile_sheet, read_sheet};
#[doc(inline)]
pub use dandeliondeal_entry::{EntryContext, EntryError, EntryServer};
#[doc(inline)]
pub use dandeliondeal_types::{
    Clock, EndpointView, ErrorKind, LayerRange, ManualClock, ObjectStore, Outcome, RequestStep,
    RouteError, SheetModel, SystemClock,
};
