use super::{Anew, Borrower, Way};
use crate::lend::test_settings::settings;
use crate::lend::Answer;
use crate::Slot;
use dunespur_decisions::types::Counted;

fn way(b: &mut Borrower, call: u64, name: u64, slot: Slot, known: bool, now: f64) -> Way {
    b.way(
        Anew {
            call,
            name,
            add: 1.0,
            life: 60.0,
        },
        slot,
        known,
        now,
    )
}

#[test]
fn a_borrower_leaves_a_silent_broker_alone_and_keeps_the_calls_on_a_name_together() {
    let mut b = Borrower::new(&settings());
    assert_eq!(way(&mut b, 1, 7, 0, true, 0.0), Way::Broker(0));
    assert_eq!(way(&mut b, 2, 7, 0, true, 0.0), Way::Broker(0));
    b.abandoned(1, 0.5, 0.01);
    // The second is still out there: a third one on this name follows it, another name does not.
    assert_eq!(way(&mut b, 3, 7, 0, true, 0.01), Way::Broker(0));
    assert_eq!(way(&mut b, 4, 8, 0, true, 0.01), Way::Counter);
    b.abandoned(2, 0.5, 0.1);
    b.abandoned(3, 0.5, 0.1);
    assert_eq!(way(&mut b, 5, 7, 0, true, 1.0), Way::Counter);
    b.counted(4);
    b.counted(5);
    // Later one call tries, the others wait for what becomes of it.
    assert_eq!(way(&mut b, 6, 7, 0, true, 20.0), Way::Broker(0));
    assert_eq!(way(&mut b, 7, 8, 0, true, 20.0), Way::Counter);
    assert_eq!(
        b.told(6, Answer::Total(3.0), 0.5, 20.01),
        Some(Counted::Total(3.0))
    );
    assert_eq!(b.told(6, Answer::Total(3.0), 0.5, 20.01), None, "twice");
    assert_eq!(way(&mut b, 8, 7, 0, true, 20.1), Way::Broker(0));
    assert_eq!(
        way(&mut b, 9, 9, 1, false, 20.1),
        Way::Counter,
        "nobody holds the slot"
    );
    // One that can't reach the counter is passed by too.
    for call in 10..18 {
        assert_eq!(way(&mut b, call, call, 0, true, 21.0), Way::Broker(0));
        assert_eq!(b.told(call, Answer::Not, 0.5, 21.0), Some(Counted::Refused));
    }
    assert_eq!(way(&mut b, 18, 18, 0, true, 21.1), Way::Counter);
}

#[test]
fn what_a_broker_does_not_answer_in_time_goes_to_the_counter_in_turn_and_once() {
    let mut b = Borrower::new(&settings());
    for call in 1..4 {
        assert_eq!(
            way(&mut b, call, 7, 0, true, call as f64 * 0.001),
            Way::Broker(0)
        );
    }
    way(&mut b, 4, 8, 0, true, 0.015);
    assert!(b.overdue(0.5, 0.01).is_empty());
    let anew: Vec<u64> = b.overdue(0.5, 0.022).iter().map(|a| a.call).collect();
    assert_eq!(
        anew,
        [1, 2, 3],
        "all on the name, in their order; the other name has time left"
    );
    assert_eq!(
        b.told(2, Answer::Total(1.0), 0.5, 0.023),
        None,
        "the broker's answer comes too late"
    );
    assert!(!b.at_broker(2) && b.at_broker(4));
    assert_eq!(way(&mut b, 5, 7, 0, true, 0.024), Way::Counter);
    b.counted(1);
    b.counted(2);
    b.counted(3);
    assert_eq!(
        b.told(4, Answer::Total(1.0), 0.5, 0.03),
        Some(Counted::Total(1.0))
    );
    assert_eq!(b.next_due(), f64::INFINITY);
}
