//! The state machine around the library.

use crate::health::LocalHealth;
use crate::member::Member;
use crate::output::Output;
use crate::peers::Peers;
use crate::runtime::{EventRuntime, MemberChanges};
use crate::settings::Settings;
use crate::timers::Timers;
use foca::{Config, Foca, PeriodicParams, PostcardCodec, Timer};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

type Swim = Foca<Member, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>;

/// Each limiter passes an update on at least so often: with three, as the library has it for ten members, some
/// suspects never heard of the suspicion where a third of all datagrams was lost.
const MIN_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(12).expect("twelve is not zero");
/// Members that a round of gossip goes to.
const GOSSIP_FANOUT: usize = 3;
/// Members that are up and get an announcement at a time.
const ANNOUNCE_FANOUT: usize = 1;
/// Members that are down and get an announcement at a time.
const REJOIN_FANOUT: usize = 2;
/// Announcements to members that are up take so many rejoin intervals.
const ANNOUNCE_REJOIN_INTERVALS: f64 = 2.0;
/// Announcements to seeds take so many rejoin intervals, if no member is up.
const ALONE_REJOIN_INTERVALS: f64 = 0.25;
/// The same, if some are up.
const SEED_REJOIN_INTERVALS: f64 = 4.0;
/// Probe intervals after which a dead member is surely no longer counted as living, besides its suspicion.
const DETECTION_PROBES: f64 = 4.0;

/// Membership of the fleet as one limiter sees it.
pub struct Membership {
    settings: Settings,
    swim: Swim,
    timers: Timers,
    peers: Peers,
    health: LocalHealth,
    next_announcement: f64,
    next_duplicate_check: f64,
    rejected_datagrams: u64,
}

impl Membership {
    /// Starts with `own` as the only member. `seed` is that of the random choice of members.
    #[must_use]
    pub fn new(settings: Settings, own: Member, seed: u64, now: f64) -> Membership {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let swim = Foca::new(own, swim_config(&settings), random, PostcardCodec);
        Membership {
            settings,
            swim,
            timers: Timers::default(),
            peers: Peers::default(),
            health: LocalHealth::new(now),
            next_announcement: now,
            next_duplicate_check: now,
            rejected_datagrams: 0,
        }
    }

    /// This process as others see it.
    #[must_use]
    pub fn own(&self) -> &Member {
        self.swim.identity()
    }

