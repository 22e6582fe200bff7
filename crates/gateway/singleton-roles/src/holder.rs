//! A limiter's side: it asks to be kept, learns what it holds, and knows at any moment whether it still does.
//! It must never hold past a lease counted from before its ask, and never take up again what it gave up.

use crate::lease::Tenure;
use crate::{report, Ask, Me, Msg, Name, Output, Settings, Slot};
use std::collections::BTreeMap;

struct Held {
    token: u64,
    progress: f64,
}

pub struct Holder {
    settings: Settings,
    pub me: Me,
    tenure: Tenure<f64>,
    held: BTreeMap<Slot, Held>,
    /// What the last list said, and its version; a slot counts as held while the lease does.
    version: u64,
    /// Given up and not yet seen to be gone from the list.
    freed: BTreeMap<Slot, (u64, bool)>,
    seq: u64,
    next_ask: f64,
    /// Who is asked: the leader, as far as it is known, else the voters in turn.
    leader: Option<Name>,
    turn: usize,
    answered: f64,
    /// Slots whose holders it wants to know, and who they were last.
    pub who: Vec<Slot>,
    pub holders: BTreeMap<Slot, Name>,
    leaving: bool,
    primed: bool,
    until: f64,
    pub doubled: bool,
}

impl Holder {
    pub fn new(settings: Settings, me: Me, now: f64) -> Self {
        let turn = (xxhash_rust::xxh3::xxh3_64(me.name.as_bytes()) % settings.voters.len() as u64)
            as usize;
        Holder {
            settings,
            me,
            tenure: Tenure::default(),
            held: BTreeMap::new(),
            version: 0,
            freed: BTreeMap::new(),
            seq: 0,
            next_ask: now,
            leader: None,
            turn,
            answered: now,
            who: Vec::new(),
            holders: BTreeMap::new(),
            leaving: false,
            primed: false,
            until: 0.0,
            doubled: false,
        }
    }

    /// The token under which it holds a slot at this moment. Ask right before each effect.
    pub fn holds(&self, slot: Slot, now: f64) -> Option<u64> {
        self.held
            .get(&slot)
            .filter(|_| self.tenure.holds(now))
            .map(|h| h.token)
    }

