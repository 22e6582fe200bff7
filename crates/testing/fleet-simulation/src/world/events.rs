//! Events of the world, in the order in which they happen.

use crate::service;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::Message;
use std::cmp::Ordering;

/// What one machine sends another.
#[derive(Clone, Debug)]
pub enum Packet {
    Gossip(Vec<u8>),
    Peer(Box<Message>),
    Effect { slot: u32, token: u64 },
    Lend(Box<quota_sharing::Message>),
}

/// What happens at some time of the world.
pub(super) enum Event {
    Wake {
        node: usize,
        epoch: u64,
    },
    Arrive {
        to: usize,
        from: usize,
        packet: Packet,
    },
    Disk {
        node: usize,
        epoch: u64,
        number: u64,
    },
    Work {
        node: usize,
        epoch: u64,
    },
    /// The second half of an effect: nothing is looked at again.
    Finish {
        node: usize,
        epoch: u64,
        slot: u32,
        token: u64,
        to: usize,
    },
    Fault {
        n: usize,
        on: bool,
    },
    Service(service::Event),
}

/// An event with its time in seconds and its number. The earliest is the greatest, as the queue gives the greatest first.
pub(super) struct ScheduledEvent(pub(super) f64, pub(super) u64, pub(super) Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
