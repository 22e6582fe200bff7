//! A process's copy of the control state, and the application of updates to it.

use crate::messages::StateUpdate;
use dunespur_configuration::{Document, RouteTable};
use dunespur_control_state::{Change, GatewayEntry, ServerReport, StoreEntry};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The parts of the control state that data planes and stores act on.
#[derive(Default)]
pub struct KnownState {
    /// Index of the newest applied update; `None` until the first update.
    pub index: Option<u64>,
    /// Routes of the configuration in force in this process.
    pub table: Option<Rc<RouteTable>>,
    /// Servers of all services, by id.
    pub servers: BTreeMap<String, ServerReport>,
    /// Present gateways, by name.
    pub gateways: BTreeMap<String, GatewayEntry>,
    /// All stores, present or not, by name.
    pub stores: BTreeMap<String, StoreEntry>,
}

/// The parts of the control state that an update has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChanges {
    /// The configuration has changed.
    pub configuration: bool,
    /// Servers have changed.
    pub servers: bool,
    /// Stores have changed.
    pub stores: bool,
    /// Gateways have changed.
    pub gateways: bool,
}

impl StateChanges {
    /// Whether any part has changed.
    pub fn any(self) -> bool {
        self != StateChanges::default()
    }
}

impl KnownState {
    /// Applies an update received by a watch. An update that is not newer than the known index is ignored: it comes
    /// from a member that is behind.
    pub(super) fn update(&mut self, update: StateUpdate) -> StateChanges {
        if self.index.is_some_and(|index| update.index <= index) {
            return StateChanges::default();
        }
        let complete = update.complete;
        if complete {
            self.servers.clear();
            self.stores.clear();
            self.gateways.clear();
        }
        let mut changed = StateChanges {
            configuration: false,
            servers: complete,
            stores: complete,
            gateways: complete,
        };
        for change in update.changes {
            self.apply(change, &mut changed);
        }
        self.index = Some(update.index);
        changed
    }

    fn apply(&mut self, change: Change, changed: &mut StateChanges) {
        match change {
            Change::Configuration { generation, json } => {
                changed.configuration |= self.apply_configuration(generation, &json);
            }
            Change::Server(report) => {
                self.servers.insert(report.id.clone(), report);
                changed.servers = true;
            }
            Change::ServerRemoved { id } => {
                self.servers.remove(&id);
                changed.servers = true;
            }
            Change::Store(entry) => {
                self.stores.insert(entry.name.clone(), entry);
                changed.stores = true;
            }
            Change::StoreRemoved { name } => {
                self.stores.remove(&name);
                changed.stores = true;
            }
            Change::Gateway(entry) => {
                self.gateways.insert(entry.name.clone(), entry);
                changed.gateways = true;
            }
            Change::GatewayRemoved { name } => {
                self.gateways.remove(&name);
                changed.gateways = true;
            }
        }
    }

    /// Applies a newer configuration. Returns whether the generation was newer, even if the document was unusable.
    fn apply_configuration(&mut self, generation: u64, json: &str) -> bool {
        let generation_in_force = self.table.as_ref().map(|table| table.generation());
        if generation_in_force.is_some_and(|in_force| in_force >= generation) {
            return false;
        }
        match Document::replace(json.as_bytes()) {
            Ok(document) => self.table = Some(Rc::new(RouteTable::new(&document))),
            Err(findings) => {
                log::error!("configuration {generation} is unusable and ignored: {findings}");
            }
        }
        true
    }
}
