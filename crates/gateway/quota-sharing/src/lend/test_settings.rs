//! Settings that the tests use.

use super::Settings;

pub(super) fn settings() -> Settings {
    Settings {
        ahead: 1.0,
        span: 2.0,
        wait: 0.04,
        again: 1.0,
        pace: 0.25,
        pause: 1.0,
        names: 4,
        waiting: 8,
        borrowers: 4,
    }
}
