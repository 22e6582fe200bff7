//! Intervals and timeouts of the protocol, in milliseconds.

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

// --- failure detection ---

/// Each member pings the others this often, and reports which members it is connected with.
pub const PING_INTERVAL: Millis = 200;
/// A member from which nothing arrives for this long is suspected.
pub const SUSPECT_TIMEOUT: Millis = 900;
/// A member whose connection was refused or reset is suspected if nothing arrives from it within this time.
pub const SUSPECT_TIMEOUT_AFTER_DISCONNECT: Millis = 120;
/// An echoed timestamp older than this shows that the other no longer receives our pings. A timestamp is up to two ping
/// intervals older than the message that brought its echo: one that sends nothing is suspected for that first.
pub const ECHO_TIMEOUT: Millis = SUSPECT_TIMEOUT + 2 * PING_INTERVAL + 100;
/// A member has a quorum while a majority has replied to what it sent within this time.
pub const QUORUM_TIMEOUT: Millis = 800;
/// What is in a member's log for longer is committed, or the member may lack commits that others know: more than it
/// takes to notice a stalled disk.
pub const FRESHNESS_TIMEOUT: Millis = 1_500;
/// A gap this long between steps means that our own process was suspended.
pub const SUSPENSION_GAP: Millis = 500;
/// After our own suspension others get this long to send something before they are suspected.
pub const GRACE_PERIOD: Millis = 300;
/// A member from which nothing arrives for this long may be replaced by a joiner of another name.
pub const REPLACE_TIMEOUT: Millis = 2_500;
/// A disk that hasn't completed a batch for this long is reported to the others as stalled.
pub const DISK_STALL_TIMEOUT: Millis = 1_200;
/// A chain member whose log doesn't include its predecessor's this long after the view began is removed from the chain.
pub const CATCH_UP_TIMEOUT: Millis = 2_500;

// --- readmission to the chain ---

/// A member out of the chain is readmitted after being eligible for this long; doubled with each recent eviction.
pub const READMISSION_DELAY: Millis = 400;
/// The delay is doubled at most this often.
pub const MAX_READMISSION_DOUBLINGS: u32 = 3;
/// Evictions with more time than this between them don't add up.
pub const EVICTION_MEMORY: Millis = 30_000;

// --- agreement on views ---

/// The second-ranked proposer waits this long before it proposes what the first should have proposed; the third twice
/// as long.
pub const PROPOSER_RANK_DELAY: Millis = 120;
/// Upper bound of the random part of waits before proposing, against proposers that preempt each other.
pub const PROPOSE_JITTER: Millis = 25;
/// An attempt to get a view decided is abandoned after this.
pub const PROPOSAL_TIMEOUT: Millis = 400;
/// With promises of a majority, those of the other live members are awaited this long.
pub const REMAINING_PROMISES_TIMEOUT: Millis = 80;
/// Least wait after an attempt that failed.
pub const PROPOSAL_BACKOFF: Millis = 40;
/// Upper bound of the random wait on top of [`PROPOSAL_BACKOFF`].
pub const PROPOSAL_BACKOFF_JITTER: Millis = 200;
/// Having promised to another proposer, a member gives it this long before it proposes itself.
pub const OTHER_PROPOSER_TIMEOUT: Millis = 400;

// --- replication ---

/// When nothing was acknowledged for this long, the successor is queried.
pub const ACKNOWLEDGEMENT_TIMEOUT: Millis = 300;
/// An unsynced chain member requests entries from its predecessor again after this.
pub const RESUME_RETRY: Millis = 150;
/// Least time between two requests to resume from another position.
pub const RESUME_MIN_GAP: Millis = 30;
/// A learner fetches commits from the tail this often.
pub const LEARN_INTERVAL: Millis = 150;
/// A learner fetches again after this if the reply was lost.
pub const LEARN_RETRY: Millis = 1_000;

// --- snapshots ---

/// Least time between the end of one snapshot transfer to a member and the begin of the next.
pub const SNAPSHOT_TRANSFER_GAP: Millis = 1_000;
/// A chunk of a snapshot that wasn't acknowledged is sent again after this.
pub const SNAPSHOT_CHUNK_RETRY: Millis = 300;
/// A transfer is abandoned when its receiver has made no progress for this long.
pub const SNAPSHOT_TRANSFER_TIMEOUT: Millis = 5_000;
/// A snapshot is requested from the caller again after this.
pub const TAKE_SNAPSHOT_RETRY: Millis = 2_000;

// --- membership ---

/// A joiner sends its request again after this.
pub const JOIN_RETRY: Millis = 300;
/// A joiner that has sent no request for this long is forgotten.
pub const JOINER_TIMEOUT: Millis = 1_000;
/// A joiner that would be an additional member has to request it for this long: the member that it replaces may be about
/// to be suspected.
pub const ADDITIONAL_JOINER_DELAY: Millis = SUSPECT_TIMEOUT + JOIN_RETRY;
/// Least time between two requests for a later view, which a message has shown to exist.
pub const VIEW_REQUEST_GAP: Millis = 50;

// --- requests of the caller ---

/// A submission that hasn't been committed is sent to the head again after this.
pub const RESUBMIT_INTERVAL: Millis = 1_000;
/// A read that hasn't been confirmed is sent again after this.
pub const READ_RETRY: Millis = 250;
/// Submissions and reads older than this are dropped.
pub const REQUEST_TIMEOUT: Millis = 5_000;
