//! The role `probe`: limiters that gave up on a server say so to the one that owns its shard; when several
//! did, that one tries the server and tells all what it saw. What it saw is an observation with an age, no
//! verdict: each limiter's decisions judge for themselves. No I/O, no clock. It must never check a server on
//! one limiter's word, nor more often than stated, and what it remembers of servers ends.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the operators' file says. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Deliveries without any answer in a row, at one limiter, that make a complaint.
    pub failure_threshold: u32,
    /// Limiters that have to complain before a server is checked.
    pub min_complainants: usize,
    /// How long a complaint counts.
    pub complaint_window: f64,
    /// Shortest time between two checks of one server.
    pub min_interval: f64,
    /// Servers remembered at once.
    pub max_servers: usize,
}

/// The settings can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("fleet.probe: unanswered {unanswered}, many {many} (2 or more), window {window}, again {again}, servers {servers}; all over 0")]
pub struct SettingsError {
    unanswered: u32,
    many: usize,
    window: f64,
    again: f64,
    servers: usize,
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let (window, again) = (self.complaint_window, self.min_interval);
        let times = window > 0.0 && again > 0.0 && window.is_finite() && again.is_finite();
        let counts =
            self.failure_threshold > 0 && self.min_complainants >= 2 && self.max_servers > 0;
        if !(times && counts) {
            return Err(SettingsError {
                unanswered: self.failure_threshold,
                many: self.min_complainants,
                window,
                again,
                servers: self.max_servers,
            });
        }
        Ok(())
    }
}

/// What a check of a server saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// Any answer at all.
    Answered,
    /// No connection came up.
    Refused,
    /// A connection, and nothing on it.
    Silent,
}

/// Between limiters and the owner of a server's shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A limiter gave up on a server.
    Complaint {
        /// The server's address.
        server: String,
        /// Deliveries in a row that got no answer.
        failures: u32,
    },
    /// What a check saw.
    Observed {
        /// The shard's slot.
        slot: u32,
        /// The fencing token of the shard's owner.
        token: u64,
        /// The server's address.
        server: String,
        /// What was seen.
        observation: Observation,
        /// How long ago, in seconds.
        age: f64,
    },
}

/// How a delivery to a server ended, as far as its health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// With any answer at all.
    Answered,
    /// Without one.
    Unanswered,
}

/// Deliveries in a row that got no answer, and when the last one ended.
#[derive(Debug)]
struct FailureRun {
    count: u32,
    last: f64,
}

/// A limiter's own experience of the servers.
#[derive(Debug, Default)]
pub struct ServerExperience {
    failures: BTreeMap<String, FailureRun>,
    /// When a server last answered here.
    last_answers: BTreeMap<String, f64>,
}

/// What a limiter makes of an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The server rests for so many seconds.
    Unhealthy(f64),
    /// Its rest ends within so many seconds.
    Healthy(f64),
}

impl ServerExperience {
    /// A delivery ended; returns the complaint that its server is due now.
    pub fn record_delivery(
        &mut self,
        server: &str,
        delivery: Delivery,
        now: f64,
        settings: &Settings,
    ) -> Option<Message> {
        match delivery {
            Delivery::Answered => {
                self.record_answer(server, now, settings);
                None
            }
            Delivery::Unanswered => self.record_failure(server, now, settings),
        }
    }

    fn record_answer(&mut self, server: &str, now: f64, settings: &Settings) {
        self.failures.remove(server);
        let answers = &mut self.last_answers;
        if !answers.contains_key(server) && answers.len() >= settings.max_servers {
            answers.retain(|_, at| now < *at + settings.complaint_window);
            if answers.len() >= settings.max_servers {
                return;
            }
        }
        answers.insert(server.to_owned(), now);
    }

    fn record_failure(&mut self, server: &str, now: f64, settings: &Settings) -> Option<Message> {
        let window = settings.complaint_window;
        let failures = &mut self.failures;
        if !failures.contains_key(server) && failures.len() >= settings.max_servers {
            failures.retain(|_, run| now < run.last + window);
            if failures.len() >= settings.max_servers {
                return None;
            }
        }
        let run = failures.entry(server.to_owned());
        let run = run.or_insert(FailureRun {
            count: 0,
            last: now,
        });
        if now > run.last + window {
            run.count = 0;
        }
        run.count += 1;
        run.last = now;
        // Said once for each so many: what is lost on the way is said again.
        let due = run.count.is_multiple_of(settings.failure_threshold);
        due.then(|| Message::Complaint {
            server: server.to_owned(),
            failures: run.count,
        })
    }

    /// Judges what was seen `age` seconds ago beside what this limiter saw itself: an answer since then goes
    /// before any word of others, so that a check over a bad link takes no server from those it answers. A
    /// rest lasts until the next check is due, and ends for each limiter at its own moment: `jitter` is from
    /// 0 to 1.
    #[must_use]
    pub fn judge(
        &self,
        server: &str,
        observation: Observation,
        age: f64,
        jitter: f64,
        now: f64,
        settings: &Settings,
    ) -> Option<Verdict> {
        if !(age >= 0.0 && age < settings.complaint_window) {
            return None;
        }
        let interval = settings.min_interval;
        if observation == Observation::Answered {
            return Some(Verdict::Healthy(interval * jitter));
        }
        let last_answer = self.last_answers.get(server);
        let answered = last_answer.is_some_and(|at| *at + interval > now - age);
        (!answered).then_some(Verdict::Unhealthy(interval * (1.0 + jitter)))
    }

    /// How many servers' answers it remembers.
    #[must_use]
    pub fn remembered_answers(&self) -> usize {
        self.last_answers.len()
    }
}

struct SuspectServer {
    complaints: BTreeMap<Name, f64>,
    last_check: f64,
}

impl Default for SuspectServer {
    fn default() -> Self {
        SuspectServer {
            complaints: BTreeMap::new(),
            last_check: f64::NEG_INFINITY,
        }
    }
}

/// The side of the role's owner.
#[derive(Default)]
pub struct HealthChecker {
    servers: BTreeMap<String, SuspectServer>,
    /// How many checks it asked for.
    pub checks: u64,
}

impl HealthChecker {
    /// A complaint came; says whether the server is to be checked now.
    pub fn receive_complaint(
        &mut self,
        from: &str,
        server: &str,
        now: f64,
        settings: &Settings,
    ) -> bool {
        let (window, interval) = (settings.complaint_window, settings.min_interval);
        if !self.servers.contains_key(server) && self.servers.len() >= settings.max_servers {
            self.servers.retain(|_, suspect| {
                let complained = suspect.complaints.values().any(|at| now <= at + window);
                complained || now <= suspect.last_check + interval
            });
            if self.servers.len() >= settings.max_servers {
                return false;
            }
        }
        let suspect = self.servers.entry(server.to_owned()).or_default();
        suspect.complaints.insert(from.to_owned(), now);
        suspect.complaints.retain(|_, at| now <= *at + window);
        let enough = suspect.complaints.len() >= settings.min_complainants;
        let due = enough && now >= suspect.last_check + interval;
        if due {
            suspect.last_check = now;
            self.checks += 1;
        }
        due
    }

    /// The role was lost: what is under way is nobody's business any more.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// How many servers it remembers.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.servers.len()
    }
}
