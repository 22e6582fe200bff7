//! Return of units (after an idle time, at expiry, at once near the limit) and bounds on the stored state.

mod common;

use common::{
    admit, admit_within, expect_request, lease, limiter, request, run_due_steps, ClockDriver,
    BUDGET, PROGRAM,
};
use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseSettings, LeaseTable,
    LimiterId, Rejection,
};

#[test]
fn unused_units_are_returned_a_second_after_the_last_turn_and_the_program_is_removed() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    table.record_use(1, 30);
    table.finish(1, 500);
    run_due_steps(&mut table, &mut counters, 1_499);
    assert_eq!(counters.leased(PROGRAM), 100);
    run_due_steps(&mut table, &mut counters, 1_500);
    assert_eq!(counters.leased(PROGRAM), 0);
    assert_eq!(counters.used(PROGRAM), 30);
    assert_eq!(table.programs(), 1);
    run_due_steps(&mut table, &mut counters, 30_500);
    assert_eq!(table.programs(), 0);
    assert_eq!(table.next_timeout(), None);
}

#[test]
fn a_turn_before_the_idle_return_keeps_the_lease() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    table.finish(1, 500);
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 100, 2, 1_400),
        Admission::Admitted
    );
    run_due_steps(&mut table, &mut counters, 2_000);
    assert_eq!(table.leased(PROGRAM), 100);
}

#[test]
fn rejected_turns_do_not_delay_the_return() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut table, &mut counters, BUDGET + 1, 2, 0),
        Admission::Rejected(Rejection::Spent)
    );
    table.finish(1, 100);
    for step in 0..12 {
        let now = 200 + step * 100;
        run_due_steps(&mut table, &mut counters, now);
        let rejected = table.admit(PROGRAM, BUDGET, BUDGET + 1, 3, now);
        assert_eq!(rejected, Admission::Rejected(Rejection::Spent));
    }
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn an_expired_lease_admits_nothing_and_is_returned() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut table, &mut counters, 100, 2, 0),
        Admission::Admitted
    );
    table.finish(2, 100);
    // The first turn still runs. The units that the second turn freed may be used until the lease expires.
    assert_eq!(
        table.admit(PROGRAM, BUDGET, 10, 3, 9_999),
        Admission::Admitted
    );
    let mut expired = table.clone();
    let refill = expect_request(expired.admit(PROGRAM, BUDGET, 10, 4, 10_000));
    assert!(
        matches!(refill.change, CounterChange::Lease { returned: 90, .. }),
        "{refill:?}"
    );

    run_due_steps(&mut table, &mut counters, 10_000);
    assert_eq!(counters.leased(PROGRAM), 110);
    assert_eq!(table.leased(PROGRAM), 110);
}

#[test]
fn near_the_limit_units_that_a_turn_frees_are_returned_at_once() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 300, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut table, &mut counters, 300, 2, 0),
        Admission::Admitted
    );
    table.record_use(1, 100);
    table.finish(1, 50);
    run_due_steps(&mut table, &mut counters, 50);
    assert_eq!(
        counters.leased(PROGRAM),
        300,
        "only the second turn's reservation is leased"
    );
    table.finish(2, 60);
    run_due_steps(&mut table, &mut counters, 60);
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn returns_are_sent_together() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    for turn in 0..20 {
        let program = format!("program-{turn}");
        let request = expect_request(table.admit(&program, 100_000, 100, turn, 0));
        let reply = counters.apply(&request, 0);
        table.handle_reply(&request, Some(&reply), 1);
        table.finish(turn, 10 + 10 * turn);
    }
    assert_eq!(table.next_timeout(), Some(1_250));
    assert_eq!(table.handle_timeout(1_250).len(), 20);
}

