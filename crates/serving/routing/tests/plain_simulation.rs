//! Seeded days of plain requests on modelled servers: our choice against simple ones, and servers that fail.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::{plain_ask, plain_server};
use dunespur_routing::{Choice, Chooser, LoadReport, Outcome, Server};

const SERVERS: usize = 7;
const SLOTS: usize = 6;
const QUEUE: usize = 4;
const GATEWAYS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
const REPORT_EVERY_US: u64 = 300_000;
const LENGTH_US: u64 = 20_000_000;
const MOST_TRIES: usize = 3;
/// Work of the kinds of requests with their objectives, in milliseconds.
const KINDS: [(f64, u64); 3] = [(26.0, 150), (104.0, 500), (69.0, 300)];
/// From this share of its places on, a server slows down.
const NEARLY_FULL: f64 = 0.8;
const NEARLY_FULL_SLOWNESS: f64 = 1.3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    Random,
    /// The fewest of the gateway's own requests.
    OwnLeast,
}

#[derive(Debug, Clone)]
struct Day {
    seed: u64,
    requests_per_s: f64,
    slowness: [f64; SERVERS],
    /// A server that answers with errors, and when.
    failing: Option<(usize, std::ops::Range<u64>)>,
}

#[derive(Debug, Default)]
struct Outturn {
    requests: usize,
    not_served: usize,
    late: usize,
    took_us: u64,
    served: usize,
    other_zone: usize,
    failed_sends: usize,
    /// Sends to the failing server after its trouble.
    sends_after: usize,
}

impl Outturn {
    fn mean_ms(&self) -> f64 {
        self.took_us as f64 / self.served.max(1) as f64 / 1_000.0
    }
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    kind: usize,
    work_ms: f64,
    asked_at: u64,
    tried: Vec<usize>,
    key: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Ask(usize),
    Arrive(usize, usize),
    Done(usize, usize),
    Report(usize),
}

struct Fleet {
    day: Day,
    way: Way,
    servers: Vec<Server>,
    running: Vec<usize>,
    waiting: Vec<VecDeque<usize>>,
    choosers: Vec<Chooser>,
    own: Vec<[u32; SERVERS]>,
    requests: Vec<Request>,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    order: u64,
    random: fastrand::Rng,
    outturn: Outturn,
}

fn play(day: &Day, way: Way) -> Outturn {
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| plain_server(number, ZONES[number % 3]))
        .collect();
    let choosers = (0..GATEWAYS)
        .map(|gateway| chooser(&servers, gateway, day.seed))
        .collect();
    let mut fleet = Fleet {
        random: fastrand::Rng::with_seed(day.seed),
        day: day.clone(),
        way,
        servers,
        running: vec![0; SERVERS],
        waiting: vec![VecDeque::new(); SERVERS],
        choosers,
        own: vec![[0; SERVERS]; GATEWAYS],
        requests: vec![],
        queue: BinaryHeap::new(),
        order: 0,
        outturn: Outturn::default(),
    };
    fleet.plan();
    while let Some(Reverse((now, _, happening))) = fleet.queue.pop() {
        fleet.happen(now, happening);
    }
    fleet.outturn
}

fn chooser(servers: &[Server], gateway: usize, seed: u64) -> Chooser {
    let mut chooser = Chooser::new(ZONES[gateway % 3].into(), seed * 100 + gateway as u64);
    chooser.set_servers(servers.to_vec(), 0);
    chooser
}

impl Fleet {
    /// All requests of the day, the same whichever way servers are chosen.
    fn plan(&mut self) {
        let mut random = fastrand::Rng::with_seed(self.day.seed * 7 + 1);
        let mut now = 0;
        while now < LENGTH_US {
            let gap = -random.f64().max(1e-12).ln() * 1_000_000.0 / self.day.requests_per_s;
            now += gap as u64;
            let kind = random.usize(..KINDS.len());
            let work_ms = KINDS[kind].0 * (0.5 + random.f64());
            let gateway = random.usize(..GATEWAYS);
            self.requests.push(Request {
                gateway,
                kind,
                work_ms,
                asked_at: now,
                tried: vec![],
                key: 0,
            });
            self.put(now, Happening::Ask(self.requests.len() - 1));
        }
        for gateway in 0..GATEWAYS {
            self.put(
                gateway as u64 * REPORT_EVERY_US / GATEWAYS as u64,
                Happening::Report(gateway),
            );
        }
    }

