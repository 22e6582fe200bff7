//! The program `dunespur-gateway`. Its code is in the library, so that the fleet simulation runs the same code.

use std::process::ExitCode;

fn main() -> ExitCode {
    dunespur_gateway::main()
}
