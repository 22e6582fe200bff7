//! Opens the resources of a fleet member: the voter's disk, the transport to the peers, the history and the discovery
//! relay.

use crate::clock::clock;
use crate::counter_router::CounterRouter;
use crate::counter_router::FIRST_BROKER_CALL;
use crate::error::GatewayError;
use crate::fleet::event::FleetEvent;
use crate::fleet::FleetMember;
use crate::fleet::MAX_TRACKED_SHARDS;
use crate::operators_file::FleetConfig;
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

/// The result of a disk write of the voter: the number of the saved batch, or the error.
pub(super) enum DiskResult {
    Saved(u64),
    Failed(String),
}

/// The state machine of a voter and the queue of its disk writes.
pub(super) type RunningVoter = (Voter, std::sync::mpsc::Sender<WriteBatch>);

/// Opens the voter if this limiter is one, and starts the thread that writes its disk.
pub(super) fn open_voter(
    config: &FleetConfig,
    name: &str,
    seed: u64,
    now: f64,
    results: mpsc::UnboundedSender<DiskResult>,
    outputs: &mut Vec<Output>,
) -> Result<Option<RunningVoter>, GatewayError> {
    let is_voter = config.voters.iter().any(|voter| voter.0 == name);
    let Some(path) = config.disk.as_ref().filter(|_| is_voter) else {
        return Ok(None);
    };
    let opened = VoterStorage::open(path, &config.roles.fleet, name);
    let OpenedVoter {
        storage,
        saved: saved_state,
    } = opened.map_err(|error| GatewayError::Config(error.to_string()))?;
    let voter = Voter::new(
        config.roles.clone(),
        name.to_owned(),
        saved_state,
        seed,
        now,
        outputs,
    );
    let voter = voter.map_err(|e| GatewayError::Config(e.to_string()))?;
    let (batch_sender, batches) = std::sync::mpsc::channel::<WriteBatch>();
    let slow_disk = config.trial.slow_disk.clone();
    std::thread::spawn(move || write_batches(storage, batches, slow_disk, results));
    Ok(Some((voter, batch_sender)))
}

/// Writes batches in order and reports each result. Ends after the first failed write.
pub(super) fn write_batches(
    storage: VoterStorage,
    batches: std::sync::mpsc::Receiver<WriteBatch>,
    slow_disk: Option<PathBuf>,
    results: mpsc::UnboundedSender<DiskResult>,
) {
    for batch in batches {
        let delay = slow_disk
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        let delay = delay
            .and_then(|text| text.trim().parse::<f64>().ok())
            .unwrap_or(0.0);
        std::thread::sleep(Duration::try_from_secs_f64(delay).unwrap_or_default());
        let result = match storage.write(&batch) {
            Ok(()) => DiskResult::Saved(batch.number),
            Err(error) => DiskResult::Failed(error.to_string()),
        };
        let failed = matches!(result, DiskResult::Failed(_));
        if results.send(result).is_err() || failed {
            return;
        }
    }
}

pub(super) async fn open_transport(
    config: &FleetConfig,
    name: &str,
    frames: mpsc::Sender<ReceivedFrame>,
) -> Result<Rc<Transport>, GatewayError> {
    let transport = Transport::open(
        config.roles.fleet.clone(),
        name.to_owned(),
        config.listen,
        config.transport_limits.clone(),
        config.via.clone(),
        frames,
    );
    transport
        .await
        .map_err(|e| GatewayError::Config(format!("fleet.listen: {}: {e}", config.listen)))
}

pub(super) fn open_history(
    config: &FleetConfig,
) -> Result<Option<std::io::BufWriter<std::fs::File>>, GatewayError> {
    let Some(path) = &config.trial.history else {
        return Ok(None);
    };
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    let file = file.map_err(|e| GatewayError::Config(format!("{}: {e}", path.display())))?;
    Ok(Some(std::io::BufWriter::new(file)))
}

