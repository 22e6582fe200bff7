//! Names of the protocol's rules, and violations of them.

use std::fmt;

/// A rule of the protocol; each variant describes what breaks the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A client received a response that no server sent to this request.
    Mixed,
    /// A server ran a request that no client sent.
    Unasked,
    /// A request that may run only once ran twice.
    Twice,
    /// A request that the system rejected as not run has run.
    Refused,
    /// The system denied too many valid requests.
    Denied,
    /// A program received more tokens, or requests ran on more servers, than allowed.
    Budget,
    /// A request ran at a service that is not a backend of its route.
    Route,
    /// A request reached a server too long after the server's draining was acknowledged.
    Drain,
    /// A request was handled in a way that only a superseded configuration allows.
    Config,
    /// Acknowledged data is missing, or planned work closed a request's connection.
    Lost,
    /// A stream misses an event, repeats one, or mixes events of two runs.
    Order,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// What was observed, with the ids of requests and servers.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}
