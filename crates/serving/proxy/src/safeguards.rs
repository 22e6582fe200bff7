//! Safeguards that tests take out one at a time, to show what each protects against.
//!
//! With the cargo feature `removable-safeguards`, which only this crate's own tests turn on, [`Safeguards`] has a
//! switch for each of them. Without the feature the type is empty and every check is a constant: no shipped program
//! can run without a safeguard.

/// The safeguards in force: all of them, unless a test has taken one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(feature = "removable-safeguards"), derive(Default))]
pub struct Safeguards {
    /// A request that may have run and is not idempotent is not sent again. Protects against running it twice.
    #[cfg(feature = "removable-safeguards")]
    pub only_idempotent_retried: bool,
    /// A response counts only with the id of its request. Protects against a late or duplicate response to an earlier
    /// request where the next one is due.
    #[cfg(feature = "removable-safeguards")]
    pub response_ids_compared: bool,
    /// Bytes that no request asked for close an idle connection before it carries another request. Protects against
    /// reading them as the next request's response.
    #[cfg(feature = "removable-safeguards")]
    pub surplus_bytes_close_connection: bool,
    /// A body that ends with its connection is complete only if the endpoint closed the connection in order. Protects
    /// against forwarding a partial body as a complete one.
    #[cfg(feature = "removable-safeguards")]
    pub reset_truncates_body: bool,
}

#[cfg(feature = "removable-safeguards")]
impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            only_idempotent_retried: true,
            response_ids_compared: true,
            surplus_bytes_close_connection: true,
            reset_truncates_body: true,
        }
    }
}

/// The checks of the tests' build: each asks its switch.
#[cfg(feature = "removable-safeguards")]
impl Safeguards {
    pub(crate) const fn only_idempotent_retried(self) -> bool {
        self.only_idempotent_retried
    }

    pub(crate) const fn response_ids_compared(self) -> bool {
        self.response_ids_compared
    }

    pub(crate) const fn surplus_bytes_close_connection(self) -> bool {
        self.surplus_bytes_close_connection
    }

    pub(crate) const fn reset_truncates_body(self) -> bool {
        self.reset_truncates_body
    }
}

/// The checks of a shipped program: all safeguards are in force.
#[cfg(not(feature = "removable-safeguards"))]
impl Safeguards {
    pub(crate) const fn only_idempotent_retried(self) -> bool {
        true
    }

    pub(crate) const fn response_ids_compared(self) -> bool {
        true
    }

    pub(crate) const fn surplus_bytes_close_connection(self) -> bool {
        true
    }

    pub(crate) const fn reset_truncates_body(self) -> bool {
        true
    }
}
