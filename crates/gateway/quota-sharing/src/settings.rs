//! Settings of the role `lend`.

/// Settings from the `fleet.lend` section of the operators' file. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Longest time of future demand that a block covers, where only this broker adds to the name.
    pub max_lead: f64,
    /// Time over which demand is measured; idle names and borrowers are forgotten after four times as long.
    pub demand_window: f64,
    /// Time-out of a call to the counter.
    pub counter_timeout: f64,
    /// Interval after which a full name is read from the counter again.
    pub reread_interval: f64,
    /// Interval at which units are fetched near the limit, rather than one by one as they become available.
    pub near_limit_interval: f64,
    /// Time for which a borrower does not call a broker that did not answer; doubles with each further failure.
    pub broker_backoff: f64,
    /// Maximum number of names that a broker keeps at once.
    pub max_names: usize,
    /// Maximum number of requests that wait for one name.
    pub max_waiting: usize,
    /// Maximum number of borrowers kept for one customer.
    pub max_borrowers: usize,
}

/// An invalid setting. Keys are those of the operators' file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A time is out of its range.
    #[error("fleet.lend.{key}: {seconds}; give seconds over 0 and up to 600")]
    Time {
        /// The setting's key.
        key: &'static str,
        /// The value in the file.
        seconds: f64,
    },
    /// A maximum number of names, requests or borrowers is 0.
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
    /// Names the first setting that is out of its range.
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
