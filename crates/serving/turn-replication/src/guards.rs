//! Switches that take single guards out, so that tests can show what each is against.

/// All guards stand by default; only tests take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A store that is being emptied takes turns whose homes fail.
    /// Against turns that can be kept nowhere while one store is emptied and another is away.
    pub emptying_takes_turns: bool,
    /// A store is empty only when what it took in meanwhile is elsewhere, too.
    /// Against a turn whose copy goes with the machine that is taken away.
    pub late_turns_owed: bool,
    /// What others acknowledged counts only in the round in which they were asked.
    /// Against a store that was wiped, cut off or replaced after it was asked.
    pub rounds_checked: bool,
    /// Only present, whole stores are homes that a store may be emptied into.
    /// Against counting on a machine that is away, or whose disk is still being filled.
    pub homes_present_and_whole: bool,
    /// Turns are taken only in a life of the process, and of the disk, that the core has taken note of.
    /// Against what an earlier life said and the core hears only now.
    pub life_registered: bool,
    /// Turns taken in for a home that did not answer are delivered to it. Not a guard of what is acknowledged:
    /// without it everything acknowledged has to be there all the same.
    pub hints: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            emptying_takes_turns: true,
            late_turns_owed: true,
            rounds_checked: true,
            homes_present_and_whole: true,
            life_registered: true,
            hints: true,
        }
    }
}
