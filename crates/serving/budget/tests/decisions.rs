//! Rejections of turns that the budget does not cover, how long they are cached, and the order of decisions.

mod common;

use common::{
    admit, decision, expect_request, granted, lease, limiter, request, run_due_steps, ClockDriver,
    BUDGET, PROGRAM,
};
use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseTable, LimiterId,
    Rejection,
};

/// A report of `used` units at `at_ms` on the limiter's clock.
fn report(limiter: &LimiterId, sequence: u64, at_ms: u64, used: u64) -> CounterRequest {
    CounterRequest {
        used,
        at_ms,
        ..request(
            limiter,
            sequence,
            BUDGET,
            CounterChange::Return { units: 0 },
        )
    }
}

/// A request for a lease of exactly `needed` units at `at_ms` on the limiter's clock.
fn lease_request(limiter: &LimiterId, sequence: u64, at_ms: u64, needed: u64) -> CounterRequest {
    CounterRequest {
        at_ms,
        ..request(limiter, sequence, BUDGET, lease(needed, needed))
    }
}

#[test]
fn unused_units_of_others_are_leased_elsewhere_and_used_ones_are_spent() {
    let mut counters = Counters::default();
    let (limiter_a, limiter_b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&lease_request(&limiter_a, 1, 0, 950), 2);
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 1, 0, 100), 2),
        CounterReply::LeasedElsewhere { leased: 950 }
    );
    counters.apply(&report(&limiter_a, 2, 0, 800), 2);
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 2, 0, 100), 2),
        CounterReply::LeasedElsewhere { leased: 150 }
    );
    counters.apply(&report(&limiter_a, 3, 0, 101), 2);
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 3, 0, 100), 2),
        CounterReply::Spent
    );
    // The budget would cover a smaller turn if leased units were returned, and covers a still smaller one now.
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 4, 0, 99), 2),
        CounterReply::LeasedElsewhere { leased: 49 }
    );
    assert_eq!(
        granted(&counters.apply(&lease_request(&limiter_b, 5, 0, 50), 2)),
        50
    );
}

#[test]
fn a_turn_is_rejected_temporarily_while_own_turns_reserve_what_it_needs() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 600, 1, 0),
        Admission::Admitted
    );
    let rejection = admit(&mut table, &mut counters, 600, 2, 10);
    assert!(
        matches!(
            rejection,
            Admission::Rejected(Rejection::LeasedElsewhere { .. })
        ),
        "{rejection:?}"
    );

    table.record_use(1, 400);
    table.finish(1, 50);
    assert_eq!(
        admit(&mut table, &mut counters, 600, 2, 60),
        Admission::Admitted
    );
    table.record_use(2, 600);
    table.finish(2, 70);
    assert_eq!(
        admit(&mut table, &mut counters, 1, 3, 80),
        Admission::Rejected(Rejection::Spent)
    );
}

#[test]
fn a_turn_larger_than_the_budget_is_spent_at_once() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, BUDGET + 1, 1, 0),
        Admission::Rejected(Rejection::Spent)
    );
    assert_eq!(
        admit(&mut table, &mut counters, BUDGET, 2, 0),
        Admission::Admitted
    );
}

#[test]
fn a_rejection_as_spent_is_cached_for_turns_that_need_as_much_and_for_no_others() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 900, 1, 0),
        Admission::Admitted
    );
    table.record_use(1, 900);
    assert_eq!(
        admit(&mut table, &mut counters, 101, 2, 10),
        Admission::Rejected(Rejection::Spent)
    );
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 101, 3, 20),
        Admission::Rejected(Rejection::Spent)
    );
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 500, 4, 20),
        Admission::Rejected(Rejection::Spent)
    );
    assert_eq!(
        admit(&mut table, &mut counters, 100, 5, 20),
        Admission::Admitted
    );
    // The cached rejection does not apply to a larger budget.
    expect_request(table.clone().admit(PROGRAM, BUDGET + 1, 101, 6, 30));
    // After the cached rejection expired, the counter gets a request again.
    expect_request(table.admit(PROGRAM, BUDGET, 101, 6, 10_000));
}

