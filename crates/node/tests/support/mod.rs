//! What the tests of whole programs have in common.

use dunespur_emulator::scene::Scene;
use std::path::PathBuf;

/// The program under test.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_dunespur"))
}

/// No rule is broken by what servers and clients of the scene saw.
pub fn expect_no_violation(scene: &Scene) {
    let violations: Vec<String> = scene.violations().iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(!scene.record.overflowed(), "the record has overflowed");
}
