//! The program `dunespur`.

use std::process::ExitCode;

fn main() -> ExitCode {
    dunespur::run()
}
