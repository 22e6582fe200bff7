//! The home of one service in one zone: gathers what subscribers and other zones' homes say, and answers with what is
//! new to the asker.
//!
//! Any gateway that is asked acts as a home for as long as it hears of subscribers; that two do so at a time, while
//! gateways differ about who is there, only splits what each of them knows.

use crate::loads::{by_server, listed, ByServer, Figures};
use crate::message::{Answer, Ask, Known, ServerLoad, Speaker};
use crate::roster::Roster;
use crate::Millis;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a speaker said counts for this long after it was last heard: more than two of its renewals.
const STALE_AFTER_MS: u64 = 2_500;
/// Speakers that are heard at a time. Bounds memory against names without end.
const MOST_SPEAKERS: usize = 1_024;
/// Servers that are counted at a time. Bounds memory against ids without end.
const MOST_SERVERS: usize = 4_096;

/// Servers that one statement may name. Bounds memory.
const MOST_LOADS: usize = 1_024;

/// What one speaker said last.
#[derive(Debug)]
struct Voice {
    life: u64,
    version: u64,
    loads: ByServer,
    heard_at: Millis,
}

/// The sum on one server.
#[derive(Debug, Default)]
struct Total {
    figures: Figures,
    /// The home's version that changed it last.
    changed: u64,
}

/// The loads by server, as many as one statement may have.
fn bounded(loads: &[ServerLoad]) -> ByServer {
    by_server(&loads[..loads.len().min(MOST_LOADS)])
}

/// One service's home.
#[derive(Debug)]
pub(crate) struct Home {
    life: u64,
    /// Rises with each change.
    version: u64,
    /// Who holds an older version is told everything.
    floor: u64,
    voices: BTreeMap<Speaker, Voice>,
    totals: BTreeMap<Rc<str>, Total>,
}

impl Home {
    /// A home in the life `life` of this gateway's process.
    pub(crate) fn new(life: u64) -> Home {
        Home {
            life,
            version: 1,
            floor: 0,
            voices: BTreeMap::new(),
            totals: BTreeMap::new(),
        }
    }

    /// Takes what the speaker says and answers it.
    pub(crate) fn asked(&mut self, ask: &Ask, now: Millis) -> Answer {
        self.age(now);
        let wants_statement = !self.hear(ask, now);
        let (whole, loads) = match &ask.speaker {
            Speaker::Subscriber { .. } => self.news_of_all(ask.known),
            Speaker::Home { .. } => self.news_of_subscribers(ask.known),
        };
        Answer {
            life: self.life,
            version: self.version,
            whole,
            loads,
            wants_statement,
        }
    }

    /// What all have together, as far as it is new; and whether that is everything.
    fn news_of_all(&self, known: Known) -> (bool, Vec<ServerLoad>) {
        if known.life == self.life && known.version >= self.floor {
            return (false, self.changed_since(known.version));
        }
        (true, self.all())
    }

    /// What the subscribers have together, whole if it may be new.
    fn news_of_subscribers(&self, known: Known) -> (bool, Vec<ServerLoad>) {
        if known
            == (Known {
                life: self.life,
                version: self.version,
            })
        {
            return (false, Vec::new());
        }
        (true, self.of_subscribers())
    }

    /// Takes what another zone's home answered as its statement.
    pub(crate) fn told(&mut self, speaker: Speaker, answer: &Answer, now: Millis) {
        self.age(now);
        if !answer.whole {
            if let Some(voice) = self.voices.get_mut(&speaker) {
                voice.heard_at = now;
            }
            return;
        }
        let loads = bounded(&answer.loads);
        self.take(
            speaker,
            Voice {
                life: answer.life,
                version: answer.version,
                loads,
                heard_at: now,
            },
        );
    }

    /// What this zone's subscribers have together.
    pub(crate) fn of_subscribers(&self) -> Vec<ServerLoad> {
        let mut sum = ByServer::new();
        for (speaker, voice) in &self.voices {
            if matches!(speaker, Speaker::Home { .. }) {
                continue;
            }
            for (server, figures) in &voice.loads {
                let entry = sum.entry(server.clone()).or_default();
                *entry = entry.plus(*figures);
            }
        }
        listed(&sum)
    }

