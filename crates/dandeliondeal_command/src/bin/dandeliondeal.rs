//! The `dandeliondeal` program, the command line for operators.

use std::process::ExitCode;

use dandeliondeal_command::{command_error, command_line};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    command_error::report_result(command_line::run(pico_args::Arguments::from_env()))
}
