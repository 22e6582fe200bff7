//! What was seen in a trial, a line each. Times are seconds from its start on one true clock.

use serde::{Deserialize, Serialize};

/// What a [`Line::Counted`] counts whose value is for how many seconds the trial's own process was delayed until then.
pub const OWN_DELAY: &str = "seconds of own delay";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    Began {
        t: f64,
        who: String,
        run: u64,
        slot: u32,
        token: u64,
    },
    /// It holds no more; had it not noticed, its lease had held until `until`.
    Ended {
        t: f64,
        who: String,
        run: u64,
        slot: u32,
        token: u64,
        until: f64,
    },
    /// Killed; had it not been, its lease had held until `until`.
    Died {
        t: f64,
        who: String,
        run: u64,
        until: f64,
    },
    Started {
        t: f64,
        who: String,
        run: u64,
    },
    /// A receiver carried out an effect of a duty, or refused it for its token.
    Accepted {
        t: f64,
        at: String,
        who: String,
        slot: u32,
        token: u64,
    },
    Refused {
        t: f64,
        at: String,
        who: String,
        slot: u32,
        token: u64,
    },
    /// A leader's answer to an ask, with how far its log was applied.
    Told {
        asked: f64,
        t: f64,
        who: String,
        index: u64,
    },
    Fault {
        t: f64,
        what: String,
        on: bool,
    },
    Report {
        t: f64,
        who: String,
        loud: bool,
        text: String,
    },
    /// An invocation and its answer as its client saw it; `sent` is when it went out.
    Answer {
        sent: f64,
        t: f64,
        status: u16,
        answers: u32,
        in_time: bool,
        /// Whose it was, and at which limiter.
        #[serde(default)]
        customer: u64,
        #[serde(default)]
        limiter: usize,
    },
    Counted {
        t: f64,
        what: String,
        value: f64,
    },
}

impl Line {
    /// When it was seen.
    pub fn time(&self) -> f64 {
        match self {
            Line::Began { t, .. }
            | Line::Ended { t, .. }
            | Line::Died { t, .. }
            | Line::Started { t, .. }
            | Line::Accepted { t, .. }
            | Line::Refused { t, .. }
            | Line::Told { t, .. }
            | Line::Fault { t, .. }
            | Line::Report { t, .. }
            | Line::Answer { t, .. }
            | Line::Counted { t, .. } => *t,
        }
    }
}
