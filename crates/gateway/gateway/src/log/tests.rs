//! Tests of the bound on log lines.

use super::{Lines, MOST};

#[test]
fn a_flood_is_cut_and_counted() {
    let lines = Lines::default();
    let written = (0..MOST + 7).filter(|_| lines.admit(5).0).count() as u64;
    assert_eq!(
        (written, lines.admit(6), lines.admit(6)),
        (MOST, (true, 7), (true, 0))
    );
}
