//! The control state that the core agrees on: configuration, servers, stores, budgets.
