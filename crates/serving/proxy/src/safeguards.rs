//! Safeguards that tests disable one at a time, to show what each protects against.
//!
//! With the cargo feature `removable-safeguards`, which only this crate's own tests enable, [`Safeguards`] has a
//! switch for each safeguard. Without the feature the type is empty and every check is the constant `true`: no
//! shipped program can run without a safeguard.

/// The enabled safeguards: all of them, unless a test has disabled one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(feature = "removable-safeguards"), derive(Default))]
pub struct Safeguards {
    /// A request that may have run and is not idempotent is not sent again. Protects against running it twice.
    #[cfg(feature = "removable-safeguards")]
    pub only_idempotent_retried: bool,
    /// A response is accepted only if it repeats the id of the request. Protects against a late or duplicate response
    /// to an earlier request of the connection.
    #[cfg(feature = "removable-safeguards")]
    pub response_ids_compared: bool,
    /// An idle connection with unrequested bytes closes before it carries another request. Protects against reading the
    /// bytes as the response to the next request.
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

/// The checks of the test build: each returns its switch.
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

/// The checks of a shipped program: all safeguards are enabled.
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
