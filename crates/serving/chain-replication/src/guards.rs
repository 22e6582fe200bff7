//! Switches that take single guards out, so that tests can show what each is against.

/// All guards stand by default; only tests take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// Messages of the chain count only within their view, from the neighbour there, and not at a member that has
    /// promised the next view.
    /// Against a chain that was replaced and doesn't know it.
    pub views_checked: bool,
    /// Entries and votes are passed on only when they are on disk. Against a loss of power right after.
    pub synced_before_passed_on: bool,
    /// A read passes along the whole chain. Against reading from a member that was put out and doesn't know it.
    pub reads_confirmed: bool,
    /// Others count as having answered by when we sent what they answer, not by when the answer came.
    /// Against a member that was frozen and finds old answers in its sockets.
    pub currency_by_sending: bool,
    /// A member shows its state only while it has given out all that has been in its log for some time.
    /// Against the old state of one that has started again, or that is parted from the tail.
    pub commits_awaited: bool,
    /// A member that has installed a view votes on no other one of that number.
    /// Against one that was put out, or stood still, and has a view decided again in the place of that in force.
    pub decided_once: bool,
    /// A member of the chain counts as synced only when its log has come up to its predecessor's.
    /// Against a newcomer, or one that was away or goes on from a snapshot, whose assent counts for what it doesn't hold.
    pub whole_before_synced: bool,
    /// A snapshot that came in parts counts only if the whole has its checksum. Against bytes that were spoilt or mixed
    /// on the way.
    pub snapshots_checked: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            views_checked: true,
            synced_before_passed_on: true,
            reads_confirmed: true,
            currency_by_sending: true,
            commits_awaited: true,
            decided_once: true,
            whole_before_synced: true,
            snapshots_checked: true,
        }
    }
}
