//! The complete control state and the application of operations to it.

use crate::{
    configuration::Configuration,
    gateways::Gateways,
    retirement_fencing::RetirementFencing,
    safeguards::{Safeguard, Safeguards},
    servers::Servers,
    stores::Stores,
    Change, ConfigurationRequest, NodeKind, NodeReport, Operation, Outcome, RetirementState,
    ServerReport, StoreEntry,
};
use dunespur_budget::Counters;
use dunespur_configuration::{Document, Findings};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The replicated state of the core. Replicas that applied the same operations in the same order have equal states and
/// equal snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: Configuration,
    servers: Servers,
    gateways: Gateways,
    stores: Stores,
    retirement_fencing: RetirementFencing,
    counters: Counters,
    #[serde(skip)]
    safeguards: Safeguards,
}

#[cfg(feature = "removable-safeguards")]
impl ControlState {
    /// The same state with other safeguards, which snapshots do not contain. For tests only.
    #[must_use]
    pub fn with_safeguards(mut self, safeguards: Safeguards) -> ControlState {
        self.safeguards = safeguards;
        self.stores.set_safeguards(safeguards);
        self
    }
}

impl ControlState {
    /// The state that a snapshot encodes.
    pub(crate) fn snapshot_content(&self) -> Cow<'_, ControlState> {
        if self.safeguards.has(Safeguard::AcceptedRequestsInSnapshot) {
            return Cow::Borrowed(self);
        }
        let mut reduced = self.clone();
        reduced.configuration.discard_accepted_requests();
        Cow::Owned(reduced)
    }

    /// Applies a committed operation and appends the resulting changes for subscribers to `changes`.
    pub fn apply(&mut self, operation: &Operation, changes: &mut Vec<Change>) -> Outcome {
        match operation {
            Operation::Configure(request) => {
                let outcome = self.configuration.apply(request, self.safeguards, changes);
                self.derive_retention();
                return outcome;
            }
            Operation::Server(report) => self.servers.report(report, changes),
            Operation::ServerLeft { id } => self.servers.leave(id, changes),
            Operation::ServerExpired { id, last_sequence } => {
                self.servers.expire(id, *last_sequence, changes);
            }
            Operation::Node(report) => match report.kind {
                NodeKind::Gateway => self.gateways.report(report, changes),
                NodeKind::Store => self.stores.report(report, changes),
            },
            Operation::NodeExpired { name, incarnation } => {
                self.gateways.expire(name, *incarnation, changes);
                self.stores.expire(name, *incarnation, changes);
            }
            Operation::RetireStart {
                node,
                tolerated_losses,
                fencing_token,
            } => return self.retire(node, *tolerated_losses, *fencing_token, changes),
            Operation::RetireDone {
                node,
                incarnation,
                epoch,
            } => self
                .stores
                .complete_retirement(node, *incarnation, *epoch, changes),
            Operation::Budget(request) => {
                return Outcome::Budget(self.counters.apply(request, self.gateways.count()));
            }
        }
        Outcome::Done
    }

    /// Sets the counters' retention time to the longest retention of turns in the configuration. Called after a restore
    /// too, because snapshots do not contain the retention time.
    pub(crate) fn derive_retention(&mut self) {
        let current = self.configuration.current();
        let retention_ms = current.map_or(0, Document::longest_retention_ms);
        self.counters.set_retention(retention_ms);
    }

    /// Applies the operator's request to retire a store. If the store's retirement was already requested, the request
    /// changes nothing and needs no fencing token.
    fn retire(
        &mut self,
        node: &str,
        tolerated_losses: u32,
        fencing_token: u64,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        if self.stores.retirement(node).is_none() {
            let fenced = self.safeguards.has(Safeguard::RejectionsFenced);
            if fenced && !self.retirement_fencing.admits(fencing_token) {
                return Outcome::Fenced {
                    fencing_token: self.retirement_fencing.current_token(),
                };
            }
            self.retirement_fencing.advance();
        }
        Outcome::Retire(self.stores.retire(node, tolerated_losses, changes))
    }

    /// The changes that bring a new subscriber to this state.
    #[must_use]
    pub fn initial_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.configuration.as_change());
        changes.extend(self.gateways.initial_changes());
        changes.extend(self.stores.initial_changes());
        changes.extend(self.servers.initial_changes());
        changes
    }

    /// Checks the sizes of a request on the current configuration and of the configuration that would result from it.
    /// Called before the request is proposed: replicas of different versions have to agree on what they apply, so
    /// [`ControlState::apply`] has no such limit.
    ///
    /// # Errors
    ///
    /// A finding that names the limit, if the request or its result is too large.
    pub fn check_configuration_size(&self, request: &ConfigurationRequest) -> Result<(), Findings> {
        self.configuration.check_size(request)
    }

    /// The current configuration, if there is one.
    #[must_use]
    pub fn configuration(&self) -> Option<&Document> {
        self.configuration.current()
    }

    /// The present servers, by id.
    pub fn servers(&self) -> impl Iterator<Item = &ServerReport> {
        self.servers.iter()
    }

    /// A present server.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerReport> {
        self.servers.get(id)
    }

    /// The present gateways, by name.
    pub fn gateways(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.present()
    }

    /// All recorded gateways, including absent ones, which may return.
    pub fn recorded_gateways(&self) -> impl Iterator<Item = &NodeReport> {
        self.gateways.recorded()
    }

    /// All recorded stores that are not decommissioned, by name.
    pub fn stores(&self) -> impl Iterator<Item = StoreEntry> + '_ {
        self.stores.entries()
    }

    /// The state of a store's retirement, if one was requested.
    #[must_use]
    pub fn retirement(&self, node: &str) -> Option<RetirementState> {
        self.stores.retirement(node)
    }

    /// The counters of all programs.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
