use super::{Touch, IN_TOUCH_MS};

const SENT: u64 = 5_000;

#[test]
fn before_the_first_answer_touch_is_neither_there_nor_lost() {
    let touch = Touch::default();
    assert!(!touch.holds(SENT) && !touch.is_lost(SENT));
    assert_eq!(touch.silent_ms(SENT), None);
}

#[test]
fn touch_lasts_from_the_sending_of_a_watch_not_from_its_answer() {
    let touch = Touch::default();
    touch.answered(SENT);
    assert!(touch.holds(SENT + IN_TOUCH_MS - 1));
    assert!(touch.is_lost(SENT + IN_TOUCH_MS));
    let thawed = SENT + 20_000;
    touch.answered(SENT);
    assert!(touch.is_lost(thawed), "the answer lay in the socket");
    touch.answered(thawed);
    touch.answered(SENT + 400);
    assert!(touch.holds(thawed + 1), "a late answer takes nothing back");
}
