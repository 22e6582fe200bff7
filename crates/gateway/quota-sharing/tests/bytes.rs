//! Compares the encoding of each message between borrowers and brokers with a fixture. The encoding depends on the
//! order of fields and variants: a moved field breaks a fleet that runs two versions.

use dunespur_quota_sharing::{BrokerAnswer, LeaseRequest, Message};

fn request() -> LeaseRequest {
    LeaseRequest {
        seq: 101,
        name: 102,
        customer: 103,
        add: 1.25,
        requested: 2.25,
        minimum: 3.25,
        lifetime: 4.25,
        limit: 5.25,
        limit_rate: 6.25,
        elapsed: 0.125,
        remaining: 7.25,
    }
}

fn response(answer: BrokerAnswer) -> Message {
    Message::Response {
        slot: 201,
        token: 202,
        run: 203,
        seq: 204,
        answer,
    }
}

#[test]
fn messages_keep_their_encoding() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.hex");
    let text = std::fs::read_to_string(path).unwrap();
    let values = [
        (
            "ask",
            Message::Request {
                slot: 104,
                run: 105,
                request: request(),
            },
        ),
        ("told-total", response(BrokerAnswer::Total(8.25))),
        ("told-not", response(BrokerAnswer::Unavailable)),
        ("told-wait", response(BrokerAnswer::Pending)),
    ];
    let mut written = String::new();
    for (label, value) in &values {
        let bytes = postcard::to_stdvec(value).unwrap();
        assert_eq!(
            &postcard::from_bytes::<Message>(&bytes).unwrap(),
            value,
            "{label}: the decoded message differs"
        );
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        written.push_str(&format!("{label} {hex}\n"));
    }
    assert_eq!(written, text);
}
