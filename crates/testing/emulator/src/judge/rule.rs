//! The rules of the protocol, by name.

use std::fmt;

/// A rule, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A response that is not the server's, or belongs to another request.
    Mixed,
    /// A server ran what no client sent.
    Unasked,
    /// A request that must not be repeated ran twice.
    Twice,
    /// A request was rejected as not run, and ran.
    Refused,
    /// Proper requests were denied.
    Denied,
    /// More tokens or attempts than the budget allows.
    Budget,
    /// A request ran at a service that its route does not lead to.
    Route,
    /// A request reached a server long after its draining was acknowledged.
    Drain,
    /// A request was handled by a superseded configuration.
    Config,
    /// Something acknowledged is missing, or a request was closed by planned work.
    Lost,
    /// A stream with events missing, repeated or mixed.
    Order,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// What was seen, with the ids of requests and servers.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}
