//! Checks before a voter may vote. Voters whose disks are all empty form the group; the leader admits the new
//! disk of a voter that lost its old one; and a disk restored to an older state is detected. A vote belongs to
//! a disk: a disk that may have lost a vote must not cast another.

use super::{Phase, Voter};
use crate::memory_log::MemoryLog;
use crate::message::{report, DiskVerdict, HelloResponse, KnownLeader, VoterHello};
use crate::raft_types::{HardState, Snapshot, VoterConfig};
use crate::records::{DiskMeta, DiskState, WriteBatch};
use crate::table::{Group, GroupMember, RoleTable};
use crate::{Message, Name, Output, Severity};
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use rand::RngExt;

impl Voter {
    pub(super) fn send_hello(&mut self, out: &mut Vec<Output>) {
        // The start itself must be on the disk first.
        if !self.pending_writes.is_empty() {
            return;
        }
        let log = self.raft.as_ref().map(|raft| raft.store());
        let hello = VoterHello {
            name: self.name.clone(),
            disk: self.meta.disk,
            starts: self.meta.starts,
            nonce: self.nonce,
            term: log.map_or(0, |log| log.hard_state.term),
            last_index: log.map_or(0, MemoryLog::last_log_index),
            is_voter: matches!(self.phase, Phase::VerifyingDisk { .. }),
        };
        for to in self.settings.voters.iter().filter(|v| **v != self.name) {
            out.push(Output::Send {
                to: to.clone(),
                message: Message::Hello(hello.clone()),
            });
        }
    }

    pub(super) fn receive_hello(&mut self, from: &str, hello: VoterHello, out: &mut Vec<Output>) {
        if hello.name != from || !self.settings.voters.contains(&hello.name) {
            let name = &hello.name;
            let text = format!(
                "{from} sent a hello as voter {name}; the name must be its own and listed in \
                 fleet.voters"
            );
            report(out, Severity::Warning, text);
            return;
        }
        let respond = |response| Output::Send {
            to: from.into(),
            message: Message::HelloResponse {
                disk: hello.disk,
                nonce: hello.nonce,
                response,
            },
        };
        let Some(group) = self.meta.group.clone() else {
            out.push(respond(HelloResponse::Empty {
                disk: self.meta.disk,
            }));
            if !hello.is_voter {
                self.record_empty_disk(&hello.name, hello.disk);
            }
            self.form_group(out);
            return;
        };
        if matches!(self.phase, Phase::NonVoting) {
            return;
        }
        let known = self.meta.peers.get(&hello.disk).copied();
        let known = known.unwrap_or_default();
        let is_same_start = hello.starts == known.starts && hello.nonce == known.nonce;
        let verdict = self.check_disk(&group, &hello);
        if verdict == DiskVerdict::Current && !is_same_start {
            // The start is written to disk first; the voter's next hello is answered after the write.
            let known = self.meta.peers.entry(hello.disk).or_default();
            (known.starts, known.nonce) = (hello.starts, hello.nonce);
            self.batch.meta = Some(self.meta.clone());
            self.write_barrier(0, Vec::new(), out);
            return;
        }
        out.push(respond(HelloResponse::Formed {
            disk: self.meta.disk,
            group,
            verdict,
            leader: self.known_leader(),
        }));
        if verdict == DiskVerdict::Unknown && !hello.is_voter {
            self.admit(hello.name, hello.disk, out);
        }
    }

    /// This voter's verdict on the disk that sent a hello.
    fn check_disk(&self, group: &Group, hello: &VoterHello) -> DiskVerdict {
        let voters = &self.table.voters;
        let is_original = group.iter().any(|member| member.disk == hello.disk);
        let is_member = is_original || voters.contains_key(&hello.disk);
        let was_removed = !voters.is_empty() && !voters.contains_key(&hello.disk);
        if !is_member || (was_removed && self.is_voting() && self.applied > 1) {
            return DiskVerdict::Unknown;
        }
        let known = self.meta.peers.get(&hello.disk).copied();
        let known = known.unwrap_or_default();
        let is_same_start = hello.starts == known.starts && hello.nonce == known.nonce;
        // Acknowledged entries are removed from a log only in a later term.
        let is_behind = (hello.term, hello.last_index) < (known.term, known.last_index);
        if (hello.starts <= known.starts && !is_same_start) || (hello.is_voter && is_behind) {
            DiskVerdict::Outdated
        } else {
            DiskVerdict::Current
        }
    }

