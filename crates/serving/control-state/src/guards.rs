//! Switches that take single guards out, so that tests can show what each is against.

/// All guards stand by default; only tests take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// An order is taken only on top of the current configuration. Against two orders on one version that both win.
    pub first_writer_wins: bool,
    /// Which orders were taken is part of a snapshot.
    /// Against a member that was brought up by one and refuses an order that was taken.
    pub taken_orders_in_snapshot: bool,
    /// An order that was refused takes effect only through a call made since.
    /// Against copies of it that are still under way.
    pub refusals_fenced: bool,
    /// A store remains only if it is present and whole.
    /// Against emptying the last store but one while a machine that is gone for good is still listed.
    pub remaining_present_and_whole: bool,
    /// A store is taken as empty only in the round in which it said so.
    /// Against a declaration that rests on a store which was lost, wiped or put out since.
    pub rounds_checked: bool,
    /// A retirement stands still while too few stores remain.
    /// Against turns that have too few homes for as long as the store is being emptied.
    pub stands_still: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            first_writer_wins: true,
            taken_orders_in_snapshot: true,
            refusals_fenced: true,
            remaining_present_and_whole: true,
            rounds_checked: true,
            stands_still: true,
        }
    }
}
