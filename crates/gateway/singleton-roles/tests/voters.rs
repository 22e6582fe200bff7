//! Three voters and their holders in one process, on one clock and links without delay: what trials found,
//! each in its smallest form.

use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::records::{DiskState, WriteBatch};
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::{Identity, Message, Output, Role, Settings};
use std::collections::VecDeque;

struct Node {
    name: String,
    voter: Option<Voter>,
    client: RoleClient,
    disk: DiskState,
    /// What this disk held at each second.
    disk_history: Vec<DiskState>,
    up: bool,
    /// It stands still: nothing reaches it, nothing is lost.
    still: bool,
    mail: VecDeque<(String, Message)>,
}

struct Fleet {
    settings: Settings,
    nodes: Vec<Node>,
    now: f64,
    runs: u64,
    reports: Vec<String>,
    tokens: Vec<Vec<u64>>,
    /// How long a write takes, and what is under way.
    fsync: f64,
    /// Of one disk, in place of the others' time.
    slow_disk: Option<(usize, f64)>,
    saving: VecDeque<(f64, usize, WriteBatch)>,
    /// How many writes were asked for.
    writes: usize,
    /// Who wakes up reads what came before it looks at its timers.
    mail_first: bool,
}

fn settings() -> Settings {
    Settings {
        fleet: "f".into(),
        voters: ["n0", "n1", "n2"].map(String::from).into(),
        zones: vec!["a".into()],
        roles: vec![Role {
            name: "audit".into(),
            shards: 8,
            by_zone: false,
        }],
        lease_duration: 2.0,
        clock_drift: 0.01,
        renew_interval: 0.5,
        stall_timeout: 0.0,
        tick_interval: 0.05,
        max_revocations: 64,
        disk_check_timeout: 6.0,
    }
}

impl Fleet {
    fn new(limiters: usize) -> Self {
        let settings = settings();
        let mut fleet = Fleet {
            settings,
            nodes: vec![],
            now: 100.0,
            runs: 0,
            reports: vec![],
            tokens: vec![vec![]; limiters],
            fsync: 0.0,
            slow_disk: None,
            saving: VecDeque::new(),
            writes: 0,
            mail_first: false,
        };
        for n in 0..limiters {
            let identity = Identity {
                name: format!("n{n}"),
                run: 0,
                zone: "a".into(),
                machine: format!("m{n}"),
            };
            fleet.nodes.push(Node {
                name: identity.name.clone(),
                voter: None,
                client: RoleClient::new(fleet.settings.clone(), identity, vec![], 0.0),
                disk: DiskState::default(),
                disk_history: vec![],
                up: false,
                still: false,
                mail: VecDeque::new(),
            });
            fleet.start(n);
        }
        fleet.run(4.0);
        assert!(fleet.all_slots_owned(), "all slots are held at first");
        fleet
    }

    fn start(&mut self, n: usize) {
        self.runs += 1;
        let (run, now) = (self.runs, self.now);
        let name = self.nodes[n].name.clone();
        let identity = Identity {
            name: name.clone(),
            run,
            zone: "a".into(),
            machine: format!("m{n}"),
        };
        let node = &mut self.nodes[n];
        node.client = RoleClient::new(self.settings.clone(), identity, vec![], now);
        node.mail.clear();
        node.up = true;
        let mut out = Vec::new();
        if self.settings.voters.contains(&name) {
            let disk = node.disk.clone();
            node.voter =
                Some(Voter::new(self.settings.clone(), name, disk, run, now, &mut out).unwrap());
        }
        self.take(n, out);
    }

    fn kill(&mut self, n: usize) {
        self.saving.retain(|write| write.1 != n);
        self.nodes[n].up = false;
        self.nodes[n].voter = None;
        self.nodes[n].mail.clear();
    }

