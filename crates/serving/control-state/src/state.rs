//! The whole control state.

use crate::{
    configuration::Configuration, gateways::Gateways, retirement::RetireFence, servers::Servers,
    stores::Stores, Change, Guards, NodeKind, NodeReport, Operation, Outcome, RetireState,
    ServerReport, StoreEntry,
};
use dunespur_budget::Counters;
use dunespur_configuration::Document;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// All that the core agrees on. Two states to which the same operations were applied in the same order are
/// equal, also in their snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: Configuration,
    servers: Servers,
    gateways: Gateways,
    stores: Stores,
    retire_fence: RetireFence,
    counters: Counters,
    #[serde(skip)]
    guards: Guards,
}

impl ControlState {
    /// An empty state without some of the guards.
    #[doc(hidden)]
    pub fn with_guards(guards: Guards) -> ControlState {
        ControlState::default().guarded_by(guards)
    }

    /// The same state without some of the guards: a snapshot does not say which stand.
    #[doc(hidden)]
    pub fn guarded_by(mut self, guards: Guards) -> ControlState {
        self.guards = guards;
        self.stores.set_guards(guards);
        self
    }

    /// What goes into a snapshot.
    pub(crate) fn to_be_saved(&self) -> Cow<'_, ControlState> {
        if self.guards.taken_orders_in_snapshot {
            return Cow::Borrowed(self);
        }
        let mut saved = self.clone();
        saved.configuration.forget_taken_orders();
        Cow::Owned(saved)
    }

    /// Applies a committed operation. What it changes for subscribers is added to `changes`.
    pub fn apply(&mut self, operation: &Operation, changes: &mut Vec<Change>) -> Outcome {
        match operation {
            Operation::Configure(order) => {
                return self.configuration.apply(order, self.guards, changes)
            }
            Operation::Server(report) => self.servers.report(report, changes),
            Operation::ServerLeft { id } => self.servers.left(id, changes),
            Operation::ServerExpired { id, last_sequence } => {
                self.servers.expired(id, *last_sequence, changes);
            }
            Operation::Node(report) => match report.kind {
                NodeKind::Gateway => self.gateways.report(report, changes),
                NodeKind::Store => self.stores.report(report, changes),
            },
            Operation::NodeGone { name, incarnation } => {
                self.gateways.gone(name, *incarnation, changes);
                self.stores.gone(name, *incarnation, changes);
            }
            Operation::RetireStart {
                node,
                tolerated_losses,
                fence,
            } => {
                return self.retire(node, *tolerated_losses, *fence, changes);
            }
            Operation::RetireDone {
                node,
                incarnation,
                round,
            } => {
                self.stores.emptied(node, *incarnation, *round, changes);
            }
            Operation::Budget(request) => {
                return Outcome::Budget(self.counters.apply(request, self.gateways.count()));
            }
        }
        Outcome::Done
    }

    /// The operator wants a store emptied. One that is on its way out already needs no fence: nothing changes.
    fn retire(
        &mut self,
        node: &str,
        tolerated_losses: u32,
        fence: u64,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let runs = self.stores.retirement(node).is_some();
        if !runs && self.guards.refusals_fenced && !self.retire_fence.lets_pass(fence) {
            return Outcome::Fenced {
                fence: self.retire_fence.current(),
            };
        }
        if !runs {
            self.retire_fence.decided();
        }
        Outcome::Retire(self.stores.retire(node, tolerated_losses, changes))
    }

    /// All that a new subscriber needs.
    pub fn image(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.configuration.image());
        changes.extend(self.gateways.image());
        changes.extend(self.stores.image());
        changes.extend(self.servers.image());
        changes
    }

    /// The current configuration, if there is one.
    pub fn configuration(&self) -> Option<&Document> {
        self.configuration.current()
    }

    /// The servers that are there, by id.
    pub fn servers(&self) -> impl Iterator<Item = &ServerReport> {
        self.servers.all()
    }

    /// A server that is there.
    pub fn server(&self, id: &str) -> Option<&ServerReport> {
        self.servers.get(id)
    }

    /// The gateways that are there, by name.
    pub fn gateways(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.all()
    }

    /// All gateways that are remembered, those included that are no longer there and may come back.
    pub fn remembered_gateways(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.remembered()
    }

    /// The stores that are there, or may come back, by name.
    pub fn stores(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.all()
    }

    /// How far a store is on its way out, if it is.
    pub fn retirement(&self, node: &str) -> Option<RetireState> {
        self.stores.retirement(node)
    }

    /// The counters of all programs.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
