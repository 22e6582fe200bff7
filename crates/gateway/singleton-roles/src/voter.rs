//! One voter: its part in the log, and, while it leads, who is in and who holds what. Forming the group,
//! a lost disk, an older disk put back and the granter's side of the leases are here. It must never send
//! what says that something is on its disk before it is, never renew a lease before a majority confirmed
//! that it leads, and never vote with a disk that may have forgotten a vote.

use crate::book::{Book, Command, Group};
use crate::lease::Granter;
use crate::log::{Batch, Conf, Entry, Hard, Log, Message, Meta, Saved, Seen, Snap};
use crate::placement::Placement;
use crate::{report, Ask, Hello, HelloBack, Judged, Msg, Name, Output, Settings, Slot, Told};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, EntryType};
use raft::{Config, RawNode, StateRole};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Entries kept behind the snapshot until the next one is made.
const KEPT: u64 = 2_000;
/// Asks that wait for a majority's word; more are dropped, their senders ask again.
const MOST_ASKS: usize = 8_192;
/// Slots that one ask may be about.
const MOST_WHO: usize = 64;
/// Commands in one entry.
const MOST_COMMANDS: usize = 1_024;
const ELECTION: usize = 10;

enum Stage {
    /// No group yet: what others said of their disks.
    Forming(BTreeMap<Name, u64>),
    /// A group, but whether this disk is the newest of its voter has to be heard from others.
    Asking {
        fit: BTreeSet<u64>,
        leader: (u64, u64),
        since: f64,
    },
    /// This disk has no vote; the leader may let it in.
    Outside,
    Voting,
}

/// The number of a question to the majority, when it went out, and the asks that wait for it.
type Reading = (u64, f64, Vec<(Ask, f64)>);

/// What a leader holds beside the log; a new leader begins anew.
struct Lead {
    term: u64,
    since: f64,
    /// An entry of its own term is applied: the book is up to date.
    ready: bool,
    granter: Granter<f64>,
    /// Asks that came in, and those that wait for the majority's word under this number.
    asks: Vec<(Ask, f64)>,
    reading: Option<Reading>,
    todo: VecDeque<Command>,
    doing: Option<(u64, f64)>,
    placement: Placement,
    /// Slots asked back from living holders.
    giving: BTreeMap<Slot, u64>,
    /// Who got on with nothing in a slot, and until when it doesn't get it again.
    barred: BTreeMap<(Slot, Name), f64>,
    /// When each run of a name last asked.
    runs: BTreeMap<(Name, u64), f64>,
    replaced: BTreeMap<u64, f64>,
    /// Someone was told that its list changed; it hears of it now.
    changed: BTreeSet<u64>,
    /// When a voter was last let in; one at a time.
    let_in: f64,
    /// Sessions whose end is under way in the log: not renewed any more, however alive they are.
    ending: BTreeSet<u64>,
}

pub struct Voter {
    settings: Settings,
    name: Name,
    rng: Xoshiro256PlusPlus,
    meta: Meta,
    stage: Stage,
    raw: Option<RawNode<Log>>,
    pub book: Book,
    applied: u64,
    saves: u64,
    /// The last write that an answer to a heartbeat waits for: it changed the term, the vote or the disk itself.
    binding_save: u64,
    /// What was known of the others' disks when the head was last written.
    seen_written: BTreeMap<u64, Seen>,
    /// Written, not yet on the disk: the library's number and what may be sent after it.
    unsaved: VecDeque<(u64, u64, Vec<Message>)>,
    batch: Batch,
    lead: Option<Lead>,
    next_tick: f64,
    next_hello: f64,
    numbers: u64,
    /// Tells this start from any other with the same disk.
    nonce: u64,
    /// The voters changed since the last snapshot.
    changed: bool,
    /// A snapshot that is under way to the disk: the library's number, and its last entry.
    snap_taken: Option<(u64, u64)>,
    now: f64,
}

impl Voter {
    /// Starts with what the disk held. Saves that it started before it says anything.
    pub fn new(
        settings: Settings,
        name: Name,
        saved: Saved,
        seed: u64,
        now: f64,
        out: &mut Vec<Output>,
    ) -> Result<Self, String> {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut meta = saved.meta.clone();
        let log = Log::new(&saved).ok_or("the voter's store has a gap in its log; move it away")?;
        if meta.disk == 0 {
            meta.disk = rng.random_range(1..u64::MAX);
            report(
                out,
                true,
                format!("an empty disk: voter {name} has no vote until it is let in"),
            );
        }
        meta.starts += 1;
        let nonce = rng.random();
        let mut voter = Voter {
            settings,
            name,
            rng,
            stage: Stage::Forming(BTreeMap::new()),
            raw: None,
            book: Book::default(),
            applied: 0,
            saves: 0,
            binding_save: 0,
            seen_written: BTreeMap::new(),
            unsaved: VecDeque::new(),
            batch: Batch {
                meta: Some(meta.clone()),
                ..Default::default()
            },
            lead: None,
            next_tick: now,
            next_hello: now,
            numbers: seed,
            nonce,
            changed: false,
            snap_taken: None,
            now,
            meta,
        };
        if voter.meta.group.is_some() {
            voter.open(log)?;
            voter.stage = Stage::Asking {
                fit: BTreeSet::new(),
                leader: (0, 0),
                since: now,
            };
        }
        voter.save(0, Vec::new(), out);
        Ok(voter)
    }

