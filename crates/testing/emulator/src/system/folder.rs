//! A temporary folder that is removed when its owner is dropped.

use super::error::SystemError;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of the next folder of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A folder that only this process uses; it is removed when this is dropped.
#[derive(Debug)]
pub struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates an empty folder whose name begins with `name` in the system's folder for temporary files.
    ///
    /// # Errors
    ///
    /// Fails where the folder could not be created.
    pub fn new(name: &str) -> Result<TemporaryFolder, SystemError> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("{name}-{}-{number}", std::process::id()));
        if path.exists() {
            std::fs::remove_dir_all(&path).map_err(SystemError::file(
                "a folder that an earlier process left behind",
                &path,
            ))?;
        }
        std::fs::create_dir_all(&path).map_err(SystemError::file("a temporary folder", &path))?;
        Ok(TemporaryFolder { path })
    }

    /// Path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
