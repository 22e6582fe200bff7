//! Sweeps over trials drawn by seed, and measurements of simulated fleets. Nothing here decides anything.

use crate::check::{check, gaps};
use crate::history::Line;
use crate::trial::{Disk, Fault, Fleet, Kind, Load, Net, Quota, Trial, Way};
use crate::world::World;
use dunespur_singleton_roles::Role;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Draws a trial: a small fleet and this many faults of every kind, many at once. The order of the draws is
/// what a seed stands for: it stays.
pub fn draw(seed: u64, faults: usize) -> Trial {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let fleet = draw_fleet(&mut rng);
    let mut trial = Trial {
        name: format!("drawn-{seed}"),
        seconds: 0.0,
        settle: 22.0,
        net: Net {
            lose: [0.0, 0.0, 0.01, 0.05][rng.random_range(0..4)],
            ..Net::default()
        },
        load: Load::default(),
        fleet,
        quota: None,
        faults: Vec::new(),
    };
    let mut spoilt = false;
    for _ in 0..faults {
        let fault = draw_fault(&mut rng, &trial.fleet, &mut spoilt);
        trial.faults.push(fault);
    }
    trial.seconds = trial.calm_from() + trial.settle + 3.0;
    // In one of three, customers over their quotas, brokers between them and the counter, and its faults.
    if rng.random_range(0..3) == 0 {
        trial
            .fleet
            .duties
            .push(duty("lend", rng.random_range(1..6), false));
        trial.quota = Some(draw_quota(&mut rng));
        if rng.random_bool(0.6) {
            trial.faults.push(draw_counter_fault(&mut rng));
            trial.seconds = trial.calm_from() + trial.settle + 3.0;
        }
    }
    trial
}

fn duty(name: &str, shards: u32, by_zone: bool) -> Role {
    Role {
        name: name.into(),
        shards,
        by_zone,
    }
}

fn draw_fleet(rng: &mut Xoshiro256PlusPlus) -> Fleet {
    let voters = if rng.random_bool(0.7) { 3 } else { 5 };
    let limiters = rng.random_range(voters..voters + 6);
    let stall = if rng.random_bool(0.3) { 4.0 } else { 0.0 };
    let duties = vec![
        duty("watch", 1, true),
        duty("probe", 3, false),
        duty("audit", rng.random_range(1..8), false),
    ];
    Fleet {
        limiters,
        voters,
        stall,
        duties,
        ..Fleet::default()
    }
}

/// `spoilt` says whether a voter's disk was lost or put back already.
fn draw_fault(rng: &mut Xoshiro256PlusPlus, fleet: &Fleet, spoilt: &mut bool) -> Fault {
    use Kind::*;
    let kinds = [
        Kill, Kill, Stall, Stall, Term, Upgrade, Twin, Cut, Cut, Cut, Lose, Delay, Reorder, Double,
        Slow, SlowDisk, Idle,
    ];
    let kind = kinds[rng.random_range(0..kinds.len())];
    let mut target = draw_target(rng, fleet);
    if kind == Twin && !target.starts_with("holder") {
        target = format!("limiter:{}", rng.random_range(0..fleet.limiters));
    }
    let peers = [
        None,
        Some("voters"),
        Some("leader"),
        Some("half"),
        Some("receivers"),
        Some("voter:0"),
    ];
    let link = matches!(kind, Cut | Lose | Delay | Reorder | Double);
    let peer = peers[if link {
        rng.random_range(0..peers.len())
    } else {
        0
    }]
    .map(str::to_owned);
    let amount = draw_amount(rng, kind);
    let mut disk = Disk::Kept;
    let several = ["all", "voters", "half"].contains(&target.as_str());
    if kind == Kill && !*spoilt && !several && rng.random_bool(0.4) {
        // One voter's disk in a trial: with a majority's disks gone nothing can come back by itself.
        target = format!("voter:{}", rng.random_range(0..fleet.voters));
        disk = if rng.random_bool(0.5) {
            Disk::Lost
        } else {
            Disk::Older
        };
        *spoilt = true;
    }
    Fault {
        kind,
        at: rng.random_range(3.0..16.0),
        length: rng.random_range(0.3..7.0),
        target,
        peer,
        way: [Way::Both, Way::Both, Way::From, Way::To][rng.random_range(0..4)],
        amount,
        disk,
        older: rng.random_range(0.5..4.0),
        every: if link && rng.random_bool(0.2) {
            0.7
        } else {
            0.0
        },
    }
}

