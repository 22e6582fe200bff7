//! The clock of the fleet protocols.

/// Seconds since boot. The clock continues while the process is stopped or the machine is suspended.
#[must_use]
pub fn clock() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}