    fn open(&mut self, log: Log) -> Result<(), String> {
        let group = self.meta.group.clone().unwrap_or_default();
        self.book = if log.snap.data.is_empty() {
            Book::new(&self.settings, &group)
        } else {
            let book = postcard::from_bytes::<Book>(&log.snap.data);
            book.map_err(|e| {
                format!("the voter's snapshot can't be read ({e}); move the store away")
            })?
        };
        let slots = self.settings.slots() as usize;
        if self.book.slots.len() != slots {
            let held = self.book.slots.len();
            return Err(format!(
                "the store has {held} slots, fleet.duties {slots}: duties can't be changed yet"
            ));
        }
        self.applied = log.snap.index;
        let config = Config {
            id: self.meta.disk,
            election_tick: ELECTION,
            heartbeat_tick: 2,
            // Drawn anew from the seed in `tick`, before the library looks at it.
            min_election_tick: ELECTION,
            max_election_tick: 2 * ELECTION,
            applied: self.applied,
            max_size_per_msg: 64 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        self.raw =
            Some(RawNode::new(&config, log, &logger).map_err(|e| format!("the voter's log: {e}"))?);
        Ok(())
    }

    /// A group's number, from who formed it.
    fn group(&self) -> u64 {
        self.meta.group.as_ref().map_or(0, |g| {
            xxh3_64(&postcard::to_stdvec(g).unwrap_or_default())
                ^ xxh3_64(self.settings.fleet.as_bytes())
        })
    }

    pub fn next_due(&self) -> f64 {
        self.next_tick
    }

    /// Whether it leads, as it believes.
    pub fn leads(&self) -> bool {
        self.lead.as_ref().is_some_and(|l| l.ready)
    }

    pub fn votes(&self) -> bool {
        matches!(self.stage, Stage::Voting)
    }

    pub fn term(&self) -> u64 {
        self.raw.as_ref().map_or(0, |r| r.raft.term)
    }

    pub fn disk(&self) -> u64 {
        self.meta.disk
    }

    /// A write that answers to heartbeats wait for.
    fn save(&mut self, ready: u64, after: Vec<Message>, out: &mut Vec<Output>) {
        self.binding_save = self.saves + 1;
        self.write(ready, after, out);
    }

    fn write(&mut self, ready: u64, after: Vec<Message>, out: &mut Vec<Output>) {
        self.saves += 1;
        let mut batch = std::mem::take(&mut self.batch);
        batch.number = self.saves;
        if let Some(meta) = &batch.meta {
            self.seen_written = meta.seen.clone();
        }
        self.unsaved.push_back((self.saves, ready, after));
        out.push(Output::Save(batch));
    }

    /// What may be sent after the last write, while one is under way that answers to heartbeats wait for. Entries
    /// are none: such an answer says only that this voter follows the leader of the term. So a disk that stands
    /// still costs no lease that is held, only new grants.
    fn binding_write(&mut self) -> Option<&mut Vec<Message>> {
        let first = self.unsaved.front()?.0;
        let (_, _, after) = self.unsaved.back_mut()?;
        (first <= self.binding_save).then_some(after)
    }

    /// All writes up to this one are on the disk.
    pub fn saved(&mut self, number: u64, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        while self.unsaved.front().is_some_and(|u| u.0 <= number) {
            let Some((_, ready, after)) = self.unsaved.pop_front() else {
                break;
            };
            if let Some(raw) = self.raw.as_mut().filter(|_| ready > 0) {
                raw.on_persist_ready(ready);
                // Only on the disk does a snapshot count as applied.
                if let Some((_, index)) = self.snap_taken.filter(|s| s.0 <= ready) {
                    self.snap_taken = None;
                    raw.advance_apply_to(index);
                }
            }
            self.send_raft(after, out);
        }
        self.pump(out);
    }

    /// The disk can't be written: it says nothing more.
    pub fn failed(&mut self, out: &mut Vec<Output>) {
        self.raw = None;
        self.lead = None;
        self.unsaved.clear();
        self.stage = Stage::Outside;
        self.meta.disk = 0;
        report(
            out,
            true,
            format!(
                "voter {} can't write its disk and has stopped voting",
                self.name
            ),
        );
    }

    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        if now < self.next_tick || self.meta.disk == 0 {
            return;
        }
        // Half more or less by chance, so that voters which started together don't stand for election together.
        self.next_tick = now + self.settings.tick * (0.5 + self.rng.random::<f64>());
        if !self.votes() {
            if now >= self.next_hello {
                self.next_hello = now + self.settings.tick * 5.0 * (0.5 + self.rng.random::<f64>());
                self.say_hello(out);
            }
            return;
        }
        if let Some(raw) = &mut self.raw {
            if raw.raft.election_elapsed == 0 && raw.raft.state != StateRole::Leader {
                let ticks = self.rng.random_range(ELECTION..2 * ELECTION);
                raw.raft.set_randomized_election_timeout(ticks);
            }
            raw.tick();
        }
        self.pump(out);
        self.keep_house(out);
        self.read();
        self.pump(out);
    }