#[test]
fn units_of_a_replaced_incarnation_count_as_spent() {
    let mut counters = Counters::default();
    let (superseded, limiter_b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&lease_request(&superseded, 1, 0, 950), 2);
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 1, 0, 100), 2),
        CounterReply::LeasedElsewhere { leased: 950 }
    );
    // The machine's next incarnation sends a request, even though for another program.
    let mut other = lease_request(&limiter("a", 2), 1, 0, 10);
    other.program = "another".to_owned();
    counters.apply(&other, 2);
    assert_eq!(
        counters.apply(&lease_request(&limiter_b, 2, 0, 100), 2),
        CounterReply::Spent
    );
    assert_eq!(
        counters.leased(PROGRAM),
        950,
        "units of the superseded incarnation stay leased"
    );

    // A late return from the superseded incarnation makes its unused units available again.
    let return_request = request(&superseded, 2, BUDGET, CounterChange::Return { units: 900 });
    counters.apply(&return_request, 2);
    assert_eq!(
        granted(&counters.apply(&lease_request(&limiter_b, 3, 0, 100), 2)),
        100
    );
}

#[test]
fn units_of_a_limiter_without_requests_count_as_spent_after_the_lease_timeout() {
    let mut counters = Counters::default();
    let (timed_out, limiter_b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&lease_request(&timed_out, 1, 0, 950), 2);
    let mut spent_at = None;
    for step in 0..100 {
        let reply = counters.apply(&lease_request(&limiter_b, step + 1, step * 500, 100), 2);
        if reply == CounterReply::Spent {
            spent_at = Some(step * 500);
            break;
        }
        assert_eq!(reply, CounterReply::LeasedElsewhere { leased: 950 });
    }
    assert_eq!(spent_at, Some(15_000));
    // A limiter that was only partitioned may still return its units.
    counters.apply(
        &request(&timed_out, 2, BUDGET, CounterChange::Return { units: 950 }),
        2,
    );
    assert_eq!(
        granted(&counters.apply(&lease_request(&limiter_b, 101, 50_000, 100), 2)),
        100
    );
}

#[test]
fn a_quiet_limiter_advances_the_logical_clock_after_the_others_crashed() {
    let mut counters = Counters::default();
    let quiet = limiter("quiet", 1);
    counters.apply(&lease_request(&quiet, 1, 0, 10), 2);
    let mut clock_driver = ClockDriver::new();
    clock_driver.advance(&mut counters, 300_000);
    let mut other = lease_request(&limiter("clock-driver", 1), 100, 300_000, 950);
    counters.apply(&other, 2);
    // The clock driver crashes with its lease. The quiet limiter's time lags behind by at most ten seconds, so the
    // fifteen seconds of the lease timeout begin ten seconds later.
    other.sequence += 1;
    let mut spent_at = None;
    for step in 0..60 {
        let reply = counters.apply(
            &lease_request(&quiet, 2 + step, 300_000 + step * 500, 100),
            2,
        );
        if reply == CounterReply::Spent {
            spent_at = Some(step * 500);
            break;
        }
    }
    assert_eq!(spent_at, Some(25_000));
}

#[test]
fn a_limiter_whose_turn_runs_long_renews_its_lease() {
    let mut counters = Counters::default();
    let mut table_a = LeaseTable::new(limiter("a", 1));
    let limiter_b = limiter("b", 1);
    assert_eq!(
        admit(&mut table_a, &mut counters, 950, 1, 0),
        Admission::Admitted
    );
    for step in 0..120 {
        let now = step * 500;
        run_due_steps(&mut table_a, &mut counters, now);
        table_a.record_use(1, 1);
        let reply = counters.apply(&lease_request(&limiter_b, step + 1, now, 200), 2);
        assert!(
            matches!(reply, CounterReply::LeasedElsewhere { .. }),
            "{reply:?} at {now}"
        );
    }
}

