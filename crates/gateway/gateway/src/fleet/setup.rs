//! Opens what the plan names: the voter's disk, the links to peers, the relay of discovery.

use crate::clock::clock;
use crate::fault::Fault;
use crate::fleet::event::FleetEvent;
use crate::fleet::Fleet;
use crate::fleet::MAX_TRACKED_SHARDS;
use crate::lending::Lending;
use crate::lending::BROKER;
use crate::operators::Plan;
use dunespur_gossip_membership as members;
use dunespur_gossip_membership::Membership;
use dunespur_peer_transport::ReceivedFrame;
use dunespur_peer_transport::Transport;
use dunespur_quota_sharing::Broker;
use dunespur_singleton_roles::audit::Auditor;
use dunespur_singleton_roles::audit::UsageTally;
use dunespur_singleton_roles::client::RoleClient;
use dunespur_singleton_roles::discovery_relay::Relay;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::health_check::DeliveryHistory;
use dunespur_singleton_roles::health_check::HealthChecker;
use dunespur_singleton_roles::records::WriteBatch;
use dunespur_singleton_roles::voter::Voter;
use dunespur_singleton_roles::Identity;
use dunespur_singleton_roles::Output;
use dunespur_singleton_roles::Slot;
use dunespur_voter_storage::OpenedVoter;
use dunespur_voter_storage::VoterStorage;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::mpsc;

pub(super) enum DiskResult {
    Saved(u64),
    Failed(String),
}

/// A voter's state machine, and the way of its writes to the disk.
pub(super) type OpenVoter = (Voter, std::sync::mpsc::Sender<WriteBatch>);

/// The voter that this limiter is, if it is one; a thread of its own does the writes.
pub(super) fn open_voter(
    plan: &Plan,
    name: &str,
    seed: u64,
    now: f64,
    saved: mpsc::UnboundedSender<DiskResult>,
    out: &mut Vec<Output>,
) -> Result<Option<OpenVoter>, Fault> {
    let votes = plan.voters.iter().any(|v| v.0 == name);
    let Some(path) = plan.disk.as_ref().filter(|_| votes) else {
        return Ok(None);
    };
    let opened = VoterStorage::open(path, &plan.roles.fleet, name);
    let OpenedVoter {
        storage,
        saved: head,
    } = opened.map_err(|error| Fault::Config(error.to_string()))?;
    let voter = Voter::new(plan.roles.clone(), name.to_owned(), head, seed, now, out);
    let voter = voter.map_err(|e| Fault::Config(e.to_string()))?;
    let (tx, rx) = std::sync::mpsc::channel::<WriteBatch>();
    let slow = plan.trial.slow_disk.clone();
    std::thread::spawn(move || write_batches(storage, rx, slow, saved));
    Ok(Some((voter, tx)))
}

/// Writes what comes, in order, and says so; the first write that fails is the last.
pub(super) fn write_batches(
    storage: VoterStorage,
    batches: std::sync::mpsc::Receiver<WriteBatch>,
    slow: Option<PathBuf>,
    saved: mpsc::UnboundedSender<DiskResult>,
) {
    for batch in batches {
        let by = slow.as_ref().and_then(|p| std::fs::read_to_string(p).ok());
        let by = by.and_then(|t| t.trim().parse::<f64>().ok()).unwrap_or(0.0);
        std::thread::sleep(Duration::try_from_secs_f64(by).unwrap_or_default());
        let said = match storage.write(&batch) {
            Ok(()) => DiskResult::Saved(batch.number),
            Err(e) => DiskResult::Failed(e.to_string()),
        };
        let failed = matches!(said, DiskResult::Failed(_));
        if saved.send(said).is_err() || failed {
            return;
        }
    }
}

pub(super) async fn open_links(
    plan: &Plan,
    name: &str,
    inbox: mpsc::Sender<ReceivedFrame>,
) -> Result<Rc<Transport>, Fault> {
    let links = Transport::open(
        plan.roles.fleet.clone(),
        name.to_owned(),
        plan.listen,
        plan.bounds.clone(),
        plan.via.clone(),
        inbox,
    );
    links
        .await
        .map_err(|e| Fault::Config(format!("fleet.listen: {}: {e}", plan.listen)))
}

