//! A temporary folder, shared by the tests with files.

use std::fs;
use std::path::{Path, PathBuf};

/// A folder of one test, removed at its end.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes an empty folder. Its name has to differ from those of other tests in any file.
    pub fn new(name: &str) -> TemporaryFolder {
        let unique = format!("dunespur-storage-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        TemporaryFolder(path)
    }

    /// Where it is.
    #[allow(dead_code, reason = "not each test that shares this module needs it")]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The path of a file in it.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