    fn say_hello(&mut self, out: &mut Vec<Output>) {
        // Not before the start itself is on the disk.
        if !self.unsaved.is_empty() {
            return;
        }
        let (term, last) = self
            .raw
            .as_ref()
            .map_or((0, 0), |r| (r.store().hard.term, r.store().last()));
        let (disk, starts, nonce) = (self.meta.disk, self.meta.starts, self.nonce);
        let voter = matches!(self.stage, Stage::Asking { .. });
        let hello = Hello {
            name: self.name.clone(),
            disk,
            starts,
            nonce,
            term,
            last,
            voter,
        };
        for to in self.settings.voters.iter().filter(|v| **v != self.name) {
            out.push(Output::Send {
                to: to.clone(),
                msg: Msg::Hello(hello.clone()),
            });
        }
    }

    pub fn hear(&mut self, from: &str, msg: Msg, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        if self.meta.disk == 0 {
            return;
        }
        match msg {
            Msg::Raft { group, message } => self.hear_raft(group, message, out),
            Msg::Hello(hello) => self.hear_hello(from, hello, out),
            Msg::HelloBack { of, nonce, back } if of == self.meta.disk && nonce == self.nonce => {
                self.hear_back(from, back, out);
            }
            Msg::Ask(ask) => self.hear_ask(ask, out),
            _ => {}
        }
        self.pump(out);
    }

    fn hear_raft(&mut self, group: u64, message: Message, out: &mut Vec<Output>) {
        let listens = matches!(self.stage, Stage::Voting | Stage::Outside);
        if !listens || group != self.group() || message.to != self.meta.disk {
            return;
        }
        let Some(m) = message.to_raft() else { return };
        self.see(&message);
        // A leader never says in a heartbeat that more is settled than this disk acknowledged to it.
        let beat = message.kind == raft::eraftpb::MessageType::MsgHeartbeat as u8;
        let behind =
            |r: &RawNode<Log>| message.term >= r.raft.term && message.commit > r.store().last();
        if beat && self.raw.as_ref().is_some_and(behind) && self.votes() {
            let what = "acknowledged entries that its disk does not have; it starts empty";
            report(out, true, format!("voter {} {what}", self.name));
            self.start_empty(out);
            return;
        }
        if let Some(raw) = &mut self.raw {
            let _ = raw.step(m);
        }
    }

    /// What a message proves of its sender's disk: its term was written before it was said, an acknowledged
    /// entry before that, and of a leader's log as much as it says is settled: no more than it has written.
    fn see(&mut self, message: &Message) {
        use raft::eraftpb::MessageType as Kind;
        let kind = message.kind;
        if kind == Kind::MsgRequestPreVote as u8 || kind == Kind::MsgRequestPreVoteResponse as u8 {
            return;
        }
        let last = if kind == Kind::MsgAppendResponse as u8 && !message.reject {
            message.index
        } else if kind == Kind::MsgAppend as u8 {
            message.commit
        } else {
            0
        };
        let seen = self.meta.seen.entry(message.from).or_default();
        if message.term > seen.term {
            (seen.term, seen.last) = (message.term, last);
        } else if message.term == seen.term {
            seen.last = seen.last.max(last);
        }
    }

    fn hear_hello(&mut self, from: &str, hello: Hello, out: &mut Vec<Output>) {
        if hello.name != from || !self.settings.voters.contains(&hello.name) {
            report(
                out,
                true,
                format!(
                    "{from} says it votes as {}, which the file does not list",
                    hello.name
                ),
            );
            return;
        }
        let Some(group) = self.meta.group.clone() else {
            let back = HelloBack::Empty {
                disk: self.meta.disk,
            };
            out.push(Output::Send {
                to: from.into(),
                msg: Msg::HelloBack {
                    of: hello.disk,
                    nonce: hello.nonce,
                    back,
                },
            });
            if let Stage::Forming(heard) = &mut self.stage {
                if !hello.voter {
                    heard.insert(hello.name, hello.disk);
                }
            }
            self.form(out);
            return;
        };
        if matches!(self.stage, Stage::Outside) {
            return;
        }
        let group_of = |disk: u64| group.iter().any(|g| g.0 == disk);
        let member = group_of(hello.disk) || self.book.voters.contains_key(&hello.disk);
        let gone = !self.book.voters.is_empty() && !self.book.voters.contains_key(&hello.disk);
        let seen = self.meta.seen.get(&hello.disk).copied().unwrap_or_default();
        let again = hello.starts == seen.starts && hello.nonce == seen.nonce;
        // Acknowledged entries are only ever taken back in a later term.
        let behind = hello.term < seen.term || (hello.term == seen.term && hello.last < seen.last);
        let judged = if !member || (gone && self.votes() && self.applied > 1) {
            Judged::Unknown
        } else if (hello.starts <= seen.starts && !again) || (hello.voter && behind) {
            Judged::Old
        } else {
            Judged::Fit
        };
        let leader = self
            .raw
            .as_ref()
            .map_or((0, 0), |r| match r.raft.leader_id {
                0 => (0, 0),
                id => (r.raft.term, id),
            });
        let back = HelloBack::Formed {
            disk: self.meta.disk,
            group,
            judged,
            leader,
        };
        let msg = Msg::HelloBack {
            of: hello.disk,
            nonce: hello.nonce,
            back,
        };
        if judged == Judged::Fit && !again {
            // Remembered on the disk; the word goes out with the next hello, when that is done.
            let seen = self.meta.seen.entry(hello.disk).or_default();
            (seen.starts, seen.nonce) = (hello.starts, hello.nonce);
            self.batch.meta = Some(self.meta.clone());
            self.save(0, Vec::new(), out);
            return;
        }
        out.push(Output::Send {
            to: from.into(),
            msg,
        });
        if judged == Judged::Unknown && !hello.voter {
            self.let_in(hello.name, hello.disk, out);
        }
    }

