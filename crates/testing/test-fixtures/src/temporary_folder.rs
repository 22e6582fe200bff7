//! A folder of one test.

use std::fs;
use std::path::{Path, PathBuf};

/// A folder of one test, removed at its end.
#[derive(Debug)]
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes an empty folder. Its name has to differ from those of all tests that run beside it.
    ///
    /// # Panics
    /// It can't be made.
    #[must_use]
    pub fn new(name: &str) -> TemporaryFolder {
        let unique = format!("dunespur-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        TemporaryFolder(path)
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The path of a file in it.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
