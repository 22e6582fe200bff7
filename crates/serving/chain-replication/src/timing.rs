//! Intervals and timeouts of the protocol, in milliseconds.

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

// --- failure detection ---

/// Interval between the pings in which a member reports its connections to the others.
pub const PING_INTERVAL: Millis = 200;
/// A member from which no message arrives for this long is suspected.
pub const SUSPECT_TIMEOUT: Millis = 900;
/// A member whose connection was refused or reset is suspected if no message arrives from it within this time.
pub const SUSPECT_TIMEOUT_AFTER_DISCONNECT: Millis = 120;
/// A member counts as not receiving our pings once the newest timestamp that it echoed is older than this. An echoed
/// timestamp may be two ping intervals older than the ping that echoes it. The timeout exceeds [`SUSPECT_TIMEOUT`] by more
/// than that, so that a member that sends nothing is suspected for its silence first.
pub const ECHO_TIMEOUT: Millis = SUSPECT_TIMEOUT + 2 * PING_INTERVAL + 100;
/// A member has a quorum while a majority has replied to pings that it sent within this time.
pub const QUORUM_TIMEOUT: Millis = 800;
/// If an entry of a member's log stays uncommitted for longer than this, the member may lack commits that others know.
/// Longer than it takes to detect a stalled disk.
pub const FRESHNESS_TIMEOUT: Millis = 1_500;
/// A longer gap than this between steps means that our own process was suspended.
pub const SUSPENSION_GAP: Millis = 500;
/// After our own suspension, other members get this long to send a message before they are suspected.
pub const GRACE_PERIOD: Millis = 300;
/// An unreachable member that has been silent for this long may be replaced by a joiner of another name.
pub const REPLACE_TIMEOUT: Millis = 2_500;
/// A disk that hasn't completed a batch for this long is reported to the others as stalled.
pub const DISK_STALL_TIMEOUT: Millis = 1_200;
/// A chain member that hasn't caught up with its predecessor this long after the view was installed is removed from the
/// chain.
pub const CATCH_UP_TIMEOUT: Millis = 2_500;

// --- readmission to the chain ---

/// A member out of the chain is readmitted after being eligible for this long; doubled with each recent eviction.
pub const READMISSION_DELAY: Millis = 400;
/// Maximum number of times that [`READMISSION_DELAY`] is doubled.
pub const MAX_READMISSION_DOUBLINGS: u32 = 3;
/// An eviction counts as recent for this long; later evictions start a new count.
pub const EVICTION_WINDOW: Millis = 30_000;

// --- agreement on views ---

/// Wait before proposing for each eligible proposer of higher rank, which proposes first.
pub const PROPOSER_RANK_DELAY: Millis = 120;
/// Upper bound of the random wait before proposing, which keeps proposers from preempting each other.
pub const PROPOSE_JITTER: Millis = 25;
/// A phase of an attempt to get a view decided is abandoned after this time.
pub const PROPOSAL_TIMEOUT: Millis = 400;
/// Time from the start of an attempt for which it waits for promises beyond a majority, from the other connected members.
pub const REMAINING_PROMISES_TIMEOUT: Millis = 80;
/// Minimum wait after a failed attempt.
pub const PROPOSAL_BACKOFF: Millis = 40;
/// Upper bound of the random wait on top of [`PROPOSAL_BACKOFF`].
pub const PROPOSAL_BACKOFF_JITTER: Millis = 200;
/// After a promise to another proposer, a member waits this long before it proposes itself.
pub const OTHER_PROPOSER_TIMEOUT: Millis = 400;

// --- replication ---

/// The successor is queried about sent entries after this long without an acknowledgement.
pub const ACKNOWLEDGEMENT_TIMEOUT: Millis = 300;
/// An unsynced chain member repeats its request for entries to its predecessor after this time.
pub const RESUME_RETRY: Millis = 150;
/// Minimum time between two requests to the predecessor to send entries from another position.
pub const RESUME_MIN_GAP: Millis = 30;
/// Interval at which a learner fetches commits from the tail.
pub const LEARN_INTERVAL: Millis = 150;
/// A learner fetches again if no reply arrives within this time.
pub const LEARN_RETRY: Millis = 1_000;

// --- snapshots ---

/// Minimum time between the end of a snapshot transfer to a member and the start of the next one.
pub const SNAPSHOT_TRANSFER_GAP: Millis = 1_000;
/// An unacknowledged chunk of a snapshot is sent again after this time.
pub const SNAPSHOT_CHUNK_RETRY: Millis = 300;
/// A transfer is abandoned when its receiver has made no progress for this long.
pub const SNAPSHOT_TRANSFER_TIMEOUT: Millis = 5_000;
/// An unanswered request for a snapshot is sent to the caller again after this time.
pub const TAKE_SNAPSHOT_RETRY: Millis = 2_000;

// --- membership ---

/// A joiner repeats its request after this time.
pub const JOIN_RETRY: Millis = 300;
/// A joiner that has sent no request for this long is forgotten.
pub const JOINER_TIMEOUT: Millis = 1_000;
/// A joiner has to send requests for this long before it becomes an additional member: it may be meant to replace a failed
/// member that is not suspected yet.
pub const ADDITIONAL_JOINER_DELAY: Millis = SUSPECT_TIMEOUT + JOIN_RETRY;
/// Minimum time between two requests for a later view.
pub const VIEW_REQUEST_GAP: Millis = 50;

// --- requests of the caller ---

/// An uncommitted submission is sent to the head again after this time.
pub const RESUBMIT_INTERVAL: Millis = 1_000;
/// An unconfirmed read request is sent again after this time.
pub const READ_RETRY: Millis = 250;
/// Pending submissions and reads that are older than this are dropped.
pub const REQUEST_TIMEOUT: Millis = 5_000;
