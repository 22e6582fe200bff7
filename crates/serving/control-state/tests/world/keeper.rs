//! The operator of stores: it has them emptied while they come, go, and come again on other disks. An order to empty a
//! store may take effect only while one is under way: after a clear answer, no copy of an earlier call counts.

use super::callers::{Answer, Question, Wake};
use super::{Event, World};
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const STORES: u64 = 3;
/// The most that the keeper rests between two acts.
const LONGEST_REST: u64 = 250;
/// An order without a clear answer is left after so many calls at most.
const MOST_TRIES: u32 = 12;

/// What the keeper knows and wants.
#[derive(Default)]
pub struct Keeper {
    /// Lives and disks are numbered.
    next_number: u64,
    wanted: Option<(String, u32)>,
    /// Whether a call has gone out for a store since its last clear answer.
    under_way: BTreeMap<String, bool>,
    pub begun: u64,
    pub refused: u64,
}

impl World {
    pub fn next_of_keeper(&mut self, caller: usize) {
        if self.keeper.wanted.is_none() && self.rng.u32(0..3) > 0 {
            self.store_changes();
            let at = self.now + self.rng.u64(1..LONGEST_REST);
            return self.schedule(
                at,
                Event::Caller {
                    caller,
                    wake: Wake::Next,
                },
            );
        }
        if self.keeper.wanted.is_none() {
            let node = format!("s{}", self.rng.u64(0..STORES));
            self.keeper.wanted = Some((node, 1 + self.rng.u32(0..MOST_TRIES)));
        }
        let (node, _) = self.keeper.wanted.clone().expect("just set");
        self.keeper.under_way.insert(node.clone(), true);
        self.choose_machine(caller);
        self.call(caller, Question::Retire(node), None);
    }

    /// A store comes, goes, is empty, or is another one of the same name.
    fn store_changes(&mut self) {
        let node = format!("s{}", self.rng.u64(0..STORES));
        self.keeper.next_number += 1;
        let number = self.keeper.next_number;
        let disk = if self.rng.bool() { number } else { 1 };
        let held = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let held = held
            .filter_map(|process| process.state.stores().find(|store| store.name == node))
            .max_by_key(|store| store.incarnation);
        let (incarnation, round) = held.map_or((0, 0), |store| (store.incarnation, store.epoch));
        let operation = match self.rng.u32(0..4) {
            0..=1 => Operation::Node(NodeReport {
                name: node,
                kind: NodeKind::Store,
                zone: "zone".to_owned(),
                address: SocketAddr::from(([10, 1, 0, 1], 7380)),
                incarnation: number,
                disk,
                whole: true,
            }),
            2 => Operation::NodeGone {
                name: node,
                incarnation,
            },
            _ => Operation::RetireDone {
                node,
                incarnation,
                round,
            },
        };
        let machine = self.rng.usize(..self.machines.len());
        self.submit(machine, &operation);
    }

    /// A call of the keeper is over.
    pub fn retire_over(&mut self, clear: Option<Answer>) -> u64 {
        if let Some((node, tries_left)) = self.keeper.wanted.take() {
            if let Some(answer) = &clear {
                self.keeper.under_way.insert(node, false);
                self.keeper.refused += u64::from(*answer == Answer::NotRetired);
            } else if tries_left > 1 {
                self.keeper.wanted = Some((node, tries_left - 1));
            }
        }
        1 + self.rng.u64(0..LONGEST_REST)
    }

    /// A store begins to be emptied.
    pub fn retirement_begins(&mut self, node: &str) {
        self.keeper.begun += 1;
        if self.keeper.under_way.get(node) != Some(&true) {
            self.breaks(format!(
                "{node} is emptied, and every call for it was decided before"
            ));
        }
    }
}
