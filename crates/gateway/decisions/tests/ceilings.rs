//! Parts, windows and turns of a hard ceiling add up to the ceiling at most, for any limiter.

use dunespur_decisions::ceilings::{whole, Ceiling};
use quickcheck::quickcheck;

fn ceiling(rate: f64, ratio: f64, burst: f64) -> Ceiling {
    Ceiling {
        rate: rate * ratio,
        burst: burst * ratio,
        quota_rate: rate,
        quota_burst: burst,
    }
}

fn any(rate: u8, burst: u8, ratio: u8) -> Ceiling {
    ceiling(
        1.0 + f64::from(rate % 40),
        1.6 + f64::from(ratio % 10) / 10.0,
        4.0 + f64::from(burst) / 3.0,
    )
}

/// The largest amount by which sends at these times pass a store of the rate and the burst.
fn passed(sends: &[f64], c: &Ceiling) -> f64 {
    let (mut store, mut last, mut worst) = (c.burst, f64::NEG_INFINITY, 0.0f64);
    for &at in sends {
        store = (store + c.rate * (at - last)).min(c.burst) - 1.0;
        last = at;
        worst = worst.max(-store);
    }
    worst
}

quickcheck! {
    /// Every limiter spends each turn at a moment of its own, the worst of which is all at once.
    fn turns_never_pass_the_ceiling(rate: u8, burst: u8, ratio: u8, gateways: u16, at_once: u8) -> bool {
        let c = any(rate, burst, ratio);
        let gateways = f64::from(gateways % 400 + 2);
        let step = 0.05 + f64::from(at_once) / 50.0;
        let (mut spent, mut sends) = (vec![f64::NEG_INFINITY; gateways as usize], Vec::new());
        for round in 1..200 {
            let now = 1000.0 + f64::from(round) * step;
            for (rank, spent) in spent.iter_mut().enumerate() {
                if let Some(turn) = c.turn(gateways, rank as f64, 0.3, now).filter(|turn| *turn > *spent) {
                    *spent = turn;
                    sends.push(now);
                }
            }
        }
        passed(&sends, &c) < 1e-6
    }

    /// A window filled at its very end and the next at its start, again and again, with all parts.
    fn windows_and_parts_never_pass_the_ceiling(rate: u8, burst: u8, ratio: u8, gateways: u16) -> bool {
        let c = any(rate, burst, ratio);
        let gateways = f64::from(gateways % 400 + 2);
        let (most, length) = c.window(gateways);
        let mut sends = Vec::new();
        for border in (1..60).step_by(2) {
            let at = border as f64 * length;
            sends.extend(vec![at; (whole(most, border - 1) + whole(most, border)) as usize]);
        }
        let (part_rate, part) = c.part(gateways, true);
        let parts = if part > 0.0 { (0..(part * gateways).floor() as usize).collect() } else { Vec::new() };
        let mut all: Vec<f64> = parts.iter().map(|_| length).collect();
        let refill = if part > 0.0 { part_rate * gateways } else { 0.0 };
        let ticks = (60.0 * length * refill) as usize;
        all.extend((0..ticks).map(|i| length + (i + 1) as f64 / refill));
        all.extend(sends);
        all.sort_by(f64::total_cmp);
        passed(&all, &c) < 1.0 + 1e-6
    }
}

#[test]
fn a_turn_comes_to_every_limiter_and_ends() {
    let c = ceiling(13.0, 2.0, 30.0);
    let gateways = 200.0;
    let held = |now: f64| {
        (0..200)
            .filter(|&rank| c.turn(gateways, f64::from(rank), 0.0, now).is_some())
            .count()
    };
    assert!(
        (57..=60).contains(&held(500.0)),
        "{} hold a unit of a burst of 60",
        held(500.0)
    );
    let ever = (0..200).filter(|&r| {
        (0..80).any(|t| {
            c.turn(gateways, f64::from(r), 0.0, f64::from(t) / 10.0)
                .is_some()
        })
    });
    assert_eq!(ever.count(), 200, "some never had a turn in one round");
    assert_eq!(
        c.turn(gateways, 200.0, 0.0, 500.0),
        None,
        "one outside the set had a turn"
    );
}
