//! Measures stalls of this machine's disk. All stores and core members of a scene share that disk, which may stall for
//! seconds while other programs use it. During a stall no turn can be stored and no budget counted, so the program
//! correctly answers 503, and replication takes longer. Stalls are detected by syncing a file of this module; a scene
//! without a stall gets no allowance.

use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::panic::resume_unwind;
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

/// A sync of at least this duration counts as a stall. More than half of the program's shortest time limit for a write
/// on several disks, as a sync of this module may start halfway through a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Pause between two syncs.
const SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of runs of a scene that fails with 503 during disk stalls.
const MAX_RUNS: usize = 5;

/// Stalls of this machine's disk since the first scene.
#[derive(Default)]
struct DiskStalls {
    /// Start and end of each stall.
    stalls: Vec<(Instant, Instant)>,
    /// Start of the running sync.
    sync_started_at: Option<Instant>,
}

/// Panic payload of a scene in which the program answered 503 although all its machines were available.
struct UnexpectedUnavailable(String);

fn disk_stalls() -> &'static Mutex<DiskStalls> {
    static DISK_STALLS: OnceLock<Mutex<DiskStalls>> = OnceLock::new();
    DISK_STALLS.get_or_init(|| {
        thread::spawn(sync_repeatedly);
        Mutex::default()
    })
}

/// Syncs a file repeatedly until the test program ends.
fn sync_repeatedly() {
    let path = std::env::temp_dir().join(format!("dunespur-disk-watch-{}", std::process::id()));
    let mut file = File::create(&path).expect("creating the file to sync in the temporary folder");
    std::fs::remove_file(&path).expect("removing the name of the file to sync");
    loop {
        let sync_started_at = Instant::now();
        disk_stalls().lock().unwrap().sync_started_at = Some(sync_started_at);
        file.write_all(b"sync")
            .and_then(|()| file.sync_data())
            .expect("syncing the file");
        let mut disk_stalls = disk_stalls().lock().unwrap();
        disk_stalls.sync_started_at = None;
        if sync_started_at.elapsed() >= STALL_THRESHOLD {
            disk_stalls.stalls.push((sync_started_at, Instant::now()));
        }
        drop(disk_stalls);
        thread::sleep(SYNC_INTERVAL);
    }
}

/// Starts monitoring the disk.
pub fn start_monitoring() {
    disk_stalls();
}

/// Total duration of disk stalls since a point in time.
pub fn stalled_since(since: Instant) -> Duration {
    let disk_stalls = disk_stalls().lock().unwrap();
    let running_sync = disk_stalls
        .sync_started_at
        .map(|start| (start, Instant::now()));
    let running_stall = running_sync.filter(|(start, now)| *now - *start >= STALL_THRESHOLD);
    let stalls = disk_stalls.stalls.iter().chain(running_stall.iter());
    stalls
        .map(|(start, end)| end.saturating_duration_since(since.max(*start)))
        .sum()
}

/// Fails the scene with an unexpected 503; [`retry_on_disk_stalls`] repeats it if the disk stalled meanwhile.
pub fn fail_as_unavailable(description: String) -> ! {
    eprintln!("unexpected 503: {description}");
    std::panic::panic_any(UnexpectedUnavailable(description))
}

/// Runs a scene, and repeats it at most [`MAX_RUNS`] times if it failed with an unexpected 503 and the disk stalled
/// meanwhile. Any other failure fails the test.
pub async fn retry_on_disk_stalls<F: Future<Output = ()> + 'static>(scene: impl Fn() -> F) {
    start_monitoring();
    for run in 1.. {
        let run_started_at = Instant::now();
        let result = LocalSet::new()
            .run_until(async { spawn_local(scene()).await })
            .await;
        let Err(failure) = result else { return };
        let failure = failure.into_panic();
        let Some(UnexpectedUnavailable(description)) =
            failure.downcast_ref::<UnexpectedUnavailable>()
        else {
            resume_unwind(failure)
        };
        let stalled_for = stalled_since(run_started_at);
        assert!(
            !stalled_for.is_zero(),
            "unexpected 503 without a disk stall: {description}"
        );
        assert!(
            run < MAX_RUNS,
            "unexpected 503 in each of {MAX_RUNS} runs: {description}"
        );
        eprintln!("run {run}: the disk stalled for {stalled_for:?}, repeating the scene");
    }
}
