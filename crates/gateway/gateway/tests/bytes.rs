//! The bytes of the messages by which limiters do the duties' work, against a file written before the names
//! changed. The encoding goes by position and order: a moved variant breaks a fleet that runs two versions.

use dunespur_gateway::Work;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::{audit, health_check};

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn messages_of_the_duties_work_keep_their_bytes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/work.hex");
    let text = std::fs::read_to_string(path).unwrap();
    let usages = vec![audit::Usage {
        name: 301,
        calls: 302,
        units: 1.5,
        least_unknown: -2.5,
        most_unknown: 3.5,
    }];
    let told = quota_sharing::Message::Response {
        slot: 401,
        token: 402,
        run: 403,
        seq: 404,
        answer: quota_sharing::BrokerAnswer::Unavailable,
    };
    let values = [
        (
            "effect",
            Work::Effect {
                slot: 101,
                token: 102,
            },
        ),
        (
            "probe",
            Work::Probe(health_check::Message::Complaint {
                server: "s1".into(),
                failures: 201,
            }),
        ),
        (
            "audit",
            Work::Audit {
                slot: 303,
                message: audit::Message::Usages { run: 304, usages },
            },
        ),
        ("lend", Work::Lend(told)),
    ];
    let mut written = String::new();
    for (label, value) in &values {
        let hex: String = postcard::to_stdvec(value)
            .unwrap()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        written.push_str(&format!("{label} {hex}\n"));
    }
    assert_eq!(written, text);

    let read: Vec<Work> = text
        .lines()
        .map(|line| postcard::from_bytes(&decode_hex(line.split_once(' ').unwrap().1)).unwrap())
        .collect();
    assert!(matches!(
        read[0],
        Work::Effect {
            slot: 101,
            token: 102
        }
    ));
    assert!(matches!(
        &read[1],
        Work::Probe(health_check::Message::Complaint { failures: 201, .. })
    ));
    assert!(matches!(
        &read[2],
        Work::Audit {
            slot: 303,
            message: audit::Message::Usages { run: 304, .. }
        }
    ));
    assert!(matches!(
        &read[3],
        Work::Lend(quota_sharing::Message::Response {
            slot: 401,
            token: 402,
            ..
        })
    ));
}
