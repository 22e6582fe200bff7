//! Calls between the processes of the system over kept TCP connections.