    /// The leader swaps a voter's lost disk for its new one, through both majorities.
    fn let_in(&mut self, name: Name, disk: u64, out: &mut Vec<Output>) {
        let Some(lead) = self
            .lead
            .as_mut()
            .filter(|l| l.ready && self.now > l.let_in + self.settings.lease)
        else {
            return;
        };
        let Some(raw) = self.raw.as_mut() else { return };
        lead.let_in = self.now;
        let old = self.book.voters.iter().find(|v| *v.1 == name).map(|v| *v.0);
        let single = |id: u64, kind: ConfChangeType| {
            let mut c = ConfChangeSingle {
                node_id: id,
                ..Default::default()
            };
            c.set_change_type(kind);
            c
        };
        let mut change = ConfChangeV2::default();
        let mut changes = vec![single(disk, ConfChangeType::AddNode)];
        changes.extend(old.map(|old| single(old, ConfChangeType::RemoveNode)));
        change.set_changes(changes.into());
        let context = postcard::to_stdvec(&(name.clone(), disk)).unwrap_or_default();
        if raw.propose_conf_change(context, change).is_ok() {
            report(
                out,
                true,
                format!("voter {name} comes with another disk and is let in anew"),
            );
        }
    }

    fn hear_back(&mut self, from: &str, back: HelloBack, out: &mut Vec<Output>) {
        match back {
            HelloBack::Empty { disk } => {
                if let Stage::Forming(heard) = &mut self.stage {
                    heard.insert(from.into(), disk);
                }
                self.form(out);
            }
            HelloBack::Formed {
                disk,
                group,
                judged,
                leader,
            } => match (&mut self.stage, judged) {
                (Stage::Forming(_), _) if group.contains(&(self.meta.disk, self.name.clone())) => {
                    self.begin(group, out);
                }
                (Stage::Forming(_), Judged::Unknown) => {
                    report(
                        out,
                        true,
                        format!(
                            "{from} knows another disk of voter {}; this one waits",
                            self.name
                        ),
                    );
                    // Adopts the group's number, so that it understands the leader that lets it in.
                    self.meta.group = Some(group);
                    self.batch.meta = Some(self.meta.clone());
                    self.save(0, Vec::new(), out);
                    self.join(out);
                }
                (
                    Stage::Asking {
                        fit, leader: known, ..
                    },
                    Judged::Fit,
                ) => {
                    fit.insert(disk);
                    *known = leader.max(*known);
                    self.trust(out);
                }
                (Stage::Asking { .. }, _) => {
                    let what = if judged == Judged::Old {
                        "is older than what was seen of it"
                    } else {
                        "has no vote"
                    };
                    report(
                        out,
                        true,
                        format!(
                            "voter {}: {from} says this disk {what}; it starts empty",
                            self.name
                        ),
                    );
                    self.start_empty(out);
                }
                _ => {}
            },
        }
    }

    /// Whether this disk is the newest of its voter. So many others have to say so that no majority with it is
    /// left without one of them, and the leader, which counts what this disk acknowledged before its start.
    /// Where those are gone for longer than the stated wait, half of the others are believed.
    fn trust(&mut self, out: &mut Vec<Output>) {
        let Stage::Asking { fit, leader, since } = &self.stage else {
            return;
        };
        let n = self.settings.voters.len();
        let waited = self.now > since + self.settings.disk_wait;
        let leader = leader.1 == 0 || leader.1 == self.meta.disk || fit.contains(&leader.1);
        if fit.len() >= n - n / 2 && leader {
            report(
                out,
                false,
                format!("voter {}: its disk is the newest, it votes", self.name),
            );
        } else if fit.len() >= n / 2 && waited {
            let heard = fit.len();
            report(
                out,
                true,
                format!(
                    "voter {}: {heard} others found its disk fit, the rest is gone",
                    self.name
                ),
            );
        } else {
            return;
        }
        self.stage = Stage::Voting;
    }

