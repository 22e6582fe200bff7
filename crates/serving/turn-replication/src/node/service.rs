//! Whether the store is used or emptied, and what its being empty rests on.

use super::{Declaration, Effect, StoreNode};
use crate::placement;
use crate::roster::{Candidate, Store};
use crate::turn::TurnHeader;

/// Whether the store is used or emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    InUse,
    Emptying {
        round: u64,
    },
    /// It has said that it is empty and takes nothing in, until that is agreed on or void.
    Emptied {
        round: u64,
    },
    /// The core has agreed that it is empty.
    Retired,
}

impl Service {
    /// What the core's entry asks of a store.
    fn asked_by(entry: Option<&Store>) -> Service {
        match entry {
            Some(own) if own.retired => Service::Retired,
            Some(own) if own.retiring => Service::Emptying { round: own.round },
            _ => Service::InUse,
        }
    }
}

impl StoreNode {
    pub(super) fn note_service(&mut self, now_ms: u64) {
        match (self.service, Service::asked_by(self.entry())) {
            // What it has said still stands.
            (Service::Emptied { round: said }, Service::Emptying { round }) if said == round => {}
            (Service::Emptied { .. }, Service::Emptying { .. }) if !self.guards.rounds_checked => {}
            (before, asked) if before == asked => {}
            (_, asked) => self.enter_service(asked, now_ms),
        }
    }

    /// This store in the list.
    pub(super) fn entry(&self) -> Option<&Store> {
        self.stores
            .iter()
            .find(|store| store.name == self.settings.name)
    }

    pub(super) fn enter_service(&mut self, service: Service, now_ms: u64) {
        self.service = service;
        match service {
            Service::InUse | Service::Retired => self.deliveries.stop_emptying(),
            Service::Emptying { .. } => self.empty_anew(now_ms),
            Service::Emptied { round } => {
                self.effects
                    .push_back(Effect::Declare(Declaration::Emptied { round }));
            }
        }
    }

    pub(super) fn is_emptying(&self) -> bool {
        matches!(self.service, Service::Emptying { .. })
    }

    /// Offers everything to the new homes from the start, if this store is being emptied.
    pub(super) fn empty_anew(&mut self, now_ms: u64) {
        if !self.is_emptying() {
            return;
        }
        // Fewer homes than copies: nothing can be declared until another store has come.
        let homes = if self.candidates.len() < self.settings.copies {
            &[]
        } else {
            &self.candidates[..]
        };
        let names: Vec<String> = homes.iter().map(|home| home.name.clone()).collect();
        self.deliveries.begin_emptying(names, now_ms);
    }

    /// A store that is being emptied goes on as a fallback until it has said that it is empty.
    pub(super) fn takes_turns(&self) -> bool {
        match self.service {
            Service::InUse => true,
            Service::Emptying { .. } => self.guards.emptying_takes_turns,
            Service::Emptied { .. } | Service::Retired => false,
        }
    }

    /// What comes in while this store is being emptied has to be at its homes, too, before it is empty.
    pub(super) fn owe(&mut self, turn: &TurnHeader, now_ms: u64) {
        if !self.is_emptying() || !self.guards.late_turns_owed {
            return;
        }
        let candidates: Vec<&Candidate> = self.candidates.iter().collect();
        let homes = placement::order_of(&turn.program, &candidates)
            .into_iter()
            .take(self.settings.copies);
        for home in homes {
            self.deliveries.owe(&home.name, &turn.id, now_ms);
        }
    }

    pub(super) fn judge_emptiness(&mut self, now_ms: u64) {
        let Service::Emptying { round } = self.service else {
            return;
        };
        let settled = self.commits.is_idle() && self.completions.is_idle();
        if settled && self.deliveries.is_emptied() && self.homes_are_sound() {
            self.enter_service(Service::Emptied { round }, now_ms);
        }
    }

    /// All stores that turns are placed on are present and whole.
    pub(super) fn homes_are_sound(&self) -> bool {
        let sound = |home: &Candidate| {
            self.stores
                .iter()
                .any(|store| store.name == home.name && store.is_sound())
        };
        self.candidates.iter().all(sound) || !self.guards.homes_present_and_whole
    }
}
