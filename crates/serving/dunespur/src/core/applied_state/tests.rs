//! Retention of changes by index, and unreadable control states.

use super::AppliedState;
use dunespur_control_state::{
    ConfigurationRequest, ConfigurationRequestKind, ControlState, Operation,
};

fn apply_configuration(state: &mut AppliedState, index: u64, generation: u64) {
    let body = format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#);
    let request = ConfigurationRequest {
        kind: ConfigurationRequestKind::Replace,
        base: generation - 1,
        body: body.into_bytes(),
        fencing_token: 0,
    };
    let payload = postcard::to_stdvec(&Operation::Configure(request))
        .expect("the operation should be encodable");
    state
        .commit(index, &payload)
        .expect("the encoded operation should be decodable");
}

#[test]
fn changes_are_retained_by_their_index() {
    let mut state = AppliedState::default();
    apply_configuration(&mut state, 1, 1);
    apply_configuration(&mut state, 2, 2);
    assert_eq!(state.changes().newest_index(), 2);
    assert!(state.changes().has_changes_after(1));
    assert!(!state.changes().has_changes_after(2));
    assert!(state.is_readable());
}

#[test]
fn a_state_with_an_undecodable_operation_is_not_readable() {
    let mut state = AppliedState::default();
    apply_configuration(&mut state, 1, 1);
    assert_eq!(state.commit(2, &[0xff; 4]), None);
    assert!(!state.is_readable());
    apply_configuration(&mut state, 3, 2);
    assert!(!state.is_readable());
}

#[test]
fn an_undecodable_snapshot_makes_the_state_unreadable_until_a_readable_one_is_installed() {
    let mut state = AppliedState::default();
    apply_configuration(&mut state, 1, 1);
    let mut corrupt_snapshot = state.state().snapshot();
    corrupt_snapshot[0] = 0xff;
    state.install(9, &corrupt_snapshot);
    assert!(!state.is_readable());
    state.install(10, &ControlState::default().snapshot());
    assert!(state.is_readable());
    assert_eq!(state.changes().newest_index(), 10);
}