#[test]
fn a_closing_limiter_returns_units_without_delay() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit_within(&mut table, &mut counters, 100_000, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit_within(&mut table, &mut counters, 100_000, 100, 2, 0),
        Admission::Admitted
    );
    table.finish(1, 110);
    assert!(
        table.close(113).is_empty(),
        "no units are returned while a turn runs"
    );
    table.finish(2, 117);
    run_due_steps(&mut table, &mut counters, 117);
    assert_eq!(counters.leased(PROGRAM), 0);

    let mut idle = LeaseTable::new(limiter("b", 1));
    assert_eq!(
        admit_within(&mut idle, &mut counters, 100_000, 100, 1, 200),
        Admission::Admitted
    );
    idle.finish(1, 210);
    let requests = idle.close(213);
    assert_eq!(requests.len(), 1);
    counters.apply(&requests[0], 0);
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn a_name_too_long_to_store_is_rejected() {
    let name = "n".repeat(257);
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        table.admit(&name, BUDGET, 10, 1, 0),
        Admission::Rejected(Rejection::AtCapacity)
    );
    assert_eq!(table.programs(), 0);
    let mut counters = Counters::default();
    let request = CounterRequest {
        program: name,
        ..request(&limiter("a", 1), 1, BUDGET, lease(10, 10))
    };
    assert_eq!(
        counters.apply(&request, 0),
        CounterReply::LeasedElsewhere { leased: 0 }
    );
    assert_eq!(counters.programs(), 0);
}

#[test]
fn a_refill_covers_ten_seconds_of_the_observed_rate() {
    let budget = 1_000_000;
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit_within(&mut table, &mut counters, budget, 100, 1, 0),
        Admission::Admitted
    );
    table.record_use(1, 100);
    table.finish(1, 1_500);
    let refill = expect_request(table.admit(PROGRAM, budget, 100, 2, 2_000));
    assert_eq!(
        refill.change,
        CounterChange::Lease {
            needed: 100,
            wanted: 500,
            returned: 0
        }
    );
}

#[test]
fn a_retry_reserves_again_and_units_of_the_failed_attempt_stay_used() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    table.record_use(1, 40);
    let more = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 50));
    assert_eq!(
        more.change,
        CounterChange::Lease {
            needed: 40,
            wanted: 400,
            returned: 0
        }
    );
    assert_eq!(more.used, 40);
    let reply = counters.apply(&more, 1);
    assert_eq!(
        table.handle_reply(&more, Some(&reply), 60)[0].admission,
        Admission::Admitted
    );
    table.record_use(1, 100);
    table.finish(1, 100);
    run_due_steps(&mut table, &mut counters, 2_000);
    assert_eq!(counters.used(PROGRAM), 140);
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn units_used_beyond_a_turns_maximum_are_still_counted() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    table.record_use(1, 130);
    table.finish(1, 100);
    run_due_steps(&mut table, &mut counters, 2_000);
    assert_eq!(counters.used(PROGRAM), 130);
    assert_eq!(
        admit(&mut table, &mut counters, BUDGET - 129, 2, 2_000),
        Admission::Rejected(Rejection::Spent)
    );
}

#[test]
fn a_lease_that_expires_between_turns_is_returned_then() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    table.finish(1, 9_500);
    run_due_steps(&mut table, &mut counters, 10_000);
    assert_eq!(counters.leased(PROGRAM), 0);
}

#[test]
fn units_used_beyond_a_turns_maximum_are_taken_from_the_available_units() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    assert_eq!(
        admit(&mut table, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut table, &mut counters, 100, 2, 0),
        Admission::Admitted
    );
    table.finish(2, 10);
    table.record_use(1, 130);
    assert_eq!(table.leased(PROGRAM), 70);
    assert!(matches!(
        table.admit(PROGRAM, BUDGET, 71, 3, 20),
        Admission::Request(_)
    ));
}

#[test]
fn an_idle_counter_is_evicted_after_its_time_and_not_before() {
    // A counter is kept for the retention of turns plus 30 s, but at least ten minutes.
    for (retention_ms, kept_ms) in [(870_000, 900_000), (60_000, 600_000), (0, 600_000)] {
        let mut counters = Counters::default();
        counters.set_retention(retention_ms);
        let mut clock_driver = ClockDriver::new();
        clock_driver.advance(&mut counters, 5_000);
        counters.apply(&request(&limiter("a", 1), 1, BUDGET, lease(100, 100)), 1);
        clock_driver.advance(&mut counters, kept_ms - 5_000);
        assert_eq!(counters.programs(), 2);
        clock_driver.advance(&mut counters, 15_000);
        assert_eq!(counters.programs(), 1);
        assert_eq!(counters.used(PROGRAM) + counters.leased(PROGRAM), 0);
    }
}

