//! The command line and the daemons.
