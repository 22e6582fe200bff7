//! Three voters and their clients in one process, on one clock and with links without delay: minimal
//! reproductions of failures found in simulated trials.

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
    /// Contents of the disk at each second.
    disk_history: Vec<DiskState>,
    up: bool,
    /// The process is paused: it handles no messages, but none are lost.
    paused: bool,
    /// Received messages with their senders.
    inbox: VecDeque<(String, Message)>,
}

struct Fleet {
    settings: Settings,
    nodes: Vec<Node>,
    now: f64,
    runs: u64,
    reports: Vec<String>,
    /// The tokens last received, by node.
    tokens: Vec<Vec<u64>>,
    /// Seconds that a write takes.
    fsync: f64,
    /// A node whose disk takes another number of seconds for a write.
    slow_disk: Option<(usize, f64)>,
    /// Pending writes: completion time, node and batch.
    pending_writes: VecDeque<(f64, usize, WriteBatch)>,
    /// Number of writes submitted.
    writes: usize,
    /// Whether a node handles its inbox before its timers.
    inbox_first: bool,
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
            pending_writes: VecDeque::new(),
            writes: 0,
            inbox_first: false,
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
                paused: false,
                inbox: VecDeque::new(),
            });
            fleet.start(n);
        }
        fleet.run(4.0);
        assert!(
            fleet.all_slots_owned(),
            "all slots are held after the start"
        );
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
        node.inbox.clear();
        node.up = true;
        let mut out = Vec::new();
        if self.settings.voters.contains(&name) {
            let disk = node.disk.clone();
            node.voter =
                Some(Voter::new(self.settings.clone(), name, disk, run, now, &mut out).unwrap());
        }
        self.handle_outputs(n, out);
    }

    fn kill(&mut self, n: usize) {
        self.pending_writes.retain(|write| write.1 != n);
        self.nodes[n].up = false;
        self.nodes[n].voter = None;
        self.nodes[n].inbox.clear();
    }

    fn handle_outputs(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let from = self.nodes[n].name.clone();
                    if let Some(to) = self
                        .nodes
                        .iter_mut()
                        .find(|node| node.name == to && node.up)
                    {
                        to.inbox.push_back((from, message));
                    }
                }
                Output::Write(batch) => {
                    self.writes += 1;
                    let slow = self.slow_disk.filter(|slow| slow.0 == n).map(|slow| slow.1);
                    self.pending_writes.push_back((
                        self.now + slow.unwrap_or(self.fsync),
                        n,
                        batch,
                    ));
                    self.complete_writes();
                }
                Output::Report { text, .. } => self.reports.push(text),
                Output::Tokens(tokens) => self.tokens[n] = tokens,
                Output::Acquired { .. } | Output::Lost { .. } => {}
            }
        }
    }

    /// Ends the stall of all disks: pending writes complete now.
    fn resume_disks(&mut self) {
        self.fsync = 0.0;
        self.pending_writes
            .iter_mut()
            .for_each(|write| write.0 = self.now);
    }

    /// Completes all writes that are due and reports them to their voters.
    fn complete_writes(&mut self) {
        while let Some(position) = self
            .pending_writes
            .iter()
            .position(|write| write.0 <= self.now)
        {
            let Some((_, n, batch)) = self.pending_writes.remove(position) else {
                return;
            };
            if !self.nodes[n].up {
                continue;
            }
            self.nodes[n].disk.apply(&batch);
            let mut out = Vec::new();
            let now = self.now;
            if let Some(voter) = &mut self.nodes[n].voter {
                voter.written(batch.number, now, &mut out);
            }
            self.handle_outputs(n, out);
        }
    }

    fn run_timers(&mut self, n: usize) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(voter) = &mut self.nodes[n].voter {
            voter.tick(now, &mut out);
        }
        self.nodes[n].client.tick(now, &mut out);
        self.handle_outputs(n, out);
    }

    /// Runs one step of all nodes: timers, as they are due when a process wakes up, then the inbox; the other way
    /// round with `inbox_first`.
    fn step(&mut self) {
        self.now += 0.005;
        let now = self.now;
        self.complete_writes();
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up || self.nodes[n].paused {
                continue;
            }
            if !self.inbox_first {
                self.run_timers(n);
            }
            for (from, message) in std::mem::take(&mut self.nodes[n].inbox) {
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
                        if let Some(voter) = &mut node.voter {
                            voter.receive(&from, message, now, &mut out);
                        }
                    }
                }
                self.handle_outputs(n, out);
            }
            if self.inbox_first {
                self.run_timers(n);
            }
        }
        // At most one node holds a slot; a paused node still counts as long as its lease is valid.
        for slot in 0..self.settings.slots() {
            let owners = self
                .nodes
                .iter()
                .filter(|n| n.up && n.client.token(slot, now).is_some());
            let owners: Vec<_> = owners.map(|n| n.name.clone()).collect();
            assert!(
                owners.len() <= 1,
                "{owners:?} all hold slot {slot} at {now}"
            );
        }
        let leaders: Vec<_> = self
            .nodes
            .iter()
            .filter_map(|n| n.voter.as_ref())
            .filter(|v| v.is_leader())
            .collect();
        for (i, leader) in leaders.iter().enumerate() {
            assert!(
                leaders[i + 1..]
                    .iter()
                    .all(|other| other.term() != leader.term()),
                "two leaders in term {}",
                leader.term()
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
        let is_owned = |slot| {
            self.nodes
                .iter()
                .any(|n| n.up && n.client.token(slot, self.now).is_some())
        };
        (0..self.settings.slots()).all(is_owned)
    }

    fn leader(&self) -> usize {
        self.nodes
            .iter()
            .position(|n| n.voter.as_ref().is_some_and(Voter::is_leader))
            .unwrap()
    }

    fn reported(&self, text: &str) -> bool {
        self.reports.iter().any(|report| report.contains(text))
    }
}

