//! Settings, the sheet, revisions and the audit trail.
