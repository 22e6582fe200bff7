//! Sums of loads by server.

use crate::message::ServerLoad;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is on one server; sums saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) in_flight: u32,
    pub(crate) prefill_tokens: u64,
    pub(crate) ejected_by: u32,
}

impl Load {
    pub(crate) fn is_zero(&self) -> bool {
        *self == Load::default()
    }

    pub(crate) fn plus(self, other: Load) -> Load {
        Load {
            in_flight: self.in_flight.saturating_add(other.in_flight),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            ejected_by: self.ejected_by.saturating_add(other.ejected_by),
        }
    }

    pub(crate) fn minus(self, other: Load) -> Load {
        Load {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            ejected_by: self.ejected_by.saturating_sub(other.ejected_by),
        }
    }

    /// The load in a message about a server.
    pub(crate) fn on_server(self, server: Rc<str>) -> ServerLoad {
        ServerLoad {
            server,
            in_flight: self.in_flight,
            prefill_tokens: self.prefill_tokens,
            ejected_by: self.ejected_by,
        }
    }
}

impl From<&ServerLoad> for Load {
    fn from(load: &ServerLoad) -> Load {
        Load {
            in_flight: load.in_flight,
            prefill_tokens: load.prefill_tokens,
            ejected_by: load.ejected_by,
        }
    }
}

/// Loads by server.
pub(crate) type LoadsByServer = BTreeMap<Rc<str>, Load>;

/// The loads by server. Of two that name one server the last one counts.
pub(crate) fn by_server(loads: &[ServerLoad]) -> LoadsByServer {
    loads
        .iter()
        .map(|load| (load.server.clone(), Load::from(load)))
        .collect()
}

/// The loads in a message: servers without any are left out.
pub(crate) fn to_server_loads(loads: &LoadsByServer) -> Vec<ServerLoad> {
    let busy = loads.iter().filter(|(_, load)| !load.is_zero());
    busy.map(|(server, load)| load.on_server(server.clone()))
        .collect()
}
