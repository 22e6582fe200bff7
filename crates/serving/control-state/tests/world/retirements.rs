//! The operator of stores: it retires them while they register, disappear and return with other disks. A request to
//! retire a store may take effect only while a call for it is pending: after a definite answer, no duplicate of an
//! earlier call counts.

use super::callers::{Answer, Question, Wake};
use super::{Event, World};
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const STORES: u64 = 3;
/// The operator waits this long at most between two actions, in milliseconds.
const MAX_REST: u64 = 250;
/// A request without a definite answer is abandoned after so many calls at most.
const MAX_ATTEMPTS: u32 = 12;

/// The operator's knowledge and the request that it wants decided.
#[derive(Default)]
pub struct RetirementOperator {
    /// Incarnations and disks are numbered.
    next_number: u64,
    wanted: Option<(String, u32)>,
    /// Whether a call was made for a store since its last definite answer.
    in_flight: BTreeMap<String, bool>,
    pub retirements_begun: u64,
    pub rejected: u64,
}

impl World {
    pub fn next_retirement_call(&mut self, caller: usize) {
        if self.retirement_operator.wanted.is_none() && self.rng.u32(0..3) > 0 {
            self.store_changes();
            let at = self.now + self.rng.u64(1..MAX_REST);
            return self.schedule(
                at,
                Event::Caller {
                    caller,
                    wake: Wake::Next,
                },
            );
        }
        if self.retirement_operator.wanted.is_none() {
            let node = format!("s{}", self.rng.u64(0..STORES));
            self.retirement_operator.wanted = Some((node, 1 + self.rng.u32(0..MAX_ATTEMPTS)));
        }
        let (node, _) = self.retirement_operator.wanted.clone().expect("just set");
        self.retirement_operator
            .in_flight
            .insert(node.clone(), true);
        self.choose_machine(caller);
        self.call(caller, Question::Retire(node), None);
    }

    /// A store registers, expires, is empty, or is another one of the same name.
    fn store_changes(&mut self) {
        let node = format!("s{}", self.rng.u64(0..STORES));
        self.retirement_operator.next_number += 1;
        let number = self.retirement_operator.next_number;
        let disk = if self.rng.bool() { number } else { 1 };
        let processes = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let newest = processes
            .filter_map(|process| process.state.stores().find(|store| store.name == node))
            .max_by_key(|store| store.incarnation);
        let (incarnation, epoch) = newest.map_or((0, 0), |store| (store.incarnation, store.epoch));
        let operation = match self.rng.u32(0..4) {
            0..=1 => Operation::Node(NodeReport {
                name: node,
                kind: NodeKind::Store,
                zone: "zone".to_owned(),
                address: SocketAddr::from(([10, 1, 0, 1], 7380)),
                incarnation: number,
                disk,
                complete: true,
            }),
            2 => Operation::NodeExpired {
                name: node,
                incarnation,
            },
            _ => Operation::RetireDone {
                node,
                incarnation,
                epoch,
            },
        };
        let machine = self.rng.usize(..self.machines.len());
        self.submit(machine, &operation);
    }

    /// A call of the operator of stores ended.
    pub fn retirement_call_ended(&mut self, definite: Option<Answer>) -> u64 {
        if let Some((node, attempts_left)) = self.retirement_operator.wanted.take() {
            if let Some(answer) = &definite {
                self.retirement_operator.in_flight.insert(node, false);
                self.retirement_operator.rejected += u64::from(*answer == Answer::NotRetired);
            } else if attempts_left > 1 {
                self.retirement_operator.wanted = Some((node, attempts_left - 1));
            }
        }
        1 + self.rng.u64(0..MAX_REST)
    }

    /// A store begins to be emptied.
    pub fn retirement_begins(&mut self, node: &str) {
        self.retirement_operator.retirements_begun += 1;
        if self.retirement_operator.in_flight.get(node) != Some(&true) {
            self.violate(format!(
                "{node} is being emptied, and every call for it was decided before"
            ));
        }
    }
}
