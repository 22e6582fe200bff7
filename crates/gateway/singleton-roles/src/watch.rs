//! The duty `watch`: one limiter of a zone holds discovery's watch and tells the others of it what it hears.
//! They close their own while what they are told is fresh, and open it again, spread out, when it is not. No
//! I/O, no clock; lists are bytes to it. It must never take a list under an older token, and never leave a
//! limiter with neither a fresh relay nor its own watch for longer than `stale` and `spread` together.

use crate::{Name, Slot};
use serde::{Deserialize, Serialize};

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The holder says this often that it is there.
    pub beat: f64,
    /// A relay that says nothing for this long is not fresh any more.
    pub stale: f64,
    /// Those who then watch for themselves do so within this time, each at its own moment.
    pub spread: f64,
    /// A holder whose own watch said nothing for this long is no source.
    pub trust: f64,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        if !(self.beat > 0.0
            && self.stale > 2.0 * self.beat
            && self.spread >= 0.0
            && self.trust > self.beat)
        {
            let Settings {
                beat,
                stale,
                spread,
                trust,
            } = self;
            return Err(format!(
                "fleet.watch: beat {beat}, stale {stale}, spread {spread}, trust {trust}; stale has to be over \
                 two beats, trust over one, all over 0"
            ));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// The holder is there, with this list; its own watch last said something `age` ago.
    Beat {
        slot: Slot,
        token: u64,
        revision: u64,
        age: f64,
    },
    /// What changed after `since`, or the whole list.
    News {
        slot: Slot,
        token: u64,
        since: Option<u64>,
        revision: u64,
        list: Vec<u8>,
    },
    /// The asker needs the whole list.
    Want { slot: Slot },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Hold a watch of its own, or close it.
    Own(bool),
    ToZone(Msg),
    /// The whole list, to one.
    Whole {
        to: Name,
        token: u64,
    },
    To {
        to: Name,
        msg: Msg,
    },
    /// This list came through the relay.
    Take {
        list: Vec<u8>,
        revision: u64,
    },
}

pub struct Relay {
    settings: Settings,
    slot: Slot,
    pub revision: u64,
    own: bool,
    holding: bool,
    heard: f64,
    fresh_until: f64,
    fresh_since: f64,
    next_beat: f64,
    /// This one's part of the spread, from 0 to 1.
    part: f64,
    wanted: f64,
}

impl Relay {
    pub fn new(settings: Settings, slot: Slot, revision: u64, part: f64, now: f64) -> Self {
        Relay {
            settings,
            slot,
            revision,
            own: true,
            holding: false,
            heard: now,
            fresh_until: f64::NEG_INFINITY,
            fresh_since: now,
            next_beat: now,
            part,
            wanted: f64::NEG_INFINITY,
        }
    }

    /// Whether a watch of its own stands.
    pub fn own(&self) -> bool {
        self.own
    }

    pub fn fresh(&self, now: f64) -> bool {
        now < self.fresh_until
    }

    pub fn next_due(&self) -> f64 {
        if self.holding || self.own {
            self.next_beat
        } else {
            self.fresh_until + self.settings.spread * self.part
        }
    }

    /// `token` is what it holds the duty under at this moment, if it does.
    pub fn tick(&mut self, token: Option<u64>, now: f64, out: &mut Vec<Act>) {
        self.holding = token.is_some();
        if let Some(token) = token.filter(|_| now >= self.next_beat) {
            let age = now - self.heard;
            out.push(Act::ToZone(Msg::Beat {
                slot: self.slot,
                token,
                revision: self.revision,
                age,
            }));
        }
        if now >= self.next_beat {
            self.next_beat = now + self.settings.beat;
        }
        let late = now >= self.fresh_until + self.settings.spread * self.part;
        // Not at the first beat: a holder has to be there for a while before it is relied on.
        let proven = self.fresh(now) && now >= self.fresh_since + self.settings.stale;
        let own = self.holding || if self.own { !proven } else { late };
        if own != self.own {
            self.own = own;
            self.heard = now;
            out.push(Act::Own(own));
        }
    }

    /// Its own watch said something; `list` where it was more than a sign of life.
    pub fn own_watch(
        &mut self,
        list: Option<(u64, bool, Vec<u8>)>,
        token: Option<u64>,
        now: f64,
        out: &mut Vec<Act>,
    ) {
        self.heard = now;
        let Some((revision, complete, list)) = list else {
            return;
        };
        let since = (!complete).then_some(self.revision);
        self.revision = revision;
        if let Some(token) = token {
            out.push(Act::ToZone(Msg::News {
                slot: self.slot,
                token,
                since,
                revision,
                list,
            }));
        }
    }

