//! The operator's configuration and the orders that made it.

use crate::{
    orders::{Memory, TakenOrders},
    Change, Order, OrderKind, Outcome,
};
use dunespur_configuration::{Document, Findings};
use serde::{Deserialize, Serialize};

/// The current configuration.
///
/// Of two orders on one generation the first wins, and the other is told that another one is current. An
/// order that was taken is accepted whenever it comes again, also when others were taken since: its first
/// acknowledgement may be lost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Configuration {
    current: Option<Document>,
    taken: TakenOrders,
}

impl Configuration {
    /// The current configuration, if there is one.
    pub(crate) fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Carries out an order, if it may be.
    pub(crate) fn apply(&mut self, order: &Order, changes: &mut Vec<Change>) -> Outcome {
        match self.taken.recall(order) {
            Memory::Taken => Outcome::Accepted,
            Memory::Forgotten => Outcome::Forgotten,
            Memory::NotTaken if order.base != self.generation() => {
                Outcome::Current { generation: self.generation() }
            }
            Memory::NotTaken => match self.result(order) {
                Ok(document) => self.take(order, document, changes),
                Err(findings) => Outcome::Invalid(findings),
            },
        }
    }

    /// What a subscriber has to know.
    pub(crate) fn image(&self) -> Option<Change> {
        let document = self.current.as_ref()?;
        Some(Change::Configuration { generation: document.generation(), json: document.json().clone() })
    }

    fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, Document::generation)
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
        self.current = Some(document);
        changes.extend(self.image());
        Outcome::Accepted
    }
}
