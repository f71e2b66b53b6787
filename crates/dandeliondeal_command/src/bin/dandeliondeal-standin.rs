//! The `dandeliondeal-standin` program.

use std::process::ExitCode;

use dandeliondeal_command::standin_command::run_standin;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    run_standin(std::env::args_os().skip(1).collect())
}
