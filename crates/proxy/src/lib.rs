//! The data plane: clients' and servers' connections, streams, retries, drain.
