//! Fixtures: files that an earlier revision wrote, for comparison with the output of the current one.

use crate::encoding::{from_hex, hex, pack, unpack};
use std::fs;
use std::path::{Path, PathBuf};

/// Environment variable that makes tests rewrite their fixtures before comparing. Use it with `--test-threads=1`, as one
/// test may read a fixture that another test in the same file writes.
pub const WRITE_FIXTURES: &str = "WRITE_FIXTURES";

/// The fixtures of a package.
#[derive(Debug)]
pub struct Fixtures {
    folder: PathBuf,
}

impl Fixtures {
    /// The fixtures under `tests/fixtures` of a package; `package` is its `CARGO_MANIFEST_DIR`.
    #[must_use]
    pub fn of_package(package: &str) -> Fixtures {
        let folder = Path::new(package).join("tests/fixtures");
        Fixtures { folder }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn write_if_requested(&self, name: &str, contents: impl FnOnce() -> Vec<u8>) {
        if std::env::var_os(WRITE_FIXTURES).is_some() {
            fs::write(self.path(name), contents())
                .unwrap_or_else(|error| panic!("can't write the fixture {name}: {error}"));
        }
    }

    /// Reads a text fixture.
    ///
    /// # Panics
    /// Panics if the fixture can't be read.
    #[must_use]
    pub fn text(&self, name: &str) -> String {
        fs::read_to_string(self.path(name))
            .unwrap_or_else(|error| panic!("can't read the fixture {name}: {error}"))
    }

    /// Reads and decodes a hexadecimal fixture.
    ///
    /// # Panics
    /// Panics if the fixture can't be read or is not hexadecimal.
    #[must_use]
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        from_hex(&self.text(name))
    }

    /// Compares a text with its fixture, line by line.
    ///
    /// # Panics
    /// Panics if they differ.
    pub fn assert_text(&self, name: &str, text: &str) {
        self.write_if_requested(name, || text.as_bytes().to_vec());
        let expected = self.text(name);
        for (line, expected_line) in text.lines().zip(expected.lines()) {
            assert_eq!(
                line, expected_line,
                "a line differs from the fixture {name}"
            );
        }
        assert_eq!(text, expected, "the text differs from the fixture {name}");
    }

    /// Compares bytes with a hexadecimal fixture.
    ///
    /// # Panics
    /// Panics if they differ.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        self.write_if_requested(name, || (hex(bytes) + "\n").into_bytes());
        assert_eq!(
            bytes,
            self.bytes(name),
            "the bytes differ from the fixture {name}"
        );
    }

    /// Packs a file into a fixture if [`WRITE_FIXTURES`] is set.
    ///
    /// # Panics
    /// Panics if the file can't be read or written.
    pub fn keep_packed(&self, name: &str, file: &Path) {
        self.write_if_requested(name, || {
            pack(
                &fs::read(file)
                    .unwrap_or_else(|error| panic!("can't read {}: {error}", file.display())),
            )
        });
    }

    /// Unpacks a fixture into a file.
    ///
    /// # Panics
    /// Panics if the fixture can't be read or the file can't be written.
    pub fn unpack_to(&self, name: &str, file: &Path) {
        let packed = fs::read(self.path(name))
            .unwrap_or_else(|error| panic!("can't read the fixture {name}: {error}"));
        fs::write(file, unpack(&packed))
            .unwrap_or_else(|error| panic!("can't write {}: {error}", file.display()));
    }
}
