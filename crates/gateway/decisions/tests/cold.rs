//! One cold server and the sum of what all limiters send it, on a clock of the test's own.

mod front;

use dunespur_decisions::types::*;
use front::*;

/// What a server takes in a second when it is warm; so many in hand at once then.
const CAPACITY: f64 = 50.0;
const WORK: f64 = 0.09;
const SERVERS: usize = 10;
const COLD: usize = SERVERS - 1;

#[derive(Clone, Copy, Debug)]
enum Told {
    /// All limiters hear of the start as it happens.
    AtOnce,
    /// Every second one hears of it four seconds late.
    HalfLate,
    /// Nobody hears of it for eight seconds, nor had heard that it was gone: it was silent.
    Late,
}

/// Plays a fleet at the capacity of all servers, one of which comes back cold. Gives the most sends to it in
/// any span of the settings' fall time over what the settings allow it then, with the part put down to chance.
fn worst_over_its_budget(
    limiters: usize,
    told: Told,
    fall: (f64, f64),
    warm_up_from: f64,
    seed: u64,
) -> f64 {
    let (multiple, span) = fall;
    let plans = vec![rate_plan(1e6, 1e6)];
    let settings = Settings {
        plans,
        counter: false,
        warm_up_from,
        overload_multiple: multiple,
        ..settings(limiters as u32)
    };
    let mut f = Front::new(settings, SERVERS);
    let mut rng = fastrand::Rng::with_seed(seed);
    let step = 1.0 / (CAPACITY * SERVERS as f64);
    let (began, mut up, mut started_at) = (f.now, true, f64::INFINITY);
    let tell = |f: &mut Front, gates: &dyn Fn(usize) -> bool, entry: Server| {
        (0..limiters)
            .filter(|&gate| gates(gate))
            .for_each(|gate| f.endpoints(gate, vec![entry], false));
    };
    let (down, back, end) = (4.0, 12.0, 30.0);
    let (mut late, mut sends) = (Vec::new(), Vec::new());
    while f.now - began < end {
        f.pass(step * -rng.f64().ln());
        f.take(rng.usize(..limiters), rng.u64(..1000), 0, 0, 1.0);
        let at = f.now - began;
        if up && at > down && at < back {
            up = false;
            if !matches!(told, Told::Late) {
                tell(
                    &mut f,
                    &|_| true,
                    Server {
                        readiness: Readiness::Gone,
                        ..server(COLD)
                    },
                );
            }
        }
        if !up && at > back {
            (up, started_at) = (true, f.now);
            let entry = Server {
                started_at,
                ..server(COLD)
            };
            match told {
                Told::AtOnce => tell(&mut f, &|_| true, entry),
                Told::HalfLate => {
                    tell(&mut f, &|gate| gate % 2 == 0, entry);
                    late.push((f.now + 4.0, entry));
                }
                Told::Late => late.push((f.now + 8.0, entry)),
            }
        }
        if late.first().is_some_and(|l| l.0 < f.now) {
            let (_, entry) = late.remove(0);
            tell(&mut f, &|_| true, entry);
        }
        let answers = |o: &Out, now: f64| now - o.at > WORK && (o.tgt != COLD || up);
        while let Some(at) = (0..f.out.len()).find(|&i| answers(&f.out[i], f.now)) {
            f.end(at, Ending::Succeeded);
        }
        let to_it =
            |s: &(f64, usize, Seen)| matches!(s.2, Seen::Sent { tgt: COLD, .. }).then_some(s.0);
        sends.extend(f.seen.drain(..).filter_map(|s| to_it(&s)));
    }
    let part =
        |at: f64| (warm_up_from + (1.0 - warm_up_from) * (at - started_at) / 10.0).clamp(0.0, 1.0);
    let over = |&from: &f64| {
        let sent = sends
            .iter()
            .filter(|&&at| (from..=from + span).contains(&at))
            .count() as f64;
        let allowed = multiple * CAPACITY * span * part(from + span / 2.0);
        sent / (allowed + 2.0 * allowed.sqrt() + 2.0)
    };
    assert!(
        sends.iter().filter(|&&at| at > started_at + 10.0).count() > 20,
        "it is used once it is warm"
    );
    sends
        .iter()
        .filter(|&&at| at >= started_at && at < started_at + 10.0)
        .map(over)
        .fold(0.0, f64::max)
}

#[test]
fn a_cold_server_gets_no_more_than_its_budget_from_all_limiters_together() {
    for limiters in [3, 6, 20, 30] {
        for told in [Told::AtOnce, Told::HalfLate, Told::Late] {
            for (fall, warm_up_from) in [((4.0, 3.0), 0.16), ((2.0, 2.0), 0.27), ((3.0, 1.0), 0.2)]
            {
                for seed in 0..3 {
                    let worst = worst_over_its_budget(limiters, told, fall, warm_up_from, seed);
                    assert!(
                        worst <= 1.0,
                        "{limiters} limiters, {told:?}, {fall:?}, seed {seed}: {worst:.2}"
                    );
                }
            }
        }
    }
}
