//! Changes by index, and states that can not be read.

use super::AppliedState;
use dunespur_control_state::{
    ConfigurationRequest, ConfigurationRequestKind, ControlState, Operation,
};

fn configured(state: &mut AppliedState, index: u64, generation: u64) {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#);
    let order = ConfigurationRequest {
        kind: ConfigurationRequestKind::Replace,
        base: generation - 1,
        body: body.into_bytes(),
        fencing_token: 0,
    };
    let payload =
        postcard::to_stdvec(&Operation::Configure(order)).expect("an operation can be written");
    state
        .commit(index, &payload)
        .expect("an operation that was written can be read");
}

#[test]
fn changes_are_retained_by_their_index() {
    let mut state = AppliedState::default();
    configured(&mut state, 1, 1);
    configured(&mut state, 2, 2);
    assert_eq!(state.changes().newest(), 2);
    assert!(state.changes().has_after(1));
    assert!(!state.changes().has_after(2));
    assert!(state.is_readable());
}

#[test]
fn a_state_that_misses_an_operation_is_not_readable() {
    let mut state = AppliedState::default();
    configured(&mut state, 1, 1);
    assert_eq!(state.commit(2, &[0xff; 4]), None);
    assert!(!state.is_readable());
    configured(&mut state, 3, 2);
    assert!(!state.is_readable());
}

#[test]
fn a_snapshot_that_cannot_be_read_leaves_a_state_that_answers_nothing_until_one_can() {
    let mut state = AppliedState::default();
    configured(&mut state, 1, 1);
    let mut spoilt = state.state().snapshot();
    spoilt[0] = 0xff;
    state.install(9, &spoilt);
    assert!(!state.is_readable());
    state.install(10, &ControlState::default().snapshot());
    assert!(state.is_readable());
    assert_eq!(state.changes().newest(), 10);
}
