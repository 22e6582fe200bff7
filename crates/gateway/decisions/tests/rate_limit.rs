//! The shares, windows and turns of a rate limit never exceed the limit together.

use dunespur_decisions::rate_limit::{whole_units_in, RateLimit, Window};
use quickcheck::quickcheck;

fn rate_limit(rate: f64, ratio: f64, burst: f64) -> RateLimit {
    RateLimit {
        rate: rate * ratio,
        burst: burst * ratio,
        quota_rate: rate,
        quota_burst: burst,
    }
}

fn any_limit(rate: u8, burst: u8, ratio: u8) -> RateLimit {
    rate_limit(
        1.0 + f64::from(rate % 40),
        1.6 + f64::from(ratio % 10) / 10.0,
        4.0 + f64::from(burst) / 3.0,
    )
}

/// The largest number of units by which sends at these times exceed the rate limit.
fn excess(sends: &[f64], limit: &RateLimit) -> f64 {
    let (mut units_left, mut last, mut worst) = (limit.burst, f64::NEG_INFINITY, 0.0f64);
    for &at in sends {
        units_left = (units_left + limit.rate * (at - last)).min(limit.burst) - 1.0;
        last = at;
        worst = worst.max(-units_left);
    }
    worst
}

quickcheck! {
    /// Every limiter uses each turn at some moment; the worst case is all limiters at once.
    fn turns_never_exceed_the_rate_limit(rate: u8, burst: u8, ratio: u8, gateways: u16, at_once: u8) -> bool {
        let limit = any_limit(rate, burst, ratio);
        let gateways = f64::from(gateways % 400 + 2);
        let step = 0.05 + f64::from(at_once) / 50.0;
        let (mut used_turns, mut sends) = (vec![f64::NEG_INFINITY; gateways as usize], Vec::new());
        for round in 1..200 {
            let now = 1000.0 + f64::from(round) * step;
            for (rank, used_turn) in used_turns.iter_mut().enumerate() {
                if let Some(turn) = limit.turn(gateways, rank as f64, 0.3, now).filter(|turn| *turn > *used_turn) {
                    *used_turn = turn;
                    sends.push(now);
                }
            }
        }
        excess(&sends, &limit) < 1e-6
    }

    /// Windows are filled at their very end and the next ones at their start, while all shares are used.
    fn windows_and_shares_never_exceed_the_rate_limit(rate: u8, burst: u8, ratio: u8, gateways: u16) -> bool {
        let limit = any_limit(rate, burst, ratio);
        let gateways = f64::from(gateways % 400 + 2);
        let Window { max_units, length } = limit.window(gateways);
        let mut sends = Vec::new();
        for border in (1..60).step_by(2) {
            let at = border as f64 * length;
            sends.extend(vec![at; (whole_units_in(max_units, border - 1) + whole_units_in(max_units, border)) as usize]);
        }
        let share = limit.share(gateways, true);
        let shares = if share.burst > 0.0 { (0..(share.burst * gateways).floor() as usize).collect() } else { Vec::new() };
        let mut all: Vec<f64> = shares.iter().map(|_| length).collect();
        let refill = if share.burst > 0.0 { share.rate * gateways } else { 0.0 };
        let ticks = (60.0 * length * refill) as usize;
        all.extend((0..ticks).map(|i| length + (i + 1) as f64 / refill));
        all.extend(sends);
        all.sort_by(f64::total_cmp);
        excess(&all, &limit) < 1.0 + 1e-6
    }
}

#[test]
fn a_turn_comes_to_every_limiter_and_ends() {
    let limit = rate_limit(13.0, 2.0, 30.0);
    let gateways = 200.0;
    let with_a_turn = |now: f64| {
        (0..200)
            .filter(|&rank| limit.turn(gateways, f64::from(rank), 0.0, now).is_some())
            .count()
    };
    assert!(
        (57..=60).contains(&with_a_turn(500.0)),
        "{} limiters have a turn with a burst of 60",
        with_a_turn(500.0)
    );
    let ever = (0..200).filter(|&rank| {
        (0..80).any(|t| {
            limit
                .turn(gateways, f64::from(rank), 0.0, f64::from(t) / 10.0)
                .is_some()
        })
    });
    assert_eq!(
        ever.count(),
        200,
        "some limiter has no turn within one round"
    );
    assert_eq!(
        limit.turn(gateways, 200.0, 0.0, 500.0),
        None,
        "a limiter outside the customer's gateways has a turn"
    );
}
