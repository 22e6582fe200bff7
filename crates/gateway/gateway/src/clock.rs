//! The clock of the fleet.

/// Seconds on a clock that goes on while the process, or the whole machine, stands still.
#[must_use]
pub fn clock() -> f64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as f64 + t.tv_nsec as f64 * 1e-9
}
