//! Settings for the tests of the broker and the borrower.

use dunespur_quota_sharing::Settings;

pub fn settings() -> Settings {
    Settings {
        max_lead: 1.0,
        demand_window: 2.0,
        counter_timeout: 0.04,
        reread_interval: 1.0,
        near_limit_interval: 0.25,
        broker_backoff: 1.0,
        max_names: 4,
        max_waiting: 8,
        max_borrowers: 4,
    }
}
