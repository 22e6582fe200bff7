//! A gateway's registration with the core: the gateway reports itself once per incarnation, renews its lease with each
//! watch, and reports a planned shutdown like an expired lease, as [`Operation::NodeExpired`].

use crate::directory::{Directory, KnownState};
use crate::messages::NodeLease;
use crate::settings::Settings;
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay after each report before the gateway checks whether the core knows it.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a report to the core.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The registration state that a gateway aims for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DesiredState {
    /// The core lists the gateway.
    Registered,
    /// The core has removed the gateway, as its process is about to end.
    Leaving,
}

/// Keeps one gateway's entry in the core up to date.
pub struct GatewayRegistration {
    directory: Rc<Directory>,
    report: RefCell<NodeReport>,
    desired_state: Cell<DesiredState>,
}

impl GatewayRegistration {
    /// Starts the task that keeps this incarnation of the process registered.
    pub fn start(
        settings: &Settings,
        incarnation: u64,
        directory: Rc<Directory>,
    ) -> Rc<GatewayRegistration> {
        let report = NodeReport {
            name: settings.node.clone(),
            kind: NodeKind::Gateway,
            zone: settings.zone.clone(),
            address: settings.internal_address(),
            incarnation,
            disk: 0,
            complete: false,
        };
        directory.set_own_lease(NodeLease::of(&report));
        let report = RefCell::new(report);
        let registration = Rc::new(GatewayRegistration {
            directory,
            report,
            desired_state: Cell::new(DesiredState::Registered),
        });
        spawn_local(maintain_registration(registration.clone()));
        registration
    }

    /// Removes the registration before the process ends, so that other processes stop relying on this gateway. Reported
    /// like an expired lease, as [`Operation::NodeExpired`].
    pub fn leave(self: &Rc<Self>) {
        self.desired_state.set(DesiredState::Leaving);
        spawn_local(maintain_registration(self.clone()));
    }

    /// The operation that brings the core's entry to the desired state; `None` if it is there already.
    fn outstanding_report(&self) -> Option<Operation> {
        let known = self.directory.known();
        known.index?;
        match self.desired_state.get() {
            DesiredState::Registered => self.missing_registration(&known),
            DesiredState::Leaving => self.missing_deregistration(&known),
        }
    }

    fn missing_registration(&self, known: &KnownState) -> Option<Operation> {
        let mut report = self.report.borrow_mut();
        let Some(entry) = known.gateways.get(&report.name) else {
            return Some(Operation::Node(report.clone()));
        };
        if entry.incarnation > report.incarnation {
            // The wall clock went back between two starts of this process. The new incarnation needs the higher number.
            report.incarnation = entry.incarnation + 1;
            self.directory.set_own_lease(NodeLease::of(&report));
        }
        let is_registered =
            entry.incarnation == report.incarnation && entry.address == report.address;
        (!is_registered).then(|| Operation::Node(report.clone()))
    }

    fn missing_deregistration(&self, known: &KnownState) -> Option<Operation> {
        let report = self.report.borrow();
        let entry = known.gateways.get(&report.name)?;
        let is_own_entry = entry.incarnation <= report.incarnation;
        is_own_entry.then(|| Operation::NodeExpired {
            name: report.name.clone(),
            incarnation: report.incarnation,
        })
    }
}

/// Sends outstanding reports to the core until the desired state changes.
async fn maintain_registration(registration: Rc<GatewayRegistration>) {
    let desired_state = registration.desired_state.get();
    while registration.desired_state.get() == desired_state {
        match registration.outstanding_report() {
            Some(operation) => {
                let _ = registration
                    .directory
                    .execute(&operation, REPORT_TIMEOUT)
                    .await;
                sleep(REPORT_RETRY_DELAY).await;
            }
            None => registration.directory.next_change().await,
        }
    }
}
