//! A temporary folder, shared by the tests.

use std::fs;
use std::path::PathBuf;

/// A folder of one test, removed at its end.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes an empty folder. Its name has to differ from those of other tests in any file.
    pub fn new(name: &str) -> TemporaryFolder {
        let path =
            std::env::temp_dir().join(format!("dunespur-voter-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        TemporaryFolder(path)
    }

    /// The path of the voter's file in it.
    pub fn file(&self) -> PathBuf {
        self.0.join("voter.redb")
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
