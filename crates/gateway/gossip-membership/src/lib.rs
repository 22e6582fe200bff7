//! Who is in the fleet, as one limiter sees it. The protocol is SWIM by the `foca` library, which does no
//! I/O; this adds names, runs, the way out of a split, and doubt in oneself after a standstill. Datagrams and
//! times go in, [`Output`]s come out. It must never report a member that is merely slow to hear of as gone at
//! once, never keep a timer from before a standstill as if nothing had been, and never grow with restarts.

use foca::{Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Differs with every start of the program.
    pub run: u64,
    /// Of two under one address the greater stands; starts from the wall clock in milliseconds.
    pub turn: u64,
    pub address: SocketAddrV4,
    pub zone: String,
    pub machine: String,
    /// Of the program's talk between limiters.
    pub version: u16,
    pub voter: bool,
}

/// A renewed member has to stand above one that started while the wall clock was ahead: about two hours.
const TURN: u64 = 1 << 23;

impl Identity for Member {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            turn: self.turn.saturating_add(TURN),
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.turn, self.run) > (other.turn, other.run)
    }
}

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many limiters there are about.
    pub size: u32,
    /// Where to announce itself: any that are likely to be up.
    pub seeds: Vec<SocketAddrV4>,
    /// One member is probed in each of these.
    pub probe: f64,
    /// A direct answer is awaited this long.
    pub answer: f64,
    /// A suspect has this long to speak up.
    pub suspect: f64,
    /// News goes to three others this often.
    pub gossip: f64,
    /// Those held for gone are asked this often, so that two halves find each other again.
    pub again: f64,
    /// Largest datagram, in bytes.
    pub datagram: usize,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        for (key, v) in [
            ("probe", self.probe),
            ("answer", self.answer),
            ("suspect", self.suspect),
            ("gossip", self.gossip),
            ("again", self.again),
        ] {
            if !(v > 0.0 && v < 86_400.0) {
                return Err(format!(
                    "fleet.members.{key}: {v}; give seconds over 0 and under a day"
                ));
            }
        }
        if self.answer * 2.0 > self.probe {
            return Err(format!(
                "fleet.members.answer: {} leaves no time for asking through others in a probe of {}",
                self.answer, self.probe
            ));
        }
        if !(512..=65_000).contains(&self.datagram) {
            return Err(format!(
                "fleet.members.datagram: {}; give 512 to 65000 bytes",
                self.datagram
            ));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Datagram {
        to: SocketAddrV4,
        bytes: Vec<u8>,
    },
    Up(Member),
    Down(Member),
    /// Two living processes have this name.
    Doubled {
        name: String,
        runs: (u64, u64),
    },
    /// This one stood still for so long, and doubts what it timed meanwhile.
    StoodStill(f64),
}

struct Due(f64, u64, Timer<Member>);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for Due {}

impl Ord for Due {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What the library wants done while it handles one thing.
struct Carrier<'a> {
    now: f64,
    /// Timers run this many times slower while this one doubts itself.
    doubt: f64,
    timers: &'a mut BinaryHeap<Due>,
    numbers: &'a mut u64,
    up: Vec<Member>,
    down: Vec<Member>,
    out: &'a mut Vec<Output>,
}

