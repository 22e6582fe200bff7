//! The fields of a status. Missing fields have their defaults when a status is read; unknown ones are ignored.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The status of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The machine's name.
    pub node: String,
    /// The role of the process: `gateway` or `store`.
    pub role: String,
    /// Version of the program.
    pub version: String,
    /// The zone of the machine.
    pub zone: String,
    /// Time since the start of the process, in milliseconds.
    pub up_ms: u64,
    /// Resource usage of the process.
    pub process: ProcessStatus,
    /// Counters of calls to other processes.
    pub link: LinkStatus,
    /// The known control state.
    pub control: ControlStatus,
    /// The newest known view of the core.
    pub view: Option<ViewStatus>,
    /// Status of the core member, in a process that has one.
    pub core: Option<CoreStatus>,
    /// The gateways that the core knows.
    pub gateways: Vec<GatewayEntryStatus>,
    /// Services with their servers, from a gateway.
    pub services: Vec<ServiceStatus>,
    /// The stores that the core knows.
    pub stores: Vec<StoreStatus>,
    /// Counters of the data plane, from a gateway.
    pub front: Option<FrontStatus>,
    /// Leases on budgets, from a gateway.
    pub budgets: Option<BudgetStatus>,
    /// Turns on the disk, from a store.
    pub turns: Option<TurnsStatus>,
    /// Budget of the queried agent program.
    pub program: Option<ProgramStatus>,
}

impl Status {
    /// The status as JSON text.
    ///
    /// # Panics
    ///
    /// Never: every field of a status can be encoded as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Encoding fails only for maps with keys that are not strings, or for a failing writer; neither occurs here.
        serde_json::to_string_pretty(self).expect("a status should be encodable as JSON")
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessStatus {
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// Peak resident memory in kilobytes.
    pub peak_memory_kb: u64,
    /// Processor time in milliseconds, user and system together.
    pub processor_ms: u64,
    /// Open file descriptors.
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
    /// Watches that failed, after which another core member or the same one was tried.
    pub watches_lost: u64,
}

/// The control state known to the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlStatus {
    /// Index of the known control state; `None` until the first update.
    pub index: Option<u64>,
    /// Generation of the configuration in force in this process.
    pub generation: Option<u64>,
    /// Whether a core member has recently answered a watch.
    pub in_touch: bool,
    /// Time in milliseconds since the newest answered watch was sent; `None` until the first answer.
    pub silent_ms: Option<u64>,
    /// Address of the core member that last answered a watch.
    pub follows: Option<SocketAddr>,
}

/// A view of the core: its members and their order in the chain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ViewStatus {
    /// The view's number.
    pub number: u64,
    /// Members of the view.
    pub members: Vec<MemberStatus>,
}

/// A member of the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The machine's name.
    pub node: String,
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Position in the chain, 0 for the head; `None` for a voter outside the chain.
    #[serde(rename = "place")]
    pub chain_position: Option<usize>,
}

/// The status of a core member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CoreStatus {
    /// Whether the member is connected to a majority of the view.
    pub current: bool,
    /// Whether the member is up to date with the chain and answers reads.
    pub follows: bool,
    /// Index of the last operation that the member knows to be committed.
    pub committed: u64,
    /// Operations that wait for their commit at this member.
    pub waiting: usize,
    /// Rejected snapshots and snapshot chunks from other members.
    pub refused_snapshots: u64,
    /// Agent programs with a counter.
    pub programs: usize,
    /// Upper estimate of the bytes that the counters take in the state.
    pub counter_bytes: usize,
    /// Limit on the bytes of counters, above which new programs have to wait.
    pub max_counter_bytes: usize,
    /// Work of the disk.
    pub disk: DiskStatus,
    /// Known leases, in the order of their duration and holder.
    pub leases: Vec<LeaseStatus>,
}

/// The work of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiskStatus {
    /// Queued jobs that are not done.
    pub waiting: u64,
    /// Jobs done so far.
    pub done: u64,
    /// Failed attempts at jobs.
    pub failed: u64,
}

/// A lease as one core member knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// A server's id or a machine's name.
    pub holder: String,
    /// Time since the last renewal, in milliseconds.
    pub silent_ms: u64,
    /// Time without a renewal after which the lease expires, in milliseconds.
    pub lease_ms: u64,
}

/// A service with its known servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceStatus {
    /// The service's name.
    pub name: String,
    /// Servers of the service.
    pub servers: Vec<ServerStatus>,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Id of one start of the server.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Number of requests that the server handles at the same time.
    pub slots: u32,
    /// Whether the server takes no new requests.
    pub draining: bool,
    /// Requests of this gateway in flight at the server.
    pub in_flight: u32,
}

/// A gateway in the core's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntryStatus {
    /// The machine's name.
    pub name: String,
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
}

/// A store as the core knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The machine's name.
    pub name: String,
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the store's lease has not expired.
    pub present: bool,
    /// Whether the store has every turn that it should hold.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the store is being emptied.
    pub retiring: bool,
    /// Whether the store has been emptied and removed.
    pub retired: bool,
}

/// The data plane's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FrontStatus {
    /// Whether the gateway takes clients: it knows a configuration and servers, and is not shutting down.
    pub ready: bool,
    /// Open connections of clients.
    pub connections: usize,
    /// Connections of clients accepted so far.
    pub accepted: u64,
    /// Requests received so far.
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
    /// Programs with a lease at this gateway.
    pub programs: usize,
    /// Turns that wait for an admission decision.
    pub waiting: usize,
}

/// The turns on a store's disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnsStatus {
    /// Turns stored.
    pub turns: usize,
    /// Bytes of the stored turns' bodies.
    pub bytes: u64,
    /// Maximum bytes of bodies that the store holds.
    pub capacity_bytes: u64,
    /// Whether the store has every turn that it should hold.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether every turn of the store is replicated elsewhere.
    pub emptied: bool,
    /// Whether some turns continue turns that the store does not have yet.
    pub incomplete: bool,
    /// Turns that the store should hold but lacks, and is fetching.
    pub missing: usize,
    /// Requests that wait for an answer.
    pub waiting: usize,
    /// Work of the disk.
    pub disk: DiskStatus,
}

/// One program's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProgramStatus {
    /// The program's name.
    pub name: String,
    /// Tokens leased by this gateway.
    #[serde(rename = "held_here")]
    pub leased_here: Option<u64>,
    /// Tokens reported as used, by this core member's counter.
    pub used: Option<u64>,
    /// Tokens leased to all limiters, by this core member's counter.
    #[serde(rename = "held")]
    pub leased: Option<u64>,
}
