//! Times and bounds of the protocol.

/// Milliseconds of a steady clock.
pub type Millis = u64;

/// Each member tells the others this often that it is there, and whom it hears.
pub const PING_EVERY: Millis = 200;
/// Silence this long makes a member suspected.
pub const SUSPECT_AFTER: Millis = 900;
/// A member whose connection was refused or reset is suspected if it isn't heard from within this time.
pub const SUSPECT_AFTER_DISCONNECT: Millis = 120;
/// An echo older than this shows that the other no longer hears us. A stamp is up to two rounds of pings older than the
/// message that brought its echo: who falls silent is suspected for that first.
pub const ECHO_LASTS: Millis = SUSPECT_AFTER + 2 * PING_EVERY + 100;
/// A member is current while a majority has answered what it sent within this time.
pub const CURRENT_WITHIN: Millis = 800;
/// What is in a member's log for longer is committed, or the member may lack commits that others know: more than a
/// stalled disk takes to be noticed.
pub const COMMITS_KNOWN_WITHIN: Millis = 1_500;
/// A gap this long between steps means that we stood still ourselves.
pub const OWN_GAP: Millis = 500;
/// After a standstill others get this long to be heard before they are suspected.
pub const DOUBT_ROUND: Millis = 300;
/// A member silent this long may be replaced by a newcomer of another name.
pub const REPLACE_AFTER: Millis = 2_500;
/// A disk that hasn't answered for this long is told to the others as stalled.
pub const STALLED_AFTER: Millis = 1_200;
/// A chain member that hasn't come up to its predecessor this long after the view began is put out.
pub const LAGGING_AFTER: Millis = 2_500;

/// A member out of the chain is taken back after being well for this long; doubled with each recent eviction.
pub const RETURN_AFTER: Millis = 400;
/// No more doublings than this.
pub const RETURN_DOUBLINGS: u32 = 3;
/// Evictions further apart than this don't add up.
pub const EVICTIONS_FORGOTTEN_AFTER: Millis = 30_000;

/// The wait of the second in line before it proposes what the first should have; of the third twice this.
pub const RANK_DELAY: Millis = 120;
/// Random part of waits before proposing, against duels.
pub const PROPOSE_JITTER: Millis = 25;
/// An attempt to decide a view is given up after this.
pub const ATTEMPT_LASTS: Millis = 400;
/// With a majority of promises, the others that seem alive are awaited this long.
pub const PROMISES_AWAITED: Millis = 80;
/// Least wait after an attempt that failed, and the random part on top.
pub const BACKOFF: Millis = 40;
pub const BACKOFF_JITTER: Millis = 200;
/// Having promised to another, a member gives it this long before it proposes itself.
pub const PROMISE_PATIENCE: Millis = 400;

/// Unacknowledged entries are asked after when nothing has moved for this long.
pub const PROBE_AFTER: Millis = 300;
/// An unsynced chain member asks its predecessor again after this.
pub const ATTACH_AGAIN: Millis = 150;
/// No more than one demand to start again from another position within this.
pub const ATTACH_GAP: Millis = 30;
/// A member out of the chain asks for commits this often, and again this long after an answer that was lost.
pub const FOLLOW_EVERY: Millis = 150;
pub const FOLLOW_AGAIN: Millis = 1_000;
/// A member is taken back into the chain when it has all commits but so many: the chain waits for the rest.
pub const MOST_BEHIND: u64 = 512;
/// No further snapshot goes to a member within this time after the end of one.
pub const SNAPSHOT_GAP: Millis = 1_000;
/// A part of a snapshot that wasn't answered is sent again after this.
pub const SNAPSHOT_PART_AGAIN: Millis = 300;
/// A snapshot on its way is given up when its receiver has said nothing new for this long.
pub const TRANSFER_LASTS: Millis = 5_000;
/// A demand for the caller's snapshot is repeated after this.
pub const SNAPSHOT_AGAIN: Millis = 2_000;
/// A newcomer asks again after this.
pub const JOIN_EVERY: Millis = 300;
/// A newcomer that hasn't asked for this long is forgotten.
pub const NEWCOMER_LASTS: Millis = 1_000;
/// A newcomer that is to be one more has to ask for this long: the member that it replaces may be about to be missed.
pub const NEWCOMER_WAITS: Millis = SUSPECT_AFTER + JOIN_EVERY;
/// No more than one answer to a message of a later view within this.
pub const CATCH_UP_GAP: Millis = 50;

/// A submission that hasn't been committed is sent again after this.
pub const RESUBMIT_AFTER: Millis = 1_000;
/// A read that hasn't been confirmed is sent again after this.
pub const READ_AGAIN: Millis = 250;
/// Submissions and reads older than this are dropped.
pub const GIVE_UP_AFTER: Millis = 5_000;

/// Members that are gone are kept in the view if there are no more than this.
pub const FEWEST_MEMBERS: usize = 3;
/// No more members than this.
pub const MOST_MEMBERS: usize = 7;
/// No more newcomers remembered than this.
pub const MOST_NEWCOMERS: usize = 8;
/// Submissions in hand at one member, and the bytes of their payloads.
pub const MOST_SUBMISSIONS: usize = 1_024;
pub const MOST_SUBMISSION_BYTES: usize = 1 << 20;
/// Reads in hand at one member.
pub const MOST_READS: usize = 1_024;
/// Probes of reads held back until a member is synced.
pub const MOST_HELD_PROBES: usize = 64;
/// Entries that the head takes before it hears of their commit, and their bytes.
pub const MOST_UNCOMMITTED: u64 = 4_096;
pub const MOST_UNCOMMITTED_BYTES: usize = 2 << 20;
/// A snapshot is asked for when as many bytes of entries were committed as the last one has, within these bounds.
pub const COMPACT_BYTES: usize = 1 << 20;
pub const MOST_COMPACT_BYTES: usize = 2 << 20;
/// Bytes of entries that stay in memory, some of them before the snapshot, for members that were away shortly.
pub const KEPT_BYTES: usize = 2 << 20;
/// The same while a snapshot is on its way to a member, which goes on from there.
pub const KEPT_FOR_TRANSFER_BYTES: usize = 16 << 20;
/// Bytes of a snapshot in one message: pings wait behind it, 20 ms at 100 Mbit a second.
pub const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// No larger snapshot is taken from another member.
pub const MOST_SNAPSHOT_BYTES: u64 = 32 << 20;
/// Payload bytes in one message of entries, about.
pub const APPEND_BYTES: usize = 256 << 10;