#[test]
fn waiting_turns_get_their_decisions_in_order() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    let first = expect_request(table.admit(PROGRAM, BUDGET, 400, 1, 0));
    assert_eq!(table.admit(PROGRAM, BUDGET, 400, 2, 1), Admission::Waiting);
    assert_eq!(table.admit(PROGRAM, BUDGET, 400, 3, 2), Admission::Waiting);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 400, 2, 3),
        Admission::Waiting,
        "admitting a waiting turn again must keep it waiting"
    );

    let reply = counters.apply(&first, 1);
    let outcomes = table.handle_reply(&first, Some(&reply), 5);
    assert_eq!(outcomes.len(), 2, "{outcomes:?}");
    assert_eq!(
        (outcomes[0].turn, &outcomes[0].admission),
        (1, &Admission::Admitted)
    );
    assert_eq!(outcomes[1].turn, 2);
    let second = expect_request(outcomes[1].admission.clone());
    let reply = counters.apply(&second, 1);
    let outcomes = table.handle_reply(&second, Some(&reply), 9);
    assert_eq!(
        (outcomes[0].turn, &outcomes[0].admission),
        (2, &Admission::Admitted)
    );
    assert_eq!(outcomes[1].turn, 3);
    let third = expect_request(outcomes[1].admission.clone());
    let reply = counters.apply(&third, 1);
    let rejection = decision(table.handle_reply(&third, Some(&reply), 13), 3);
    assert!(
        matches!(
            rejection,
            Admission::Rejected(Rejection::LeasedElsewhere { .. })
        ),
        "{rejection:?}"
    );
}

#[test]
fn a_waiting_turn_is_admitted_by_units_that_another_frees() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 400, 1, 0),
        Admission::Admitted
    );
    expect_request(table.admit(PROGRAM, BUDGET, 300, 2, 10));
    table.finish(1, 20);
    assert_eq!(decision(table.take_outcomes(), 2), Admission::Admitted);
}

#[test]
fn a_turn_that_was_cancelled_while_it_waited_gets_no_decision_and_its_grant_is_returned() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    let request = expect_request(table.admit(PROGRAM, BUDGET, 400, 1, 0));
    table.finish(1, 5);
    let reply = counters.apply(&request, 1);
    assert!(table.handle_reply(&request, Some(&reply), 10).is_empty());
    run_due_steps(&mut table, &mut counters, 2_000);
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn no_turn_waits_longer_than_its_timeout_across_several_replies() {
    let mut table = LeaseTable::new(limiter("a", 1));
    let mut request = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 0));
    for turn in 2..6 {
        assert_eq!(
            table.admit(PROGRAM, BUDGET, 100, turn, 0),
            Admission::Waiting
        );
    }
    // Each reply takes 400 ms and grants units for one turn.
    for (turn, now) in [(1, 400), (2, 800)] {
        let outcomes = table.handle_reply(
            &request,
            Some(&CounterReply::Granted {
                units: 100,
                left: 700,
            }),
            now,
        );
        assert_eq!(
            (outcomes[0].turn, &outcomes[0].admission),
            (turn, &Admission::Admitted)
        );
        request = expect_request(outcomes[1].admission.clone());
    }
    table.handle_timeout(1_000);
    let rejected = table.take_outcomes();
    assert_eq!(
        rejected
            .iter()
            .map(|outcome| outcome.turn)
            .collect::<Vec<_>>(),
        [3, 4, 5]
    );
    assert!(rejected
        .iter()
        .all(|outcome| outcome.admission == Admission::Rejected(Rejection::CounterTimeout)));
}

#[test]
fn each_attempt_may_outlast_a_short_outage_and_none_waits_through_a_long_one() {
    let mut table = LeaseTable::new(limiter("a", 1));
    let request = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 0));
    let mut rejected = Vec::new();
    let mut run_timeouts = |table: &mut LeaseTable, now| {
        table.handle_timeout(now);
        rejected.extend(
            table
                .take_outcomes()
                .into_iter()
                .map(|outcome| (outcome.turn, now)),
        );
    };
    run_timeouts(&mut table, 1_000);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 100, 2, 1_100),
        Admission::Waiting
    );
    run_timeouts(&mut table, 2_100);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 100, 3, 2_200),
        Admission::Waiting
    );
    run_timeouts(&mut table, 3_000);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 100, 4, 3_001),
        Admission::Rejected(Rejection::CounterTimeout)
    );
    assert_eq!(rejected, [(1, 1_000), (2, 2_100), (3, 3_000)]);

    let granted = CounterReply::Granted {
        units: 100,
        left: 900,
    };
    table.handle_reply(&request, Some(&granted), 3_100);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 100, 5, 3_101),
        Admission::Admitted
    );
}
