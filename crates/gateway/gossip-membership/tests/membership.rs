//! Which members limiters see as up, on a simulated network with partitions, losses, stalls, restarts and departures.

mod common;

use common::{address, settings};
use dunespur_gossip_membership::{DuplicateName, Member, Membership, Output};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::collections::BTreeMap;

const STEP: f64 = 0.01;
/// Rounds of replies that are delivered within a step.
const MAX_DELIVERIES: usize = 10;

fn member(name: &str, instance: u64, port: u16) -> Member {
    Member {
        name: name.into(),
        instance,
        precedence: instance,
        address: address(port),
        zone: "a".into(),
        machine: name.into(),
        version: 1,
        voter: false,
    }
}

/// A network that loses no datagram.
fn lossless(_from: u16, _to: u16) -> bool {
    false
}

/// Simulated limiters and the network between them.
struct World {
    now: f64,
    /// Limiters by port.
    limiters: BTreeMap<u16, Membership>,
    /// Ports of stalled limiters.
    stalled: Vec<u16>,
    /// All reported events, with the port of the reporting limiter.
    reports: Vec<(u16, Output)>,
}

impl World {
    /// Starts `count` limiters, at ports from 1 up.
    fn new(count: u16) -> World {
        let mut world = World {
            now: 0.0,
            limiters: BTreeMap::new(),
            stalled: vec![],
            reports: vec![],
        };
        (1..=count).for_each(|port| world.start(&format!("n{port}"), u64::from(port), port));
        world
    }

    fn start(&mut self, name: &str, instance: u64, port: u16) {
        let own = member(name, instance, port);
        let membership = Membership::new(settings(&[1, 2]), own, instance, self.now);
        self.limiters.insert(port, membership);
    }

    /// Runs the simulation. `is_lost` decides by the ports of sender and receiver whether a datagram is lost.
    fn run(&mut self, seconds: f64, is_lost: impl Fn(u16, u16) -> bool) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            let mut outputs = self.tick();
            for _ in 0..MAX_DELIVERIES {
                outputs = self.deliver(outputs, &is_lost);
            }
        }
    }

    fn tick(&mut self) -> Vec<(u16, Output)> {
        let mut all_outputs = Vec::new();
        for (port, limiter) in &mut self.limiters {
            if !self.stalled.contains(port) {
                let mut outputs = Vec::new();
                limiter.tick(self.now, &mut outputs);
                all_outputs.extend(outputs.into_iter().map(|output| (*port, output)));
            }
        }
        all_outputs
    }

    /// Delivers datagrams and stores reported events. Returns the outputs of the receivers.
    fn deliver(
        &mut self,
        outputs: Vec<(u16, Output)>,
        is_lost: impl Fn(u16, u16) -> bool,
    ) -> Vec<(u16, Output)> {
        let mut replies = Vec::new();
        for (from, output) in outputs {
            let Output::Datagram { to, bytes } = &output else {
                self.reports.push((from, output));
                continue;
            };
            let port = to.port();
            if is_lost(from, port) || self.stalled.contains(&port) {
                continue;
            }
            if let Some(limiter) = self.limiters.get_mut(&port) {
                let mut outputs = Vec::new();
                limiter.receive(bytes, self.now, &mut outputs);
                replies.extend(outputs.into_iter().map(|output| (port, output)));
            }
        }
        replies
    }

    /// Names of the members that the limiter at `port` sees as up.
    fn seen_by(&self, port: u16) -> Vec<String> {
        let members = self.limiters[&port].alive();
        members.map(|member| member.name.clone()).collect()
    }
}

#[test]
fn partitions_rejoin_after_each_considered_the_other_down() {
    let mut world = World::new(6);
    world.run(10.0, lossless);
    assert!((1..=6).all(|port| world.seen_by(port).len() == 5));
    world.run(30.0, |from, to| (from <= 3) != (to <= 3));
    assert!(
        (1..=6).all(|port| world.seen_by(port).len() == 2),
        "limiters see only their own partition"
    );
    world.run(40.0, lossless);
    assert!(
        (1..=6).all(|port| world.seen_by(port).len() == 5),
        "limiters see all members again"
    );
}

