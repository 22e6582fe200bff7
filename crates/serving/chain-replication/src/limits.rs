//! Limits on counts and sizes.

/// Members are not removed from a view of at most this many members.
pub const MIN_MEMBERS: usize = 3;
/// Maximum number of members in a view.
pub const MAX_MEMBERS: usize = 7;
/// Maximum number of joiners that a member remembers.
pub const MAX_JOINERS: usize = 8;

/// Maximum number of submissions pending at one member.
pub const MAX_SUBMISSIONS: usize = 1_024;
/// Maximum payload bytes of one submission.
pub const MAX_SUBMISSION_BYTES: usize = 1 << 20;
/// Payload bytes of the submissions pending at one member from which on it takes no further ones. The last one may exceed
/// them, so that a submission of the maximum size does not have to wait until no other is pending.
pub const MAX_PENDING_SUBMISSION_BYTES: usize = 1 << 20;
/// Maximum number of reads pending at one member.
pub const MAX_READS: usize = 1_024;
/// Maximum number of read requests that a member defers until it is synced.
pub const MAX_PENDING_READ_REQUESTS: usize = 64;
/// Maximum number of uncommitted entries at the head; further submissions are rejected.
pub const MAX_UNCOMMITTED: u64 = 4_096;
/// Maximum bytes of uncommitted entries at the head; further submissions are rejected.
pub const MAX_UNCOMMITTED_BYTES: usize = 2 << 20;

/// Maximum number of commits that a member may lack to be readmitted to the chain. The chain waits while the member
/// catches up.
pub const MAX_COMMITS_BEHIND: u64 = 512;
/// Maximum bytes of entries in one message, unless a single entry is larger.
pub const MAX_APPEND_BYTES: usize = 256 << 10;

/// A snapshot is taken once the entries committed since the last snapshot have as many bytes as that snapshot, but at
/// least this many.
pub const MIN_COMPACTION_BYTES: usize = 1 << 20;
/// A snapshot is taken once the entries committed since the last snapshot have this many bytes, even if that snapshot is
/// larger.
pub const MAX_COMPACTION_BYTES: usize = 2 << 20;
/// Bytes of entries that stay in memory after compaction, so that members that were down briefly need no snapshot.
pub const RETAINED_LOG_BYTES: usize = 2 << 20;
/// Bytes of entries that stay in memory while a snapshot is in transfer, because its receiver continues with the entries
/// after it.
pub const RETAINED_LOG_BYTES_DURING_TRANSFER: usize = 16 << 20;
/// Maximum bytes of a snapshot in one message. Pings wait behind such a message, 20 ms at 100 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// Maximum size of a snapshot that is accepted from another member.
pub const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;
