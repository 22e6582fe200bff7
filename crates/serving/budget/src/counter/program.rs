//! One program's counter: what was used, and who holds how much.

use super::senders::Senders;
use crate::{CounterReply, LimiterId, Millis};
use serde::{Deserialize, Serialize};

/// Near the limit a grant is this part of a limiter's share of the headroom.
const SHRINK_FACTOR: u64 = 2;
/// A limiter counts as one of the program's this long after it asked.
const ASKED_LATELY_MS: Millis = 10_000;
/// Units of a limiter that was silent about the program for longer count as spent: three of its reports.
const HOLDER_SILENT_MS: Millis = 15_000;
/// Limiters remembered for one program; what the one heard longest ago holds counts as used.
const MAX_HOLDERS: usize = 128;

/// A limiter, as one program's counter knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Holder {
    limiter: LimiterId,
    /// Units granted, neither given back nor reported as used.
    unresolved: u64,
    /// When it was last heard.
    heard: Millis,
    /// Its last request and the reply. One is enough, as it has one unanswered request at a time.
    last: Option<Answered>,
}

/// A request that was answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answered {
    sequence: u64,
    reply: CounterReply,
}

/// A limiter's ask for a lease.
pub(crate) struct Ask {
    /// The asker's place among the program's holders.
    pub(crate) holder: usize,
    pub(crate) budget: u64,
    pub(crate) needed: u64,
    pub(crate) wanted: u64,
    /// How many limiters there are, 0 where that is not known.
    pub(crate) limiters: u32,
    pub(crate) now: Millis,
}

/// A program's counter. It never goes back to nought while it exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Program {
    /// Units reported as used.
    used: u64,
    /// Whether units were ever granted.
    begun: bool,
    last_use: Millis,
    holders: Vec<Holder>,
}

impl Program {
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Units that limiters hold, for all the counter knows.
    pub(crate) fn held(&self) -> u64 {
        self.holders
            .iter()
            .fold(0, |sum, holder| sum.saturating_add(holder.unresolved))
    }

    pub(crate) fn idle(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_use)
    }

    /// The reply to a request that was applied already; `Stale` to one older than the limiter's last.
    pub(crate) fn answered_before(
        &self,
        limiter: &LimiterId,
        sequence: u64,
    ) -> Option<CounterReply> {
        let holder = self
            .holders
            .iter()
            .find(|holder| holder.limiter == *limiter)?;
        let last = holder.last.as_ref()?;
        match sequence.cmp(&last.sequence) {
            std::cmp::Ordering::Less => Some(CounterReply::Stale),
            std::cmp::Ordering::Equal => Some(last.reply.clone()),
            std::cmp::Ordering::Greater => None,
        }
    }

    /// Takes note of a limiter's new request and of what it used; gives its place among the holders.
    pub(crate) fn hear(&mut self, limiter: &LimiterId, used: u64, now: Millis) -> usize {
        self.last_use = now;
        let place = self.place_of(limiter);
        let holder = &mut self.holders[place];
        holder.heard = now;
        holder.unresolved = holder.unresolved.saturating_sub(used);
        self.used = self.used.saturating_add(used);
        place
    }

    /// Takes units back, at most what the limiter holds: against units from nowhere.
    pub(crate) fn take_back(&mut self, holder: usize, units: u64) {
        let holder = &mut self.holders[holder];
        holder.unresolved = holder.unresolved.saturating_sub(units);
    }

    /// Grants a lease, or tells why not.
    pub(crate) fn lease(&mut self, ask: &Ask, senders: &Senders) -> CounterReply {
        let headroom = self.headroom(ask.budget);
        if headroom >= ask.needed {
            let units = self.grant_size(ask, headroom, senders);
            self.begun = true;
            self.holders[ask.holder].unresolved += units;
            return CounterReply::Granted {
                units,
                left: headroom - units,
            };
        }
        let held = self.recoverable(ask.now, senders);
        if headroom.saturating_add(held) >= ask.needed {
            CounterReply::Elsewhere { held }
        } else {
            CounterReply::Spent
        }
    }

    pub(crate) fn remember(&mut self, holder: usize, sequence: u64, reply: &CounterReply) {
        self.holders[holder].last = Some(Answered {
            sequence,
            reply: reply.clone(),
        });
    }

    /// Drops the records of limiters that hold nothing.
    pub(crate) fn compact(&mut self) {
        self.holders.retain(|holder| holder.unresolved > 0);
        self.holders.shrink_to_fit();
    }

    fn headroom(&self, budget: u64) -> u64 {
        budget.saturating_sub(self.used.saturating_add(self.held()))
    }

    /// What is granted out of a headroom that covers the need: shrunk near the limit, never below the need, and
    /// no more than that to a new program.
    fn grant_size(&self, ask: &Ask, headroom: u64, senders: &Senders) -> u64 {
        if !self.begun {
            return ask.needed;
        }
        let share = headroom / self.sharers(ask, senders) / SHRINK_FACTOR;
        ask.wanted.min(share).max(ask.needed)
    }

    /// How many limiters share the program, the asker included.
    fn sharers(&self, ask: &Ask, senders: &Senders) -> u64 {
        let lately = |holder: &&Holder| ask.now.saturating_sub(holder.heard) < ASKED_LATELY_MS;
        let holds = |holder: &&Holder| holder.unresolved > 0;
        let shares = |holder: &&Holder| {
            holder.may_come_back(ask.now, senders) && (lately(holder) || holds(holder))
        };
        let counted = self.holders.iter().filter(shares).count().max(1) as u64;
        match ask.limiters {
            0 => counted,
            known => counted.min(u64::from(known)),
        }
    }

    /// Units that limiters hold and may still give back.
    fn recoverable(&self, now: Millis, senders: &Senders) -> u64 {
        let alive = self
            .holders
            .iter()
            .filter(|holder| holder.may_come_back(now, senders));
        alive.fold(0, |sum, holder| sum.saturating_add(holder.unresolved))
    }

    fn place_of(&mut self, limiter: &LimiterId) -> usize {
        let known = self
            .holders
            .iter()
            .position(|holder| holder.limiter == *limiter);
        if let Some(place) = known {
            return place;
        }
        if self.holders.len() >= MAX_HOLDERS {
            self.write_one_off();
        }
        let holder = Holder {
            limiter: limiter.clone(),
            unresolved: 0,
            heard: 0,
            last: None,
        };
        self.holders.push(holder);
        self.holders.len() - 1
    }

    /// Makes room for a holder: what the one heard longest ago holds stays spent.
    fn write_one_off(&mut self) {
        let longest = self
            .holders
            .iter()
            .enumerate()
            .min_by_key(|(_, holder)| holder.heard);
        if let Some(place) = longest.map(|(place, _)| place) {
            let holder = self.holders.remove(place);
            self.used = self.used.saturating_add(holder.unresolved);
        }
    }
}

impl Holder {
    /// Whether the limiter may still give back what it holds: neither replaced by a newer life nor silent too long.
    fn may_come_back(&self, now: Millis, senders: &Senders) -> bool {
        !senders.superseded(&self.limiter) && now.saturating_sub(self.heard) < HOLDER_SILENT_MS
    }
}
