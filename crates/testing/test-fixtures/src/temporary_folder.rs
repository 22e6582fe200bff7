//! Temporary folders for tests.

use std::fs;
use std::path::{Path, PathBuf};

/// A temporary folder for one test, removed when the value is dropped.
#[derive(Debug)]
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates an empty folder. Tests that run in the same process need different names.
    ///
    /// # Panics
    /// Panics if the folder can't be created.
    #[must_use]
    pub fn new(name: &str) -> TemporaryFolder {
        let folder_name = format!("dunespur-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder_name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path)
            .unwrap_or_else(|error| panic!("can't create the folder {}: {error}", path.display()));
        TemporaryFolder(path)
    }

    /// The path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The path of a file in the folder.
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
