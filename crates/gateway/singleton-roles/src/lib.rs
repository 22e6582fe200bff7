//! Which limiter may do what only one may: a small group of voters keeps one replicated log, in it who is in
//! and who holds which slot of which duty under which token. Two state machines, [`voter::Voter`] and
//! [`holder::Holder`]: messages and times go in, [`Output`]s come out. No sockets, clock, disk or task. It
//! must never let two limiters hold one slot at one time, as far as clocks keep within the stated drift, and
//! never give a token that is not greater than all before it. docs/duties.md has the argument.

pub mod audit;
pub mod book;
pub mod fence;
pub mod holder;
pub mod lease;
pub mod log;
pub mod placement;
pub mod probe;
pub mod voter;
pub mod watch;

use serde::{Deserialize, Serialize};

/// A limiter's name, the same after a restart.
pub type Name = String;
/// A slot: one shard of one duty, numbered densely over all duties.
pub type Slot = u32;

/// One named duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duty {
    pub name: String,
    /// How many shards it has; with `by_zone` one for each zone, whatever stands here.
    #[serde(default = "one")]
    pub shards: u32,
    /// Shard n belongs to the n-th zone and is held by a limiter of it.
    #[serde(default)]
    pub by_zone: bool,
}

fn one() -> u32 {
    1
}

/// What the operators' file says. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub fleet: String,
    /// The limiters that vote: 3, 5 or 7 names.
    pub voters: Vec<Name>,
    pub zones: Vec<String>,
    pub duties: Vec<Duty>,
    /// How long a renewal holds, counted by the holder from before it asked.
    pub lease: f64,
    /// How much faster one machine's clock may run than another's, as a share.
    pub drift: f64,
    /// Time from one ask to the next.
    pub renew: f64,
    /// A holder that gets on with nothing for this long gives the slot up; 0 watches nobody.
    pub stall: f64,
    /// The voters' time step; a leader that is silent for 10 to 20 of them is replaced.
    pub tick: f64,
    /// Most slots that are asked back from living holders in one time step.
    pub moves: usize,
    /// A voter that starts waits this long for so many others that an older disk can't go unseen; then half
    /// of the others will do. Very long where a put-back disk is the greater danger.
    pub disk_wait: f64,
}

/// Most slots over all duties.
pub const MOST_SLOTS: u32 = 65_536;

impl Settings {
    /// What makes these settings unusable, with its remedy.
    pub fn check(&self) -> Result<(), String> {
        let n = self.voters.len();
        if !matches!(n, 3 | 5 | 7) {
            return Err(format!(
                "fleet.voters: {n} names; give 3, 5 or 7, an odd number over several machines"
            ));
        }
        for (i, v) in self.voters.iter().enumerate() {
            if self.voters[..i].contains(v) {
                return Err(format!(
                    "fleet.voters: {v} stands there twice; each voter is another limiter"
                ));
            }
        }
        let positive = [
            ("lease", self.lease),
            ("renew", self.renew),
            ("tick", self.tick),
            ("disk_wait", self.disk_wait),
        ];
        for (key, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return Err(format!("fleet.{key}: {value}; give seconds over 0"));
            }
        }
        if !(0.0..0.5).contains(&self.drift) {
            return Err(format!(
                "fleet.drift: {}; give a share from 0 to under 0.5",
                self.drift
            ));
        }
        if self.stall != 0.0 && (self.stall <= self.lease || self.stall.is_nan()) {
            return Err(format!(
                "fleet.stall: {}; give more than the lease, or 0 for none",
                self.stall
            ));
        }
        if self.lease < 3.0 * self.renew {
            return Err(format!(
                "fleet.lease: {} is shorter than three renewals of {}; lengthen it or renew more often",
                self.lease, self.renew
            ));
        }
        if self.lease < 2.0 * self.tick {
            return Err(format!(
                "fleet.lease: {} is under two ticks of {}",
                self.lease, self.tick
            ));
        }
        if self
            .duties
            .iter()
            .any(|d| d.shards == 0 || d.name.is_empty())
        {
            return Err("fleet.duties: a duty needs a name and a shard or more".into());
        }
        let slots: u64 = self.duties.iter().map(|d| self.shards(d) as u64).sum();
        if slots > MOST_SLOTS as u64 {
            return Err(format!(
                "fleet.duties: {slots} shards in all; the bound is {MOST_SLOTS}"
            ));
        }
        Ok(())
    }

    fn shards(&self, duty: &Duty) -> u32 {
        if duty.by_zone {
            self.zones.len() as u32
        } else {
            duty.shards
        }
    }

    pub fn slots(&self) -> u32 {
        self.duties.iter().map(|d| self.shards(d)).sum()
    }

    /// The first slot of a duty and how many it has.
    pub fn range(&self, duty: &str) -> Option<(Slot, u32)> {
        let mut first = 0;
        for d in &self.duties {
            let shards = self.shards(d);
            if d.name == duty {
                return Some((first, shards));
            }
            first += shards;
        }
        None
    }

    /// The duty's name, the shard, and the zone it is bound to.
    pub fn slot(&self, slot: Slot) -> (&str, u32, Option<&str>) {
        let mut first = 0;
        for d in &self.duties {
            let shards = self.shards(d);
            if slot < first + shards {
                let shard = slot - first;
                return (
                    &d.name,
                    shard,
                    d.by_zone.then(|| self.zones[shard as usize].as_str()),
                );
            }
            first += shards;
        }
        ("", slot, None)
    }

    /// How long the granting side waits after the last renewal before it takes a limiter's slots away.
    pub fn wait(&self) -> f64 {
        self.lease * (1.0 + self.drift) / (1.0 - self.drift)
    }
}