    fn take(&mut self, n: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send { to, message } => {
                    let from = self.nodes[n].name.clone();
                    if let Some(to) = self.nodes.iter_mut().find(|t| t.name == to && t.up) {
                        to.mail.push_back((from, message));
                    }
                }
                Output::Write(batch) => {
                    self.writes += 1;
                    let slow = self.slow_disk.filter(|slow| slow.0 == n).map(|slow| slow.1);
                    self.saving
                        .push_back((self.now + slow.unwrap_or(self.fsync), n, batch));
                    self.sync();
                }
                Output::Report { text, .. } => self.reports.push(text),
                Output::Tokens(tokens) => self.tokens[n] = tokens,
                Output::Acquired { .. } | Output::Lost { .. } => {}
            }
        }
    }

    /// All disks that stood still go on, and have written what waited.
    fn disks_go_on(&mut self) {
        self.fsync = 0.0;
        self.saving.iter_mut().for_each(|write| write.0 = self.now);
    }

    /// Writes whose time has come are on the disk, and said to be.
    fn sync(&mut self) {
        while let Some(at) = self.saving.iter().position(|write| write.0 <= self.now) {
            let Some((_, n, batch)) = self.saving.remove(at) else {
                return;
            };
            if !self.nodes[n].up {
                continue;
            }
            self.nodes[n].disk.apply(&batch);
            let mut out = Vec::new();
            let now = self.now;
            if let Some(v) = &mut self.nodes[n].voter {
                v.written(batch.number, now, &mut out);
            }
            self.take(n, out);
        }
    }

    fn timers(&mut self, n: usize) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(v) = &mut self.nodes[n].voter {
            v.tick(now, &mut out);
        }
        self.nodes[n].client.tick(now, &mut out);
        self.take(n, out);
    }

    /// One step of all nodes: timers first, as a process that wakes up finds them due, then its mail.
    fn step(&mut self) {
        self.now += 0.005;
        let now = self.now;
        self.sync();
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up || self.nodes[n].still {
                continue;
            }
            if !self.mail_first {
                self.timers(n);
            }
            for (from, message) in std::mem::take(&mut self.nodes[n].mail) {
                let mut out = Vec::new();
                let node = &mut self.nodes[n];
                match message {
                    Message::Renewed { .. }
                    | Message::NotLeader { .. }
                    | Message::DuplicateName { .. }
                    | Message::AssignmentsChanged { .. } => {
                        node.client.receive(&from, message, now, &mut out);
                    }
                    _ => {
                        if let Some(v) = &mut node.voter {
                            v.receive(&from, message, now, &mut out);
                        }
                    }
                }
                self.take(n, out);
            }
            if self.mail_first {
                self.timers(n);
            }
        }
        // One holder at a time, on the one clock; standing still takes nothing from what a lease says.
        for slot in 0..self.settings.slots() {
            let owners = self
                .nodes
                .iter()
                .filter(|n| n.up && n.client.token(slot, now).is_some());
            let owners: Vec<_> = owners.map(|n| n.name.clone()).collect();
            assert!(owners.len() <= 1, "{owners:?} hold {slot} at {now}");
        }
        let leads: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|n| n.voter.as_ref())
            .filter(|v| v.is_leader())
            .collect();
        for (i, a) in leads.iter().enumerate() {
            assert!(
                leads[i + 1..].iter().all(|b| b.term() != a.term()),
                "two lead in term {}",
                a.term()
            );
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            let second = self.now as u64;
            self.step();
            if self.now as u64 != second {
                self.nodes
                    .iter_mut()
                    .for_each(|n| n.disk_history.push(n.disk.clone()));
            }
        }
    }

    fn all_slots_owned(&self) -> bool {
        let all_slots_owned = |slot| {
            self.nodes
                .iter()
                .any(|n| n.up && n.client.token(slot, self.now).is_some())
        };
        (0..self.settings.slots()).all(all_slots_owned)
    }

    fn leader(&self) -> usize {
        self.nodes
            .iter()
            .position(|n| n.voter.as_ref().is_some_and(Voter::is_leader))
            .unwrap()
    }

    fn reported(&self, what: &str) -> bool {
        self.reports.iter().any(|r| r.contains(what))
    }
}

