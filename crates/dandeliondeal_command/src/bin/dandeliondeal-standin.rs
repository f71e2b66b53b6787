//! The `dandeliondeal-standin` program, which runs stand-ins for other processes.

use std::process::ExitCode;

use dandeliondeal_command::{command_error, standin_command};
use mimalloc::MiMalloc;
use pico_args::Arguments;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    command_error::report_result(standin_command::run(Arguments::from_env()))
}
