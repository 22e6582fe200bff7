//! What borrowers ask, what a broker answers, and what it wants done.

use super::Anew;
use crate::{Name, Slot};
use dunespur_decisions::types::About;
use serde::{Deserialize, Serialize};

/// One add that a limiter would make at the counter. Units, and units a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The borrower's number for it.
    pub seq: u64,
    pub name: u64,
    pub customer: u64,
    pub add: f64,
    /// What is asked for, a part of the add; 0 for a correction. Less than `needs` serves nobody.
    pub asked: f64,
    pub needs: f64,
    /// The name's life at the counter, in seconds.
    pub life: f64,
    /// The name is full at so many units now, and at `rate` a second more from now on.
    pub full: f64,
    pub rate: f64,
    /// It has been in use for so long, as a share of the time that it is in use: from 0 to 1; and for so many
    /// seconds it will be.
    pub elapsed: f64,
    pub left: f64,
}

impl Ask {
    /// What the module wants added, `since` seconds after the name came into use.
    pub fn new(anew: Anew, about: &About, since: f64) -> Self {
        let Anew {
            call: seq,
            name,
            add,
            life,
        } = anew;
        let About {
            customer,
            asked,
            needs,
            rate,
            ..
        } = *about;
        let full = about.most + rate * since.max(0.0);
        let elapsed = (since / about.length.max(1e-9)).clamp(0.0, 1.0);
        let left = (about.length - since).max(0.0);
        Ask {
            seq,
            name,
            customer,
            add,
            asked,
            needs,
            life,
            full,
            rate,
            elapsed,
            left,
        }
    }

    /// Amounts that are no amounts are refused whole.
    pub(super) fn sound(&self) -> bool {
        let finite = [
            self.add,
            self.asked,
            self.needs,
            self.life,
            self.full,
            self.rate,
            self.elapsed,
            self.left,
        ];
        finite.iter().all(|v| v.is_finite() && v.abs() < 1e12)
            && self.asked >= 0.0
            && self.needs >= 0.0
            && self.rate >= 0.0
            && self.life > 0.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The name's total, this add in it, as the counter would have said.
    Total(f64),
    /// Nothing was added: this broker can't.
    Not,
    /// It lives and asks the counter first.
    Wait,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    Ask {
        slot: Slot,
        run: u64,
        ask: Ask,
    },
    Told {
        slot: Slot,
        token: u64,
        run: u64,
        seq: u64,
        answer: Answer,
    },
}

/// What a broker wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Tell {
        to: Name,
        run: u64,
        slot: Slot,
        seq: u64,
        answer: Answer,
    },
    /// A call to the counter, whose end comes back by its number.
    Count {
        call: u64,
        name: u64,
        add: f64,
        life: f64,
    },
    /// Nobody waits for that call any more.
    Abandon { call: u64 },
}
