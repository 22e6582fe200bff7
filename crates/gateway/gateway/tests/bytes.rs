//! Compares the encoding of work messages between limiters with a stored file. The encoding depends on the order of
//! variants and fields: a moved variant would break a fleet that runs two versions.

use dunespur_gateway::Work;
use dunespur_quota_sharing as quota_sharing;
use dunespur_singleton_roles::{audit, health_check};

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).unwrap())
        .collect()
}

#[test]
fn work_messages_keep_their_encoding() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/work.hex");
    let text = std::fs::read_to_string(path).unwrap();
    let usages = vec![audit::Usage {
        name: 301,
        calls: 302,
        units: 1.5,
        least_unknown: -2.5,
        most_unknown: 3.5,
    }];
    let lease_response = quota_sharing::Message::Response {
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
        ("lend", Work::Lend(lease_response)),
    ];
    let mut encoded = String::new();
    for (label, value) in &values {
        let hex: String = postcard::to_stdvec(value)
            .unwrap()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        encoded.push_str(&format!("{label} {hex}\n"));
    }
    assert_eq!(encoded, text);

    let decoded: Vec<Work> = text
        .lines()
        .map(|line| postcard::from_bytes(&decode_hex(line.split_once(' ').unwrap().1)).unwrap())
        .collect();
    assert!(matches!(
        decoded[0],
        Work::Effect {
            slot: 101,
            token: 102
        }
    ));
    assert!(matches!(
        &decoded[1],
        Work::Probe(health_check::Message::Complaint { failures: 201, .. })
    ));
    assert!(matches!(
        &decoded[2],
        Work::Audit {
            slot: 303,
            message: audit::Message::Usages { run: 304, .. }
        }
    ));
    assert!(matches!(
        &decoded[3],
        Work::Lend(quota_sharing::Message::Response {
            slot: 401,
            token: 402,
            ..
        })
    ));
}
