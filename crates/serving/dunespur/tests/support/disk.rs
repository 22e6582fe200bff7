//! The machine's own disk, measured. The stores and core members of a scene are written as if each had a disk of
//! its own; here all of them have the one disk of this machine, which may stand still for seconds while others
//! use it. Then no turn can be kept and no budget counted, the program answers "later", as it should, and a copy
//! takes longer. That time is measured by syncs of a file of ours and is not held against the program; a scene
//! over which the disk did not stand still is judged as ever.

use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::panic::resume_unwind;
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

/// A sync that takes longer is a disk that stands still. Over half of the shortest time that the program gives
/// to a write on several disks: one of ours may begin when half of a standstill is over.
const STANDSTILL: Duration = Duration::from_millis(500);
/// Between two syncs.
const PAUSE: Duration = Duration::from_millis(50);
/// How often a scene is played that was answered "later" while the disk stood still.
const PLAYS: usize = 5;

/// What this machine's disk did since the first scene.
#[derive(Default)]
struct Watched {
    standstills: Vec<(Instant, Instant)>,
    /// The sync that is under way.
    begun: Option<Instant>,
}

/// Said, as the panic of a test, where the program answered "later" though all was well with its machines.
struct Later(String);

fn watched() -> &'static Mutex<Watched> {
    static WATCHED: OnceLock<Mutex<Watched>> = OnceLock::new();
    WATCHED.get_or_init(|| {
        thread::spawn(watch);
        Mutex::default()
    })
}

/// Syncs a file again and again, until the test program ends.
fn watch() {
    let path = std::env::temp_dir().join(format!("dunespur-disk-watch-{}", std::process::id()));
    let mut file = File::create(&path).expect("a file beside the scenes' folders");
    std::fs::remove_file(&path).expect("it is there");
    loop {
        let begun = Instant::now();
        watched().lock().unwrap().begun = Some(begun);
        file.write_all(b"sync")
            .and_then(|()| file.sync_data())
            .expect("a sync");
        let mut watched = watched().lock().unwrap();
        watched.begun = None;
        if begun.elapsed() >= STANDSTILL {
            watched.standstills.push((begun, Instant::now()));
        }
        drop(watched);
        thread::sleep(PAUSE);
    }
}

/// Begins to watch.
pub fn begin() {
    watched();
}

/// How long the disk has stood still since then.
pub fn stood_still_since(since: Instant) -> Duration {
    let watched = watched().lock().unwrap();
    let under_way = watched.begun.map(|begun| (begun, Instant::now()));
    let under_way = under_way.filter(|(begun, now)| *now - *begun >= STANDSTILL);
    let spans = watched.standstills.iter().chain(under_way.iter());
    spans
        .map(|(begun, ended)| ended.saturating_duration_since(since.max(*begun)))
        .sum()
}

/// Fails the test: the program answered "later" and was not to.
pub fn fail_as_late(what: String) -> ! {
    eprintln!("answered \"later\": {what}");
    std::panic::panic_any(Later(what))
}

/// Plays a scene. It is played again, some times at most, only if it failed because the program answered
/// "later" and the disk stood still meanwhile; any other failure, and each without a standstill, is the test's.
pub async fn with_standstills_apart<F: Future<Output = ()> + 'static>(scene: impl Fn() -> F) {
    begin();
    for play in 1.. {
        let begun = Instant::now();
        let played = LocalSet::new()
            .run_until(async { spawn_local(scene()).await })
            .await;
        let Err(failure) = played else { return };
        let failure = failure.into_panic();
        let Some(Later(what)) = failure.downcast_ref::<Later>() else {
            resume_unwind(failure)
        };
        let stood_still = stood_still_since(begun);
        assert!(
            !stood_still.is_zero(),
            "answered \"later\" while the disk went on: {what}"
        );
        assert!(
            play < PLAYS,
            "answered \"later\" in each of {PLAYS} plays: {what}"
        );
        eprintln!("play {play}: the disk stood still for {stood_still:?}, so it is played again");
    }
}