/// A limiter as its holder presents it. `run` differs with every start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Me {
    pub name: Name,
    pub run: u64,
    pub zone: String,
    pub machine: String,
}

/// A limiter asks to be kept: one message renews all that it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub me: Me,
    pub seq: u64,
    /// Of the list it last got; the answer repeats the list only if it changed.
    pub version: u64,
    /// Slots it stopped, each with its token, and whether it got on with nothing there.
    pub freed: Vec<(Slot, u64, bool)>,
    pub leaving: bool,
    /// It started and knows no tokens yet: its fence would take any.
    pub prime: bool,
    /// Slots whose holders it wants to know; a few.
    pub who: Vec<Slot>,
}

/// What a leader says to an ask, after a majority has confirmed that it leads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub seq: u64,
    pub version: u64,
    /// How far the leader's log was applied when it answered; never runs back.
    pub index: u64,
    pub list: Option<Vec<(Slot, u64)>>,
    /// Slots that another is better placed to hold: stop and say so.
    pub give_up: Vec<Slot>,
    /// Every slot's token, for one that asked to be primed.
    pub tokens: Option<Vec<u64>>,
    /// Who holds the slots it asked about.
    pub holders: Vec<(Slot, Name)>,
}

/// Where a voter's disk stands, as it says when it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub name: Name,
    pub disk: u64,
    pub starts: u64,
    /// Tells this start from another one of a copy of the disk.
    pub nonce: u64,
    /// Its term and how far its log reaches.
    pub term: u64,
    pub last: u64,
    /// It has a vote as far as it knows.
    pub voter: bool,
}

/// What another voter answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HelloBack {
    /// It has formed no group either; its own disk.
    Empty { disk: u64 },
    /// The group it belongs to as it was formed, what it holds of the asker's disk, and whose disk leads, as
    /// far as it knows, in which term.
    Formed {
        disk: u64,
        group: book::Group,
        judged: Judged,
        leader: (u64, u64),
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Judged {
    /// Nothing newer of this disk was seen.
    Fit,
    /// This disk is behind what was seen of it: it was put back.
    Old,
    /// This disk has no vote, as the name has or had another.
    Unknown,
}

/// Between limiters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    Raft {
        group: u64,
        message: log::Message,
    },
    Hello(Hello),
    /// To the hello of that disk with that nonce: an answer to an earlier start of it says nothing of this one.
    HelloBack {
        of: u64,
        nonce: u64,
        back: HelloBack,
    },
    Ask(Ask),
    Told {
        run: u64,
        told: Told,
    },
    /// Not the leader; perhaps this one is.
    Elsewhere {
        run: u64,
        seq: u64,
        leader: Option<Name>,
    },
    /// Two living processes have this name: neither holds anything.
    Doubled {
        run: u64,
    },
    /// Something changed for this limiter: ask now.
    Notice {
        run: u64,
    },
}

/// What a machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: Name,
        msg: Msg,
    },
    /// Put this on the disk, in order, with fsync, then say so by its number.
    Save(log::Batch),
    Began {
        slot: Slot,
        token: u64,
    },
    Ended {
        slot: Slot,
        token: u64,
    },
    Report {
        loud: bool,
        text: String,
    },
    /// Every slot's token as of after this limiter's start: its fence can be used.
    Tokens(Vec<u64>),
}

pub(crate) fn report(out: &mut Vec<Output>, loud: bool, text: String) {
    out.push(Output::Report { loud, text });
}
