//! The audit of the counter: sums over limiters, calls with unknown outcomes, restarts, invalid amounts.

use dunespur_singleton_roles::audit::{
    AuditResult, Auditor, CallOutcome, Message, Settings, Usage, UsageTally,
};

fn settings() -> Settings {
    Settings {
        quiet_period: 2.0,
        max_names: 100,
        tolerance: 0.01,
    }
}

/// An auditor after two limiters added to name 7, one call with an unknown outcome; their reports arrive twice and
/// out of order.
fn auditor_with_reports() -> Auditor {
    let (settings, mut auditor) = (settings(), Auditor::default());
    let (mut first, mut second) = (UsageTally::default(), UsageTally::default());
    first.record_call(7, 3.0, CallOutcome::Answered, 0.0, &settings);
    let early = first.take_due(1.5, &settings);
    first.mark_unreported([7].into_iter());
    assert_eq!(
        first.take_due(1.5, &settings),
        early,
        "the report is repeated because no auditor received it"
    );
    first.record_call(7, 2.0, CallOutcome::Answered, 1.6, &settings);
    first.record_call(7, 4.0, CallOutcome::Unknown, 1.7, &settings);
    second.record_call(7, -1.0, CallOutcome::Answered, 0.0, &settings);
    let late = first.take_due(3.0, &settings);
    assert_eq!(first.take_due(3.1, &settings), [], "a report is sent once");
    let mut busy = UsageTally::default();
    (0..40)
        .for_each(|n| busy.record_call(9, 1.0, CallOutcome::Answered, n as f64 * 0.1, &settings));
    assert_eq!(
        busy.take_due(4.0, &settings).len(),
        1,
        "usage is reported although adds never pause"
    );
    for (from, run, usages) in [
        ("x", 1, late.clone()),
        ("x", 1, early),
        ("x", 1, late),
        ("y", 1, second.take_due(3.0, &settings)),
    ] {
        auditor.receive(from, Message::Usages { run, usages }, 3.0, &settings);
    }
    assert_eq!(auditor.take_due(4.0, &settings), [] as [u64; 0]);
    assert_eq!(auditor.take_due(5.1, &settings), [7]);
    auditor
}

#[test]
fn totals_within_the_unknown_bounds_agree() {
    let (settings, auditor) = (settings(), auditor_with_reports());
    assert_eq!(
        auditor.compare(7, 4.0, &settings),
        Some(AuditResult::Agrees)
    );
    assert_eq!(
        auditor.compare(7, 8.0, &settings),
        Some(AuditResult::Agrees)
    );
    assert_eq!(
        auditor.compare(7, 1.0, &settings),
        Some(AuditResult::Lost(3.0))
    );
    assert_eq!(
        auditor.compare(7, 10.0, &settings),
        Some(AuditResult::Surplus(2.0))
    );
    assert_eq!(auditor.compare(8, 0.0, &settings), None);
}

#[test]
fn runs_of_a_restarted_limiter_are_added_and_invalid_amounts_are_dropped() {
    let (settings, mut auditor) = (settings(), auditor_with_reports());
    let usage = |units: f64| Usage {
        name: 7,
        calls: 1,
        units,
        ..Usage::default()
    };
    auditor.receive(
        "x",
        Message::Usages {
            run: 2,
            usages: vec![usage(5.0)],
        },
        5.2,
        &settings,
    );
    auditor.receive(
        "z",
        Message::Usages {
            run: 1,
            usages: vec![usage(f64::INFINITY)],
        },
        5.2,
        &settings,
    );
    let invalid = Usage {
        least_unknown: 1.0,
        ..usage(1.0)
    };
    auditor.receive(
        "z",
        Message::Usages {
            run: 1,
            usages: vec![invalid],
        },
        5.2,
        &settings,
    );
    assert_eq!(auditor.dropped, 2);
    assert_eq!(
        auditor.take_due(7.3, &settings),
        [7],
        "the counter is read again after the new report"
    );
    assert_eq!(
        auditor.compare(7, 9.0, &settings),
        Some(AuditResult::Agrees)
    );
}