fn draw_target(rng: &mut Xoshiro256PlusPlus, fleet: &Fleet) -> String {
    match rng.random_range(0..8) {
        0 | 1 => "leader".into(),
        2 => "holder:audit:0".to_string(),
        3 => format!("holder:watch:{}", rng.random_range(0..3)),
        4 => format!("voter:{}", rng.random_range(0..fleet.voters)),
        5 => format!("zone:{}", ["a", "b", "c"][rng.random_range(0..3)]),
        6 => format!("limiter:{}", rng.random_range(0..fleet.limiters)),
        _ => ["half", "voters", "all"][rng.random_range(0..3)].to_owned(),
    }
}

fn draw_amount(rng: &mut Xoshiro256PlusPlus, kind: Kind) -> f64 {
    match kind {
        Kind::Lose => rng.random_range(0.05..0.6),
        Kind::Delay => rng.random_range(0.01..1.5),
        Kind::Reorder => rng.random_range(0.05..2.5),
        Kind::Slow => rng.random_range(0.001..0.05),
        Kind::Upgrade => rng.random_range(1..4) as f64,
        Kind::SlowDisk => rng.random_range(0.1..2.0),
        _ => 0.0,
    }
}

fn draw_quota(rng: &mut Xoshiro256PlusPlus) -> Quota {
    let hard = rng.random_bool(0.5);
    Quota {
        customers: rng.random_range(1..6),
        rate: rng.random_range(2.0..8.0),
        burst: rng.random_range(4..30) as f64,
        hard_rate: if hard { 12.0 } else { 0.0 },
        hard_burst: if hard { 40.0 } else { 0.0 },
        times: rng.random_range(0.5..4.0),
        thin: rng.random_bool(0.3),
        counter: [30.0, 100.0, 10_000.0][rng.random_range(0..3)],
        ..Quota::default()
    }
}

fn draw_counter_fault(rng: &mut Xoshiro256PlusPlus) -> Fault {
    let kind = if rng.random_bool(0.7) {
        Kind::Silence
    } else {
        Kind::Forget
    };
    let (at, length) = (rng.random_range(3.0..16.0), rng.random_range(0.3..7.0));
    Fault::new(kind, at, length, "counter")
}