    /// When [`tick`](Self::tick) is to be called next.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let timer = self.timers.next_due();
        timer
            .min(self.next_announcement)
            .min(self.next_duplicate_check)
    }

    /// A datagram was received.
    pub fn receive(&mut self, bytes: &[u8], now: f64, outputs: &mut Vec<Output>) {
        self.handle(now, outputs, |swim, runtime| {
            swim.handle_data(bytes, runtime).is_ok()
        });
    }

    /// Time has passed.
    pub fn tick(&mut self, now: f64, outputs: &mut Vec<Output>) {
        self.notice_stall(now, outputs);
        self.health.recover(self.settings.probe_interval, now);
        while let Some(timer) = self.timers.pop_due(now) {
            if !self.is_refuted(&timer) {
                self.handle(now, outputs, |swim, runtime| {
                    swim.handle_timer(timer, runtime).is_ok()
                });
            }
        }
        if now >= self.next_announcement {
            self.announce_to_seeds(now, outputs);
        }
        if now >= self.next_duplicate_check {
            self.next_duplicate_check = now + self.settings.probe_interval;
            self.find_duplicates(now, outputs);
        }
    }

    /// Tells others at once that this process leaves.
    pub fn leave(&mut self, now: f64, outputs: &mut Vec<Output>) {
        self.handle(now, outputs, |swim, runtime| {
            let _ = swim.gossip(&mut *runtime);
            swim.leave_cluster(runtime).is_ok()
        });
    }

    /// The members that are up, this process not among them; of several instances of a name the latest alone.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.peers.alive()
    }

    /// The latest instance of a name, if it is up.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.peers.find(name)
    }

    /// Whether two living processes have this name.
    #[must_use]
    pub fn is_duplicate(&self, name: &str) -> bool {
        self.peers.is_duplicate(name)
    }

    /// How many members are up, each instance counted.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.count()
    }

    /// How many datagrams could not be read.
    #[must_use]
    pub fn rejected_datagrams(&self) -> u64 {
        self.rejected_datagrams
    }

    /// Has the library handle one event, and takes over what it reports of members. `event` gives whether it went well.
    fn handle(
        &mut self,
        now: f64,
        outputs: &mut Vec<Output>,
        event: impl FnOnce(&mut Swim, &mut EventRuntime) -> bool,
    ) {
        let mut runtime = EventRuntime {
            now,
            health_multiplier: self.health.multiplier(),
            timers: &mut self.timers,
            outputs,
            changes: MemberChanges::default(),
        };
        if !event(&mut self.swim, &mut runtime) {
            self.rejected_datagrams += 1;
        }
        let changes = runtime.changes;
        self.peers.apply(changes, now, outputs);
    }

    /// If this process was stalled, replies may lie unread: every timer gets its time again.
    fn notice_stall(&mut self, now: f64, outputs: &mut Vec<Output>) {
        let seconds = now - self.next_due();
        if seconds > self.settings.probe_timeout {
            self.timers.postpone(seconds);
            self.health.stalled(now);
            outputs.push(Output::Stalled { seconds });
        }
    }

    /// Whether a timer ends a suspicion that was refuted. Against the library's message at the end of each suspicion
    /// that the suspect is down, refuted or not, on which the suspect takes a new identity.
    fn is_refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let is_suspect = |member: &foca::Member<Member>| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        };
        !self.swim.iter_membership_state().any(is_suspect)
    }

    /// Alone, it announces itself to the seeds often; with others up it does so now and then, as a seed that lost all
    /// its peers has nobody to ask.
    fn announce_to_seeds(&mut self, now: f64, outputs: &mut Vec<Output>) {
        let alone = self.swim.num_members() == 0;
        let intervals = if alone {
            ALONE_REJOIN_INTERVALS
        } else {
            SEED_REJOIN_INTERVALS
        };
        self.next_announcement = now + self.settings.rejoin_interval * intervals;
        let own = self.swim.identity().clone();
        for address in self.settings.seeds.clone() {
            if address != own.address && !self.is_member_at(address) {
                let seed = Member {
                    name: String::new(),
                    instance: 0,
                    precedence: 0,
                    address,
                    ..own.clone()
                };
                self.handle(now, outputs, |swim, runtime| {
                    swim.announce(seed, runtime).is_ok()
                });
            }
        }
    }

    fn is_member_at(&self, address: SocketAddrV4) -> bool {
        let mut members = self.swim.iter_members();
        members.any(|member| member.id().address == address)
    }

    fn find_duplicates(&mut self, now: f64, outputs: &mut Vec<Output>) {
        let detection = self.settings.probe_interval * DETECTION_PROBES;
        let min_uptime = self.settings.suspicion_timeout + detection;
        let own = self.swim.identity();
        self.peers.find_duplicates(own, min_uptime, now, outputs);
    }
}

fn swim_config(settings: &Settings) -> Config {
    let expected_members = NonZeroU32::new(settings.expected_members);
    let mut config = Config::new_lan(expected_members.unwrap_or(NonZeroU32::MIN));
    config.probe_period = Duration::from_secs_f64(settings.probe_interval);
    config.probe_rtt = Duration::from_secs_f64(settings.probe_timeout);
    config.suspect_to_down_after = Duration::from_secs_f64(settings.suspicion_timeout);
    config.max_packet_size = at_least_one(settings.max_datagram_bytes);
    config.max_transmissions = config.max_transmissions.max(MIN_TRANSMISSIONS);
    config.notify_down_members = true;
    config.periodic_gossip = periodic(settings.gossip_interval, GOSSIP_FANOUT);
    let announce_interval = settings.rejoin_interval * ANNOUNCE_REJOIN_INTERVALS;
    config.periodic_announce = periodic(announce_interval, ANNOUNCE_FANOUT);
    config.periodic_announce_to_down_members = periodic(settings.rejoin_interval, REJOIN_FANOUT);
    config
}

fn periodic(interval: f64, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency: Duration::from_secs_f64(interval),
        num_members: at_least_one(members),
    })
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
