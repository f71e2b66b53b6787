//! Plans over layer ranges, sessions and recovery.
