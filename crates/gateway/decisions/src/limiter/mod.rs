//! The decisions of a [`Limiter`], one module for each concern. An invocation passes through [`admission`] (queue time,
//! rate limit, lease), [`counter_lease`] (units from the shared counter), [`server_choice`] and [`retry`].
//!
//! The owner calls `place` for a new or held invocation, `attempt_ended` for the end of an attempt, and `wait_time` for
//! the time until the next timer. It reports events with `update_endpoints`, `counter_answered`, `disconnected`,
//! `watch_lost`, `fleet_verdict` and `tick`. After each call it carries out the actions that `next_action` returns.

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