    fn known_leader(&self) -> KnownLeader {
        let raft = self.raft.as_ref().map(|raft| &raft.raft);
        let raft = raft.filter(|raft| raft.leader_id != 0);
        raft.map_or_else(KnownLeader::default, |raft| KnownLeader {
            term: raft.term,
            disk: raft.leader_id,
        })
    }

    /// As leader, proposes to replace a voter's lost disk by its new one, in a joint change that needs the
    /// majorities of both configurations.
    fn admit(&mut self, name: Name, disk: u64, out: &mut Vec<Output>) {
        let (now, interval) = (self.now, self.settings.lease_duration);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !leadership.may_admit(now, interval) {
            return;
        }
        let Some(raft) = self.raft.as_mut() else {
            return;
        };
        leadership.admission_proposed(now);
        let replaced = self.table.voters.iter().find(|v| *v.1 == name);
        let mut changes = vec![single_config_change(disk, ConfChangeType::AddNode)];
        changes.extend(
            replaced.map(|(old, _)| single_config_change(*old, ConfChangeType::RemoveNode)),
        );
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let context = postcard::to_stdvec(&(name.clone(), disk)).unwrap_or_default();
        if raft.propose_conf_change(context, change).is_ok() {
            let text = format!("voter {name} has a new disk: its admission is proposed");
            report(out, Severity::Warning, text);
        }
    }

    pub(super) fn receive_hello_response(
        &mut self,
        from: &str,
        response: HelloResponse,
        out: &mut Vec<Output>,
    ) {
        match response {
            HelloResponse::Empty { disk } => {
                self.record_empty_disk(from, disk);
                self.form_group(out);
            }
            HelloResponse::Formed {
                disk,
                group,
                verdict,
                leader,
            } => match &mut self.phase {
                Phase::Forming { .. } => self.join_group(from, group, verdict, out),
                Phase::VerifyingDisk {
                    confirmed_by,
                    leader: known,
                    ..
                } if verdict == DiskVerdict::Current => {
                    confirmed_by.insert(disk);
                    *known = leader.max(*known);
                    self.check_confirmations(out);
                }
                Phase::VerifyingDisk { .. } => self.reject_own_disk(from, verdict, out),
                Phase::NonVoting | Phase::Voting => {}
            },
        }
    }

    fn record_empty_disk(&mut self, name: &str, disk: u64) {
        if let Phase::Forming { disks } = &mut self.phase {
            disks.insert(name.into(), disk);
        }
    }

    /// Joins the group that another voter belongs to, or waits to be admitted if this disk is no member.
    fn join_group(
        &mut self,
        from: &str,
        group: Group,
        verdict: DiskVerdict,
        out: &mut Vec<Output>,
    ) {
        let own = GroupMember {
            disk: self.meta.disk,
            name: self.name.clone(),
        };
        if group.contains(&own) {
            self.start_group(group, out);
        } else if verdict == DiskVerdict::Unknown {
            let name = &self.name;
            let text = format!(
                "voter {name}: {from} knows another disk of this voter; waiting until the leader \
                 admits the new disk"
            );
            report(out, Severity::Warning, text);
            // With the group's number stored, this voter accepts messages of the leader that admits it.
            self.meta.group = Some(group);
            self.batch.meta = Some(self.meta.clone());
            self.write_barrier(0, Vec::new(), out);
            self.follow_without_vote(out);
        }
    }

    fn reject_own_disk(&mut self, from: &str, verdict: DiskVerdict, out: &mut Vec<Output>) {
        let reason = if verdict == DiskVerdict::Outdated {
            "is older than its last known state"
        } else {
            "has no vote"
        };
        let name = &self.name;
        let text = format!(
            "voter {name}: {from} reports that this disk {reason}; starting over with an empty \
             disk"
        );
        report(out, Severity::Warning, text);
        self.start_empty(out);
    }

