//! The audit of the counter: sums over limiters, calls whose fate is unknown, restarts, bad amounts.

use dunespur_singleton_roles::audit::{
    Auditor, CallOutcome, Message, Settings, Usage, UsageTally, Verdict,
};

fn settings() -> Settings {
    Settings {
        quiet_period: 2.0,
        max_names: 100,
        tolerance: 0.01,
    }
}

/// Two limiters add to a name, one call's fate is unknown; reports come twice and out of order.
fn summed() -> Auditor {
    let (s, mut a) = (settings(), Auditor::default());
    let (mut x, mut y) = (UsageTally::default(), UsageTally::default());
    x.record_call(7, 3.0, CallOutcome::Answered, 0.0, &s);
    let early = x.take_due(1.5, &s);
    x.mark_unreported([7].into_iter());
    assert_eq!(x.take_due(1.5, &s), early, "said again, as nobody heard it");
    x.record_call(7, 2.0, CallOutcome::Answered, 1.6, &s);
    x.record_call(7, 4.0, CallOutcome::Unknown, 1.7, &s);
    y.record_call(7, -1.0, CallOutcome::Answered, 0.0, &s);
    let late = x.take_due(3.0, &s);
    assert_eq!(x.take_due(3.1, &s), [], "said once");
    let mut busy = UsageTally::default();
    (0..40).for_each(|n| busy.record_call(9, 1.0, CallOutcome::Answered, n as f64 * 0.1, &s));
    assert_eq!(
        busy.take_due(4.0, &s).len(),
        1,
        "said though it never was quiet"
    );
    for (from, run, usages) in [
        ("x", 1, late.clone()),
        ("x", 1, early),
        ("x", 1, late),
        ("y", 1, y.take_due(3.0, &s)),
    ] {
        a.receive(from, Message::Usages { run, usages }, 3.0, &s);
    }
    assert_eq!(a.take_due(4.0, &s), [] as [u64; 0]);
    assert_eq!(a.take_due(5.1, &s), [7]);
    a
}

#[test]
fn what_may_have_been_added_is_not_taken_for_drift() {
    let (s, a) = (settings(), summed());
    assert_eq!(a.judge(7, 4.0, &s), Some(Verdict::Agrees));
    assert_eq!(a.judge(7, 8.0, &s), Some(Verdict::Agrees));
    assert_eq!(a.judge(7, 1.0, &s), Some(Verdict::Lost(3.0)));
    assert_eq!(a.judge(7, 10.0, &s), Some(Verdict::Surplus(2.0)));
    assert_eq!(a.judge(8, 0.0, &s), None);
}

#[test]
fn a_restarted_limiter_counts_beside_its_older_run_and_bad_amounts_are_dropped() {
    let (s, mut a) = (settings(), summed());
    let one = |units: f64| Usage {
        name: 7,
        calls: 1,
        units,
        ..Usage::default()
    };
    a.receive(
        "x",
        Message::Usages {
            run: 2,
            usages: vec![one(5.0)],
        },
        5.2,
        &s,
    );
    a.receive(
        "z",
        Message::Usages {
            run: 1,
            usages: vec![one(f64::INFINITY)],
        },
        5.2,
        &s,
    );
    let wrong = Usage {
        least_unknown: 1.0,
        ..one(1.0)
    };
    a.receive(
        "z",
        Message::Usages {
            run: 1,
            usages: vec![wrong],
        },
        5.2,
        &s,
    );
    assert_eq!(a.dropped, 2);
    assert_eq!(a.take_due(7.3, &s), [7], "it is read anew");
    assert_eq!(a.judge(7, 9.0, &s), Some(Verdict::Agrees));
}
