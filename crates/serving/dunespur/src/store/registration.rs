//! A store's registration with the core: reports its incarnation, its disk, whether it is complete, and whether it has
//! been emptied, until the core's entry agrees.

use super::process::StoreProcess;
use crate::messages::NodeLease;
use dunespur_control_state::Operation;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay after each report before the store checks whether the core knows it.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a report to the core.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Keeps the core's entry of this store up to date for as long as the task runs.
pub async fn maintain_registration(store: Rc<StoreProcess>) {
    loop {
        match store.outstanding_report() {
            Some(operation) => {
                let _ = store.directory.execute(&operation, REPORT_TIMEOUT).await;
                sleep(REPORT_RETRY_DELAY).await;
            }
            None => {
                tokio::select! {
                    () = store.report_changed.notified() => {}
                    () = store.directory.next_change() => {}
                }
            }
        }
    }
}

impl StoreProcess {
    /// The operation that updates the core's entry of this store; `None` if the entry is up to date.
    fn outstanding_report(&self) -> Option<Operation> {
        let known = self.directory.known();
        known.index?;
        let mut report = self.report.borrow_mut();
        let Some(entry) = known.stores.get(&report.name) else {
            return Some(Operation::Node(report.clone()));
        };
        if entry.incarnation > report.incarnation {
            // The wall clock went back between two starts of this process. The new incarnation needs the higher number.
            report.incarnation = entry.incarnation + 1;
            self.node.borrow_mut().set_incarnation(report.incarnation);
            self.directory.set_own_lease(NodeLease::of(&report));
        }
        let is_reported = entry.disk == report.disk
            && entry.complete == report.complete
            && entry.address == report.address;
        if !is_reported || !entry.present || entry.incarnation != report.incarnation {
            return Some(Operation::Node(report.clone()));
        }
        let drained_in = self.node.borrow().drained_in_epoch();
        let epoch = drained_in.filter(|epoch| entry.retiring && entry.epoch == *epoch)?;
        Some(Operation::RetireDone {
            node: report.name.clone(),
            incarnation: report.incarnation,
            epoch,
        })
    }
}
