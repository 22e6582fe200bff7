//! The decisions of a [`Limiter`], a module for each concern. An invocation's way, top down: [`admission`] (queue
//! time, rate limit, lease), [`counter_lease`] (units from the shared counter), [`server_choice`], [`retry`].
//!
//! The owner asks `place` (where to send this invocation, or not yet, or never), `after` (what to do after this
//! outcome) and `wait` (how long to wait). It passes on what it observes by `endpoints`, `counted`, `disconnected`,
//! `watch_lost`, `fleet_verdict` and `tick`, and after each call carries out what `next_action` yields.

mod accounts;
mod admission;
mod counter_lease;
mod counter_stake;
mod counter_window;
mod endpoints;
mod local_share;
mod queue;
mod rate_limiting;
mod retry;
mod server_choice;
mod server_health;
mod setup;
mod tuning;

use crate::state::Limiter;