#[test]
fn an_idle_counter_keeps_only_leases_with_units() {
    let mut counters = Counters::default();
    let mut clock_driver = ClockDriver::new();
    clock_driver.advance(&mut counters, 5_000);
    let limiter_a = limiter("a", 1);
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 0);
    for index in 0..50 {
        let other = limiter(&format!("other-{index}"), 1);
        counters.apply(&request(&other, 1, BUDGET, lease(1, 1)), 0);
        counters.apply(
            &request(&other, 2, BUDGET, CounterChange::Return { units: 1 }),
            0,
        );
    }
    let before = size(&counters);
    clock_driver.advance(&mut counters, 60_000);
    assert!(
        size(&counters) < before / 2,
        "{} bytes after the idle time, {before} before",
        size(&counters)
    );
    assert_eq!(counters.leased(PROGRAM), 100);
    counters.apply(
        &request(&limiter_a, 2, BUDGET, CounterChange::Return { units: 100 }),
        0,
    );
    assert_eq!(counters.leased(PROGRAM), 0);
}

/// A request for a lease of a program that is distinct for each number.
fn flood_request(limiter: &LimiterId, number: u64) -> CounterRequest {
    CounterRequest {
        program: format!("flood-{number}"),
        ..request(limiter, 1 + number, BUDGET, lease(1, 1))
    }
}

#[test]
fn under_a_flood_of_names_the_new_is_rejected_and_the_known_is_kept() {
    let mut counters = Counters::default();
    counters.set_retention(300_000);
    let limiter_a = limiter("a", 1);
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 1);
    let admitted = (0..80_000).filter(|number| {
        let reply = counters.apply(&flood_request(&limiter_a, 2 + number), 1);
        matches!(reply, CounterReply::Granted { .. })
    });
    let admitted = admitted.count();
    assert!(
        (60_000..=65_535).contains(&admitted),
        "{admitted} new programs admitted"
    );
    assert!(counters.bytes() <= Counters::max_bytes());
    let mut clock_driver = ClockDriver::new();
    clock_driver.advance(&mut counters, 325_000);
    assert_eq!(
        counters.leased(PROGRAM),
        100,
        "an existing counter was evicted before the retention time"
    );
    assert_eq!(
        counters.apply(&flood_request(&limiter_a, 100_000), 1),
        CounterReply::LeasedElsewhere { leased: 0 },
        "a new program is rejected while the counters are full"
    );
    clock_driver.advance(&mut counters, 10_000);
    // These requests sweep all programs once.
    for number in 0..50_000 {
        counters.apply(&flood_request(&limiter_a, 200_000 + number), 1);
    }
    assert_eq!(counters.leased(PROGRAM), 0);
    let reply = counters.apply(&flood_request(&limiter_a, 300_000), 1);
    assert!(matches!(reply, CounterReply::Granted { .. }), "{reply:?}");
}

#[test]
fn programs_of_many_limiters_are_bounded_by_their_bytes() {
    let mut counters = Counters::default();
    let limiters: Vec<LimiterId> = (0..40)
        .map(|index| limiter(&format!("front-queretaro-a-{index}"), 1))
        .collect();
    let mut rejected_program = None;
    for number in 0..8_000 {
        for limiter in &limiters {
            let reply = counters.apply(&flood_request(limiter, number), 1);
            if !matches!(reply, CounterReply::Granted { .. }) {
                rejected_program.get_or_insert(number);
            }
        }
    }
    let rejected_program = rejected_program.expect("8,000 programs at 40 limiters are too many");
    let encoded = postcard::to_stdvec(&counters)
        .expect("counters are always encodable")
        .len();
    assert!(encoded <= 10 << 20, "{encoded} bytes exceed 10 MiB");
    assert!(
        counters.bytes() >= encoded,
        "{} bytes counted, {encoded} encoded",
        counters.bytes()
    );
    // A known program still gets grants at the limiters that already have a lease.
    let known = flood_request(&limiters[0], rejected_program - 1);
    let next = CounterRequest {
        sequence: 1_000_000,
        ..known
    };
    let reply = counters.apply(&next, 1);
    assert!(matches!(reply, CounterReply::Granted { .. }), "{reply:?}");
}

