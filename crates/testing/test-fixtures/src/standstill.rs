//! Measures standstills of this machine: of its disk and of its scheduler. While other programs use the machine, either may
//! stand still for seconds, and a test of real processes has to tell that apart from a fault of the program.
//!
//! A probe for each resource runs repeatedly in a thread of its own until the test program ends.

use std::fmt;
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A sync of at least this duration counts as a standstill of the disk. More than half of the shortest time limit for a
/// write on several disks, as a sync may start halfway through a standstill.
const DISK_THRESHOLD: Duration = Duration::from_millis(500);
/// Pause between two syncs.
const SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// A thread that sleeps for [`SLEEP`] and wakes only after this time shows a standstill of the scheduler.
const SCHEDULER_THRESHOLD: Duration = Duration::from_millis(250);
/// How long the scheduler's probe sleeps.
const SLEEP: Duration = Duration::from_millis(10);

/// What may stand still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// The disk with the temporary folder.
    Disk,
    /// The scheduler of the operating system.
    Scheduler,
}

/// The standstills of one resource.
#[derive(Debug, Default)]
struct Standstills {
    /// Start and end of each.
    ended: Vec<(Instant, Instant)>,
    /// Start of the running probe.
    probe_started_at: Option<Instant>,
}

impl Standstills {
    /// Total duration since a point in time.
    fn total_since(&self, since: Instant, threshold: Duration) -> Duration {
        let now = Instant::now();
        let running = self.probe_started_at.map(|start| (start, now));
        let running = running.filter(|(start, now)| *now - *start >= threshold);
        let all = self.ended.iter().chain(running.iter());
        all.map(|(start, end)| end.saturating_duration_since(since.max(*start)))
            .sum()
    }
}

/// The standstills of the machine since its monitoring began.
#[derive(Debug, Default)]
pub struct Machine {
    disk: Mutex<Standstills>,
    scheduler: Mutex<Standstills>,
}

impl Machine {
    /// The monitored machine; its monitoring begins with the first call.
    pub fn monitored() -> &'static Machine {
        static MACHINE: OnceLock<Machine> = OnceLock::new();
        static PROBES: OnceLock<()> = OnceLock::new();
        let machine = MACHINE.get_or_init(Machine::default);
        PROBES.get_or_init(|| {
            thread::spawn(move || machine.probe_disk());
            thread::spawn(move || machine.probe_scheduler());
        });
        machine
    }

    /// Total duration of a resource's standstills since a point in time.
    #[must_use]
    pub fn standstill_since(&self, resource: Resource, since: Instant) -> Duration {
        let (standstills, threshold) = match resource {
            Resource::Disk => (&self.disk, DISK_THRESHOLD),
            Resource::Scheduler => (&self.scheduler, SCHEDULER_THRESHOLD),
        };
        lock(standstills).total_since(since, threshold)
    }

    /// The standstills since a point in time, for the message of a failed test.
    #[must_use]
    pub fn report_since(&self, since: Instant) -> StandstillReport {
        StandstillReport {
            disk: self.standstill_since(Resource::Disk, since),
            scheduler: self.standstill_since(Resource::Scheduler, since),
            measured: since.elapsed(),
        }
    }

    fn probe_disk(&self) {
        let name = format!("dunespur-disk-probe-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let mut file = File::create(&path).expect("the temporary folder should be writable");
        std::fs::remove_file(&path).expect("the probe's file should be removable");
        loop {
            probe(&self.disk, DISK_THRESHOLD, || {
                file.write_all(b"sync")
                    .and_then(|()| file.sync_data())
                    .expect("the probe's file should be writable");
            });
            thread::sleep(SYNC_INTERVAL);
        }
    }

    fn probe_scheduler(&self) {
        loop {
            probe(&self.scheduler, SCHEDULER_THRESHOLD, || {
                thread::sleep(SLEEP)
            });
        }
    }
}

/// The durations of standstills within a measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandstillReport {
    /// Of the disk.
    pub disk: Duration,
    /// Of the scheduler.
    pub scheduler: Duration,
    /// The time that was measured.
    pub measured: Duration,
}

impl fmt::Display for StandstillReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StandstillReport {
            disk,
            scheduler,
            measured,
        } = self;
        write!(
            f,
            "in {measured:.1?} the machine's disk stood still for {disk:.1?}, its scheduler for {scheduler:.1?}"
        )
    }
}

/// Runs a probe once and records a standstill if it took too long.
fn probe(standstills: &Mutex<Standstills>, threshold: Duration, run: impl FnOnce()) {
    let started_at = Instant::now();
    lock(standstills).probe_started_at = Some(started_at);
    run();
    let ended_at = Instant::now();
    let mut standstills = lock(standstills);
    standstills.probe_started_at = None;
    if ended_at - started_at >= threshold {
        standstills.ended.push((started_at, ended_at));
    }
}

fn lock(standstills: &Mutex<Standstills>) -> MutexGuard<'_, Standstills> {
    standstills.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
