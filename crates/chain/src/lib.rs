//! Chain replication over an agreed view, as state machines without I/O.