#[test]
fn a_restored_snapshot_has_the_same_byte_count() {
    let mut counters = Counters::default();
    let mut clock_driver = ClockDriver::new();
    for number in 0..500 {
        let limiter = limiter(&format!("node-{}", number % 7), 1);
        counters.apply(&flood_request(&limiter, number / 3), 1);
        clock_driver.advance(&mut counters, 400);
    }
    let bytes = postcard::to_stdvec(&counters).expect("counters are always encodable");
    let restored: Counters =
        postcard::from_bytes(&bytes).expect("the encoded counters are decodable");
    assert_eq!(restored, counters);
}

#[test]
fn leases_of_a_program_are_bounded_and_removed_leases_count_as_used() {
    let mut counters = Counters::default();
    for index in 0..1_000 {
        let limiter = limiter(&format!("node-{index}"), 1);
        assert_eq!(
            counters.apply(&request(&limiter, 1, 10_000, lease(1, 1)), 0),
            one_unit_granted(10_000 - 1 - index)
        );
    }
    assert_eq!(counters.used(PROGRAM) + counters.leased(PROGRAM), 1_000);
    assert_eq!(counters.leased(PROGRAM), 128);
}

fn one_unit_granted(left: u64) -> CounterReply {
    CounterReply::Granted { units: 1, left }
}

#[test]
fn recorded_senders_are_bounded() {
    let mut counters = Counters::default();
    let mut sizes = Vec::new();
    for index in 0..4_000 {
        let limiter = limiter(&format!("node-{index:04}"), 1);
        counters.apply(
            &request(&limiter, 1, BUDGET, CounterChange::Return { units: 0 }),
            0,
        );
        sizes.push(size(&counters));
    }
    assert_eq!(sizes[1_500], sizes[3_999]);
}

/// The size of the state, by the length of its debug output.
fn size(counters: &Counters) -> usize {
    format!("{counters:?}").len()
}

#[test]
fn a_clock_that_jumps_evicts_no_counter() {
    let mut counters = Counters::default();
    let (limiter_a, limiter_b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 1);
    for (sequence, at_ms) in [(1, 0), (2, 1 << 40), (3, 5), (4, 1 << 50)] {
        let program = "another".to_owned();
        counters.apply(
            &CounterRequest {
                program,
                at_ms,
                ..request(&limiter_b, sequence, BUDGET, lease(1, 1))
            },
            1,
        );
    }
    assert_eq!(counters.programs(), 2);
    assert_eq!(counters.leased(PROGRAM), 100);
}

#[test]
fn programs_and_turns_of_a_table_are_bounded() {
    let settings = LeaseSettings {
        max_programs: 2,
        max_turns: 3,
        ..LeaseSettings::default()
    };
    let mut table = LeaseTable::with_settings(limiter("a", 1), settings);
    let at_capacity = Admission::Rejected(Rejection::AtCapacity);
    expect_request(table.admit("one", BUDGET, 10, 1, 0));
    expect_request(table.admit("two", BUDGET, 10, 2, 0));
    assert_eq!(table.admit("three", BUDGET, 10, 3, 0), at_capacity);
    assert_eq!(table.admit("two", BUDGET, 10, 4, 0), Admission::Waiting);
    assert_eq!(table.admit("two", BUDGET, 10, 5, 0), at_capacity);
    table.finish(4, 1);
    assert_eq!(table.admit("two", BUDGET, 10, 5, 2), Admission::Waiting);
}

#[test]
fn counters_are_bounded_and_a_flood_of_names_resets_none_in_use() {
    let mut counters = Counters::default();
    let limiter_a = limiter("a", 1);
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 1);
    for flood in 0..70_000 {
        let program = format!("flood-{flood}");
        counters.apply(
            &CounterRequest {
                program,
                ..request(&limiter_a, 2 + flood, BUDGET, lease(1, 1))
            },
            1,
        );
    }
    assert_eq!(counters.programs(), 65_536);
    assert_eq!(counters.leased(PROGRAM), 100);
}