    /// A message of the zone, whose token the caller's fence has accepted.
    pub fn hear(&mut self, from: &str, msg: Msg, token: Option<u64>, now: f64, out: &mut Vec<Act>) {
        match msg {
            Msg::Want { .. } => {
                if let Some(token) = token {
                    out.push(Act::Whole {
                        to: from.into(),
                        token,
                    });
                }
            }
            _ if token.is_some() => {}
            Msg::Beat { revision, age, .. } => {
                if !(age >= 0.0 && age < self.settings.trust) {
                    return;
                }
                if revision > self.revision {
                    self.want(from, now, out);
                } else if revision == self.revision {
                    self.freshen(now);
                }
            }
            Msg::News {
                since,
                revision,
                list,
                ..
            } => {
                if revision <= self.revision {
                    return;
                }
                match since {
                    Some(since) if since > self.revision => self.want(from, now, out),
                    _ => {
                        self.revision = revision;
                        self.freshen(now);
                        out.push(Act::Take { list, revision });
                    }
                }
            }
        }
    }

    fn freshen(&mut self, now: f64) {
        if !self.fresh(now) {
            self.fresh_since = now;
        }
        self.fresh_until = now + self.settings.stale;
    }

    fn want(&mut self, from: &str, now: f64, out: &mut Vec<Act>) {
        if now > self.wanted + self.settings.beat {
            self.wanted = now;
            out.push(Act::To {
                to: from.into(),
                msg: Msg::Want { slot: self.slot },
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn relay(part: f64) -> Relay {
        let settings = Settings {
            beat: 0.5,
            stale: 1.6,
            spread: 0.5,
            trust: 5.0,
        };
        Relay::new(settings, 0, 10, part, 0.0)
    }

    fn beat(revision: u64, age: f64) -> Msg {
        Msg::Beat {
            slot: 0,
            token: 4,
            revision,
            age,
        }
    }

    #[test]
    fn it_closes_its_own_watch_once_the_relay_has_proved_itself_and_opens_it_in_time() {
        let (mut r, mut out) = (relay(0.8), Vec::new());
        let mut t = 0.0;
        while t < 4.0 {
            r.hear("h", beat(10, 0.1), None, t, &mut out);
            r.tick(None, t, &mut out);
            assert_eq!(r.own(), t < 1.6, "at {t}");
            t += 0.4;
        }
        assert_eq!(out, [Act::Own(false)]);
        out.clear();
        let last = t - 0.4;
        while !r.own() {
            t = r.next_due();
            r.tick(None, t, &mut out);
        }
        assert!(t <= last + 1.6 + 0.5, "open again {t} after {last}");
        assert_eq!(out, [Act::Own(true)]);
    }

    #[test]
    fn a_holder_whose_own_watch_is_silent_or_behind_is_no_source() {
        let (mut r, mut out) = (relay(0.0), Vec::new());
        for n in 0..10 {
            let t = n as f64 * 0.4;
            r.hear("h", beat(10, 6.0), None, t, &mut out);
            r.hear("h", beat(9, 0.0), None, t, &mut out);
            r.hear("h", beat(10, -1.0), None, t, &mut out);
            r.hear("h", beat(10, f64::NAN), None, t, &mut out);
            r.tick(None, t, &mut out);
        }
        assert!(r.own() && out.is_empty());
    }

    #[test]
    fn news_that_skip_some_ask_for_the_whole_and_older_ones_change_nothing() {
        let (mut r, mut out) = (relay(0.0), Vec::new());
        let news = |since, revision| Msg::News {
            slot: 0,
            token: 4,
            since,
            revision,
            list: vec![revision as u8],
        };
        r.hear("h", news(Some(12), 13), None, 0.0, &mut out);
        assert_eq!(
            out,
            [Act::To {
                to: "h".into(),
                msg: Msg::Want { slot: 0 }
            }]
        );
        out.clear();
        r.hear("h", news(None, 13), None, 0.1, &mut out);
        r.hear("h", news(Some(12), 13), None, 0.1, &mut out);
        r.hear("h", news(Some(13), 14), None, 0.2, &mut out);
        r.hear("h", news(Some(10), 11), None, 0.3, &mut out);
        let take = |revision| Act::Take {
            list: vec![revision as u8],
            revision,
        };
        assert_eq!(out, [take(13), take(14)]);
        out.clear();
        r.hear("x", Msg::Want { slot: 0 }, Some(9), 1.0, &mut out);
        assert_eq!(
            out,
            [Act::Whole {
                to: "x".into(),
                token: 9
            }]
        );
    }
}
