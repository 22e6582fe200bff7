//! The side that tells a home what it has, and asks it for what is new there.
//!
//! Nothing is sent while there is nothing to tell: who has nothing in flight needs nobody's load.

use crate::failover::Failover;
use crate::loads::{by_server, listed, ByServer};
use crate::message::{Answer, Ask, Known, ServerLoad, Speaker, Statement};
use crate::roster::{Gateway, Roster};
use crate::Millis;
use std::rc::Rc;

/// What has not changed is told again after this time, so that it goes on counting.
const RENEW_AFTER_MS: u64 = 1_000;

/// Whom a subscription asks about what, and how often at most.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) service: Rc<str>,
    /// The zone whose home is asked.
    pub(crate) zone: Rc<str>,
    pub(crate) speaker: Speaker,
    /// The life of the speaker's process.
    pub(crate) life: u64,
    pub(crate) period_ms: u64,
}

/// What a subscription waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Something to tell.
    Resting,
    /// The time of the next ask.
    Due { at: Millis },
    /// An answer.
    Asking {
        number: u64,
        home: Rc<str>,
        home_life: u64,
    },
}

/// A statement, or the part of a table, that one home is known to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct At<T> {
    home: Option<Rc<str>>,
    what: T,
}

/// What is to be asked of a gateway.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: Gateway,
    pub(crate) ask: Ask,
}

/// One subscription.
#[derive(Debug)]
pub(crate) struct Subscription {
    subject: Subject,
    state: State,
    failover: Failover,
    asked_at: Option<Millis>,
    version: u64,
    loads: ByServer,
    /// The version of the newest statement that a home holds.
    told: At<u64>,
    /// What was told last.
    told_loads: ByServer,
    /// Up to where the home's table is known.
    known: At<Known>,
    totals: ByServer,
}

impl Subscription {
    pub(crate) fn new(subject: Subject) -> Subscription {
        Subscription {
            subject,
            state: State::Resting,
            failover: Failover::default(),
            asked_at: None,
            version: 0,
            loads: ByServer::new(),
            told: At::default(),
            told_loads: ByServer::new(),
            known: At::default(),
            totals: ByServer::new(),
        }
    }

    /// The speaker has this now; `version` rises with each change.
    pub(crate) fn set(&mut self, loads: ByServer, version: u64, now: Millis) {
        self.loads = loads;
        self.version = version;
        self.settle(now);
    }

    /// What the speaker has.
    pub(crate) fn loads(&self) -> &ByServer {
        &self.loads
    }

    /// Whether the speaker has nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// When the next ask is due; an ask under way ends by itself.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        match self.state {
            State::Due { at } => Some(at),
            State::Resting | State::Asking { .. } => None,
        }
    }

    /// The next ask, if it is due; `number` names it until it is answered or has failed.
    pub(crate) fn poll(&mut self, number: u64, roster: &Roster, now: Millis) -> Option<Outgoing> {
        let due = self.next_due().is_some_and(|at| at <= now);
        if !due {
            return None;
        }
        let ranked = roster.ranked(&self.subject.service, &self.subject.zone);
        let Some(home) = self.failover.choose(&ranked, now) else {
            let at = self
                .failover
                .next_chance(&ranked)
                .unwrap_or(now + RENEW_AFTER_MS);
            self.enter(State::Due {
                at: at.max(now + 1),
            });
            return None;
        };
        let outgoing = Outgoing {
            to: home.clone(),
            ask: self.ask(&home.name),
        };
        self.asked_at = Some(now);
        self.told_loads.clone_from(&self.loads);
        self.enter(State::Asking {
            number,
            home: home.name.clone(),
            home_life: home.life,
        });
        Some(outgoing)
    }

    /// An answer; false for a late one, which says nothing.
    pub(crate) fn answered(
        &mut self,
        number: u64,
        asked_version: u64,
        answer: &Answer,
        now: Millis,
    ) -> bool {
        let home = match &self.state {
            State::Asking {
                number: awaited,
                home,
                ..
            } if *awaited == number => home.clone(),
            _ => return false,
        };
        self.told = match answer.wants_statement {
            true => At::default(),
            false => At {
                home: Some(home.clone()),
                what: asked_version,
            },
        };
        let known = Known {
            life: answer.life,
            version: answer.version,
        };
        self.known = At {
            home: Some(home),
            what: known,
        };
        let loads = by_server(&answer.loads);
        match answer.whole {
            true => self.totals = loads,
            false => self.totals.extend(loads),
        }
        self.totals.retain(|_, figures| !figures.is_nothing());
        if answer.wants_statement {
            self.asked_at = None;
        }
        self.enter(State::Resting);
        self.settle(now);
        true
    }

    /// The ask of this number got no answer: the next gateway is asked, at once.
    pub(crate) fn failed(&mut self, number: u64, now: Millis) {
        let State::Asking {
            number: awaited,
            home,
            home_life,
        } = self.state.clone()
        else {
            return;
        };
        if awaited != number {
            return;
        }
        self.failover.failed(&home, home_life, now);
        self.told = At::default();
        self.asked_at = None;
        self.enter(State::Resting);
        self.settle(now);
    }

    /// The other side's home has asked this gateway, and was answered with what the speaker has: there is no need to
    /// tell it the same.
    pub(crate) fn was_told(&mut self, home: &Rc<str>, now: Millis) {
        let another = self.told.home.as_ref().is_some_and(|told| told != home);
        if another || matches!(self.state, State::Asking { .. }) {
            return;
        }
        self.told = At {
            home: Some(home.clone()),
            what: self.version,
        };
        self.asked_at = Some(now);
        self.settle(now);
    }

    /// Another list of gateways.
    pub(crate) fn keep(&mut self, roster: &Roster) {
        self.failover.keep(roster);
    }

    /// What the home told, without the speaker's own part.
    pub(crate) fn others(&self) -> Vec<ServerLoad> {
        let mut others = self.totals.clone();
        for (server, own) in &self.told_loads {
            if let Some(figures) = others.get_mut(server) {
                *figures = figures.minus(*own);
            }
        }
        listed(&others)
    }

    fn ask(&self, home: &Rc<str>) -> Ask {
        let is_held = self.told
            == At {
                home: Some(home.clone()),
                what: self.version,
            };
        let statement = Statement {
            version: self.version,
            loads: listed(&self.loads),
        };
        let known = if self.known.home.as_ref() == Some(home) {
            self.known.what
        } else {
            Known::default()
        };
        Ask {
            service: self.subject.service.clone(),
            speaker: self.subject.speaker.clone(),
            life: self.subject.life,
            version: self.version,
            statement: (!is_held).then_some(statement),
            known,
        }
    }

    /// Whether a home has to be told something.
    fn untold(&self) -> bool {
        match self.told.home {
            Some(_) => self.told.what != self.version,
            None => !self.loads.is_empty(),
        }
    }

    /// Finds the time of the next ask while none is under way.
    fn settle(&mut self, now: Millis) {
        if matches!(self.state, State::Asking { .. }) {
            return;
        }
        let pause = match (self.untold(), self.loads.is_empty()) {
            (true, _) => self.subject.period_ms,
            (false, false) => RENEW_AFTER_MS,
            (false, true) => return self.enter(State::Resting),
        };
        let at = self.asked_at.map_or(now, |asked_at| asked_at + pause);
        self.enter(State::Due { at });
    }

    /// The one place where the state changes.
    fn enter(&mut self, state: State) {
        self.state = state;
    }
}
