//! Digests of decisions and reports, compared with the digests in a fixture, which an earlier version recorded.

use dunespur_routing::LoadReport;
use xxhash_rust::xxh3::Xxh3;

/// Number of seeds in each fixture.
pub const SEEDS: u64 = 100;

/// A hash over texts and numbers; numbers are hashed by their bits, not by their printed form.
pub struct Digest(Xxh3);

impl Digest {
    pub fn new() -> Self {
        Self(Xxh3::new())
    }

    pub fn hash_text(&mut self, text: &str) {
        self.hash_number(text.len() as u64);
        self.0.update(text.as_bytes());
    }

    pub fn hash_number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    pub fn hash_float(&mut self, number: f64) {
        self.hash_number(number.to_bits());
    }

    pub fn hash_reports(&mut self, reports: &[LoadReport]) {
        self.hash_number(reports.len() as u64);
        for report in reports {
            self.hash_text(&report.server);
            self.hash_number(u64::from(report.in_flight));
            self.hash_number(report.prefill_tokens);
        }
    }

    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

/// Asserts that each seed's digest equals its row in the fixture.
pub fn assert_digests(digest_of: impl Fn(u64) -> u64, fixture: &str) {
    let digests: String = (0..SEEDS)
        .map(|seed| format!("{seed} {:016x}\n", digest_of(seed)))
        .collect();
    let differing: Vec<_> = digests
        .lines()
        .zip(fixture.lines())
        .filter(|(actual, expected)| actual != expected)
        .collect();
    assert!(
        digests == fixture,
        "{} digests differ, first (actual, expected): {:?}; all actual digests:\n{digests}",
        differing.len(),
        differing.first()
    );
}
