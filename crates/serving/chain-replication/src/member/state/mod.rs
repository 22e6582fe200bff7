//! The parts of a member's state, each independent of the member that holds it.

pub(crate) mod agreement;
pub(crate) mod freshness;
pub(crate) mod joining;
pub(crate) mod learner;
pub(crate) mod replication;
pub(crate) mod requests;
pub(crate) mod snapshots;