    /// A disk that was put back is no voter's any more: a new one takes its place, and waits to be let in.
    fn start_empty(&mut self, out: &mut Vec<Output>) {
        self.raw = None;
        self.lead = None;
        self.unsaved
            .iter_mut()
            .for_each(|u| *u = (u.0, 0, Vec::new()));
        self.snap_taken = None;
        self.meta = Meta {
            disk: self.rng.random_range(1..u64::MAX),
            starts: 1,
            ..Default::default()
        };
        self.nonce = self.rng.random();
        self.book = Book::default();
        self.applied = 0;
        self.stage = Stage::Forming(BTreeMap::new());
        self.batch = Batch {
            wipe: true,
            meta: Some(self.meta.clone()),
            ..Default::default()
        };
        self.save(0, Vec::new(), out);
    }

    /// An outsider listens as one with an empty log: it votes for nobody until the group's change names it.
    fn join(&mut self, out: &mut Vec<Output>) {
        if let Err(e) = self.open(Log::default()) {
            report(out, true, e);
        }
        self.book.voters.clear();
        self.stage = Stage::Outside;
    }

    /// All voters of the file have empty disks: they form the group, each for itself, alike.
    fn form(&mut self, out: &mut Vec<Output>) {
        let Stage::Forming(heard) = &self.stage else {
            return;
        };
        let others = self.settings.voters.iter().filter(|v| **v != self.name);
        let group: Option<Vec<_>> = others
            .map(|v| heard.get(v).map(|disk| (*disk, v.clone())))
            .collect();
        let Some(mut group) = group else { return };
        group.push((self.meta.disk, self.name.clone()));
        group.sort();
        self.begin(group, out);
    }

    fn begin(&mut self, group: Group, out: &mut Vec<Output>) {
        let book = Book::new(&self.settings, &group);
        let data = postcard::to_stdvec(&book).unwrap_or_default();
        let conf = Conf::of(group.iter().map(|g| g.0).collect());
        let snap = Snap {
            index: 1,
            term: 1,
            conf,
            data,
        };
        let hard = Hard {
            term: 1,
            vote: 0,
            commit: 1,
        };
        self.meta.group = Some(group);
        let saved = Saved {
            meta: self.meta.clone(),
            hard,
            snap: snap.clone(),
            entries: Vec::new(),
        };
        let Some(log) = Log::new(&saved) else { return };
        if let Err(e) = self.open(log) {
            report(out, true, e);
            return;
        }
        self.batch.meta = Some(self.meta.clone());
        self.batch.hard = Some(hard);
        self.batch.snap = Some(snap);
        self.save(0, Vec::new(), out);
        self.stage = Stage::Voting;
        report(
            out,
            false,
            format!("voter {}: the group is formed", self.name),
        );
    }

    fn send_raft(&self, messages: Vec<Message>, out: &mut Vec<Output>) {
        let group = self.group();
        for message in messages {
            let to = self.book.voters.get(&message.to).cloned();
            let formed = || {
                self.meta
                    .group
                    .iter()
                    .flatten()
                    .find(|g| g.0 == message.to)
                    .map(|g| g.1.clone())
            };
            if let Some(to) = to.or_else(formed) {
                out.push(Output::Send {
                    to,
                    msg: Msg::Raft { group, message },
                });
            }
        }
    }

    /// Takes what the library has ready until it has nothing more.
    fn pump(&mut self, out: &mut Vec<Output>) {
        while let Some(raw) = self.raw.as_mut().filter(|r| r.has_ready()) {
            let hard_before = raw.store().hard;
            let mut ready = raw.ready();
            let mut now_out: Vec<Message> =
                ready.take_messages().iter().map(Message::from).collect();
            // Others take what a leader says is settled for what its own disk holds.
            let on_disk = raw.raft.raft_log.persisted;
            now_out
                .iter_mut()
                .for_each(|message| message.say_settled_up_to(on_disk));
            let after: Vec<Message> = ready
                .take_persisted_messages()
                .iter()
                .map(Message::from)
                .collect();
            let (answers, after): (Vec<Message>, Vec<Message>) =
                after.into_iter().partition(Message::answers_heartbeat);
            let reads = ready.take_read_states();
            let committed = ready.take_committed_entries();
            let number = ready.number();
            // What was learnt of the others' disks is written before it is forgotten, but nothing waits for it.
            let learnt = self.meta.seen != self.seen_written;
            let mut write = !after.is_empty() || (!answers.is_empty() && learnt);
            let mut binding = false;
            if !ready.snapshot().is_empty() {
                let snap = Snap::from_raft(ready.snapshot());
                if let Ok(book) = postcard::from_bytes(&snap.data) {
                    self.book = book;
                }
                if matches!(self.stage, Stage::Outside)
                    && self.book.voters.contains_key(&self.meta.disk)
                {
                    self.stage = Stage::Voting;
                }
                self.applied = snap.index;
                self.snap_taken = Some((number, snap.index));
                let log = raw.mut_store();
                log.conf = snap.conf.clone();
                log.cut(snap.clone());
                self.batch.snap = Some(snap);
                (write, binding) = (true, true);
            }
            if !ready.entries().is_empty() {
                raw.mut_store().append(ready.entries());
                self.batch.entries = ready.entries().iter().map(Entry::from).collect();
                write = true;
            }
            if let Some(hs) = ready.hs() {
                let hard = Hard {
                    term: hs.term,
                    vote: hs.vote,
                    commit: hs.commit,
                };
                raw.mut_store().hard = hard;
                self.batch.hard = Some(hard);
                binding |= (hard.term, hard.vote) != (hard_before.term, hard_before.vote);
            }
            write |= ready.must_sync();
            raw.advance_append_async(ready);
            if write {
                self.batch.meta = Some(self.meta.clone());
                match binding {
                    true => self.save(number, after, out),
                    false => self.write(number, after, out),
                }
            } else if let Some(last) = self.unsaved.back_mut() {
                // Nothing of its own to write: it is done when the writes before it are.
                last.1 = number;
            } else {
                raw.on_persist_ready(number);
            }
            match self.binding_write() {
                Some(waiting) => waiting.extend(answers),
                None => now_out.extend(answers),
            }
            self.send_raft(now_out, out);
            self.take_lead(out);
            let applies = !committed.is_empty();
            for entry in committed {
                self.apply(&entry, out);
            }
            if let Some(raw) = self.raw.as_mut().filter(|_| applies) {
                raw.advance_apply_to(self.applied);
            }
            for read in reads {
                self.confirmed(&read.request_ctx, out);
            }
            self.shorten();
        }
    }

