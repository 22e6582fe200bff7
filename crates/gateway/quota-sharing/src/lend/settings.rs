//! Figures of the duty `lend`, as the operators set them.

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A block covers up to so much of the borrowers' demand to come, where nobody else adds to the name.
    pub ahead: f64,
    /// The time over which demand is measured; what is known of a name or a borrower ends after four.
    pub span: f64,
    /// A call to the counter is awaited this long.
    pub wait: f64,
    /// A name that was full is read again after this long.
    pub again: f64,
    /// Near the limit, what comes free is fetched this often and not unit by unit.
    pub pace: f64,
    /// A broker that did not answer is left alone this long; longer each time it fails again.
    pub pause: f64,
    /// Names remembered at once, by a broker, and asks that wait for one name.
    pub names: usize,
    pub waiting: usize,
    /// Borrowers remembered of one customer.
    pub borrowers: usize,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        for (key, v) in [
            ("ahead", self.ahead),
            ("span", self.span),
            ("wait", self.wait),
            ("again", self.again),
            ("pace", self.pace),
            ("pause", self.pause),
        ] {
            if !(v > 0.0 && v <= 600.0) {
                return Err(format!(
                    "fleet.lend.{key}: {v}; give seconds over 0 and up to 600"
                ));
            }
        }
        for (key, v) in [
            ("names", self.names),
            ("waiting", self.waiting),
            ("borrowers", self.borrowers),
        ] {
            if v == 0 {
                return Err(format!("fleet.lend.{key}: 0; give 1 or more"));
            }
        }
        Ok(())
    }
}
