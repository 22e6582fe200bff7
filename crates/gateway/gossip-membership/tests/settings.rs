//! Settings out of range are rejected with their key and the allowed values.

mod common;

use common::settings;
use dunespur_gossip_membership::Settings;

#[test]
fn errors_name_the_setting_and_the_allowed_values() {
    let error = |settings: Settings| {
        settings
            .check()
            .expect_err("a setting is out of range")
            .to_string()
    };
    assert!(settings(&[]).check().is_ok());
    let probe_interval = Settings {
        probe_interval: 0.0,
        ..settings(&[])
    };
    assert_eq!(
        error(probe_interval),
        "fleet.members.probe: 0; give seconds over 0 and under a day"
    );
    let probe_timeout = Settings {
        probe_timeout: 86_400.0,
        ..settings(&[])
    };
    assert_eq!(
        error(probe_timeout),
        "fleet.members.answer: 86400; give seconds over 0 and under a day"
    );
    let suspicion_timeout = Settings {
        suspicion_timeout: f64::NAN,
        ..settings(&[])
    };
    assert_eq!(
        error(suspicion_timeout),
        "fleet.members.suspect: NaN; give seconds over 0 and under a day"
    );
    let gossip_interval = Settings {
        gossip_interval: -1.5,
        ..settings(&[])
    };
    assert_eq!(
        error(gossip_interval),
        "fleet.members.gossip: -1.5; give seconds over 0 and under a day"
    );
    let rejoin_interval = Settings {
        rejoin_interval: f64::INFINITY,
        ..settings(&[])
    };
    assert_eq!(
        error(rejoin_interval),
        "fleet.members.again: inf; give seconds over 0 and under a day"
    );
    let long_timeout = Settings {
        probe_timeout: 0.6,
        ..settings(&[])
    };
    let text = "fleet.members.answer: 0.6; give at most half of fleet.members.probe (1) for indirect probes";
    assert_eq!(error(long_timeout), text);
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