pub(super) fn open_history(
    plan: &Plan,
) -> Result<Option<std::io::BufWriter<std::fs::File>>, Fault> {
    let Some(path) = &plan.trial.history else {
        return Ok(None);
    };
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    let file = file.map_err(|e| Fault::Config(format!("{}: {e}", path.display())))?;
    Ok(Some(std::io::BufWriter::new(file)))
}

/// The relay of discovery's list within the zone, and the slot it goes by.
pub(super) fn open_relay(plan: &Plan, now: f64) -> Option<(Relay, Slot)> {
    let zone = plan
        .roles
        .zones
        .iter()
        .position(|z| *z == plan.zone)
        .unwrap_or(0) as u32;
    let slot = plan
        .roles
        .slots_of("watch")
        .filter(|range| zone < range.count)
        .map(|range| range.first + zone);
    let jitter = fastrand::f64();
    slot.map(|slot| (Relay::new(plan.watch.clone(), slot, 0, jitter, now), slot))
}

impl Fleet {
    /// Opens store and sockets; the error says what can't be used.
    pub(super) async fn open(
        plan: Plan,
        name: String,
        seed: u64,
        inbox: mpsc::Sender<ReceivedFrame>,
        events: mpsc::UnboundedSender<FleetEvent>,
    ) -> Result<(Self, mpsc::UnboundedReceiver<DiskResult>), Fault> {
        let now = clock();
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = ((wall.as_secs_f64() + plan.trial.wall).max(0.0) * 1e3) as u64;
        let run = seed ^ (wall << 20) ^ u64::from(std::process::id());
        let identity = Identity {
            name: name.clone(),
            run,
            zone: plan.zone.clone(),
            machine: plan.machine.clone(),
        };
        let (saved_tx, saved_rx) = mpsc::unbounded_channel();
        let mut out = Vec::new();
        let (voter, disk) = open_voter(&plan, &name, seed, now, saved_tx, &mut out)?.unzip();
        let links = open_links(&plan, &name, inbox).await?;
        let version = plan
            .trial
            .version
            .unwrap_or(dunespur_peer_transport::VERSION);
        links.set_version(version);
        let member = members::Member {
            precedence: wall,
            address: plan.listen,
            version,
            voter: plan.voters.iter().any(|v| v.0 == name),
            name,
            instance: run,
            zone: plan.zone.clone(),
            machine: plan.machine.clone(),
        };
        let history = open_history(&plan)?;
        let relay = open_relay(&plan, now);
        let broker = Broker::new(plan.lend.clone(), BROKER);
        let lends = plan
            .roles
            .slots_of("lend")
            .map(|range| range.truncated(MAX_TRACKED_SHARDS))
            .filter(|range| range.count > 0);
        let lending = lends.map(|range| Lending::new(&plan.lend, range, events.clone()));
        let health_check_slots = plan.roles.slots_of("probe").filter(|range| range.count > 0);
        let audit_slots = plan.roles.slots_of("audit").filter(|range| range.count > 0);
        let lookups = [health_check_slots, audit_slots, lends]
            .into_iter()
            .flatten();
        let lookups = lookups
            .flat_map(|range| range.truncated(MAX_TRACKED_SHARDS).slots())
            .collect();
        let mut fleet = Fleet {
            members: Membership::new(plan.members.clone(), member, seed, now),
            client: RoleClient::new(plan.roles.clone(), identity.clone(), lookups, now),
            fencing: FencingCheck::new(plan.roles.slots()),
            health_check_slots,
            audit_slots,
            plan,
            identity,
            links,
            voter,
            relay,
            disk,
            discovered: BTreeMap::new(),
            addresses: BTreeMap::new(),
            history,
            experience: DeliveryHistory::default(),
            health_checker: HealthChecker::default(),
            tally: UsageTally::default(),
            auditor: Auditor::default(),
            next_audit: now,
            broker,
            lending,
            audit_results: [0; 3],
            observations: 0,
            broker_outputs: Vec::new(),
            events,
            next_trial_effect: now,
            trial_turn: 0,
            roles_acquired: 0,
            roles_lost: 0,
            relayed_updates: 0,
        };
        fleet.write_history(
            json!({"line": "started", "t": now, "who": fleet.identity.name, "run": run}),
        );
        fleet.perform(out, now);
        Ok((fleet, saved_rx))
    }
}