    pub fn held(&self, now: f64) -> impl Iterator<Item = (Slot, u64)> + '_ {
        let holds = self.tenure.holds(now);
        self.held
            .iter()
            .filter(move |_| holds)
            .map(|(slot, h)| (*slot, h.token))
    }

    /// The duty's work got on. What gets on with nothing for the stated time is given up.
    pub fn progress(&mut self, slot: Slot, now: f64) {
        if let Some(held) = self.held.get_mut(&slot) {
            held.progress = now;
        }
    }

    pub fn next_due(&self) -> f64 {
        if self.held.is_empty() {
            self.next_ask
        } else {
            self.next_ask.min(self.tenure.until())
        }
    }

    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        if !self.tenure.holds(now) && !self.held.is_empty() {
            self.drop_all(out);
        }
        if self.settings.stall > 0.0 {
            let stall = self.settings.stall;
            let stuck: Vec<Slot> = self
                .held
                .iter()
                .filter(|h| now > h.1.progress + stall)
                .map(|h| *h.0)
                .collect();
            stuck
                .into_iter()
                .for_each(|slot| self.stop(slot, true, out));
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
    }

    fn drop_all(&mut self, out: &mut Vec<Output>) {
        for (slot, h) in std::mem::take(&mut self.held) {
            out.push(Output::Ended {
                slot,
                token: h.token,
            });
        }
        // The next list is wanted whole.
        self.version = 0;
    }

    fn stop(&mut self, slot: Slot, stuck: bool, out: &mut Vec<Output>) {
        if let Some(h) = self.held.remove(&slot) {
            out.push(Output::Ended {
                slot,
                token: h.token,
            });
            self.freed.insert(slot, (h.token, stuck));
            self.next_ask = 0.0;
        }
    }

    /// Stops all at once and says so; nothing is taken up after it.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.leaving = true;
        self.drop_all(out);
        self.tenure.give_up();
        self.ask(now, out);
    }

    fn ask(&mut self, now: f64, out: &mut Vec<Output>) {
        // One that got no answer is asked again sooner: an answer lost here and there must not cost the lease.
        let lost = self.seq > 0 && now > self.answered + self.settings.renew * 0.9;
        self.next_ask = now + self.settings.renew * if lost { 0.4 } else { 1.0 };
        if now > self.answered + self.settings.renew * 1.5 {
            self.leader = None;
        }
        if self.leader.is_none() {
            self.turn = (self.turn + 1) % self.settings.voters.len();
        }
        let to = self
            .leader
            .clone()
            .unwrap_or_else(|| self.settings.voters[self.turn].clone());
        self.seq += 1;
        self.tenure.asked(self.seq, now);
        let freed = self
            .freed
            .iter()
            .map(|(slot, (token, stuck))| (*slot, *token, *stuck))
            .collect();
        let (me, version) = (self.me.clone(), self.version);
        let (leaving, prime) = (self.leaving, !self.primed);
        let ask = Ask {
            me,
            seq: self.seq,
            version,
            freed,
            leaving,
            prime,
            who: self.who.clone(),
        };
        out.push(Output::Send {
            to,
            msg: Msg::Ask(ask),
        });
    }

    pub fn hear(&mut self, from: &str, msg: Msg, now: f64, out: &mut Vec<Output>) {
        let run = self.me.run;
        match msg {
            Msg::Told { run: r, told } if r == run && !self.leaving => {
                if !self.tenure.granted(told.seq, self.settings.lease) {
                    return;
                }
                self.answered = now;
                self.until = self.tenure.until();
                self.leader = Some(from.into());
                if std::mem::take(&mut self.doubled) {
                    report(
                        out,
                        true,
                        format!("{} is the only process of its name again", self.me.name),
                    );
                }
                if !self.who.is_empty() {
                    self.holders = told.holders.into_iter().collect();
                }
                if let Some(tokens) = told.tokens {
                    self.primed = true;
                    out.push(Output::Tokens(tokens));
                }
                // An answer may be late; then nothing is held by it.
                if !self.tenure.holds(now) {
                    return;
                }
                if let Some(list) = told.list.filter(|_| told.version >= self.version) {
                    self.version = told.version;
                    self.take(list, now, out);
                }
                told.give_up
                    .into_iter()
                    .for_each(|slot| self.stop(slot, false, out));
            }
            Msg::Elsewhere {
                run: r,
                seq,
                leader,
            } if r == run && seq == self.seq => {
                self.answered = if leader.is_some() { now } else { self.answered };
                let known = leader.is_some() && leader != self.leader;
                self.leader = leader;
                if known {
                    // Not in a circle: a leader that sends on is asked again at the usual pace.
                    self.next_ask = self.next_ask.min(now + self.settings.renew / 8.0);
                }
            }
            Msg::Doubled { run: r } if r == run => {
                self.answered = now;
                self.drop_all(out);
                self.tenure.give_up();
                if !std::mem::replace(&mut self.doubled, true) {
                    let name = &self.me.name;
                    report(
                        out,
                        true,
                        format!(
                            "another living process has the name {name}; this one holds nothing"
                        ),
                    );
                }
            }
            Msg::Notice { run: r } if r == run && !self.leaving => {
                self.leader = Some(from.into());
                self.answered = now;
                self.next_ask = now;
            }
            _ => {}
        }
    }

    fn take(&mut self, list: Vec<(Slot, u64)>, now: f64, out: &mut Vec<Output>) {
        let list: BTreeMap<Slot, u64> = list.into_iter().collect();
        // What the list no longer names under that token is gone for good.
        self.freed
            .retain(|slot, (token, _)| list.get(slot) == Some(token));
        let over: Vec<Slot> = self
            .held
            .iter()
            .filter(|(s, h)| list.get(s) != Some(&h.token))
            .map(|(s, _)| *s)
            .collect();
        for slot in over {
            if let Some(h) = self.held.remove(&slot) {
                out.push(Output::Ended {
                    slot,
                    token: h.token,
                });
            }
        }
        for (slot, token) in list {
            if !self.held.contains_key(&slot) && !self.freed.contains_key(&slot) {
                self.held.insert(
                    slot,
                    Held {
                        token,
                        progress: now,
                    },
                );
                out.push(Output::Began { slot, token });
            }
        }
    }
}

impl Holder {
    /// When the ask that was just answered went out; for histories.
    pub fn asked_at(&self, seq: u64) -> Option<f64> {
        self.tenure.asked_at(seq)
    }

    /// Until when the last lease ran.
    pub fn last_until(&self) -> f64 {
        self.until
    }
}
