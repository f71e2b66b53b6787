//! The command line and the daemons.

pub mod standin_command;
