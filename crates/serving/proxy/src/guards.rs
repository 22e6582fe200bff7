//! Switches that take single guards out, so that tests can show what each is against.

/// All guards stand by default; only tests take one out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A request that may have run and can't be repeated is not sent again. Against running it twice.
    pub unrepeatable_sent_once: bool,
    /// An answer counts only with the id of its request. Against a late or second answer of an earlier request in the
    /// place where the next one is due.
    pub answer_ids_compared: bool,
    /// Bytes that no request asked for end a resting connection before it carries another request. Against reading
    /// them as the next request's answer.
    pub surplus_bytes_end_connection: bool,
    /// A body that ends with its connection is whole only if the server ended the connection in order. Against
    /// passing on a part as the whole.
    pub reset_is_no_end: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            unrepeatable_sent_once: true,
            answer_ids_compared: true,
            surplus_bytes_end_connection: true,
            reset_is_no_end: true,
        }
    }
}
