//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}
