//! The duty `probe`: limiters that gave up on a server say so to the one that holds its shard; when several
//! did, that one tries the server and tells all what it saw. What it saw is an observation with an age, no
//! verdict: each limiter's module judges for itself. No I/O, no clock. It must never probe a server on one
//! limiter's word, nor more often than stated, and what it remembers of servers ends.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Deliveries without any answer in a row, at one limiter, that make a complaint.
    pub unanswered: u32,
    /// Limiters that have to complain.
    pub many: usize,
    /// How long a complaint counts.
    pub window: f64,
    /// Shortest time between two probes of one server.
    pub again: f64,
    /// Servers remembered at once.
    pub servers: usize,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        let times = self.window > 0.0
            && self.again > 0.0
            && self.window.is_finite()
            && self.again.is_finite();
        if self.unanswered == 0 || self.many < 2 || !times || self.servers == 0 {
            return Err(format!(
                "fleet.probe: unanswered {}, many {} (2 or more), window {}, again {}, servers {}; all over 0",
                self.unanswered, self.many, self.window, self.again, self.servers
            ));
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    Answered,
    /// No connection came up.
    Refused,
    /// A connection, and nothing on it.
    Silent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    Complaint {
        server: String,
        unanswered: u32,
    },
    /// What a probe saw, how long ago.
    Outcome {
        slot: u32,
        token: u64,
        server: String,
        seen: Seen,
        age: f64,
    },
}

/// A limiter's own experience: deliveries in a row that got no answer at all, by server.
#[derive(Debug, Default)]
pub struct Complaints {
    rows: BTreeMap<String, (u32, f64)>,
    /// When a server last answered here.
    answers: BTreeMap<String, f64>,
}

/// What a limiter makes of a probe's outcome: the server rests for so long, or its rest ends within so long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Judged {
    Bad(f64),
    Good(f64),
}

impl Complaints {
    /// A delivery ended; says when its server is worth a complaint now.
    pub fn ended(
        &mut self,
        server: &str,
        answered: bool,
        now: f64,
        settings: &Settings,
    ) -> Option<Msg> {
        if answered {
            self.rows.remove(server);
            if !self.answers.contains_key(server) && self.answers.len() >= settings.servers {
                self.answers.retain(|_, at| now < *at + settings.window);
                if self.answers.len() >= settings.servers {
                    return None;
                }
            }
            self.answers.insert(server.to_owned(), now);
            return None;
        }
        if !self.rows.contains_key(server) && self.rows.len() >= settings.servers {
            self.rows.retain(|_, r| now < r.1 + settings.window);
            if self.rows.len() >= settings.servers {
                return None;
            }
        }
        let row = self.rows.entry(server.to_owned()).or_insert((0, now));
        if now > row.1 + settings.window {
            row.0 = 0;
        }
        *row = (row.0 + 1, now);
        // Said once for each so many: what is lost on the way is said again.
        let due = row.0.is_multiple_of(settings.unanswered);
        due.then(|| Msg::Complaint {
            server: server.to_owned(),
            unanswered: row.0,
        })
    }

    /// Judges what a probe saw `age` ago beside what this limiter saw itself: an answer since then goes before
    /// any word of others, so that a probe over a bad link takes no server from those it answers. A rest lasts
    /// until the next probe is due, and ends for each limiter at its own moment: `chance` is from 0 to 1.
    pub fn judge(
        &self,
        server: &str,
        seen: Seen,
        age: f64,
        chance: f64,
        now: f64,
        settings: &Settings,
    ) -> Option<Judged> {
        if !(age >= 0.0 && age < settings.window) {
            return None;
        }
        if seen == Seen::Answered {
            return Some(Judged::Good(settings.again * chance));
        }
        let answered = self
            .answers
            .get(server)
            .is_some_and(|at| *at + settings.again > now - age);
        (!answered).then_some(Judged::Bad(settings.again * (1.0 + chance)))
    }
}

struct Server {
    by: BTreeMap<Name, f64>,
    probed: f64,
}

/// The holder's side.
#[derive(Default)]
pub struct Prober {
    servers: BTreeMap<String, Server>,
    pub probes: u64,
}

