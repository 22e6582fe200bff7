//! A gateway's registration: it reports itself to the core once per incarnation, renews its lease with each watch, and
//! reports when it leaves. A planned departure is reported as [`Operation::NodeExpired`], as an expired lease is.

use crate::directory::{Directory, KnownState};
use crate::messages::NodeLease;
use crate::settings::Settings;
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay before a report is repeated that the core did not acknowledge.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The core gets so long for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a gateway wants its registration to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DesiredState {
    /// Among the gateways that the core knows.
    Registered,
    /// Removed, as its process is about to end.
    Leaving,
}

/// One gateway's entry among the gateways that the core knows.
pub struct GatewayRegistration {
    directory: Rc<Directory>,
    report: RefCell<NodeReport>,
    desired_state: Cell<DesiredState>,
}

impl GatewayRegistration {
    /// Keeps this incarnation of the process registered from now on.
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

    /// The process is about to end: others must not count on it any more. Reported as [`Operation::NodeExpired`], as an
    /// expired lease is.
    pub fn leave(self: &Rc<Self>) {
        self.desired_state.set(DesiredState::Leaving);
        spawn_local(maintain_registration(self.clone()));
    }

    /// The operation that the core still has to execute.
    fn unreported(&self) -> Option<Operation> {
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
            // The clock went back between two incarnations of this process: the present one is the newer one.
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
        let ours = entry.incarnation <= report.incarnation;
        ours.then(|| Operation::NodeExpired {
            name: report.name.clone(),
            incarnation: report.incarnation,
        })
    }
}

/// Reports to the core what it does not know of this gateway yet, for as long as its desired state stays the same.
async fn maintain_registration(registration: Rc<GatewayRegistration>) {
    let desired_state = registration.desired_state.get();
    while registration.desired_state.get() == desired_state {
        match registration.unreported() {
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