    fn take_lead(&mut self, out: &mut Vec<Output>) {
        let Some(raw) = &self.raw else { return };
        let (leads, term) = (raw.raft.state == StateRole::Leader, raw.raft.term);
        if !leads {
            self.lead = None;
        } else if self.lead.as_ref().is_none_or(|l| l.term != term) {
            report(
                out,
                false,
                format!("voter {} leads in term {term}", self.name),
            );
            self.lead = Some(Lead {
                term,
                since: self.now,
                ready: false,
                granter: Granter::default(),
                asks: Vec::new(),
                reading: None,
                todo: VecDeque::new(),
                doing: None,
                placement: Placement::new(&self.settings),
                giving: BTreeMap::new(),
                barred: BTreeMap::new(),
                runs: BTreeMap::new(),
                replaced: BTreeMap::new(),
                changed: BTreeSet::new(),
                let_in: f64::NEG_INFINITY,
                ending: BTreeSet::new(),
            });
        }
    }

    fn apply(&mut self, entry: &raft::eraftpb::Entry, out: &mut Vec<Output>) {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryConfChangeV2 => {
                let Ok(change) = ConfChangeV2::parse_from_bytes(entry.get_data()) else {
                    return;
                };
                if let Some(raw) = &mut self.raw {
                    if let Ok(conf) = raw.apply_conf_change(&change) {
                        raw.mut_store().conf = Conf::from_raft(&conf);
                    }
                }
                self.changed = true;
                if let Ok((name, disk)) = postcard::from_bytes::<(Name, u64)>(entry.get_context()) {
                    self.book.voters.retain(|_, n| *n != name);
                    self.book.voters.insert(disk, name);
                }
                if matches!(self.stage, Stage::Outside)
                    && self.book.voters.contains_key(&self.meta.disk)
                {
                    self.stage = Stage::Voting;
                    report(
                        out,
                        true,
                        format!("voter {}: let in anew, it votes", self.name),
                    );
                }
            }
            _ if entry.get_data().is_empty() => {
                if let Some(lead) = self
                    .lead
                    .as_mut()
                    .filter(|l| l.term == entry.term && !l.ready)
                {
                    lead.ready = true;
                    lead.since = self.now;
                    lead.granter =
                        Granter::takes_over(self.book.sessions.keys().copied(), self.now);
                    let replaced = self.book.sessions.iter().filter(|s| s.1.replaced);
                    lead.replaced = replaced.map(|(id, _)| (*id, self.now)).collect();
                }
            }
            _ => {
                let Ok((number, commands)) =
                    postcard::from_bytes::<(u64, Vec<Command>)>(entry.get_data())
                else {
                    report(
                        out,
                        true,
                        format!("entry {} of the log can't be read", entry.index),
                    );
                    return;
                };
                for command in &commands {
                    let changed = self.book.apply(entry.index, command);
                    let Some(lead) = &mut self.lead else { continue };
                    match command {
                        Command::Enter { .. } => {
                            if let Some(id) = changed {
                                lead.granter.renew(id, self.now);
                            }
                            for (id, _) in self.book.sessions.iter().filter(|s| s.1.replaced) {
                                lead.replaced.entry(*id).or_insert(self.now);
                            }
                        }
                        Command::Expire { session } => {
                            lead.granter.forget(*session);
                            lead.ending.remove(session);
                            lead.replaced.remove(session);
                        }
                        Command::Free { slot, .. } => {
                            lead.giving.remove(slot);
                        }
                        Command::Double { name } => {
                            report(
                                out,
                                true,
                                format!("two living processes have the name {name}: neither holds"),
                            );
                        }
                        _ => {}
                    }
                    lead.changed.extend(changed);
                }
                if let Some(lead) = self
                    .lead
                    .as_mut()
                    .filter(|l| l.doing.is_some_and(|d| d.0 == number))
                {
                    lead.doing = None;
                    self.keep_house(out);
                }
            }
        }
    }

    /// A snapshot of the book stands for the entries up to here, once there are many.
    fn shorten(&mut self) {
        let applied = self.applied;
        // Who was just let in takes no snapshot that does not name it.
        let changed = std::mem::take(&mut self.changed);
        let Some(raw) = self.raw.as_mut() else { return };
        let log = raw.mut_store();
        if (applied < log.first() + KEPT && !changed)
            || applied < log.first()
            || applied > log.last()
        {
            return;
        }
        let (Ok(term), Ok(data)) = (
            raft::Storage::term(log, applied),
            postcard::to_stdvec(&self.book),
        ) else {
            return;
        };
        let snap = Snap {
            index: applied,
            term,
            conf: log.conf.clone(),
            data,
        };
        log.cut(snap.clone());
        self.batch.snap = Some(snap);
    }

    fn hear_ask(&mut self, ask: Ask, out: &mut Vec<Output>) {
        let (now, me) = (self.now, ask.me.clone());
        let Some(lead) = self.lead.as_mut().filter(|l| l.ready) else {
            let leader = self.raw.as_ref().map_or(0, |r| r.raft.leader_id);
            let leader = self
                .book
                .voters
                .get(&leader)
                .filter(|n| **n != self.name)
                .cloned();
            let msg = Msg::Elsewhere {
                run: me.run,
                seq: ask.seq,
                leader,
            };
            out.push(Output::Send { to: me.name, msg });
            return;
        };
        if lead.asks.len() >= MOST_ASKS {
            return;
        }
        lead.runs.insert((me.name, me.run), now);
        lead.asks.push((ask, now));
        self.read();
    }

    /// Asks the other voters whether this one still leads, once for all asks that wait.
    fn read(&mut self) {
        let Some(lead) = self.lead.as_mut().filter(|l| l.ready) else {
            return;
        };
        let lost = lead
            .reading
            .as_ref()
            .is_some_and(|r| self.now > r.1 + self.settings.tick * 4.0);
        if lead.asks.is_empty() || (lead.reading.is_some() && !lost) {
            return;
        }
        self.numbers = self.numbers.wrapping_add(1);
        lead.reading = Some((self.numbers, self.now, std::mem::take(&mut lead.asks)));
        if let Some(raw) = &mut self.raw {
            raw.read_index(self.numbers.to_le_bytes().to_vec());
        }
    }

    /// A majority confirmed that it led after these asks had come.
    fn confirmed(&mut self, context: &[u8], out: &mut Vec<Output>) {
        let Some(lead) = self.lead.as_mut().filter(|l| l.ready) else {
            return;
        };
        if lead
            .reading
            .as_ref()
            .is_none_or(|r| r.0.to_le_bytes() != context)
        {
            return;
        }
        let Some((_, _, asks)) = lead.reading.take() else {
            return;
        };
        for (ask, received) in asks {
            self.grant(ask, received, out);
        }
        self.keep_house(out);
        self.read();
    }

    fn grant(&mut self, ask: Ask, received: f64, out: &mut Vec<Output>) {
        let (now, index) = (self.now, self.applied);
        let Some(lead) = &mut self.lead else { return };
        let me = &ask.me;
        for (slot, token, stuck) in &ask.freed {
            let held = self
                .book
                .slots
                .get(*slot as usize)
                .is_some_and(|h| h.token == *token && h.session > 0);
            let command = Command::Free {
                slot: *slot,
                token: *token,
            };
            if held && !lead.todo.contains(&command) {
                lead.todo.push_back(command);
                if *stuck {
                    lead.barred
                        .insert((*slot, me.name.clone()), now + self.settings.stall * 4.0);
                    let (duty, shard, _) = self.settings.slot(*slot);
                    report(
                        out,
                        true,
                        format!(
                            "{} got on with nothing in {duty} {shard}; another takes it",
                            me.name
                        ),
                    );
                }
            }
        }
        if self.book.doubled.contains(&me.name) {
            out.push(Output::Send {
                to: me.name.clone(),
                msg: Msg::Doubled { run: me.run },
            });
            return;
        }
        let Some(session) = self.book.session(&me.name, me.run) else {
            let enter = Command::Enter {
                name: me.name.clone(),
                run: me.run,
                zone: me.zone.clone(),
                machine: me.machine.clone(),
            };
            let gone = self
                .book
                .sessions
                .iter()
                .find(|s| s.1.name == me.name && s.1.run == me.run);
            if let Some((id, _)) = gone {
                // Replaced by a later run, and still there when its lease is long over: both live.
                let since = lead.replaced.get(id).copied().unwrap_or(lead.since);
                let other = lead.runs.iter().any(|((n, run), at)| {
                    *n == me.name && *run != me.run && *at > now - self.settings.lease
                });
                let double = Command::Double {
                    name: me.name.clone(),
                };
                if other
                    && received > since + self.settings.renew * 2.0
                    && !lead.todo.contains(&double)
                {
                    lead.todo.push_back(double);
                }
                return;
            }
            if !ask.leaving && !lead.todo.contains(&enter) {
                lead.todo.push_back(enter);
            }
            return;
        };
        if ask.leaving {
            lead.ending.insert(session);
        }
        // Its end may be in the log already: what is renewed now would be granted to another meanwhile.
        if lead.ending.contains(&session) {
            return;
        }
        lead.granter.renew(session, received);
        lead.changed.remove(&session);
        let version = self.book.versions.get(&session).copied().unwrap_or(0);
        let list = (version != ask.version).then(|| self.book.held_by(session));
        let give_up = lead
            .giving
            .iter()
            .filter(|g| *g.1 == session)
            .map(|g| *g.0)
            .collect();
        let tokens = ask
            .prime
            .then(|| self.book.slots.iter().map(|h| h.token).collect());
        let holder = |slot: &Slot| {
            let held = self.book.slots.get(*slot as usize)?;
            let of = self.book.sessions.get(&held.session)?;
            Some((*slot, of.name.clone()))
        };
        let holders = ask.who.iter().take(MOST_WHO).filter_map(holder).collect();
        let told = Told {
            seq: ask.seq,
            version,
            index,
            list,
            give_up,
            tokens,
            holders,
        };
        out.push(Output::Send {
            to: me.name.clone(),
            msg: Msg::Told { run: me.run, told },
        });
    }

    /// What the leader does unasked: lapsed sessions go, free slots are granted, misplaced ones asked back.
    fn keep_house(&mut self, out: &mut Vec<Output>) {
        let (now, settings) = (self.now, &self.settings);
        let Some(lead) = self.lead.as_mut().filter(|l| l.ready) else {
            return;
        };
        // What changed for someone is said at once; the lease itself goes by its ask.
        for id in std::mem::take(&mut lead.changed) {
            if let Some(s) = self.book.sessions.get(&id) {
                out.push(Output::Send {
                    to: s.name.clone(),
                    msg: Msg::Notice { run: s.run },
                });
            }
        }
        if lead.doing.is_some_and(|d| now > d.1 + settings.lease) {
            lead.doing = None;
        }
        if lead.doing.is_some() {
            return;
        }
        lead.runs.retain(|_, at| *at > now - settings.lease * 3.0);
        lead.barred.retain(|_, until| *until > now);
        for id in self.book.sessions.keys() {
            // One that leaves is as good as lapsed; what was proposed may have been lost.
            if lead.granter.lapsed(*id, settings.wait(), now) || lead.ending.contains(id) {
                lead.ending.insert(*id);
                lead.todo.push_back(Command::Expire { session: *id });
            }
        }
        for name in &self.book.doubled {
            let runs = lead.runs.keys().filter(|(n, _)| n == name).count();
            if runs <= 1 && now > lead.since + settings.lease * 3.0 {
                lead.todo.push_back(Command::Single { name: name.clone() });
            }
        }
        let live = self.book.sessions.iter().filter(|(id, s)| {
            let heard = lead
                .granter
                .heard(**id)
                .is_some_and(|at| now < at + settings.lease);
            !s.replaced
                && heard
                && !lead.ending.contains(id)
                && !self.book.doubled.contains(&s.name)
        });
        let live: BTreeSet<u64> = live.map(|(id, _)| *id).collect();
        lead.placement.among(&self.book.sessions, &live);
        let mut moves = settings.moves.saturating_sub(lead.giving.len());
        lead.giving
            .retain(|slot, id| self.book.slots[*slot as usize].session == *id && live.contains(id));
        let barred = &lead.barred;
        for (slot, held) in self.book.slots.iter().enumerate() {
            let slot = slot as Slot;
            let name = |id: u64| {
                self.book
                    .sessions
                    .get(&id)
                    .map(|s| s.name.clone())
                    .unwrap_or_default()
            };
            let best = if barred.is_empty() {
                lead.placement.best(slot)
            } else {
                lead.placement
                    .best_but(slot, |id| barred.contains_key(&(slot, name(id))))
            };
            let Some(best) = best else { continue };
            if held.session == 0 {
                if lead.todo.len() < MOST_COMMANDS {
                    lead.todo.push_back(Command::Grant {
                        slot,
                        token: held.token,
                        session: best,
                    });
                }
            } else if held.session != best
                && live.contains(&held.session)
                && moves > 0
                && lead.giving.insert(slot, held.session).is_none()
            {
                moves -= 1;
                lead.changed.insert(held.session);
            }
        }
        if lead.todo.is_empty() {
            return;
        }
        let commands: Vec<Command> = lead
            .todo
            .drain(..lead.todo.len().min(MOST_COMMANDS))
            .collect();
        // A slot freed and granted in one entry would get no greater token.
        let (first, later): (Vec<_>, Vec<_>) = commands
            .into_iter()
            .partition(|c| !matches!(c, Command::Grant { .. }));
        let commands = if first.is_empty() { later } else { first };
        self.numbers = self.numbers.wrapping_add(1);
        let number = self.numbers;
        let Ok(data) = postcard::to_stdvec(&(number, commands)) else {
            return;
        };
        if self
            .raw
            .as_mut()
            .is_some_and(|r| r.propose(Vec::new(), data).is_ok())
        {
            lead.doing = Some((number, now));
        }
    }
}
