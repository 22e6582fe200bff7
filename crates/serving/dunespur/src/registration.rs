//! A gateway's membership: it reports itself to the core once per life, renews its lease with each watch, and says
//! when it leaves.

use crate::directory::{Directory, KnownState};
use crate::messages::NodeLease;
use crate::settings::Settings;
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before the core is told again what it did not take.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The core gets so long for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Where a gateway stands towards the list of gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It wants to be in the list.
    Member,
    /// It wants to be out of it, as its process is about to end.
    Leaving,
}

/// One gateway's place in the core's list of gateways.
pub struct GatewayRegistration {
    directory: Rc<Directory>,
    report: RefCell<NodeReport>,
    standing: Cell<Standing>,
}

impl GatewayRegistration {
    /// Keeps this life of the process in the list from now on.
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
            whole: false,
        };
        directory.set_own_lease(NodeLease::of(&report));
        let report = RefCell::new(report);
        let registration = Rc::new(GatewayRegistration {
            directory,
            report,
            standing: Cell::new(Standing::Member),
        });
        spawn_local(maintain_registration(registration.clone()));
        registration
    }

    /// The process is about to end: others are not to count on it any more.
    pub fn leave(self: &Rc<Self>) {
        self.standing.set(Standing::Leaving);
        spawn_local(maintain_registration(self.clone()));
    }

    /// What the core still has to be told.
    fn unreported(&self) -> Option<Operation> {
        let known = self.directory.known();
        known.index?;
        match self.standing.get() {
            Standing::Member => self.missing_registration(&known),
            Standing::Leaving => self.missing_deregistration(&known),
        }
    }

    fn missing_registration(&self, known: &KnownState) -> Option<Operation> {
        let mut report = self.report.borrow_mut();
        let Some(held) = known.gateways.get(&report.name) else {
            return Some(Operation::Node(report.clone()));
        };
        if held.incarnation > report.incarnation {
            // The clock went back between two lives of this process: the present life is the newer one.
            report.incarnation = held.incarnation + 1;
            self.directory.set_own_lease(NodeLease::of(&report));
        }
        let told = held.incarnation == report.incarnation && held.address == report.address;
        (!told).then(|| Operation::Node(report.clone()))
    }

    fn missing_deregistration(&self, known: &KnownState) -> Option<Operation> {
        let report = self.report.borrow();
        let held = known.gateways.get(&report.name)?;
        let ours = held.incarnation <= report.incarnation;
        ours.then(|| Operation::NodeGone {
            name: report.name.clone(),
            incarnation: report.incarnation,
        })
    }
}

/// Tells the core what it does not know of this gateway yet, for as long as its standing stays what it is.
async fn maintain_registration(registration: Rc<GatewayRegistration>) {
    let standing = registration.standing.get();
    while registration.standing.get() == standing {
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
