//! Ids of requests, programs and servers, drawn from a seed so that a run can be repeated.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// The id of one attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Parses an id from the value of a header; `None` unless the value is 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<RequestId> {
        let well_formed = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        well_formed
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
            .map(RequestId)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A source of ids, drawn from a seed; clones share it.
#[derive(Clone, Debug)]
pub struct IdentitySource {
    random: Arc<Mutex<fastrand::Rng>>,
}

impl IdentitySource {
    /// A source that draws the same ids for the same seed.
    #[must_use]
    pub fn new(seed: u64) -> IdentitySource {
        IdentitySource {
            random: Arc::new(Mutex::new(fastrand::Rng::with_seed(seed))),
        }
    }

    /// Draws the id of a new attempt.
    #[must_use]
    pub fn request(&self) -> RequestId {
        RequestId(self.draw())
    }

    /// Draws the id of a program, a session or a prompt segment.
    #[must_use]
    pub fn short(&self) -> String {
        format!("{:06x}", self.draw() & 0xff_ffff)
    }

    /// Draws the id of a server's incarnation.
    #[must_use]
    pub fn instance(&self) -> String {
        format!("i-{:08x}", self.draw() & 0xffff_ffff)
    }

    /// Draws a number below `bound`; 0 where `bound` is 0.
    #[must_use]
    pub fn below(&self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.draw() % bound
    }

    /// Draws a number from 0 to 1, excluding 1.
    pub fn fraction(&self) -> f64 {
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .f64()
    }

    fn draw(&self) -> u64 {
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .u64(..)
    }
}
