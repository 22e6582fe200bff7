//! The membership state machine, around the SWIM library.

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

/// Minimum number of times that each limiter passes on an update. With three, the library's value for ten members, some
/// suspects never learned of the suspicion when a third of all datagrams was lost.
const MIN_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(12).expect("twelve is not zero");
/// Number of members that each round of gossip is sent to.
const GOSSIP_FANOUT: usize = 3;
/// Number of members that are up and that each periodic announcement is sent to.
const ANNOUNCE_FANOUT: usize = 1;
/// Number of members that are down and that each rejoin announcement is sent to.
const REJOIN_FANOUT: usize = 2;
/// Rejoin intervals between announcements to members that are up.
const ANNOUNCE_REJOIN_INTERVALS: f64 = 2.0;
/// Rejoin intervals between announcements to the seeds while no other member is up.
const ALONE_REJOIN_INTERVALS: f64 = 0.25;
/// Rejoin intervals between announcements to the seeds while other members are up.
const SEED_REJOIN_INTERVALS: f64 = 4.0;
/// Probe intervals within which the failure of a member is detected, not counting the suspicion timeout.
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
    /// Starts with this process, `own`, as the only member. `seed` seeds the random choice of members to contact.
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

    /// The identity under which other members know this process.
    #[must_use]
    pub fn own(&self) -> &Member {
        self.swim.identity()
    }

    /// Time at which [`tick`](Self::tick) must be called next.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        let timer = self.timers.next_due();
        timer
            .min(self.next_announcement)
            .min(self.next_duplicate_check)
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, bytes: &[u8], now: f64, outputs: &mut Vec<Output>) {
        self.handle(now, outputs, |swim, runtime| {
            swim.handle_data(bytes, runtime).is_ok()
        });
    }

    /// Processes all timers that are due at `now`.
    pub fn tick(&mut self, now: f64, outputs: &mut Vec<Output>) {
        self.detect_stall(now, outputs);
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

    /// Announces to other members that this process leaves the fleet.
    pub fn leave(&mut self, now: f64, outputs: &mut Vec<Output>) {
        self.handle(now, outputs, |swim, runtime| {
            let _ = swim.gossip(&mut *runtime);
            swim.leave_cluster(runtime).is_ok()
        });
    }

    /// The members that are up, without this process. Of several instances of a name, only the latest is included.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.peers.alive()
    }

    /// The latest instance of a name, if one is up.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.peers.find(name)
    }

    /// Whether two running processes use this name.
    #[must_use]
    pub fn is_duplicate(&self, name: &str) -> bool {
        self.peers.is_duplicate(name)
    }

    /// Number of members that are up, counting each instance.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.count()
    }

    /// Number of received datagrams that could not be processed.
    #[must_use]
    pub fn rejected_datagrams(&self) -> u64 {
        self.rejected_datagrams
    }

    /// Lets the library handle one event, and applies the member changes that it reports. `event` returns whether the
    /// library accepted the event.
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

    /// Detects a stall of this process by an overdue timer. As received replies may still be unread, all timers are
    /// postponed by the length of the stall.
    fn detect_stall(&mut self, now: f64, outputs: &mut Vec<Output>) {
        let seconds = now - self.next_due();
        if seconds > self.settings.probe_timeout {
            self.timers.postpone(seconds);
            self.health.record_stall(now);
            outputs.push(Output::Stalled { seconds });
        }
    }

    /// Whether a timer would end a suspicion that was already refuted. The library would tell even a suspect that
    /// refuted the suspicion that it is down, and the suspect would renew its identity.
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

    /// Announces this process to the seeds: frequently while no other member is up, otherwise rarely, as a seed that
    /// lost all its peers can't contact anyone itself.
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
        let detection_time = self.settings.probe_interval * DETECTION_PROBES;
        let min_uptime = self.settings.suspicion_timeout + detection_time;
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