    /// Starts voting once enough other voters have confirmed that this disk is not an older copy: so many that
    /// every majority including this voter contains one of them, and the leader, which counts the entries that
    /// this disk acknowledged before its start. After `disk_check_timeout`, half of the other voters suffice.
    fn check_confirmations(&mut self, out: &mut Vec<Output>) {
        let Phase::VerifyingDisk {
            confirmed_by,
            leader,
            since,
        } = &self.phase
        else {
            return;
        };
        let (name, voters) = (&self.name, self.settings.voters.len());
        let timed_out = self.now > since + self.settings.disk_check_timeout;
        let leader = leader.disk;
        let leader_confirmed =
            leader == 0 || leader == self.meta.disk || confirmed_by.contains(&leader);
        let confirmations = confirmed_by.len();
        if confirmations >= voters - voters / 2 && leader_confirmed {
            let text = format!("voter {name}: its disk is confirmed as current; it votes");
            report(out, Severity::Info, text);
        } else if confirmations >= voters / 2 && timed_out {
            let text = format!(
                "voter {name}: only {confirmations} of the other voters confirmed its disk within \
                 fleet.disk_wait; it votes"
            );
            report(out, Severity::Warning, text);
        } else {
            return;
        }
        self.phase = Phase::Voting;
    }

    /// Discards the contents of an outdated disk: it gets a new identity, which waits to be admitted.
    pub(super) fn start_empty(&mut self, out: &mut Vec<Output>) {
        self.raft = None;
        self.leadership = None;
        for write in &mut self.pending_writes {
            write.discard_messages();
        }
        self.pending_snapshot = None;
        self.meta = DiskMeta {
            disk: self.rng.random_range(1..u64::MAX),
            starts: 1,
            ..Default::default()
        };
        self.nonce = self.rng.random();
        self.table = RoleTable::default();
        self.applied = 0;
        self.phase = Phase::forming();
        self.batch = WriteBatch {
            wipe: true,
            meta: Some(self.meta.clone()),
            ..Default::default()
        };
        self.write_barrier(0, Vec::new(), out);
    }

    /// Follows the leader with an empty log and without a vote until a change of the voters admits this disk.
    fn follow_without_vote(&mut self, out: &mut Vec<Output>) {
        if let Err(error) = self.start_raft(MemoryLog::default()) {
            report(out, Severity::Warning, error.to_string());
        }
        self.table.voters.clear();
        self.phase = Phase::NonVoting;
    }

    /// Forms the group once the empty disks of all configured voters are known. Every voter computes the same
    /// group by itself.
    fn form_group(&mut self, out: &mut Vec<Output>) {
        let Phase::Forming { disks } = &self.phase else {
            return;
        };
        let others = self.settings.voters.iter().filter(|v| **v != self.name);
        let members = others.map(|name| {
            let disk = *disks.get(name)?;
            let name = name.clone();
            Some(GroupMember { disk, name })
        });
        let Some(mut group) = members.collect::<Option<Group>>() else {
            return;
        };
        group.push(GroupMember {
            disk: self.meta.disk,
            name: self.name.clone(),
        });
        group.sort();
        self.start_group(group, out);
    }

    /// Starts the log of a new group with a snapshot that all its voters create alike.
    fn start_group(&mut self, group: Group, out: &mut Vec<Output>) {
        let table = RoleTable::new(&self.settings, &group);
        let voters = group.iter().map(|member| member.disk).collect();
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            config: VoterConfig::of(voters),
            data: postcard::to_stdvec(&table).unwrap_or_default(),
        };
        let hard_state = HardState {
            term: 1,
            vote: 0,
            commit: 1,
        };
        self.meta.group = Some(group);
        let disk = DiskState {
            meta: self.meta.clone(),
            hard_state,
            snapshot: snapshot.clone(),
            entries: Vec::new(),
        };
        let Some(log) = MemoryLog::new(&disk) else {
            return;
        };
        if let Err(error) = self.start_raft(log) {
            report(out, Severity::Warning, error.to_string());
            return;
        }
        self.batch.meta = Some(self.meta.clone());
        self.batch.hard_state = Some(hard_state);
        self.batch.snapshot = Some(snapshot);
        self.write_barrier(0, Vec::new(), out);
        self.phase = Phase::Voting;
        let text = format!("voter {}: the voter group is formed", self.name);
        report(out, Severity::Info, text);
    }
}

fn single_config_change(disk: u64, kind: ConfChangeType) -> ConfChangeSingle {
    let mut change = ConfChangeSingle {
        node_id: disk,
        ..Default::default()
    };
    change.set_change_type(kind);
    change
}
