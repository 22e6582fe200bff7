//! Which servers may have run a request, and whether it may go on to a further one. No clock, no I/O.

use crate::disposition::{ClientAnswer, Execution, Repeat};
use crate::guards::Guards;
use crate::refusal::Refusal;
use dunespur_routing::ServerId;
use smallvec::SmallVec;

/// Sends to a server that may have run the request before. Guards against a server that breaks every answer off.
const MOST_RESENDS: u32 = 2;
/// When a client may come back whose request found no server.
const NO_SERVER_RETRY_MS: u64 = 200;

/// What the attempts of one request came to, taken together.
#[derive(Debug)]
pub(crate) struct RunRecord {
    idempotent: bool,
    most_servers: usize,
    guards: Guards,
    /// Those that may have run it and are not known to have crashed since.
    servers: SmallVec<[ServerId; 2]>,
    /// Of the last attempt that may have run it.
    execution: Execution,
    resends: u32,
}

impl RunRecord {
    /// Of a request that may run on so many servers, and on more than one only if it is idempotent.
    pub(crate) fn new(idempotent: bool, most_servers: usize, guards: Guards) -> RunRecord {
        RunRecord {
            idempotent,
            most_servers,
            guards,
            servers: SmallVec::new(),
            execution: Execution::NotRun,
            resends: 0,
        }
    }

    /// An attempt at this server came to this.
    pub(crate) fn note(&mut self, server: &ServerId, execution: Execution) {
        if execution != Execution::NotRun {
            self.note_run(server);
            self.execution = execution;
        }
    }

    /// The server has run it, and its answer may yet be passed on.
    pub(crate) fn note_run(&mut self, server: &ServerId) {
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    /// The server has crashed, if it ever ran the request: it no longer counts among those that were sent to.
    pub(crate) fn note_gone(&mut self, server: &ServerId) {
        self.servers.retain(|id| id != server);
    }

    /// Whether the request can't have run anywhere.
    pub(crate) fn is_unrun(&self) -> bool {
        self.execution == Execution::NotRun
    }

    /// Whether the request may be sent to one more server after an attempt that allows this much. What the earlier
    /// attempts came to may forbid it.
    pub(crate) fn may_go_on(&self, repeat: Repeat) -> bool {
        match repeat {
            Repeat::No => false,
            Repeat::Allowed if self.servers.is_empty() && self.is_unrun() => true,
            Repeat::Allowed | Repeat::IfIdempotent | Repeat::IfResumable => {
                self.is_repeatable() && !self.is_at_most_servers()
            }
        }
    }

    /// Whether the request may still go to another server after one more that was silent.
    pub(crate) fn may_leave(&self) -> bool {
        self.is_repeatable() && self.servers.len() + 1 < self.most_servers
    }

    /// Whether the request is sent to the same server again: it may be sent to no further one, and can be
    /// repeated. Should the server turn out to be gone, it no longer counts.
    pub(crate) fn may_resend(&mut self) -> bool {
        let may = self.is_repeatable() && self.is_at_most_servers() && self.resends < MOST_RESENDS;
        self.resends += u32::from(may);
        may
    }

    /// The answer where no server's can be had.
    pub(crate) fn refusal(&self) -> Refusal {
        match self.execution.without_answer() {
            ClientAnswer::Refused => Refusal::Later {
                retry_after_ms: NO_SERVER_RETRY_MS,
            },
            ClientAnswer::TimeUp => Refusal::TimeUp,
            _ => Refusal::MayHaveRun,
        }
    }

    /// Guards against running twice what may run once.
    fn is_repeatable(&self) -> bool {
        self.idempotent || !self.guards.unrepeatable_sent_once
    }

    /// Whether as many servers may have run it as the route allows.
    fn is_at_most_servers(&self) -> bool {
        self.servers.len() >= self.most_servers.max(1)
    }
}

#[cfg(test)]
mod tests;
