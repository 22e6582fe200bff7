//! The bytes of each message between borrowers and brokers, against a file written before the names changed.
//! The encoding goes by position and order: a moved field breaks a fleet that runs two versions.

use dunespur_quota_sharing::lend::{Answer, Ask, Msg};

fn ask() -> Ask {
    Ask {
        seq: 101,
        name: 102,
        customer: 103,
        add: 1.25,
        asked: 2.25,
        needs: 3.25,
        life: 4.25,
        full: 5.25,
        rate: 6.25,
        elapsed: 0.125,
        left: 7.25,
    }
}

fn told(answer: Answer) -> Msg {
    Msg::Told {
        slot: 201,
        token: 202,
        run: 203,
        seq: 204,
        answer,
    }
}

#[test]
fn messages_of_the_lending_protocol_keep_their_bytes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.hex");
    let text = std::fs::read_to_string(path).unwrap();
    let values = [
        (
            "ask",
            Msg::Ask {
                slot: 104,
                run: 105,
                ask: ask(),
            },
        ),
        ("told-total", told(Answer::Total(8.25))),
        ("told-not", told(Answer::Not)),
        ("told-wait", told(Answer::Wait)),
    ];
    let mut written = String::new();
    for (label, value) in &values {
        let bytes = postcard::to_stdvec(value).unwrap();
        assert_eq!(
            &postcard::from_bytes::<Msg>(&bytes).unwrap(),
            value,
            "{label} read back"
        );
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        written.push_str(&format!("{label} {hex}\n"));
    }
    assert_eq!(written, text);
}
