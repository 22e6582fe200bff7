//! Sums of loads by server.

use crate::message::ServerLoad;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The load on one server. Addition and subtraction saturate.
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

    /// Converts the load to the message type, for the given server.
    pub(crate) fn to_server_load(self, server: Rc<str>) -> ServerLoad {
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

/// A map from server id to load.
pub(crate) type LoadsByServer = BTreeMap<Rc<str>, Load>;

/// Converts a message's loads to a map by server. The last of several loads of one server counts.
pub(crate) fn by_server(loads: &[ServerLoad]) -> LoadsByServer {
    loads
        .iter()
        .map(|load| (load.server.clone(), Load::from(load)))
        .collect()
}

/// Converts loads to the message type; servers without load are left out.
pub(crate) fn to_server_loads(loads: &LoadsByServer) -> Vec<ServerLoad> {
    let busy = loads.iter().filter(|(_, load)| !load.is_zero());
    busy.map(|(server, load)| load.to_server_load(server.clone()))
        .collect()
}