/// Plays drawn trials on all cores; says what broke and keeps those trials.
pub fn sweep(seed: u64, count: u64, faults: usize, keep: Option<PathBuf>) -> ExitCode {
    if let Some(dir) = &keep {
        if let Err(e) = std::fs::create_dir_all(dir) {
            eprintln!("dunespur-lab: {}: {e}", dir.display());
            return ExitCode::from(2);
        }
    }
    let next = AtomicU64::new(0);
    let broken = Mutex::new(Vec::new());
    let (events, took) = (AtomicU64::new(0), AtomicU64::new(0));
    let start = Instant::now();
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= count {
                    break;
                }
                let of = seed.wrapping_mul(1_000_003).wrapping_add(n);
                let trial = draw(of, faults);
                if let Err(e) = trial.check() {
                    broken
                        .lock()
                        .unwrap_or_else(|p| p.into_inner())
                        .push((of, vec![format!("drawn badly: {e}")]));
                    continue;
                }
                let played = std::panic::catch_unwind(|| {
                    let mut w = World::new(&trial, of);
                    w.run();
                    let accepted = w
                        .lines
                        .iter()
                        .filter(|l| matches!(l, Line::Accepted { .. }))
                        .count();
                    (check(&trial, &w.lines), w.tally.events, accepted as u64)
                });
                let what = match played {
                    Ok((what, e, a)) => {
                        events.fetch_add(e, Ordering::Relaxed);
                        took.fetch_add(a, Ordering::Relaxed);
                        what
                    }
                    Err(_) => vec!["panic".into()],
                };
                if !what.is_empty() {
                    if let Some(dir) = &keep {
                        let text = toml::to_string(&trial).unwrap_or_default();
                        let _ = std::fs::write(dir.join(format!("drawn-{of}.toml")), text);
                    }
                    broken
                        .lock()
                        .unwrap_or_else(|p| p.into_inner())
                        .push((of, what));
                }
                if n % 1000 == 999 {
                    let broken = broken.lock().map_or(0, |b| b.len());
                    tracing::info!(
                        played = n + 1,
                        broken,
                        seconds = start.elapsed().as_secs_f64()
                    );
                }
            });
        }
    });
    let mut broken = broken.into_inner().unwrap_or_else(|p| p.into_inner());
    broken.sort();
    for (of, what) in &broken {
        what.iter().for_each(|w| println!("{of}: {w}"));
    }
    let verdict = if broken.is_empty() { "held" } else { "broken" };
    let last = serde_json::json!({
        "line": "verdict", "verdict": verdict, "trials": count, "broken": broken.len(), "faults_each": faults,
        "events": events.into_inner(), "effects_accepted": took.into_inner(),
        "seconds": (start.elapsed().as_secs_f64() * 10.0).round() / 10.0,
    });
    println!("{last}");
    ExitCode::from(u8::from(!broken.is_empty()))
}

/// The leader stopped at each step of a grant: a holder dies, and the trial is played once for each of many
/// moments around the next grant of what it held, with the leader standing still from that moment on.
pub fn steps(seed: u64) -> ExitCode {
    let mut trial = Trial {
        name: "leader-stopped-in-a-grant".into(),
        seconds: 32.0,
        settle: 14.0,
        fleet: Fleet::default(),
        net: Net::default(),
        load: Load::default(),
        quota: None,
        faults: vec![Fault::new(Kind::Kill, 6.0, 11.0, "holder:audit:0")],
    };
    let slot = trial
        .roles()
        .slots_of("audit")
        .map_or(0, |range| range.first);
    let play = |trial: &Trial| {
        let mut world = World::new(trial, seed);
        world.run();
        let grants = world.lines.iter().find_map(|l| match l {
            Line::Began { t, slot: s, .. } if *s == slot && *t > 6.0 => Some(*t),
            _ => None,
        });
        (check(trial, &world.lines), grants)
    };
    let (mut broken, granted) = play(&trial);
    let Some(granted) = granted else {
        println!(
            "{}",
            serde_json::json!({"line": "verdict", "verdict": "broken", "broken": ["no grant"]})
        );
        return ExitCode::from(1);
    };
    // From before the holder's session is ended to after the next one has begun, a quarter of a fsync apart.
    let (mut moments, mut delayed) = (0, 0);
    let mut at = granted - 0.06;
    while at < granted + 0.01 {
        trial.faults.truncate(1);
        trial
            .faults
            .push(Fault::new(Kind::Stall, at, 4.0, "leader"));
        let (what, then) = play(&trial);
        broken.extend(
            what.into_iter()
                .map(|w| format!("leader stopped at {at:.5}: {w}")),
        );
        moments += 1;
        delayed += u32::from(then.is_none_or(|t| t > granted + 0.001));
        at += trial.net.fsync / 4.0;
    }
    let verdict = if broken.is_empty() { "held" } else { "broken" };
    let last = serde_json::json!({
        "line": "verdict", "verdict": verdict, "moments": moments, "grant_delayed_in": delayed,
        "granted_at": granted, "broken": broken,
    });
    println!("{last}");
    ExitCode::from(u8::from(!broken.is_empty()))
}

