//! Tests of the bound on log logger.

use super::{RateLimitedLogger, MAX_LINES_PER_SECOND};

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let logger = RateLimitedLogger::default();
    let written = (0..MAX_LINES_PER_SECOND + 7)
        .filter(|_| logger.admit(5).0)
        .count() as u64;
    assert_eq!(
        (written, logger.admit(6), logger.admit(6)),
        (MAX_LINES_PER_SECOND, (true, 7), (true, 0))
    );
}
