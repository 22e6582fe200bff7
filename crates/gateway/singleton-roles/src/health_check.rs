//! The role `probe`: a limiter that gets no answers from a server sends a complaint to the owner of the server's
//! shard. After complaints from several limiters the owner checks the server and sends its observation, with
//! an age, to all limiters; each limiter decides for itself what to do with it. No I/O, no clock.
//!
//! A server must never be checked on the complaint of a single limiter, nor more often than configured, and
//! the memory used for servers is bounded.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of the health checks, from the operators' file. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive unanswered deliveries at one limiter that cause a complaint.
    pub failure_threshold: u32,
    /// Number of limiters that must complain before a server is checked.
    pub min_complainants: usize,
    /// How long a complaint stays valid.
    pub complaint_window: f64,
    /// Minimum time between two checks of one server.
    pub min_interval: f64,
    /// Maximum number of servers that are tracked at a time.
    pub max_servers: usize,
}

/// A setting of the health checks is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "fleet.probe: unanswered {unanswered}, many {many}, window {window}, again {again}, servers \
     {servers}; all must be over 0, many at least 2, window and again finite"
)]
pub struct SettingsError {
    unanswered: u32,
    many: usize,
    window: f64,
    again: f64,
    servers: usize,
}

impl Settings {
    /// Checks that every setting is in its range.
    ///
    /// # Errors
    /// A setting is out of range.
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

/// The result of a check of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The server sent an answer of any kind.
    Answered,
    /// No connection could be established.
    Refused,
    /// A connection was established, but no answer arrived on it.
    Silent,
}

/// A message between limiters and the owner of a server's shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A limiter gets no answers from a server.
    Complaint {
        /// The server's address.
        server: String,
        /// Number of consecutive unanswered deliveries.
        failures: u32,
    },
    /// The result of a check by the shard's owner.
    Observed {
        /// The shard's slot.
        slot: u32,
        /// The fencing token of the shard's owner.
        token: u64,
        /// The server's address.
        server: String,
        /// The result of the check.
        observation: Observation,
        /// Seconds since the check.
        age: f64,
    },
}

/// Whether the server answered a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The server sent an answer of any kind.
    Answered,
    /// The server sent no answer.
    Unanswered,
}

/// Consecutive unanswered deliveries, and when the last one ended.
#[derive(Debug)]
struct FailureRun {
    count: u32,
    last: f64,
}

/// The outcomes of a limiter's own deliveries, by server.
#[derive(Debug, Default)]
pub struct DeliveryHistory {
    failures: BTreeMap<String, FailureRun>,
    /// When each server last answered this limiter.
    last_answers: BTreeMap<String, f64>,
}

/// What a limiter concludes from an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthDecision {
    /// The server gets no requests for this many seconds.
    Unhealthy(f64),
    /// The server gets requests again after this many seconds.
    Healthy(f64),
}

impl DeliveryHistory {
    /// Records a finished delivery; returns a complaint if one is due now.
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
        // Repeated at every multiple of the threshold, because a complaint may be lost on the way.
        let complaint_due = run.count.is_multiple_of(settings.failure_threshold);
        complaint_due.then(|| Message::Complaint {
            server: server.to_owned(),
            failures: run.count,
        })
    }

    /// Evaluates an observation made `age` seconds ago together with this limiter's own deliveries. A recent
    /// answer to this limiter overrides a failed check, so that a check over a bad link doesn't take a server
    /// from limiters that it answers. The pause lasts until the next check is due; `jitter`, from 0 to 1,
    /// spreads its end over the limiters.
    #[must_use]
    pub fn evaluate(
        &self,
        server: &str,
        observation: Observation,
        age: f64,
        jitter: f64,
        now: f64,
        settings: &Settings,
    ) -> Option<HealthDecision> {
        if !(age >= 0.0 && age < settings.complaint_window) {
            return None;
        }
        let interval = settings.min_interval;
        if observation == Observation::Answered {
            return Some(HealthDecision::Healthy(interval * jitter));
        }
        let last_answer = self.last_answers.get(server);
        let answered = last_answer.is_some_and(|at| *at + interval > now - age);
        (!answered).then_some(HealthDecision::Unhealthy(interval * (1.0 + jitter)))
    }

    /// Number of servers whose last answer is remembered.
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

/// The checker's side, run by the limiter that owns the shard.
#[derive(Default)]
pub struct HealthChecker {
    servers: BTreeMap<String, SuspectServer>,
    /// Number of checks that were requested.
    pub checks: u64,
}

impl HealthChecker {
    /// Takes a complaint; returns whether the server is to be checked now.
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
        let enough_complainants = suspect.complaints.len() >= settings.min_complainants;
        let check_due = enough_complainants && now >= suspect.last_check + interval;
        if check_due {
            suspect.last_check = now;
            self.checks += 1;
        }
        check_due
    }

    /// Forgets all complaints and checks after this limiter lost the role.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// Number of servers that are tracked.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.servers.len()
    }
}