#[test]
fn a_restart_replaces_its_earlier_instance_and_a_departure_is_seen_at_once() {
    let mut world = World::new(4);
    world.run(10.0, lossless);
    // Restart at the same address with a wall clock that was set back by an hour.
    world.limiters.remove(&3);
    let restarted = Member {
        precedence: 0,
        ..member("n3", 77, 3)
    };
    let restarted = Membership::new(settings(&[1, 2]), restarted, 9, world.now);
    world.limiters.insert(3, restarted);
    world.run(10.0, lossless);
    for port in [1, 2, 4] {
        let alive = world.limiters[&port].alive();
        let instances: Vec<u64> = alive
            .filter(|member| member.name == "n3")
            .map(|member| member.instance)
            .collect();
        assert_eq!(instances, [77]);
        let count = world.limiters[&port].count();
        assert_eq!(count, 3, "the earlier instance is removed");
    }

    let now = world.now;
    let mut outputs = Vec::new();
    let leaving = world.limiters.get_mut(&4).unwrap();
    leaving.leave(now, &mut outputs);
    let outputs = outputs.into_iter().map(|output| (4, output)).collect();
    world.deliver(outputs, lossless);
    world.stalled.push(4);
    world.run(1.0, lossless);
    assert!(
        [1, 2, 3]
            .iter()
            .all(|port| !world.seen_by(*port).contains(&"n4".into())),
        "the departure is known before a probe could detect it"
    );
}

#[test]
fn two_running_processes_of_one_name_are_detected() {
    let mut world = World::new(4);
    world.run(10.0, lossless);
    world.start("n3", 99, 9);
    world.run(20.0, lossless);
    for port in [1, 2, 3, 4, 9] {
        assert!(
            world.limiters[&port].is_duplicate("n3"),
            "limiter {port} detects the duplicate"
        );
        let reports = world.reports.iter().filter(|(reporter, output)| {
            let duplicate = matches!(output, Output::DuplicateName(DuplicateName { .. }));
            *reporter == port && duplicate
        });
        assert_eq!(reports.count(), 1, "the duplicate is reported once");
    }
    world.limiters.remove(&9);
    world.run(20.0, lossless);
    assert!(
        [1, 2, 3, 4]
            .iter()
            .all(|port| !world.limiters[port].is_duplicate("n3")),
        "the name is unique again"
    );
}

#[test]
fn a_stalled_process_reports_no_other_member_as_down() {
    let mut world = World::new(6);
    world.run(10.0, lossless);
    world.reports.clear();
    // The stall is longer than probe and suspicion: others see limiter 2 as down, but it must not see them as down.
    world.stalled.push(2);
    world.run(8.0, lossless);
    world.stalled.clear();
    world.run(20.0, lossless);
    let mut reports = world.reports.iter().filter(|(reporter, _)| *reporter == 2);
    let wrong_reports = reports
        .clone()
        .filter(|(_, output)| matches!(output, Output::Down(_)));
    assert_eq!(wrong_reports.count(), 0);
    assert!(
        reports.any(|(_, output)| matches!(output, Output::Stalled { seconds } if *seconds > 6.0))
    );
    assert!((1..=6).all(|port| world.seen_by(port).len() == 5));
}

#[test]
fn a_suspect_that_refutes_the_suspicion_is_not_down() {
    let mut world = World::new(8);
    world.run(10.0, lossless);
    world.reports.clear();
    // With nearly a third of all datagrams lost, suspicions arise every minute, and each is refuted in time.
    let random = RefCell::new(Xoshiro256PlusPlus::seed_from_u64(5));
    world.run(120.0, |_, _| random.borrow_mut().random::<f64>() < 0.3);
    let down: Vec<_> = world
        .reports
        .iter()
        .filter(|(_, output)| matches!(output, Output::Down(_)))
        .collect();
    assert!(
        down.is_empty(),
        "{} members were reported as down, the first: {:?}",
        down.len(),
        down.first()
    );
    let renewed =
        |(port, limiter): (&u16, &Membership)| limiter.own().precedence != u64::from(*port);
    assert!(
        !world.limiters.iter().any(renewed),
        "no limiter was told that it is down"
    );
}

#[test]
fn invalid_datagrams_are_counted_and_ignored() {
    let mut world = World::new(3);
    world.run(5.0, lossless);
    let limiter = world.limiters.get_mut(&1).unwrap();
    for length in [0usize, 1, 7, 300, 2000] {
        limiter.receive(&vec![0xA5; length], 6.0, &mut Vec::new());
    }
    assert!(limiter.rejected_datagrams() >= 4);
    assert_eq!(world.seen_by(1).len(), 2);
}
