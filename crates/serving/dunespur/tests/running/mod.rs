//! One gateway process by itself, whose log is read.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// A gateway that ends with this.
pub struct Running {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Running {
    pub fn start(arguments: &[&str], settings: &Path) -> Running {
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
        Running { child, log }
    }

    /// The next line of its log; waits for it.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