    fn put(&mut self, time: u64, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, happening)));
    }

    fn happen(&mut self, now: u64, happening: Happening) {
        match happening {
            Happening::Ask(request) => self.ask(request, now),
            Happening::Arrive(request, server) => self.arrive(request, server, now),
            Happening::Done(request, server) => self.done(request, server, now),
            Happening::Report(gateway) => self.report(gateway, now),
        }
    }

    fn ask(&mut self, number: usize, now: u64) {
        if self.requests[number].tried.is_empty() {
            self.outturn.requests += 1;
        }
        if self.requests[number].tried.len() >= MOST_TRIES {
            self.outturn.not_served += 1;
            return;
        }
        let Some(server) = self.choose(number, now) else {
            self.outturn.not_served += 1;
            return;
        };
        let request = &mut self.requests[number];
        request.tried.push(server);
        if server % 3 != request.gateway % 3 {
            self.outturn.other_zone += 1;
        }
        self.own[request.gateway][server] += 1;
        self.put(now + 1_000, Happening::Arrive(number, server));
    }

    fn choose(&mut self, number: usize, now: u64) -> Option<usize> {
        let request = self.requests[number].clone();
        let left: Vec<usize> = (0..SERVERS)
            .filter(|server| !request.tried.contains(server))
            .collect();
        let start = self.random.usize(..left.len());
        match self.way {
            Way::Random => Some(left[start]),
            Way::OwnLeast => {
                let rotated = left.iter().cycle().skip(start).take(left.len()).copied();
                rotated.min_by_key(|server| self.own[request.gateway][*server])
            }
            Way::Ours => self.choose_ours(number, &request, now),
        }
    }

    fn choose_ours(&mut self, number: usize, request: &Request, now: u64) -> Option<usize> {
        let tried: Vec<_> = request
            .tried
            .iter()
            .map(|server| self.servers[*server].id.clone())
            .collect();
        let mut ask = plain_ask();
        ask.tried = &tried;
        ask.target_ms = KINDS[request.kind].1;
        match self.choosers[request.gateway].choose(&ask, now / 1_000) {
            Choice::Send(ticket) => {
                self.requests[number].key = ticket.key;
                self.servers
                    .iter()
                    .position(|server| server.id == ticket.server.id)
            }
            Choice::Refuse { .. } | Choice::NoServer => None,
        }
    }

    fn arrive(&mut self, number: usize, server: usize, now: u64) {
        if self.is_failing(server, now) {
            self.outturn.failed_sends += 1;
            self.end(number, server, Outcome::Failed, now);
            self.put(now + 1_000, Happening::Ask(number));
            return;
        }
        if self
            .day
            .failing
            .as_ref()
            .is_some_and(|(failing, when)| *failing == server && now >= when.end)
        {
            self.outturn.sends_after += 1;
        }
        if self.running[server] < SLOTS {
            self.start(number, server, now);
        } else if self.waiting[server].len() < QUEUE {
            self.waiting[server].push_back(number);
        } else {
            self.end(number, server, Outcome::Shed, now);
            self.put(now + 1_000, Happening::Ask(number));
        }
    }

    fn is_failing(&self, server: usize, now: u64) -> bool {
        self.day
            .failing
            .as_ref()
            .is_some_and(|(failing, when)| *failing == server && when.contains(&now))
    }

    fn start(&mut self, number: usize, server: usize, now: u64) {
        self.running[server] += 1;
        let crowded = self.running[server] as f64 >= NEARLY_FULL * SLOTS as f64;
        let slowness = self.day.slowness[server] * if crowded { NEARLY_FULL_SLOWNESS } else { 1.0 };
        let took_us = (self.requests[number].work_ms * slowness * 1_000.0) as u64;
        self.put(now + took_us, Happening::Done(number, server));
    }

    fn done(&mut self, number: usize, server: usize, now: u64) {
        self.running[server] -= 1;
        if let Some(next) = self.waiting[server].pop_front() {
            self.start(next, server, now);
        }
        self.end(
            number,
            server,
            Outcome::Served { tokens_out: 0 },
            now + 1_000,
        );
        let request = &self.requests[number];
        let took_us = now + 1_000 - request.asked_at;
        self.outturn.served += 1;
        self.outturn.took_us += took_us;
        if took_us > KINDS[request.kind].1 * 1_000 {
            self.outturn.late += 1;
        }
    }

    fn end(&mut self, number: usize, server: usize, outcome: Outcome, now: u64) {
        let (gateway, key) = (self.requests[number].gateway, self.requests[number].key);
        self.own[gateway][server] -= 1;
        if self.way == Way::Ours {
            if matches!(outcome, Outcome::Served { .. }) {
                self.choosers[gateway].first_event(key, now / 1_000);
            }
            self.choosers[gateway].finished(key, outcome, now / 1_000);
        }
    }

    fn report(&mut self, gateway: usize, now: u64) {
        if self.way != Way::Ours {
            return;
        }
        let reports: Vec<LoadReport> = self.choosers[gateway].load_reports();
        let name = format!("gateway-{gateway}");
        for (other, chooser) in self.choosers.iter_mut().enumerate() {
            if other != gateway {
                chooser.other_load(&reports, &name, now / 1_000);
            }
        }
        if now < LENGTH_US {
            self.put(now + REPORT_EVERY_US, Happening::Report(gateway));
        }
    }
}

