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
        "fleet.members.probe is 0; set it to more than 0 and less than 86400 seconds"
    );
    let probe_timeout = Settings {
        probe_timeout: 86_400.0,
        ..settings(&[])
    };
    assert_eq!(
        error(probe_timeout),
        "fleet.members.answer is 86400; set it to more than 0 and less than 86400 seconds"
    );
    let suspicion_timeout = Settings {
        suspicion_timeout: f64::NAN,
        ..settings(&[])
    };
    assert_eq!(
        error(suspicion_timeout),
        "fleet.members.suspect is NaN; set it to more than 0 and less than 86400 seconds"
    );
    let gossip_interval = Settings {
        gossip_interval: -1.5,
        ..settings(&[])
    };
    assert_eq!(
        error(gossip_interval),
        "fleet.members.gossip is -1.5; set it to more than 0 and less than 86400 seconds"
    );
    let rejoin_interval = Settings {
        rejoin_interval: f64::INFINITY,
        ..settings(&[])
    };
    assert_eq!(
        error(rejoin_interval),
        "fleet.members.again is inf; set it to more than 0 and less than 86400 seconds"
    );
    let long_timeout = Settings {
        probe_timeout: 0.6,
        ..settings(&[])
    };
    let text = "fleet.members.answer is 0.6 seconds; set it to at most half of \
                fleet.members.probe, which is 1 seconds, to leave time for indirect probes";
    assert_eq!(error(long_timeout), text);
    for bytes in [511, 65_001] {
        let text = format!("fleet.members.datagram is {bytes}; set it to 512 to 65000 bytes");
        assert_eq!(
            error(Settings {
                max_datagram_bytes: bytes,
                ..settings(&[])
            }),
            text
        );
    }
}
