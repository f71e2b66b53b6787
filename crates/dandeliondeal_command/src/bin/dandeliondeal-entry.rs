//! The `dandeliondeal-entry` program, the daemon of an entry instance.

use std::process::ExitCode;

use dandeliondeal_command::{command_error, entry_command};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    command_error::report_result(entry_command::run(pico_args::Arguments::from_env()))
}
