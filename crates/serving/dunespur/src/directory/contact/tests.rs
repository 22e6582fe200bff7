//! Loss of contact with the core.

use super::{Contact, CONTACT_TIMEOUT_MS};

const WATCH_STARTED_AT: u64 = 5_000;

#[test]
fn before_the_first_answer_contact_is_neither_present_nor_lost() {
    let contact = Contact::default();
    assert!(!contact.is_present(WATCH_STARTED_AT) && !contact.is_lost(WATCH_STARTED_AT));
    assert_eq!(contact.silent_ms(WATCH_STARTED_AT), None);
}

#[test]
fn contact_lasts_from_the_sending_of_a_watch_not_from_its_answer() {
    let contact = Contact::default();
    contact.confirm(WATCH_STARTED_AT);
    assert!(contact.is_present(WATCH_STARTED_AT + CONTACT_TIMEOUT_MS - 1));
    assert!(contact.is_lost(WATCH_STARTED_AT + CONTACT_TIMEOUT_MS));
    let thawed = WATCH_STARTED_AT + 20_000;
    contact.confirm(WATCH_STARTED_AT);
    assert!(
        contact.is_lost(thawed),
        "an answer found in the socket after a freeze must not restore contact"
    );
    contact.confirm(thawed);
    contact.confirm(WATCH_STARTED_AT + 400);
    assert!(
        contact.is_present(thawed + 1),
        "a late answer to an older watch must not shorten contact"
    );
}
