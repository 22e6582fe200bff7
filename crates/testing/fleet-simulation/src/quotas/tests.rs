//! Tests of what answers say of quotas.

use super::*;

#[test]
fn a_bucket_tells_what_was_beyond_and_what_was_refused_with_room() {
    let text = "name = \"q\"\nseconds = 30.0\n[quota]\ncustomers = 1\nrate = 1.0\nburst = 4.0\n";
    let trial = Trial::parse(&format!("{text}hard_rate = 2.0\nhard_burst = 5.0\n")).unwrap();
    let quota = trial.quota.clone().unwrap();
    let answer = |t: f64, status| Line::Answer {
        sent: t,
        t,
        status,
        answers: 1,
        in_time: true,
        customer: 0,
        limiter: 0,
    };
    let mut lines: Vec<Line> = (0..6).map(|_| answer(1.0, 200)).collect();
    lines.extend([answer(2.5, 429), answer(4.0, 429)]);
    let seen = judge(&trial, &quota, &lines);
    assert_eq!(
        (seen.sent, seen.beyond, seen.refused, seen.with_room),
        (6, 2, 2, 1)
    );
    assert_eq!((seen.overshoot, seen.over_ceiling), (2.0, 1.0));
}
