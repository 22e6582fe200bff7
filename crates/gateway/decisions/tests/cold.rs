//! The total load that all limiters put on one cold server, on a simulated clock.

mod harness;

use dunespur_decisions::types::*;
use harness::*;

/// Attempts per second that a warm server can serve.
const CAPACITY: f64 = 50.0;
/// Response time of a server, seconds.
const WORK: f64 = 0.09;
const SERVERS: usize = 10;
/// Index of the server that restarts.
const COLD: usize = SERVERS - 1;

/// When the limiters are told of the restart of the cold server.
#[derive(Clone, Copy, Debug)]
enum Notice {
    /// All limiters at once.
    Immediate,
    /// Every second limiter four seconds late.
    HalfLate,
    /// All limiters eight seconds late; they were not told of the stop either, the server just did not respond.
    AllLate,
}

/// Runs a fleet at the capacity of all servers, one of which restarts cold. Returns the highest ratio, over all spans
/// of the overload time, of the attempts sent to that server to the allowed number, with a margin for chance.
fn worst_load_ratio(
    limiters: usize,
    notice: Notice,
    overload: (f64, f64),
    warm_up_from: f64,
    seed: u64,
) -> f64 {
    let (multiple, span) = overload;
    let plans = vec![rate_plan(1e6, 1e6)];
    let settings = Settings {
        plans,
        has_counter: false,
        warm_up_from,
        overload_multiple: multiple,
        ..settings(limiters as u32)
    };
    let mut f = Harness::new(settings, SERVERS);
    let mut rng = fastrand::Rng::with_seed(seed);
    let step = 1.0 / (CAPACITY * SERVERS as f64);
    let (started, mut up, mut started_at) = (f.now, true, f64::INFINITY);
    let update_endpoint = |f: &mut Harness, is_informed: &dyn Fn(usize) -> bool, entry: Server| {
        (0..limiters)
            .filter(|&gateway| is_informed(gateway))
            .for_each(|gateway| f.update_endpoints(gateway, vec![entry], false));
    };
    let (stops_at, returns_at, end) = (4.0, 12.0, 30.0);
    let (mut late, mut sends) = (Vec::new(), Vec::new());
    while f.now - started < end {
        f.advance(step * -rng.f64().ln());
        f.submit(rng.usize(..limiters), rng.u64(..1000), 0, 0, 1.0);
        let at = f.now - started;
        if up && at > stops_at && at < returns_at {
            up = false;
            if !matches!(notice, Notice::AllLate) {
                update_endpoint(
                    &mut f,
                    &|_| true,
                    Server {
                        readiness: Readiness::Gone,
                        ..server(COLD)
                    },
                );
            }
        }
        if !up && at > returns_at {
            (up, started_at) = (true, f.now);
            let entry = Server {
                started_at,
                ..server(COLD)
            };
            match notice {
                Notice::Immediate => update_endpoint(&mut f, &|_| true, entry),
                Notice::HalfLate => {
                    update_endpoint(&mut f, &|gateway| gateway % 2 == 0, entry);
                    late.push((f.now + 4.0, entry));
                }
                Notice::AllLate => late.push((f.now + 8.0, entry)),
            }
        }
        if late.first().is_some_and(|(due_at, _)| *due_at < f.now) {
            let (_, entry) = late.remove(0);
            update_endpoint(&mut f, &|_| true, entry);
        }
        let has_response = |attempt: &SentAttempt, now: f64| {
            now - attempt.sent_at > WORK && (attempt.server_index != COLD || up)
        };
        while let Some(at) = (0..f.in_flight.len()).find(|&i| has_response(&f.in_flight[i], f.now))
        {
            f.end_attempt(at, AttemptResult::Succeeded);
        }
        let sent_to_cold = |timed: &TimedEvent| {
            matches!(
                timed.event,
                Event::Sent {
                    server_index: COLD,
                    ..
                }
            )
            .then_some(timed.at)
        };
        sends.extend(f.events.drain(..).filter_map(|event| sent_to_cold(&event)));
    }
    let capacity =
        |at: f64| (warm_up_from + (1.0 - warm_up_from) * (at - started_at) / 10.0).clamp(0.0, 1.0);
    let load_ratio = |&from: &f64| {
        let sent = sends
            .iter()
            .filter(|&&at| (from..=from + span).contains(&at))
            .count() as f64;
        let allowed = multiple * CAPACITY * span * capacity(from + span / 2.0);
        sent / (allowed + 2.0 * allowed.sqrt() + 2.0)
    };
    assert!(
        sends.iter().filter(|&&at| at > started_at + 10.0).count() > 20,
        "the server is not used after it has warmed up"
    );
    sends
        .iter()
        .filter(|&&at| at >= started_at && at < started_at + 10.0)
        .map(load_ratio)
        .fold(0.0, f64::max)
}

#[test]
fn a_cold_server_gets_no_more_than_its_capacity_from_all_limiters_together() {
    for limiters in [3, 6, 20, 30] {
        for notice in [Notice::Immediate, Notice::HalfLate, Notice::AllLate] {
            for (overload, warm_up_from) in
                [((4.0, 3.0), 0.16), ((2.0, 2.0), 0.27), ((3.0, 1.0), 0.2)]
            {
                for seed in 0..3 {
                    let worst = worst_load_ratio(limiters, notice, overload, warm_up_from, seed);
                    assert!(
                        worst <= 1.0,
                        "{limiters} limiters, {notice:?}, overload {overload:?}, seed {seed}: load ratio {worst:.2}"
                    );
                }
            }
        }
    }
}