/// The discovery relay of this zone and its slot; `None` if the zone has none.
pub(super) fn open_relay(config: &FleetConfig, now: f64) -> Option<(Relay, Slot)> {
    let zone = config
        .roles
        .zones
        .iter()
        .position(|name| *name == config.zone)
        .unwrap_or(0) as u32;
    let slot = config
        .roles
        .slots_of("watch")
        .filter(|range| zone < range.count)
        .map(|range| range.first + zone);
    let jitter = fastrand::f64();
    slot.map(|slot| (Relay::new(config.watch.clone(), slot, 0, jitter, now), slot))
}

impl FleetMember {
    /// Opens the disk and the sockets; the error names the resource that cannot be used.
    pub(super) async fn open(
        config: FleetConfig,
        name: String,
        seed: u64,
        frames: mpsc::Sender<ReceivedFrame>,
        events: mpsc::UnboundedSender<FleetEvent>,
    ) -> Result<(Self, mpsc::UnboundedReceiver<DiskResult>), GatewayError> {
        let now = clock();
        let wall_clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall_clock = ((wall_clock.as_secs_f64() + config.trial.wall).max(0.0) * 1e3) as u64;
        let run = seed ^ (wall_clock << 20) ^ u64::from(std::process::id());
        let identity = Identity {
            name: name.clone(),
            run,
            zone: config.zone.clone(),
            machine: config.machine.clone(),
        };
        let (result_sender, results) = mpsc::unbounded_channel();
        let mut outputs = Vec::new();
        let (voter, disk_writes) =
            open_voter(&config, &name, seed, now, result_sender, &mut outputs)?.unzip();
        let transport = open_transport(&config, &name, frames).await?;
        let version = config
            .trial
            .version
            .unwrap_or(dunespur_peer_transport::VERSION);
        transport.set_version(version);
        let member = members::Member {
            precedence: wall_clock,
            address: config.listen,
            version,
            voter: config.voters.iter().any(|voter| voter.0 == name),
            name,
            instance: run,
            zone: config.zone.clone(),
            machine: config.machine.clone(),
        };
        let history = open_history(&config)?;
        let relay = open_relay(&config, now);
        let broker = Broker::new(config.lend.clone(), FIRST_BROKER_CALL);
        let lend_slots = config
            .roles
            .slots_of("lend")
            .map(|range| range.truncated(MAX_TRACKED_SHARDS))
            .filter(|range| range.count > 0);
        let counter_router =
            lend_slots.map(|range| CounterRouter::new(&config.lend, range, events.clone()));
        let health_check_slots = config
            .roles
            .slots_of("probe")
            .filter(|range| range.count > 0);
        let audit_slots = config
            .roles
            .slots_of("audit")
            .filter(|range| range.count > 0);
        let tracked_slots = [health_check_slots, audit_slots, lend_slots]
            .into_iter()
            .flatten();
        let tracked_slots = tracked_slots
            .flat_map(|range| range.truncated(MAX_TRACKED_SHARDS).slots())
            .collect();
        let mut fleet = FleetMember {
            membership: Membership::new(config.members.clone(), member, seed, now),
            role_client: RoleClient::new(
                config.roles.clone(),
                identity.clone(),
                tracked_slots,
                now,
            ),
            fencing_check: FencingCheck::new(config.roles.slots()),
            health_check_slots,
            audit_slots,
            config,
            identity,
            transport,
            voter,
            relay,
            disk_writes,
            endpoints_by_id: BTreeMap::new(),
            addresses: BTreeMap::new(),
            history,
            server_experience: DeliveryHistory::default(),
            health_checker: HealthChecker::default(),
            usage_tally: UsageTally::default(),
            auditor: Auditor::default(),
            next_audit: now,
            broker,
            counter_router,
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
        fleet.perform_role_outputs(outputs, now);
        Ok((fleet, results))
    }
}
