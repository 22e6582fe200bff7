//! Bounds on counts and bytes.

/// Unreachable members stay in the view if there are no more members than this.
pub const MIN_MEMBERS: usize = 3;
/// No more members than this.
pub const MAX_MEMBERS: usize = 7;
/// No more joiners are remembered than this.
pub const MAX_JOINERS: usize = 8;

/// Submissions pending at one member.
pub const MAX_SUBMISSIONS: usize = 1_024;
/// Bytes of the payloads of submissions pending at one member.
pub const MAX_SUBMISSION_BYTES: usize = 1 << 20;
/// Reads pending at one member.
pub const MAX_READS: usize = 1_024;
/// Read requests of other members that wait until this one is synced.
pub const MAX_PENDING_READ_REQUESTS: usize = 64;
/// Entries that the head appends before it learns of their commit.
pub const MAX_UNCOMMITTED: u64 = 4_096;
/// Bytes of the entries that the head appends before it learns of their commit.
pub const MAX_UNCOMMITTED_BYTES: usize = 2 << 20;

/// A member is readmitted to the chain when it lacks at most this many commits: the chain waits for the rest.
pub const MAX_COMMITS_BEHIND: u64 = 512;
/// About the payload bytes in one message of entries.
pub const MAX_APPEND_BYTES: usize = 256 << 10;

/// A snapshot is taken when as many bytes of entries were committed as the last one has, but not before this many.
pub const MIN_COMPACTION_BYTES: usize = 1 << 20;
/// A snapshot is taken when this many bytes of entries were committed, however large the last one is.
pub const MAX_COMPACTION_BYTES: usize = 2 << 20;
/// Bytes of entries that stay in memory, some of them before the snapshot, for members that were down briefly.
pub const RETAINED_LOG_BYTES: usize = 2 << 20;
/// The same while a snapshot is on its way to a member, which goes on from there.
pub const RETAINED_LOG_BYTES_DURING_TRANSFER: usize = 16 << 20;
/// Bytes of a snapshot in one message: pings wait behind it, 20 ms at 100 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// No larger snapshot is accepted from another member.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;