impl Runtime<Member> for Carrier<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(m) => self.up.push(m.clone()),
            Notification::MemberDown(m) => self.down.push(m.clone()),
            Notification::Rename(old, new) => {
                // The same process under a new turn was never gone.
                if (&old.name, old.run) != (&new.name, new.run) {
                    self.down.push(old.clone());
                }
                self.up.push(new.clone());
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.out.push(Output::Datagram {
            to: to.address,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        *self.numbers += 1;
        let judges = matches!(
            event,
            Timer::SendIndirectProbe { .. } | Timer::ChangeSuspectToDown { .. }
        );
        let slower = if judges { self.doubt } else { 1.0 };
        self.timers.push(Due(
            self.now + after.as_secs_f64() * slower,
            *self.numbers,
            event,
        ));
    }
}

type Swim = Foca<Member, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>;

struct Seen {
    member: Member,
    since: f64,
}

pub struct Members {
    settings: Settings,
    foca: Swim,
    timers: BinaryHeap<Due>,
    numbers: u64,
    up: BTreeMap<(String, u64), Seen>,
    doubled: BTreeMap<String, (u64, u64)>,
    /// From 0 to 8: how much it doubts itself.
    doubt: f64,
    doubt_at: f64,
    next_announce: f64,
    next_look: f64,
    /// Datagrams that could not be read.
    pub refused: u64,
}

/// A standstill raises doubt by this much, and it halves over so many probes.
const MOST_DOUBT: f64 = 8.0;
const HALVED_IN: f64 = 10.0;
/// Each limiter passes a piece of news on at least so often: with three, as the library has it for ten
/// members, some suspects never heard of it where a third of all was lost.
const TOLD: NonZeroU8 = NonZeroU8::new(12).unwrap();

impl Members {
    pub fn new(settings: Settings, me: Member, seed: u64, now: f64) -> Self {
        let size = NonZeroU32::new(settings.size.max(1)).unwrap_or(NonZeroU32::MIN);
        let seconds = Duration::from_secs_f64;
        let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let mut config = Config::new_lan(size);
        config.probe_period = seconds(settings.probe);
        config.probe_rtt = seconds(settings.answer);
        config.suspect_to_down_after = seconds(settings.suspect);
        config.max_packet_size = some(settings.datagram);
        config.max_transmissions = config.max_transmissions.max(TOLD);
        config.notify_down_members = true;
        let each = |s: f64, n: usize| {
            Some(PeriodicParams {
                frequency: seconds(s),
                num_members: some(n),
            })
        };
        config.periodic_gossip = each(settings.gossip, 3);
        config.periodic_announce = each(settings.again * 2.0, 1);
        config.periodic_announce_to_down_members = each(settings.again, 2);
        let foca = Foca::new(
            me,
            config,
            Xoshiro256PlusPlus::seed_from_u64(seed),
            PostcardCodec,
        );
        Members {
            settings,
            foca,
            timers: BinaryHeap::new(),
            numbers: 0,
            up: BTreeMap::new(),
            doubled: BTreeMap::new(),
            doubt: 0.0,
            doubt_at: now,
            next_announce: now,
            next_look: now,
            refused: 0,
        }
    }

    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Runs one thing through the library and takes what it says of members.
    fn with(
        &mut self,
        now: f64,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Swim, &mut Carrier) -> bool,
    ) {
        let doubt = 1.0 + self.doubt;
        let (up, down) = (Vec::new(), Vec::new());
        let mut carrier = Carrier {
            now,
            doubt,
            timers: &mut self.timers,
            numbers: &mut self.numbers,
            up,
            down,
            out,
        };
        if !act(&mut self.foca, &mut carrier) {
            self.refused += 1;
        }
        let (up, down) = (carrier.up, carrier.down);
        for m in down {
            if let Some(seen) = self.up.remove(&(m.name.clone(), m.run)) {
                out.push(Output::Down(seen.member));
            }
        }
        for m in up {
            let key = (m.name.clone(), m.run);
            let fresh = !self.up.contains_key(&key);
            let since = self.up.get(&key).map_or(now, |s| s.since);
            self.up.insert(
                key,
                Seen {
                    member: m.clone(),
                    since,
                },
            );
            if fresh {
                out.push(Output::Up(m));
            }
        }
    }

    pub fn next_due(&self) -> f64 {
        let timer = self.timers.peek().map_or(f64::INFINITY, |d| d.0);
        timer.min(self.next_announce).min(self.next_look)
    }

    /// A datagram came in.
    pub fn datagram(&mut self, bytes: &[u8], now: f64, out: &mut Vec<Output>) {
        self.with(now, out, |foca, carrier| {
            foca.handle_data(bytes, carrier).is_ok()
        });
    }

    /// Guards against the library's word to a suspect that has spoken up: at the end of each suspicion it
    /// tells it that it is held for gone, refuted or not, and the suspect then takes a new identity.
    fn refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let stands = |m: &foca::Member<Member>| {
            m.id() == member_id
                && m.incarnation() == *incarnation
                && m.state() == foca::State::Suspect
        };
        !self.foca.iter_membership_state().any(stands)
    }

    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        let late = now - self.next_due();
        if late > self.settings.answer {
            // It was this one that stood still: answers may lie unread, so every timer gets its time again.
            let shifted = self
                .timers
                .drain()
                .map(|d| Due(d.0 + late, d.1, d.2))
                .collect();
            self.timers = shifted;
            self.doubt = (self.doubt + 2.0).min(MOST_DOUBT);
            self.doubt_at = now;
            out.push(Output::StoodStill(late));
        }
        if self.doubt > 0.0 && now > self.doubt_at + self.settings.probe * HALVED_IN {
            self.doubt_at = now;
            self.doubt = if self.doubt < 0.25 {
                0.0
            } else {
                self.doubt / 2.0
            };
        }
        while self.timers.peek().is_some_and(|d| d.0 <= now) {
            let Some(Due(_, _, timer)) = self.timers.pop() else {
                break;
            };
            if self.refuted(&timer) {
                continue;
            }
            self.with(now, out, |foca, carrier| {
                foca.handle_timer(timer, carrier).is_ok()
            });
        }
        if now >= self.next_announce {
            // Alone, it knocks at the seeds; in company it does so now and then, as a seed that lost all
            // its peers knows nobody to ask.
            let alone = self.foca.num_members() == 0;
            let pause = self.settings.again * if alone { 0.25 } else { 4.0 };
            self.next_announce = now + pause;
            let me = self.foca.identity().clone();
            for address in self
                .settings
                .seeds
                .clone()
                .into_iter()
                .filter(|a| *a != me.address)
            {
                let known = self.foca.iter_members().any(|m| m.id().address == address);
                if !known {
                    let to = Member {
                        name: String::new(),
                        run: 0,
                        turn: 0,
                        address,
                        ..me.clone()
                    };
                    self.with(now, out, |foca, carrier| foca.announce(to, carrier).is_ok());
                }
            }
        }
        if now >= self.next_look {
            self.next_look = now + self.settings.probe;
            self.look_for_doubles(now, out);
        }
    }

    /// Two runs of one name that are both up for longer than a dead one would be held for living. Its own
    /// name needs no wait: this process lives.
    fn look_for_doubles(&mut self, now: f64, out: &mut Vec<Output>) {
        let patience = self.settings.suspect + self.settings.probe * 4.0;
        let mut found = BTreeMap::new();
        let me = self.foca.identity().clone();
        let mut last: Option<(&(String, u64), &Seen)> = None;
        for (key, seen) in &self.up {
            let long = now > seen.since + patience;
            if key.0 == me.name && key.1 != me.run && long {
                found.insert(me.name.clone(), (me.run, key.1));
            }
            if let Some((l, s)) = last.filter(|l| l.0 .0 == key.0) {
                if long && now > s.since + patience {
                    found.insert(key.0.clone(), (l.1, key.1));
                }
            }
            last = Some((key, seen));
        }
        for (name, runs) in &found {
            if !self.doubled.contains_key(name) {
                out.push(Output::Doubled {
                    name: name.clone(),
                    runs: *runs,
                });
            }
        }
        self.doubled = found;
    }

    /// Says at once that it goes.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.with(now, out, |foca, carrier| {
            let _ = foca.gossip(&mut *carrier);
            foca.leave_cluster(carrier).is_ok()
        });
    }

    /// The members that are up, itself not among them; of several runs of a name the latest alone.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        let of = |key: &(String, u64)| {
            self.up
                .range((key.0.clone(), 0)..=(key.0.clone(), u64::MAX))
        };
        let latest =
            move |key: &(String, u64), s: &Seen| of(key).all(|o| o.1.member.turn <= s.member.turn);
        self.up
            .iter()
            .filter(move |(k, s)| latest(k, s))
            .map(|(_, s)| &s.member)
    }

    pub fn find(&self, name: &str) -> Option<&Member> {
        let of = self
            .up
            .range((name.to_owned(), 0)..=(name.to_owned(), u64::MAX));
        of.map(|(_, s)| &s.member).max_by_key(|m| m.turn)
    }

    pub fn doubled(&self, name: &str) -> bool {
        self.doubled.contains_key(name)
    }

    pub fn count(&self) -> usize {
        self.up.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(seeds: &[u16]) -> Settings {
        let seeds = seeds.iter().map(|p| address(*p)).collect();
        Settings {
            size: 8,
            seeds,
            probe: 1.0,
            answer: 0.3,
            suspect: 3.0,
            gossip: 0.2,
            again: 5.0,
            datagram: 1400,
        }
    }

    fn address(port: u16) -> SocketAddrV4 {
        SocketAddrV4::new([127, 0, 0, 1].into(), port)
    }

    fn member(name: &str, run: u64, port: u16) -> Member {
        let (zone, machine) = ("a".into(), name.into());
        Member {
            name: name.into(),
            run,
            turn: run,
            address: address(port),
            zone,
            machine,
            version: 1,
            voter: false,
        }
    }

    /// A few limiters on a perfect network, with cuts by port.
    struct World {
        now: f64,
        nodes: BTreeMap<u16, Members>,
        still: Vec<u16>,
        lines: Vec<(u16, Output)>,
    }

    impl World {
        fn new(n: u16) -> Self {
            let mut w = World {
                now: 0.0,
                nodes: BTreeMap::new(),
                still: vec![],
                lines: vec![],
            };
            (1..=n).for_each(|p| w.start(&format!("n{p}"), p as u64, p));
            w
        }

        fn start(&mut self, name: &str, run: u64, port: u16) {
            let members = Members::new(settings(&[1, 2]), member(name, run, port), run, self.now);
            self.nodes.insert(port, members);
        }

        fn run(&mut self, seconds: f64, cut: impl Fn(u16, u16) -> bool) {
            let end = self.now + seconds;
            while self.now < end {
                self.now += 0.01;
                let mut mail = Vec::new();
                for (port, node) in self.nodes.iter_mut().filter(|n| !self.still.contains(n.0)) {
                    let mut out = Vec::new();
                    node.tick(self.now, &mut out);
                    mail.extend(out.into_iter().map(|o| (*port, o)));
                }
                let mut rounds = 0;
                while !mail.is_empty() && rounds < 10 {
                    rounds += 1;
                    let mut next = Vec::new();
                    for (from, o) in mail {
                        let Output::Datagram { to, bytes } = &o else {
                            self.lines.push((from, o));
                            continue;
                        };
                        let port = to.port();
                        if cut(from, port) || self.still.contains(&port) {
                            continue;
                        }
                        if let Some(node) = self.nodes.get_mut(&port) {
                            let mut out = Vec::new();
                            node.datagram(bytes, self.now, &mut out);
                            next.extend(out.into_iter().map(|o| (port, o)));
                        }
                    }
                    mail = next;
                }
            }
        }

        fn see(&self, port: u16) -> Vec<String> {
            self.nodes[&port].living().map(|m| m.name.clone()).collect()
        }
    }

    #[test]
    fn halves_that_held_each_other_for_gone_find_each_other_again() {
        let mut w = World::new(6);
        w.run(10.0, |_, _| false);
        assert!((1..=6).all(|p| w.see(p).len() == 5));
        w.run(30.0, |a, b| (a <= 3) != (b <= 3));
        assert!(
            (1..=6).all(|p| w.see(p).len() == 2),
            "a half sees itself alone"
        );
        w.run(40.0, |_, _| false);
        assert!(
            (1..=6).all(|p| w.see(p).len() == 5),
            "all again, with no help"
        );
    }

    #[test]
    fn a_restart_takes_its_own_place_and_a_leaver_is_gone_at_once() {
        let mut w = World::new(4);
        w.run(10.0, |_, _| false);
        // Started anew at the same address; its wall clock went back an hour.
        w.nodes.remove(&3);
        w.start("n3", 3, 3);
        let old = member("n3", 77, 3);
        let mut again = Members::new(settings(&[1, 2]), Member { turn: 0, ..old }, 9, w.now);
        std::mem::swap(w.nodes.get_mut(&3).unwrap(), &mut again);
        w.run(10.0, |_, _| false);
        for p in [1, 2, 4] {
            let runs: Vec<_> = w.nodes[&p]
                .living()
                .filter(|m| m.name == "n3")
                .map(|m| m.run)
                .collect();
            assert_eq!(runs, [77]);
            assert_eq!(w.nodes[&p].count(), 3, "the older self is not kept");
        }
        let now = w.now;
        let mut out = Vec::new();
        w.nodes.get_mut(&4).unwrap().leave(now, &mut out);
        for o in out {
            if let Output::Datagram { to, bytes } = o {
                let mut said = Vec::new();
                w.nodes
                    .get_mut(&to.port())
                    .unwrap()
                    .datagram(&bytes, now, &mut said);
            }
        }
        w.still.push(4);
        w.run(1.0, |_, _| false);
        assert!(
            [1, 2, 3].iter().all(|p| !w.see(*p).contains(&"n4".into())),
            "before any probe could tell"
        );
    }

    #[test]
    fn two_living_processes_of_one_name_are_told_apart() {
        let mut w = World::new(4);
        w.run(10.0, |_, _| false);
        w.start("n3", 99, 9);
        w.run(20.0, |_, _| false);
        for p in [1, 2, 3, 4, 9] {
            assert!(w.nodes[&p].doubled("n3"), "{p} knows");
            let lines = w
                .lines
                .iter()
                .filter(|l| l.0 == p && matches!(&l.1, Output::Doubled { .. }));
            assert_eq!(lines.count(), 1, "said once");
        }
        w.nodes.remove(&9);
        w.run(20.0, |_, _| false);
        assert!(
            [1, 2, 3, 4].iter().all(|p| !w.nodes[p].doubled("n3")),
            "single again"
        );
    }

    #[test]
    fn who_stood_still_doubts_itself_before_the_others() {
        let mut w = World::new(6);
        w.run(10.0, |_, _| false);
        w.lines.clear();
        // Longer than a probe and a suspicion: others hold it for gone, it must hold nobody for gone.
        w.still.push(2);
        w.run(8.0, |_, _| false);
        w.still.clear();
        w.run(20.0, |_, _| false);
        let wrong = w
            .lines
            .iter()
            .filter(|(p, o)| *p == 2 && matches!(o, Output::Down(_)));
        assert_eq!(wrong.count(), 0);
        assert!(w
            .lines
            .iter()
            .any(|(p, o)| *p == 2 && matches!(o, Output::StoodStill(s) if *s > 6.0)));
        assert!((1..=6).all(|p| w.see(p).len() == 5));
    }

    #[test]
    fn a_suspect_that_spoke_up_is_not_gone() {
        let mut w = World::new(8);
        w.run(10.0, |_, _| false);
        w.lines.clear();
        // Nearly a third of all is lost: suspicions come by the minute, and each is refuted in time.
        let rng = std::cell::RefCell::new(Xoshiro256PlusPlus::seed_from_u64(5));
        w.run(120.0, |_, _| {
            rand::RngExt::random::<f64>(&mut *rng.borrow_mut()) < 0.3
        });
        let gone: Vec<_> = w
            .lines
            .iter()
            .filter(|l| matches!(l.1, Output::Down(_)))
            .collect();
        assert!(
            gone.is_empty(),
            "{} reports: {:?}",
            gone.len(),
            gone.first()
        );
        let anew = |m: &Members| m.me().turn > TURN;
        assert!(
            !w.nodes.values().any(anew),
            "nobody was told that it is held for gone"
        );
    }

    #[test]
    fn bytes_that_are_no_message_are_counted_and_change_nothing() {
        let mut w = World::new(3);
        w.run(5.0, |_, _| false);
        let node = w.nodes.get_mut(&1).unwrap();
        for len in [0usize, 1, 7, 300, 2000] {
            node.datagram(&vec![0xA5; len], 6.0, &mut Vec::new());
        }
        assert!(node.refused >= 4);
        assert_eq!(w.see(1).len(), 2);
    }
}
