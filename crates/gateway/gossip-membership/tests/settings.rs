//! Settings out of range.

mod common;

use common::settings;
use dunespur_gossip_membership::Settings;

#[test]
fn settings_out_of_range_are_named_with_their_remedy() {
    let error = |settings: Settings| {
        settings
            .check()
            .expect_err("it is out of range")
            .to_string()
    };
    assert!(settings(&[]).check().is_ok());
    let probe = Settings {
        probe_interval: 0.0,
        ..settings(&[])
    };
    assert_eq!(
        error(probe),
        "fleet.members.probe: 0; give seconds over 0 and under a day"
    );
    let answer = Settings {
        probe_timeout: 86_400.0,
        ..settings(&[])
    };
    assert_eq!(
        error(answer),
        "fleet.members.answer: 86400; give seconds over 0 and under a day"
    );
    let suspect = Settings {
        suspicion_timeout: f64::NAN,
        ..settings(&[])
    };
    assert_eq!(
        error(suspect),
        "fleet.members.suspect: NaN; give seconds over 0 and under a day"
    );
    let gossip = Settings {
        gossip_interval: -1.5,
        ..settings(&[])
    };
    assert_eq!(
        error(gossip),
        "fleet.members.gossip: -1.5; give seconds over 0 and under a day"
    );
    let again = Settings {
        rejoin_interval: f64::INFINITY,
        ..settings(&[])
    };
    assert_eq!(
        error(again),
        "fleet.members.again: inf; give seconds over 0 and under a day"
    );
    let late = Settings {
        probe_timeout: 0.6,
        ..settings(&[])
    };
    let text = "fleet.members.answer: 0.6 leaves no time for asking through others in a probe of 1";
    assert_eq!(error(late), text);
    for bytes in [511, 65_001] {
        let text = format!("fleet.members.datagram: {bytes}; give 512 to 65000 bytes");
        assert_eq!(
            error(Settings {
                max_datagram_bytes: bytes,
                ..settings(&[])
            }),
            text
        );
    }
}
