use super::{Order, Stage};

const HEADER_TIMEOUT_MS: u64 = 3_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;

fn due(stage: Stage, now_ms: u64) -> Order {
    stage.due(now_ms, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS)
}

#[test]
fn a_client_may_rest_for_the_whole_idle_time() {
    let stage = Stage::Resting { since_ms: 100 };
    assert_eq!(due(stage, 15_099), Order::Stay);
    assert_eq!(due(stage, 15_100), Order::Leave);
}

#[test]
fn a_head_may_take_the_whole_header_time() {
    let stage = Stage::Coming { since_ms: 100 };
    assert_eq!(due(stage, 3_099), Order::Stay);
    assert_eq!(due(stage, 3_100), Order::TooSlow);
}

#[test]
fn a_request_in_hand_is_left_to_its_own_time() {
    assert_eq!(due(Stage::InHand, u64::MAX), Order::Stay);
}

#[test]
fn an_answer_that_is_not_taken_is_given_up() {
    for stage in [
        Stage::Answering { until_ms: 500 },
        Stage::Finishing { until_ms: 500 },
    ] {
        assert_eq!(due(stage, 499), Order::Stay);
        assert_eq!(due(stage, 500), Order::Cut);
    }
}
