//! The control state as far as a process knows it, and how a change of it is applied.

use crate::messages::StateUpdate;
use dunespur_configuration::{Document, RouteTable};
use dunespur_control_state::{Change, GatewayEntry, ServerReport, StoreEntry};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The parts of the control state that data planes and stores act on.
#[derive(Default)]
pub struct KnownState {
    /// Index of the control state; `None` until the first update.
    pub index: Option<u64>,
    /// The configuration in force here.
    pub table: Option<Rc<RouteTable>>,
    /// The servers of all services, by id.
    pub servers: BTreeMap<String, ServerReport>,
    /// The gateways that are there, by name.
    pub gateways: BTreeMap<String, GatewayEntry>,
    /// All stores, by name.
    pub stores: BTreeMap<String, StoreEntry>,
}

/// Which parts of the control state an update has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChanges {
    /// Another configuration.
    pub configuration: bool,
    /// Any server.
    pub servers: bool,
    /// Any store.
    pub stores: bool,
    /// Any gateway.
    pub gateways: bool,
}

impl StateChanges {
    /// Whether anything has changed.
    pub fn any(self) -> bool {
        self != StateChanges::default()
    }
}

impl KnownState {
    /// Applies what a watch has brought. The index never goes back: an update from a member that is behind says
    /// nothing.
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

    /// Applies a newer generation; true if it was newer, even if the document could not be used.
    fn apply_configuration(&mut self, generation: u64, json: &str) -> bool {
        let in_force = self.table.as_ref().map(|table| table.generation());
        if in_force.is_some_and(|in_force| in_force >= generation) {
            return false;
        }
        match Document::replace(json.as_bytes()) {
            Ok(document) => self.table = Some(Rc::new(RouteTable::new(&document))),
            Err(findings) => log::error!("configuration {generation} can't be used: {findings}"),
        }
        true
    }
}
