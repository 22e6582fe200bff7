//! Hundreds of changes of a large configuration, and the memory that the core takes for them.

use crate::http;
use crate::missed_changes::{first_configuration, route};
use crate::operator::order;
use crate::record::Record;
use crate::system::{Deployment, Kind};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `memory_mb` of a `front` machine of the site.
const MEMORY_MB: u64 = 220;
const CORE: [&str; 4] = ["core-1", "core-2", "core-3", "core-4"];
/// The changes that the operator makes, one each [`CHANGE_INTERVAL`].
const CHANGES: u64 = 400;
const CHANGE_INTERVAL: Duration = Duration::from_millis(120);
/// No change is sent later than this, so that the case ends in its time.
const LAST_CHANGE_AT: Duration = Duration::from_secs(94);
/// The platform starts a process that has ended again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long the operator asks for the configuration at the end: `recovery_s` of the site, which is more than
/// `contact_ms`.
const READ_BACK: Duration = Duration::from_secs(12);

/// The platform: kills processes over `memory_mb`, and starts processes that have ended again.
struct Platform {
    deployment: Deployment,
    ended_at: Vec<Option<Instant>>,
    kills: Vec<u32>,
    record: Record,
}

impl Platform {
    fn look(&mut self) {
        for (index, name) in CORE.iter().enumerate() {
            if !self.deployment.runs(name) {
                if self.ended_at[index].is_some_and(|at| at.elapsed() >= RESTART_DELAY) {
                    self.ended_at[index] = None;
                    self.deployment.restart(name);
                }
                continue;
            }
            let memory = self.deployment.memory_mb(name);
            if memory > MEMORY_MB {
                self.record.line(&format!(
                    "platform: {name} has {memory} MiB, over its {MEMORY_MB}"
                ));
                self.deployment.kill(name);
                self.kills[index] += 1;
                self.ended_at[index] = Some(Instant::now());
            }
        }
    }

    fn memory(&self) -> Vec<u64> {
        CORE.iter()
            .map(|name| self.deployment.memory_mb(name))
            .collect()
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::new(root, record);
    for (number, zone) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        let name = format!("core-{number}");
        deployment.add(&name, Kind::Core, zone, 10 + number, MEMORY_MB);
    }
    deployment.start_all();
    let controls: Vec<_> = CORE.iter().map(|name| deployment.control(name)).collect();
    let first = first_configuration();
    record.line(&format!(
        "operator: the first configuration has {} bytes",
        first.len()
    ));
    let limit = Duration::from_secs(15);
    let replaced = order(
        &controls,
        "/api/config/replace",
        Some(0),
        &first,
        limit,
        record,
    );
    if replaced.is_none() {
        return None;
    }
    record.line("operator: version 1 is acknowledged");
    let platform = Arc::new(Mutex::new(Platform {
        deployment,
        ended_at: vec![None; CORE.len()],
        kills: vec![0; CORE.len()],
        record: record.clone(),
    }));
    let looking = Arc::downgrade(&platform);
    std::thread::spawn(move || {
        while let Some(platform) = looking.upgrade() {
            platform.lock().unwrap().look();
            drop(platform);
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let changes = if trouble { CHANGES } else { 10 };
    let mut version = 1;
    while version <= changes && record.elapsed() < LAST_CHANGE_AT {
        let started = Instant::now();
        // A change without a clear answer is sent again.
        if !change(&controls, version, record) {
            continue;
        }
        version += 1;
        if version % 10 == 0 {
            let memory = platform.lock().unwrap().memory();
            record.line(&format!(
                "version {version} is acknowledged; MiB of the core members: {memory:?}"
            ));
        }
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(started.elapsed()));
    }
    record.line(&format!(
        "operator: version {version} is the newest acknowledged; no more changes are sent"
    ));
    let came = read_back(&controls, version, record);
    let platform = platform.lock().unwrap();
    let often = platform.kills.iter().filter(|kills| **kills >= 3).count();
    record.line(&format!(
        "MiB of the core members at the end: {:?}; kills for memory: {:?}; the configuration came: {came}",
        platform.memory(),
        platform.kills
    ));
    Some(often * 2 >= CORE.len())
}

/// Sends one change; returns whether it was acknowledged.
fn change(controls: &[SocketAddr], base: u64, record: &Record) -> bool {
    let changed = route(
        "r-0000-2b9wu3f",
        "/pufi0/",
        "alpha",
        1_000 + (base * 7) % 4_000,
    );
    let patch = format!(
        r#"{{"generation":{},"upsert":{{"routes":[{changed}]}}}}"#,
        base + 1
    );
    let limit = Duration::from_secs(5);
    order(
        controls,
        "/api/config/patch",
        Some(base),
        &patch,
        limit,
        record,
    )
    .is_some()
}

/// Reads the configuration back, again and again at every machine. Returns whether it came in its newest version.
fn read_back(controls: &[SocketAddr], version: u64, record: &Record) -> bool {
    let started = Instant::now();
    while started.elapsed() < READ_BACK {
        for control in controls {
            let timeout = Duration::from_secs(1);
            match http::call(
                *control,
                "GET",
                "/api/config/get",
                "control",
                &[],
                &[],
                timeout,
            ) {
                Ok(answer) if answer.head.status() == 200 => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let generation = text
                        .split("\"generation\":")
                        .nth(1)
                        .and_then(|rest| rest.split([',', '}']).next())
                        .and_then(|number| number.trim().parse::<u64>().ok());
                    record.line(&format!("operator: the configuration came: {generation:?}"));
                    // A change without a clear answer may be in force.
                    return generation.is_some_and(|generation| generation >= version);
                }
                Ok(answer) => record.line(&format!("operator: read: {}", answer.head.first_line)),
                Err(error) => record.line(&format!("operator: read: {error}")),
            }
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    record.line("operator: the configuration did not come");
    false
}
