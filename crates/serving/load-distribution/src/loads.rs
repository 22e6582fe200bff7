//! Sums of loads by server.

use crate::message::ServerLoad;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Figures {
    pub(crate) in_flight: u32,
    pub(crate) waiting_tokens: u64,
    pub(crate) in_trouble: u32,
}

impl Figures {
    pub(crate) fn of(load: &ServerLoad) -> Figures {
        Figures {
            in_flight: load.in_flight,
            waiting_tokens: load.waiting_tokens,
            in_trouble: load.in_trouble,
        }
    }

    pub(crate) fn is_nothing(&self) -> bool {
        *self == Figures::default()
    }

    pub(crate) fn plus(self, other: Figures) -> Figures {
        Figures {
            in_flight: self.in_flight.saturating_add(other.in_flight),
            waiting_tokens: self.waiting_tokens.saturating_add(other.waiting_tokens),
            in_trouble: self.in_trouble.saturating_add(other.in_trouble),
        }
    }

    pub(crate) fn minus(self, other: Figures) -> Figures {
        Figures {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            waiting_tokens: self.waiting_tokens.saturating_sub(other.waiting_tokens),
            in_trouble: self.in_trouble.saturating_sub(other.in_trouble),
        }
    }

    pub(crate) fn at(self, server: Rc<str>) -> ServerLoad {
        ServerLoad {
            server,
            in_flight: self.in_flight,
            waiting_tokens: self.waiting_tokens,
            in_trouble: self.in_trouble,
        }
    }
}

/// Loads by server.
pub(crate) type ByServer = BTreeMap<Rc<str>, Figures>;

/// The loads by server. Of two that name one server the last one counts.
pub(crate) fn by_server(loads: &[ServerLoad]) -> ByServer {
    loads
        .iter()
        .map(|load| (load.server.clone(), Figures::of(load)))
        .collect()
}

/// The loads as they are told.
pub(crate) fn listed(loads: &ByServer) -> Vec<ServerLoad> {
    let busy = loads.iter().filter(|(_, figures)| !figures.is_nothing());
    busy.map(|(server, figures)| figures.at(server.clone()))
        .collect()
}
