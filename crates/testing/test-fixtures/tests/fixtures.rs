//! Comparisons with fixtures detect every difference; unpacking restores a packed file.

use dunespur_test_fixtures::{hex, pack, unpack, Fixtures, TemporaryFolder};
use std::fs;
use std::panic::catch_unwind;

fn folder_with_fixtures(name: &str) -> (TemporaryFolder, Fixtures) {
    let folder = TemporaryFolder::new(name);
    fs::create_dir_all(folder.path().join("tests/fixtures")).unwrap();
    let package = folder.path().to_str().unwrap().to_owned();
    (folder, Fixtures::of_package(&package))
}

#[test]
fn text_or_bytes_that_differ_from_a_fixture_are_detected() {
    let (folder, fixtures) = folder_with_fixtures("fixtures-differ");
    let path = folder.path().join("tests/fixtures");
    fs::write(path.join("text"), "one\ntwo\n").unwrap();
    fs::write(path.join("bytes"), "00ff10\n").unwrap();
    fixtures.assert_text("text", "one\ntwo\n");
    fixtures.assert_bytes("bytes", &[0, 255, 16]);
    for text in ["one\ntwo", "one\n", "one\ntwo\nthree\n", "one\nto\n", ""] {
        assert!(
            catch_unwind(|| fixtures.assert_text("text", text)).is_err(),
            "{text:?}"
        );
    }
    for bytes in [&[0, 255, 17][..], &[0, 255], &[0, 255, 16, 0], &[]] {
        assert!(
            catch_unwind(|| fixtures.assert_bytes("bytes", bytes)).is_err(),
            "{}",
            hex(bytes)
        );
    }
    assert!(catch_unwind(|| fixtures.text("missing")).is_err());
}

#[test]
fn unpacking_restores_a_packed_file() {
    let mut file = vec![0; 40_000];
    file[700] = 1;
    file.extend([255; 5_000]);
    for length in [0, 1, 511, 512, 513, 20_000, file.len()] {
        let packed = pack(&file[..length]);
        assert_eq!(unpack(&packed), file[..length]);
        assert!(packed.len() < 6_000, "{} bytes", packed.len());
    }
}

#[test]
fn a_temporary_folder_starts_empty_and_is_removed_when_dropped() {
    let folder = TemporaryFolder::new("fixtures-folder");
    let path = folder.path().to_owned();
    assert_eq!(fs::read_dir(&path).unwrap().count(), 0);
    fs::write(folder.file("name"), b"contents").unwrap();
    assert!(path.join("name").exists());
    drop(folder);
    assert!(!path.exists());
}