/// Count, median, 99th percentile and worst of some seconds.
pub fn spread(of: &mut [f64]) -> serde_json::Value {
    let round = |v: f64| (v * 1e5).round() / 1e5;
    let (p50, p99, worst) = (
        percentile(of, 0.5),
        percentile(of, 0.99),
        percentile(of, 1.0),
    );
    if of.is_empty() {
        return serde_json::json!({"count": 0});
    }
    serde_json::json!({"count": of.len(), "p50": round(p50), "p99": round(p99), "worst": round(worst)})
}

fn percentile(of: &mut [f64], share: f64) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(((of.len() as f64 * share) as usize).min(of.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Customers over their quotas at a counter that takes a part of the tries, for each size and loss, with
/// nothing shared and with brokers.
pub fn quotas(
    limiters: &[usize],
    loss: &[f64],
    spread: usize,
    times: f64,
    seed: u64,
    seconds: f64,
) -> ExitCode {
    let ranges = limiters.iter().all(|n| (3..=1000).contains(n))
        && loss.iter().all(|l| (0.0..1.0).contains(l));
    let loads = spread > 0 && times > 0.0 && times <= 100.0;
    if !(ranges && loads && (15.0..=600.0).contains(&seconds)) {
        eprintln!(
            "dunespur-lab: give 3 to 1000 limiters, a loss from 0 to under 1, 15 to 600 seconds, a spread of 1 or \
             more and a load over 0 and up to 100 times the quotas"
        );
        return ExitCode::from(2);
    }
    let cases: Vec<(usize, f64, bool)> = limiters
        .iter()
        .flat_map(|n| {
            loss.iter()
                .flat_map(move |l| [(*n, *l, false), (*n, *l, true)])
        })
        .collect();
    let rows = Mutex::new(BTreeMap::new());
    let next = AtomicU64::new(0);
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(&(n, lose, shared)) = cases.get(at) else { break };
                let duty = |name: &str, shards, by_zone| Role { name: name.into(), shards, by_zone };
                let mut duties = vec![duty("watch", 1, true)];
                if shared {
                    duties.push(duty("lend", 32, false));
                }
                // Ten tries a second at each limiter, of which the counter takes three.
                let quota = Quota {
                    customers: n,
                    rate: 10.0 / times,
                    burst: 20.0 / times,
                    times,
                    spread,
                    servers: (n / 2).max(6),
                    counter: n as f64 * 3.0,
                    ..Quota::default()
                };
                let trial = Trial {
                    name: "quotas".into(),
                    seconds,
                    settle: 5.0,
                    fleet: Fleet { limiters: n, voters: 5.min(n), duties, ..Fleet::default() },
                    net: Net { lose, ..Net::default() },
                    load: Load { effects: 0.1, ..Load::default() },
                    quota: Some(quota),
                    faults: vec![],
                };
                let mut w = World::new(&trial, seed);
                if let Some(service) = &mut w.service {
                    service.measure_from = seconds / 3.0;
                }
                w.measure_from = seconds / 3.0;
                w.run();
                let Some(service) = &w.service else { continue };
                let t = &service.tally;
                let share = |n: u64| (n as f64 / t.tries.max(1) as f64 * 1e4).round() / 1e4;
                let row = serde_json::json!({
                    "limiters": n, "loss": lose, "spread": spread, "shared": shared, "seed": seed,
                    "tries": t.tries, "sent": share(t.sent), "beyond": share(t.beyond),
                    "refused_with_room": share(t.with_room), "calls": share(t.calls), "taken": share(t.taken),
                    "to_brokers": share(t.brokered), "by_cause": t.by_cause,
                    "overshoot_units": (service.overshoot() * 10.0).round() / 10.0,
                    "bytes_per_limiter_s": (w.tally.bytes as f64 / n as f64 / (seconds * 2.0 / 3.0)).round(),
                });
                rows.lock().unwrap_or_else(|p| p.into_inner()).insert(at, row);
            });
        }
    });
    for row in rows
        .into_inner()
        .unwrap_or_else(|p| p.into_inner())
        .into_values()
    {
        println!("{row}");
    }
    ExitCode::SUCCESS
}

