//! Hashes of what a simulated day did, compared with those of an earlier version's code.

use dunespur_routing::LoadReport;
use xxhash_rust::xxh3::Xxh3;

/// Seeds of each kind of day.
pub const SEEDS: u64 = 100;

/// Hashes numbers by their bits, not by how they are printed.
pub struct Digest(Xxh3);

impl Digest {
    pub fn new() -> Self {
        Self(Xxh3::new())
    }

    pub fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.0.update(text.as_bytes());
    }

    pub fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    pub fn reports(&mut self, reports: &[LoadReport]) {
        self.number(reports.len() as u64);
        for report in reports {
            self.text(&report.server);
            self.number(u64::from(report.in_flight));
            self.number(report.prefill_tokens);
        }
    }

    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

/// Each seed's digest is that of the fixture, one row per seed.
pub fn assert_digests(digest_of: impl Fn(u64) -> u64, fixture: &str) {
    let digests: String = (0..SEEDS)
        .map(|seed| format!("{seed} {:016x}\n", digest_of(seed)))
        .collect();
    let differing: Vec<_> = digests
        .lines()
        .zip(fixture.lines())
        .filter(|(now, then)| now != then)
        .collect();
    assert!(
        digests == fixture,
        "{} differ, first {:?}; now:\n{digests}",
        differing.len(),
        differing.first()
    );
}
