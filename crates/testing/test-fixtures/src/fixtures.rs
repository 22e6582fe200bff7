//! Files that an earlier revision wrote, and what the present one makes of them.

use crate::encoding::{from_hex, hex, pack, unpack};
use std::fs;
use std::path::{Path, PathBuf};

/// With this variable in the environment fixtures are written instead of read (with `--test-threads=1`, as tests of a
/// file may read what another one of it writes).
pub const WRITE_FIXTURES: &str = "WRITE_FIXTURES";

/// The fixtures of a package.
#[derive(Debug)]
pub struct Fixtures {
    folder: PathBuf,
}

impl Fixtures {
    /// Those under `tests/fixtures` of the package at `package`: its `CARGO_MANIFEST_DIR`.
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
            fs::write(self.path(name), contents()).expect("the fixture is written");
        }
    }

    /// The text of a fixture.
    ///
    /// # Panics
    /// There is none.
    #[must_use]
    pub fn text(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// The bytes of a fixture in hexadecimal.
    ///
    /// # Panics
    /// There is none, or it is something else.
    #[must_use]
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        from_hex(&self.text(name))
    }

    /// Compares a text with its fixture, line by line.
    ///
    /// # Panics
    /// They differ.
    pub fn assert_text(&self, name: &str, text: &str) {
        self.write_if_requested(name, || text.as_bytes().to_vec());
        let expected = self.text(name);
        for (now, then) in text.lines().zip(expected.lines()) {
            assert_eq!(now, then, "a line differs from that of {name}");
        }
        assert_eq!(text, expected, "the text differs from {name}");
    }

    /// Compares bytes with their fixture, which stands there in hexadecimal.
    ///
    /// # Panics
    /// They differ.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        self.write_if_requested(name, || (hex(bytes) + "\n").into_bytes());
        assert_eq!(bytes, self.bytes(name), "the bytes differ from {name}");
    }

    /// Keeps a file as a packed fixture, if fixtures are written.
    ///
    /// # Panics
    /// The file can't be read or written.
    pub fn keep_packed(&self, name: &str, file: &Path) {
        self.write_if_requested(name, || pack(&fs::read(file).expect("the file is read")));
    }

    /// Unpacks a fixture into a file.
    ///
    /// # Panics
    /// There is no fixture of that name, or the file can't be written.
    pub fn unpack_to(&self, name: &str, file: &Path) {
        let packed = fs::read(self.path(name)).unwrap_or_else(|error| panic!("{name}: {error}"));
        fs::write(file, unpack(&packed)).expect("a copy of the fixture");
    }
}
