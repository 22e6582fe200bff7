//! The operator's configuration: read, checked, patched, and asked for the route of a request.