/// One fleet for each size and loss: starts within a second, then loses one limiter.
pub fn fleet(limiters: &[usize], loss: &[f64], seed: u64, seconds: f64) -> ExitCode {
    let ranges = limiters.iter().all(|n| (3..=1000).contains(n))
        && loss.iter().all(|l| (0.0..1.0).contains(l));
    if !ranges || !(20.0..=3600.0).contains(&seconds) {
        eprintln!("dunespur-lab: give 3 to 1000 limiters, a loss from 0 to under 1, and 20 to 3600 seconds");
        return ExitCode::from(2);
    }
    for &n in limiters {
        for &lose in loss {
            let duty = |name: &str, shards, by_zone| Role {
                name: name.into(),
                shards,
                by_zone,
            };
            let trial = Trial {
                name: "measure".into(),
                seconds,
                settle: 5.0,
                fleet: Fleet {
                    limiters: n,
                    voters: 5.min(n),
                    duties: vec![
                        duty("watch", 1, true),
                        duty("probe", 64, false),
                        duty("audit", 64, false),
                    ],
                    ..Fleet::default()
                },
                net: Net {
                    lose,
                    ..Net::default()
                },
                load: Load {
                    effects: 0.5,
                    ..Load::default()
                },
                quota: None,
                faults: vec![Fault::new(
                    Kind::Kill,
                    seconds / 2.0,
                    seconds / 2.0 - 6.0,
                    &format!("limiter:{}", n - 1),
                )],
            };
            if let Err(e) = trial.check() {
                eprintln!("dunespur-lab: {e}");
                return ExitCode::from(2);
            }
            let mut w = World::new(&trial, seed);
            // The start, in which everyone learns of everyone, is over by then.
            w.measure_from = seconds / 3.0;
            w.run();
            let dead = trial.limiter(n - 1);
            let mut heard: Vec<f64> = w
                .tally
                .downs
                .iter()
                .filter(|d| d.0 == dead)
                .map(|d| d.2 - seconds / 2.0)
                .collect();
            let known = heard.len();
            let p99 = if known * 100 >= (n - 1) * 99 {
                percentile(&mut heard, 0.99)
            } else {
                f64::NAN
            };
            let gaps = gaps(&trial, &w.lines);
            let all_held = gaps
                .iter()
                .filter(|g| g.from == 0.0)
                .map(|g| g.to)
                .fold(0.0, f64::max);
            let each = (n as f64 * (seconds - seconds / 3.0)).recip();
            let round = |v: f64| (v * 1000.0).round() / 1000.0;
            let row = serde_json::json!({
                "limiters": n, "loss": lose, "seconds": seconds, "seed": seed,
                "all_held_after_s": round(all_held),
                "dead_known_to_99_in_s": if p99.is_nan() { serde_json::Value::Null } else { round(p99).into() },
                "known_to": known,
                "false_downs_per_limiter_hour": round(w.tally.false_downs as f64 * each * 3600.0),
                "false_downs_before": w.tally.early_downs,
                "gossip_messages_per_limiter_s": round(w.tally.gossip_messages as f64 * each),
                "gossip_bytes_per_limiter_s": round(w.tally.gossip_bytes as f64 * each),
                "duty_messages_per_limiter_s": round(w.tally.messages as f64 * each),
                "duty_bytes_per_limiter_s": round(w.tally.bytes as f64 * each),
                "events": w.tally.events,
            });
            println!("{row}");
        }
    }
    ExitCode::SUCCESS
}
