//! The program `dunespur-gateway`. All of it is in the library, so that the laboratory starts the same text.

use std::process::ExitCode;

fn main() -> ExitCode {
    dunespur_gateway::main()
}