#[test]
fn an_expiring_session_is_not_renewed() {
    let mut fleet = Fleet::new(5);
    // All nodes pause for longer than a lease. The leader then receives some renewals just before it proposes to
    // expire all sessions, and responses to heartbeats arrive before the entries are written.
    fleet.fsync = 0.06;
    fleet.inbox_first = true;
    for round in 0..6 {
        fleet.nodes.iter_mut().for_each(|n| n.paused = true);
        fleet.run(3.0 + 0.3 * f64::from(round));
        fleet.nodes[3..].iter_mut().for_each(|n| n.paused = false);
        fleet.run(0.01);
        fleet.nodes.iter_mut().for_each(|n| n.paused = false);
        fleet.run(0.04);
        // The nodes that may have been renewed at that moment pause again, and would hold for a full lease.
        fleet.nodes[3..].iter_mut().for_each(|n| n.paused = true);
        fleet.run(1.8);
        fleet.nodes[3..].iter_mut().for_each(|n| n.paused = false);
        fleet.run(6.0);
        assert!(fleet.all_slots_owned());
    }
}

#[test]
fn a_leader_with_a_restored_older_disk_does_not_lead_its_term_again() {
    let mut fleet = Fleet::new(5);
    // The next leader has a later term; its disk is restored to a state from before it led.
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
fn a_voter_that_lost_its_disk_has_no_vote_until_it_is_admitted() {
    let mut fleet = Fleet::new(4);
    let lost = (fleet.leader() + 1) % 3;
    fleet.kill(lost);
    fleet.nodes[lost].disk = DiskState::default();
    let other = (lost + 1) % 3;
    // The other voter and a voter without a vote are no majority: no leader, and all leases expire.
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
    // With the third voter there is a majority, which admits the new disk; afterwards the new disk counts towards
    // a majority.
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
fn a_restarted_voter_votes_after_the_disk_check_timeout_while_another_is_down() {
    let mut fleet = Fleet::new(4);
    fleet.kill(2);
    fleet.kill(1);
    fleet.run(0.5);
    fleet.start(1);
    fleet.run(3.0);
    assert!(
        !fleet.nodes[1].voter.as_ref().unwrap().is_voting(),
        "the stopped voter may know a newer state of the disk"
    );
    fleet.run(12.0);
    assert!(
        fleet.reported("of the other voters confirmed its disk within fleet.disk_wait")
            && fleet.all_slots_owned()
    );
}

#[test]
fn a_fencing_check_refuses_all_tokens_until_it_is_initialized() {
    let mut fleet = Fleet::new(4);
    let token = fleet
        .nodes
        .iter()
        .find_map(|n| n.client.token(0, fleet.now))
        .unwrap();
    let mut check = FencingCheck::new(8);
    assert!(
        !check.accept(0, token),
        "a restarted check could accept a token older than one accepted before"
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
fn slots_move_at_once_on_a_graceful_shutdown_and_within_lease_and_election_on_a_crash() {
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
    fleet.handle_outputs(owner, out);
    fleet.run(0.1);
    assert!(
        fleet.all_slots_owned(),
        "all slots are held 0.1 s after the shutdown"
    );
    let leader = fleet.leader();
    fleet.kill(leader);
    fleet.run(4.5);
    assert!(
        fleet.all_slots_owned(),
        "all slots are held again after a crash of the leader, which held slots"
    );
}

/// Runs the fleet and asserts at each step that every one of the slots is held.
fn run_with_slots_held(fleet: &mut Fleet, seconds: f64, slots: &[u32]) {
    let end = fleet.now + seconds;
    while fleet.now < end {
        fleet.step();
        for slot in slots {
            let is_owned = fleet
                .nodes
                .iter()
                .any(|n| n.up && n.client.token(*slot, fleet.now).is_some());
            assert!(is_owned, "no node holds slot {slot} at {}", fleet.now);
        }
    }
}

#[test]
fn renewing_leases_writes_nothing_to_disk() {
    let mut fleet = Fleet::new(5);
    let (leader, all) = (fleet.leader(), (0..8).collect::<Vec<_>>());
    let writes = fleet.writes;
    // All disks stall for longer than a lease and an election.
    fleet.fsync = 8.0;
    run_with_slots_held(&mut fleet, 12.0, &all);
    assert_eq!((fleet.leader(), fleet.writes), (leader, writes));
}

#[test]
fn a_grant_that_waits_for_stalled_disks_costs_no_other_lease() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader();
    let lost = fleet.nodes[4].name.clone();
    let (of_lost, others): (Vec<u32>, Vec<u32>) =
        (0..8).partition(|slot| fleet.nodes[4].client.token(*slot, fleet.now).is_some());
    assert!(
        !of_lost.is_empty() && !others.is_empty(),
        "{lost} holds some slots, but not all"
    );
    fleet.fsync = 8.0;
    fleet.kill(4);
    // The expiry of the session and the grants of its slots are in the log, but on no disk.
    run_with_slots_held(&mut fleet, 8.0, &others);
    let free = |fleet: &Fleet| {
        of_lost.iter().all(|s| {
            fleet
                .nodes
                .iter()
                .all(|n| !n.up || n.client.token(*s, fleet.now).is_none())
        })
    };
    assert!(
        free(&fleet),
        "no slot is granted before the grant is on a disk"
    );
    fleet.resume_disks();
    run_with_slots_held(&mut fleet, 8.0, &others);
    assert!(fleet.all_slots_owned());
    assert_eq!(fleet.leader(), leader);
}

#[test]
fn a_leader_restarted_without_entries_that_only_others_wrote_keeps_its_vote() {
    let mut fleet = Fleet::new(5);
    let leader = fleet.leader();
    fleet.slow_disk = Some((leader, 60.0));
    // The expiry of node 4's session is committed by the two other voters; the leader's disk never writes it.
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
    // With its vote the group has a majority without the third voter.
    let third = (0..3)
        .find(|n| *n != leader && *n != fleet.leader())
        .unwrap();
    fleet.kill(third);
    fleet.run(6.0);
    assert!(fleet.all_slots_owned());
}
