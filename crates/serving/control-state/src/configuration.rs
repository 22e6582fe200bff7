//! The operator's configuration and the orders that made it.

use crate::{
    orders::{Memory, RefusedAhead, TakenOrders},
    Change, Guards, Order, OrderKind, Outcome,
};
use dunespur_configuration::{Document, Findings};
use serde::{Deserialize, Serialize};

/// The current configuration.
///
/// Of two orders on one generation the first wins, and the other is told that another one is current. An
/// order that was taken is accepted whenever it comes again, also when others were taken since: its first
/// acknowledgement may be lost. An order that was refused is taken later only by a call made since: orders on a
/// generation that is over, or found invalid on the current one, can never be taken anyhow, and those on a
/// generation that is not reached yet are fenced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Configuration {
    current: Option<Document>,
    taken: TakenOrders,
    refused: RefusedAhead,
}

impl Configuration {
    /// The current configuration, if there is one.
    pub(crate) fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Carries out an order, if it may be.
    pub(crate) fn apply(
        &mut self,
        order: &Order,
        guards: Guards,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        match self.taken.recall(order) {
            Memory::Taken => return Outcome::Accepted,
            Memory::Forgotten => return Outcome::Forgotten,
            Memory::NotTaken => {}
        }
        let current = self.generation();
        if order.base > current {
            return self.refuse_ahead(order.base);
        }
        if order.base < current && guards.first_writer_wins {
            return Outcome::Current {
                generation: current,
            };
        }
        if let Some(fence) = self
            .refused
            .fence(order.base)
            .filter(|_| guards.refusals_fenced)
        {
            if order.fence < fence {
                return Outcome::Fenced { fence };
            }
        }
        match self.result(order) {
            Ok(document) => self.take(order, document, changes),
            Err(findings) => Outcome::Invalid(findings),
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> Option<Change> {
        let document = self.current.as_ref()?;
        Some(Change::Configuration {
            generation: document.generation(),
            json: document.json().clone(),
        })
    }

    /// Only for the guard that is against this.
    pub(crate) fn forget_taken_orders(&mut self) {
        self.taken = TakenOrders::default();
    }

    fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, Document::generation)
    }

    /// An order on a generation that is not reached yet.
    fn refuse_ahead(&mut self, base: u64) -> Outcome {
        match self.refused.note(base) {
            true => Outcome::Current {
                generation: self.generation(),
            },
            false => Outcome::Forgotten,
        }
    }

    /// The configuration that an order on the current one makes.
    fn result(&self, order: &Order) -> Result<Document, Findings> {
        let document = match (order.kind, &self.current) {
            (OrderKind::Replace, _) => Document::replace(&order.body)?,
            (OrderKind::Patch, Some(current)) => current.patch(&order.body)?,
            (OrderKind::Patch, None) => Document::empty().patch(&order.body)?,
        };
        if document.generation() <= self.generation() {
            let problem = format!("is not above the current one, {}", self.generation());
            return Err(Findings::one("generation", problem));
        }
        Ok(document)
    }

    fn take(&mut self, order: &Order, document: Document, changes: &mut Vec<Change>) -> Outcome {
        self.taken.remember(order);
        self.refused.reached(document.generation());
        self.current = Some(document);
        changes.extend(self.image());
        Outcome::Accepted
    }
}