    /// Whether subscribers have anything in flight.
    pub(crate) fn serves(&self) -> bool {
        let mut subscribers = self.voices.iter();
        subscribers.any(|(speaker, voice)| {
            matches!(speaker, Speaker::Subscriber { .. }) && !voice.loads.is_empty()
        })
    }

    /// Rises with each change, within one life.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Forgets what gateways said that were not heard for long.
    pub(crate) fn age(&mut self, now: Millis) {
        self.forget(|_, voice| now.saturating_sub(voice.heard_at) >= STALE_AFTER_MS);
    }

    /// Forgets what gateways said that are gone, or that live anew.
    pub(crate) fn keep(&mut self, roster: &Roster) {
        self.forget(|speaker, voice| {
            // A life that the list does not name yet is younger than it.
            roster
                .find(speaker.gateway())
                .is_none_or(|gateway| voice.life < gateway.life)
        });
    }

    /// Takes a statement, if there is one and it is not an old one; says whether the newest is held.
    fn hear(&mut self, ask: &Ask, now: Millis) -> bool {
        let held = self.voices.get_mut(&ask.speaker);
        if let Some(voice) =
            held.filter(|voice| (voice.life, voice.version) >= (ask.life, ask.version))
        {
            // Late and doubled ones change nothing; they show that the speaker lives if they are of this life.
            if voice.life == ask.life {
                voice.heard_at = now;
            }
            return true;
        }
        let Some(statement) = &ask.statement else {
            return false;
        };
        let loads = bounded(&statement.loads);
        self.take(
            ask.speaker.clone(),
            Voice {
                life: ask.life,
                version: ask.version,
                loads,
                heard_at: now,
            },
        );
        true
    }

    /// The one place where what a speaker said is replaced.
    fn take(&mut self, speaker: Speaker, voice: Voice) {
        let held = self.voices.get(&speaker);
        if held.is_some_and(|held| (held.life, held.version) > (voice.life, voice.version)) {
            return;
        }
        if held.is_none() && self.voices.len() >= MOST_SPEAKERS {
            return;
        }
        let unchanged = held.is_some_and(|held| held.loads == voice.loads);
        if !unchanged {
            self.version += 1;
            self.make_room(voice.loads.len());
            self.add(&voice.loads);
        }
        let before = self.voices.insert(speaker, voice);
        if let Some(before) = before.filter(|_| !unchanged) {
            self.subtract(&before.loads);
        }
    }

    fn forget(&mut self, forgotten: impl Fn(&Speaker, &Voice) -> bool) {
        let mut gone = Vec::new();
        self.voices.retain(|speaker, voice| {
            let keep = !forgotten(speaker, voice);
            if !keep {
                gone.push(std::mem::take(&mut voice.loads));
            }
            keep
        });
        for loads in gone.iter().filter(|loads| !loads.is_empty()) {
            self.version += 1;
            self.subtract(loads);
        }
    }

    fn add(&mut self, loads: &ByServer) {
        for (server, figures) in loads {
            if self.totals.len() >= MOST_SERVERS && !self.totals.contains_key(server) {
                continue;
            }
            let total = self.totals.entry(server.clone()).or_default();
            total.figures = total.figures.plus(*figures);
            total.changed = self.version;
        }
    }

    fn subtract(&mut self, loads: &ByServer) {
        for (server, figures) in loads {
            if let Some(total) = self.totals.get_mut(server) {
                total.figures = total.figures.minus(*figures);
                total.changed = self.version;
            }
        }
    }

    /// Servers without anything are kept while there is room, so that askers learn of it.
    fn make_room(&mut self, servers: usize) {
        if self.totals.len() + servers > MOST_SERVERS {
            self.totals.retain(|_, total| !total.figures.is_nothing());
            self.floor = self.version;
        }
    }

    fn changed_since(&self, version: u64) -> Vec<ServerLoad> {
        let changed = self
            .totals
            .iter()
            .filter(|(_, total)| total.changed > version);
        changed
            .map(|(server, total)| total.figures.at(server.clone()))
            .collect()
    }

    fn all(&self) -> Vec<ServerLoad> {
        let busy = self
            .totals
            .iter()
            .filter(|(_, total)| !total.figures.is_nothing());
        busy.map(|(server, total)| total.figures.at(server.clone()))
            .collect()
    }
}