fn sum(day: impl Fn(u64) -> Day, way: Way) -> Outturn {
    let mut sum = Outturn::default();
    for seed in 1..=3 {
        let outturn = play(&day(seed), way);
        sum.requests += outturn.requests;
        sum.not_served += outturn.not_served;
        sum.late += outturn.late;
        sum.took_us += outturn.took_us;
        sum.served += outturn.served;
        sum.other_zone += outturn.other_zone;
        sum.failed_sends += outturn.failed_sends;
        sum.sends_after += outturn.sends_after;
    }
    sum
}

fn day(seed: u64, requests_per_s: f64) -> Day {
    Day {
        seed,
        requests_per_s,
        slowness: [0.8, 1.0, 1.4, 0.9, 1.1, 1.8, 1.0],
        failing: None,
    }
}

/// What ours and the simple ways made of the same days.
fn compare(rate: f64) -> [Outturn; 3] {
    [Way::Ours, Way::Random, Way::OwnLeast].map(|way| sum(|seed| day(seed, rate), way))
}

#[test]
fn answers_come_sooner_than_with_simple_ways_and_fewer_cross_zones() {
    for rate in [50.0, 150.0, 250.0, 350.0] {
        let [ours, random, own_least] = compare(rate);
        assert!(
            ours.mean_ms() <= random.mean_ms(),
            "{rate}: {ours:?} {random:?}"
        );
        assert!(
            ours.mean_ms() <= own_least.mean_ms(),
            "{rate}: {ours:?} {own_least:?}"
        );
        assert!(
            ours.other_zone * 2 <= own_least.other_zone,
            "{rate}: {ours:?} {own_least:?}"
        );
        assert!(
            ours.not_served <= own_least.not_served + ours.requests / 2_000,
            "{rate}: {ours:?} {own_least:?}"
        );
    }
}

#[test]
fn a_random_choice_is_far_behind_where_servers_are_half_full() {
    let [ours, random, _] = compare(250.0);
    assert!(
        ours.mean_ms() <= 0.85 * random.mean_ms(),
        "{ours:?} {random:?}"
    );
    assert!(ours.late * 10 <= random.late, "{ours:?} {random:?}");
}

#[test]
fn near_and_beyond_what_servers_can_do_hardly_more_is_lost() {
    for rate in [450.0, 600.0] {
        let [ours, random, own_least] = compare(rate);
        for other in [random, own_least] {
            let bound = other.not_served + other.requests / 50;
            assert!(ours.not_served <= bound, "{rate}: {ours:?} {other:?}");
        }
    }
}

#[test]
fn a_failing_server_is_avoided_and_used_again_when_it_is_well() {
    for rate in [50.0, 250.0] {
        let failing = |seed| Day {
            failing: Some((1, 5_000_000..10_000_000)),
            ..day(seed, rate)
        };
        let [ours, own_least] = [Way::Ours, Way::OwnLeast].map(|way| sum(failing, way));
        assert!(
            ours.failed_sends * 2 <= own_least.failed_sends + 10,
            "{ours:?} {own_least:?}"
        );
        assert!(
            ours.sends_after * 3 >= own_least.sends_after,
            "{ours:?} {own_least:?}"
        );
        assert_eq!(ours.not_served, 0, "{ours:?}");
    }
}