#[test]
fn a_session_whose_end_is_under_way_is_not_renewed() {
    let mut fleet = Fleet::new(5);
    // All stand still for longer than a lease. Awake, the leader finds all sessions lapsed and says so to the
    // log, having heard some ask the moment before; heartbeats come back before the entries are written.
    fleet.fsync = 0.06;
    fleet.mail_first = true;
    for round in 0..6 {
        fleet.nodes.iter_mut().for_each(|n| n.still = true);
        fleet.run(3.0 + 0.3 * f64::from(round));
        fleet.nodes[3..].iter_mut().for_each(|n| n.still = false);
        fleet.run(0.01);
        fleet.nodes.iter_mut().for_each(|n| n.still = false);
        fleet.run(0.04);
        // Who was renewed in that moment stands still again, and holds as long as it was told.
        fleet.nodes[3..].iter_mut().for_each(|n| n.still = true);
        fleet.run(1.8);
        fleet.nodes[3..].iter_mut().for_each(|n| n.still = false);
        fleet.run(6.0);
        assert!(fleet.all_slots_owned());
    }
}

#[test]
fn a_leader_whose_disk_was_put_back_does_not_lead_its_term_again() {
    let mut fleet = Fleet::new(5);
    // The next leader has one term more; its disk is put back to before it led.
    let first = fleet.leader();
    fleet.kill(first);
    fleet.run(4.0);
    let second = fleet.leader();
    assert_ne!(first, second);
    let before = fleet.nodes[second].disk_history[2].clone();
    assert!(before.hard_state.term < fleet.nodes[second].voter.as_ref().unwrap().term());
    fleet.kill(second);
    fleet.nodes[second].disk = before;
    fleet.start(second);
    fleet.start(first);
    fleet.run(20.0);
    assert!(
        fleet.reported("is older than its last known state"),
        "{:?}",
        fleet.reports
    );
    assert!(fleet.reported("has a new disk: its admission is proposed") && fleet.all_slots_owned());
    assert!(fleet.nodes[..3]
        .iter()
        .all(|n| n.voter.as_ref().unwrap().is_voting()));
}

#[test]
fn a_voter_without_its_disk_has_no_vote_until_it_is_let_in() {
    let mut fleet = Fleet::new(4);
    let lost = (fleet.leader() + 1) % 3;
    fleet.kill(lost);
    fleet.nodes[lost].disk = DiskState::default();
    let other = (lost + 1) % 3;
    // Alone with it the other voter is no majority: nobody leads, duties lapse, nobody acts.
    let third = 3 - lost - other;
    fleet.kill(third);
    fleet.start(lost);
    fleet.run(10.0);
    assert!(!fleet.nodes[lost].voter.as_ref().unwrap().is_voting());
    assert!(fleet
        .nodes
        .iter()
        .all(|n| n.voter.as_ref().is_none_or(|v| !v.is_leader())));
    assert!((0..8).all(|s| fleet
        .nodes
        .iter()
        .all(|n| n.client.token(s, fleet.now).is_none())));
    // With the third back there is a majority, which lets it in; then it counts like any other.
    fleet.start(third);
    fleet.run(16.0);
    assert!(
        fleet.nodes[lost].voter.as_ref().unwrap().is_voting() && fleet.all_slots_owned(),
        "{:?}",
        fleet.reports
    );
    fleet.kill(third);
    fleet.run(6.0);
    assert!(fleet.all_slots_owned());
}

#[test]
fn a_restart_while_another_is_down_votes_after_the_stated_wait() {
    let mut fleet = Fleet::new(4);
    fleet.kill(2);
    fleet.kill(1);
    fleet.run(0.5);
    fleet.start(1);
    fleet.run(3.0);
    assert!(
        !fleet.nodes[1].voter.as_ref().unwrap().is_voting(),
        "one of the others could know better"
    );
    fleet.run(12.0);
    assert!(
        fleet.reported("of the other voters confirmed its disk within fleet.disk_wait")
            && fleet.all_slots_owned()
    );
}

#[test]
fn a_fencing_check_takes_nothing_until_it_knows_the_tokens() {
    let mut fleet = Fleet::new(4);
    let token = fleet
        .nodes
        .iter()
        .find_map(|n| n.client.token(0, fleet.now))
        .unwrap();
    let mut check = FencingCheck::new(8);
    assert!(
        !check.accept(0, token),
        "started anew, it could take one that is older than what it took"
    );
    fleet.kill(3);
    fleet.run(5.0);
    fleet.start(3);
    fleet.run(3.0);
    check.initialize(&fleet.tokens[3]);
    let now = fleet
        .nodes
        .iter()
        .find_map(|n| n.client.token(0, fleet.now))
        .unwrap();
    assert!(
        check.accept(0, now)
            && !check.accept(0, 1)
            && !check.accept(99, now)
            && !check.accept(0, 0)
    );
}

