//! Switches that take single guards out, so that tests can show what each is against.

/// All guards stand by default; only tests take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
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
        Guards { remaining_present_and_whole: true, rounds_checked: true, stands_still: true }
    }
}
