//! A single gateway process whose log the test reads.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// A running gateway process, which is killed on drop.
pub struct RunningGateway {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl RunningGateway {
    pub fn start(arguments: &[&str], settings: &Path) -> RunningGateway {
        let mut child = Command::new(env!("CARGO_BIN_EXE_dunespur"))
            .env_clear()
            .env("DUNESPUR_CONFIG", settings)
            .arg("gateway")
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        RunningGateway { child, log }
    }

    /// Waits for the next line of the process's log.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
