//! Choice of a server: engines by estimated time and held context, plain servers by load.