impl Prober {
    /// A complaint came; says whether the server is to be tried now.
    pub fn complaint(&mut self, from: &str, server: &str, now: f64, settings: &Settings) -> bool {
        if !self.servers.contains_key(server) && self.servers.len() >= settings.servers {
            let over = |s: &Server| {
                s.by.values().all(|at| now > at + settings.window)
                    && now > s.probed + settings.again
            };
            self.servers.retain(|_, s| !over(s));
            if self.servers.len() >= settings.servers {
                return false;
            }
        }
        let fresh = || Server {
            by: BTreeMap::new(),
            probed: f64::NEG_INFINITY,
        };
        let of = self.servers.entry(server.to_owned()).or_insert_with(fresh);
        of.by.insert(from.to_owned(), now);
        of.by.retain(|_, at| now <= *at + settings.window);
        let due = of.by.len() >= settings.many && now >= of.probed + settings.again;
        if due {
            of.probed = now;
            self.probes += 1;
        }
        due
    }

    /// What is under way when the duty ends is nobody's business any more.
    pub fn ended(&mut self) {
        self.servers.clear();
    }

    pub fn remembered(&self) -> usize {
        self.servers.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings {
            unanswered: 3,
            many: 2,
            window: 5.0,
            again: 2.0,
            servers: 4,
        }
    }

    #[test]
    fn one_limiter_alone_brings_no_probe_and_several_bring_one() {
        let (s, mut p) = (settings(), Prober::default());
        assert!(!p.complaint("a", "x", 0.0, &s));
        assert!(!p.complaint("a", "x", 0.5, &s), "the same one again");
        assert!(p.complaint("b", "x", 1.0, &s));
        assert!(!p.complaint("c", "x", 1.5, &s), "too soon");
        assert!(p.complaint("c", "x", 3.1, &s));
        assert!(!p.complaint("a", "y", 4.0, &s));
        assert!(
            !p.complaint("b", "y", 9.5, &s),
            "the first complaint is too old"
        );
        for n in 0..20 {
            p.complaint("a", &format!("s{n}"), 10.0, &s);
        }
        assert!(p.remembered() <= 4);
        assert!(!p.complaint("a", "late", 10.1, &s));
        assert!(
            !p.complaint("a", "late", 20.0, &s) && p.remembered() <= 4,
            "old ones make room"
        );
    }

    #[test]
    fn what_it_saw_itself_goes_before_a_probe_and_old_words_are_none() {
        let (s, mut c) = (settings(), Complaints::default());
        let judge = |c: &Complaints, seen, age, now| c.judge("x", seen, age, 0.5, now, &s);
        assert_eq!(judge(&c, Seen::Silent, 0.1, 1.0), Some(Judged::Bad(3.0)));
        assert_eq!(judge(&c, Seen::Answered, 0.1, 1.0), Some(Judged::Good(1.0)));
        for age in [-1.0, 5.0, f64::NAN] {
            assert_eq!(judge(&c, Seen::Silent, age, 1.0), None);
        }
        c.ended("x", true, 1.0, &s);
        assert_eq!(judge(&c, Seen::Refused, 0.1, 2.0), None, "it answers here");
        assert_eq!(
            judge(&c, Seen::Refused, 0.1, 3.2),
            Some(Judged::Bad(3.0)),
            "it did, a while ago"
        );
        for n in 0..9 {
            c.ended(&format!("s{n}"), true, 4.0, &s);
        }
        assert!(c.answers.len() <= 4);
    }

    #[test]
    fn a_row_is_ended_by_any_answer_and_by_time() {
        let (s, mut c) = (settings(), Complaints::default());
        let mut end = |answered, now| c.ended("x", answered, now, &s).is_some();
        assert!(!end(false, 0.0) && !end(false, 0.1) && end(false, 0.2));
        assert!(!end(false, 0.3) && !end(true, 0.4));
        assert!(!end(false, 0.5) && !end(false, 0.6) && end(false, 0.7));
        assert!(!end(false, 9.0), "a row of long ago is none");
    }
}