#[test]
fn a_graceful_shutdown_hands_over_at_once_and_a_crash_within_lease_and_election() {
    let mut fleet = Fleet::new(5);
    let slot = (0..8)
        .find(|s| {
            [3, 4]
                .iter()
                .any(|n| fleet.nodes[*n].client.token(*s, fleet.now).is_some())
        })
        .unwrap();
    let owner = [3, 4]
        .into_iter()
        .find(|n| fleet.nodes[*n].client.token(slot, fleet.now).is_some())
        .unwrap();
    let mut out = Vec::new();
    let now = fleet.now;
    fleet.nodes[owner].client.leave(now, &mut out);
    fleet.take(owner, out);
    fleet.run(0.1);
    assert!(fleet.all_slots_owned(), "within a tenth of a second");
    let leader = fleet.leader();
    fleet.kill(leader);
    fleet.run(4.5);
    assert!(fleet.all_slots_owned(), "leader and holder in one");
}

/// Runs with a look at each step that nobody who held a slot lost it.
fn run_with_no_lapse(fleet: &mut Fleet, seconds: f64, slots: &[u32]) {
    let end = fleet.now + seconds;
    while fleet.now < end {
        fleet.step();
        for slot in slots {
            let all_slots_owned = fleet
                .nodes
                .iter()
                .any(|n| n.up && n.client.token(*slot, fleet.now).is_some());
            assert!(all_slots_owned, "nobody holds {slot} at {}", fleet.now);
        }
    }
}

#[test]
fn leases_that_are_only_renewed_write_nothing() {
    let mut fleet = Fleet::new(5);
    let (leader, all) = (fleet.leader(), (0..8).collect::<Vec<_>>());
    let writes = fleet.writes;
    // All disks stand still, for longer than a lease with its election.
    fleet.fsync = 8.0;
    run_with_no_lapse(&mut fleet, 12.0, &all);
    assert_eq!((fleet.leader(), fleet.writes), (leader, writes));
}

#[test]
fn a_grant_that_waits_for_the_disks_costs_no_other_lease() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader();
    let lost = fleet.nodes[4].name.clone();
    let (of_lost, others): (Vec<u32>, Vec<u32>) =
        (0..8).partition(|slot| fleet.nodes[4].client.token(*slot, fleet.now).is_some());
    assert!(
        !of_lost.is_empty() && !others.is_empty(),
        "{lost} holds some, not all"
    );
    fleet.fsync = 8.0;
    fleet.kill(4);
    // Its session's end and the grants of its slots are in the log, and on no disk.
    run_with_no_lapse(&mut fleet, 8.0, &others);
    let free = |fleet: &Fleet| {
        of_lost.iter().all(|s| {
            fleet
                .nodes
                .iter()
                .all(|n| !n.up || n.client.token(*s, fleet.now).is_none())
        })
    };
    assert!(free(&fleet), "nothing is granted that no disk holds");
    fleet.disks_go_on();
    run_with_no_lapse(&mut fleet, 8.0, &others);
    assert!(fleet.all_slots_owned());
    assert_eq!(fleet.leader(), leader);
}

#[test]
fn a_leader_that_lost_what_only_others_wrote_keeps_its_vote() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader();
    fleet.slow_disk = Some((leader, 60.0));
    // The end of its session is written by the two others and settled; the leader's disk does not get to it.
    fleet.kill(4);
    fleet.run(4.0);
    assert_eq!(fleet.leader(), leader);
    fleet.kill(leader);
    fleet.slow_disk = None;
    fleet.run(4.0);
    fleet.start(leader);
    fleet.run(2.0);
    assert!(
        !fleet.reported("is older than its last known state"),
        "{:?}",
        fleet.reports
    );
    assert!(fleet.nodes[leader].voter.as_ref().unwrap().is_voting());
    // With its vote the group stands without a third.
    let third = (0..3)
        .find(|n| *n != leader && *n != fleet.leader())
        .unwrap();
    fleet.kill(third);
    fleet.run(6.0);
    assert!(fleet.all_slots_owned());
}
