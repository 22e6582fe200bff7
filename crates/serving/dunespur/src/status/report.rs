//! The form of a status. Fields that a process does not tell have their defaults; unknown ones are ignored.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// All that a process says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The machine's name.
    pub node: String,
    /// Its role: `gateway` or `store`.
    pub role: String,
    /// Of its program.
    pub version: String,
    /// The zone of the machine.
    pub zone: String,
    /// Time since its start.
    pub up_ms: u64,
    /// What the process takes of its machine.
    pub process: ProcessStatus,
    /// Calls to other processes.
    pub link: LinkStatus,
    /// What it knows of the control state.
    pub control: ControlStatus,
    /// The newest view that it knows of.
    pub view: Option<ViewStatus>,
    /// Of a core member.
    pub core: Option<CoreStatus>,
    /// The gateways that the core knows.
    pub gateways: Vec<GatewayEntryStatus>,
    /// Services with their servers.
    pub services: Vec<ServiceStatus>,
    /// The stores that the core knows.
    pub stores: Vec<StoreStatus>,
    /// Of a gateway.
    pub front: Option<FrontStatus>,
    /// Of a gateway.
    pub budgets: Option<BudgetStatus>,
    /// Of a store.
    pub turns: Option<TurnsStatus>,
    /// Of the program that was queried.
    pub program: Option<ProgramStatus>,
}

impl Status {
    /// The status as JSON text.
    ///
    /// # Panics
    ///
    /// Never: a status holds nothing that JSON can't.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Only a map with keys that are no texts, or a writer that fails, makes this fail; neither is there.
        serde_json::to_string_pretty(self).expect("a status can be written")
    }
}

/// What the process takes of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessStatus {
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// The most of it so far.
    pub peak_memory_kb: u64,
    /// Processor time in milliseconds, user and system together.
    pub processor_ms: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Calls to other processes of the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LinkStatus {
    /// Calls made so far.
    pub calls: u64,
    /// Calls without an answer.
    pub failed: u64,
    /// Watches that were not answered: the next one went to another core member, or to the same one again.
    pub watches_lost: u64,
}

/// What it knows of the control state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlStatus {
    /// Index of the control state; none until the first answer.
    pub index: Option<u64>,
    /// Generation of the configuration in force here.
    pub generation: Option<u64>,
    /// Whether a core member has answered lately.
    pub in_touch: bool,
    /// Time since the last answer of a core member; none until the first.
    pub silent_ms: Option<u64>,
    /// The core member that answered last.
    pub follows: Option<SocketAddr>,
}

/// Who is in the core, and in which order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ViewStatus {
    /// The view's number.
    pub number: u64,
    /// Its members.
    pub members: Vec<MemberStatus>,
}

/// A member of the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The machine's name.
    pub node: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// Its position in the chain, the head's is 0; none for a voter that is out of the chain.
    #[serde(rename = "place")]
    pub chain_position: Option<usize>,
}

/// What a core member says of its part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CoreStatus {
    /// It is connected with a majority of the view.
    pub current: bool,
    /// Commits come in here as they are made.
    pub follows: bool,
    /// Index up to which operations are committed here.
    pub committed: u64,
    /// Operations that wait here for their commit.
    pub waiting: usize,
    /// Snapshots of others, and chunks of them, that were rejected.
    pub refused_snapshots: u64,
    /// Programs with a counter.
    pub programs: usize,
    /// Bytes of the state that the counters take, at most.
    pub counter_bytes: usize,
    /// Above this many bytes of counters new programs have to wait.
    pub max_counter_bytes: usize,
    /// Its disk.
    pub disk: DiskStatus,
    /// The leases that it knows, those of nodes first.
    pub leases: Vec<LeaseStatus>,
}

/// The work of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiskStatus {
    /// Jobs that are queued and not done.
    pub waiting: u64,
    /// Jobs done so far.
    pub done: u64,
    /// Attempts at a job that failed.
    pub failed: u64,
}

/// A lease as a core member hears of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// A server's id or a machine's name.
    pub holder: String,
    /// Since it was last renewed.
    pub silent_ms: u64,
    /// Without renewal it expires after this time.
    pub lease_ms: u64,
}

/// A service with the servers that are known here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceStatus {
    /// The service's name.
    pub name: String,
    /// Its servers.
    pub servers: Vec<ServerStatus>,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Names one start of the server.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// Requests of this gateway that it is at work on.
    pub in_flight: u32,
}

/// A gateway in the core's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntryStatus {
    /// The machine's name.
    pub name: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// A store as the core knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The machine's name.
    pub name: String,
    /// Where other processes of the system reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its lease has not expired.
    pub present: bool,
    /// All that it should store is there.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// It is being emptied.
    pub retiring: bool,
    /// It has been emptied and removed.
    pub retired: bool,
}

/// The data plane's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FrontStatus {
    /// Clients are wanted: a configuration and servers are known, and the process does not end.
    pub ready: bool,
    /// Open connections of clients.
    pub connections: usize,
    /// Connections of clients accepted so far.
    pub accepted: u64,
    /// Requests so far.
    pub requests: u64,
    /// Requests rejected by this gateway.
    pub refused: u64,
    /// Requests that were answered with 502 or 504.
    pub failed: u64,
    /// Open connections to servers.
    pub server_connections: usize,
    /// Connections to servers opened so far.
    pub server_connections_opened: u64,
    /// Bytes of bodies in memory.
    pub body_bytes: usize,
}

/// Leases on budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BudgetStatus {
    /// Programs with a lease here.
    pub programs: usize,
    /// Turns that wait for a verdict.
    pub waiting: usize,
}

/// The turns on a store's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnsStatus {
    /// Turns stored.
    pub turns: usize,
    /// Bytes of their bodies.
    pub bytes: u64,
    /// The most bytes of bodies that it stores.
    pub capacity_bytes: u64,
    /// All that it should store is there.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All that it stored is replicated elsewhere.
    pub emptied: bool,
    /// Some turns go on from others that are not here yet.
    pub incomplete: bool,
    /// Turns that it should hold, is known to lack and is fetching.
    pub missing: usize,
    /// Requests that wait for their answer.
    pub waiting: usize,
    /// Its disk.
    pub disk: DiskStatus,
}

/// One program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProgramStatus {
    /// The program's name.
    pub name: String,
    /// Tokens that this gateway leases.
    #[serde(rename = "held_here")]
    pub leased_here: Option<u64>,
    /// Tokens that were reported as used, by this core member's counter.
    pub used: Option<u64>,
    /// Tokens that limiters lease, by this core member's counter.
    #[serde(rename = "held")]
    pub leased: Option<u64>,
}
