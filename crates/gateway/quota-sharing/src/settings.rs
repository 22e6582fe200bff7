//! Figures of the role `lend`, as the operators set them.

/// What the operators' file says. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A block covers up to so much of the borrowers' demand to come, where nobody else adds to the name.
    pub max_lead: f64,
    /// The time over which demand is measured; what is known of a name or a borrower ends after four.
    pub demand_window: f64,
    /// A call to the counter is awaited this long.
    pub counter_timeout: f64,
    /// A name that was full is read again after this long.
    pub reread_interval: f64,
    /// Near the limit, what comes free is fetched this often and not unit by unit.
    pub near_limit_interval: f64,
    /// A broker that did not answer is left alone this long; longer each time it fails again.
    pub broker_backoff: f64,
    /// Names remembered at once, by a broker.
    pub max_names: usize,
    /// Requests that wait for one name.
    pub max_waiting: usize,
    /// Borrowers remembered of one customer.
    pub max_borrowers: usize,
}

/// A setting can't be used. Keys are those of the operators' file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A time is out of its range.
    #[error("fleet.lend.{key}: {seconds}; give seconds over 0 and up to 600")]
    Time {
        /// The setting's key.
        key: &'static str,
        /// What the file says.
        seconds: f64,
    },
    /// A bound lets nothing in.
    #[error("fleet.lend.{key}: 0; give 1 or more")]
    Bound {
        /// The setting's key.
        key: &'static str,
    },
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// The first setting that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        for (key, seconds) in [
            ("ahead", self.max_lead),
            ("span", self.demand_window),
            ("wait", self.counter_timeout),
            ("again", self.reread_interval),
            ("pace", self.near_limit_interval),
            ("pause", self.broker_backoff),
        ] {
            if !(seconds > 0.0 && seconds <= 600.0) {
                return Err(SettingsError::Time { key, seconds });
            }
        }
        for (key, bound) in [
            ("names", self.max_names),
            ("waiting", self.max_waiting),
            ("borrowers", self.max_borrowers),
        ] {
            if bound == 0 {
                return Err(SettingsError::Bound { key });
            }
        }
        Ok(())
    }
}
