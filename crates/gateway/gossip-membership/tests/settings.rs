//! Settings out of range.

use dunespur_gossip_membership::Settings;

fn settings() -> Settings {
    Settings {
        expected_members: 8,
        seeds: vec![],
        probe_interval: 1.0,
        probe_timeout: 0.3,
        suspicion_timeout: 3.0,
        gossip_interval: 0.2,
        rejoin_interval: 5.0,
        max_datagram_bytes: 1400,
    }
}

#[test]
fn settings_out_of_range_are_named_with_their_remedy() {
    let error = |settings: Settings| {
        settings
            .check()
            .expect_err("it is out of range")
            .to_string()
    };
    assert!(settings().check().is_ok());
    let probe = Settings {
        probe_interval: 0.0,
        ..settings()
    };
    assert_eq!(
        error(probe),
        "fleet.members.probe: 0; give seconds over 0 and under a day"
    );
    let answer = Settings {
        probe_timeout: 86_400.0,
        ..settings()
    };
    assert_eq!(
        error(answer),
        "fleet.members.answer: 86400; give seconds over 0 and under a day"
    );
    let suspect = Settings {
        suspicion_timeout: f64::NAN,
        ..settings()
    };
    assert_eq!(
        error(suspect),
        "fleet.members.suspect: NaN; give seconds over 0 and under a day"
    );
    let gossip = Settings {
        gossip_interval: -1.5,
        ..settings()
    };
    assert_eq!(
        error(gossip),
        "fleet.members.gossip: -1.5; give seconds over 0 and under a day"
    );
    let again = Settings {
        rejoin_interval: f64::INFINITY,
        ..settings()
    };
    assert_eq!(
        error(again),
        "fleet.members.again: inf; give seconds over 0 and under a day"
    );
    let late = Settings {
        probe_timeout: 0.6,
        ..settings()
    };
    let text = "fleet.members.answer: 0.6 leaves no time for asking through others in a probe of 1";
    assert_eq!(error(late), text);
    for bytes in [511, 65_001] {
        let text = format!("fleet.members.datagram: {bytes}; give 512 to 65000 bytes");
        assert_eq!(
            error(Settings {
                max_datagram_bytes: bytes,
                ..settings()
            }),
            text
        );
    }
}
