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
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { first_writer_wins: true, taken_orders_in_snapshot: true, refusals_fenced: true }
    }
}
