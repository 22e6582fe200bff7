//! Identifiers of callers, requests and disk jobs, shared by a store node and the process around it.

/// Identifies a caller that waits for a reply; chosen by the process around the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Identifies a request of this node to another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerRequestId(pub u64);

/// Identifies a disk job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);
