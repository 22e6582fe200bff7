//! The encoding of the types that this package sends between processes. Postcard encodes by the position of fields and
//! the order of variants, so reordering them would break running systems without a compile error.
//!
//! `fixtures/encodings.txt` has one line for each value: its name and its bytes in hexadecimal digits. The
//! fixture never changes.

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use dunespur_turn_replication::membership::{Candidate, StoreEntry};
use dunespur_turn_replication::message::{ListedTurn, Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::turn::{RetainedTurn, Turn, TurnHeader};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURE: &str = include_str!("fixtures/encodings.txt");

/// Encodings of the values checked so far, as lines of the fixture.
#[derive(Default)]
struct CheckedEncodings {
    lines: Vec<String>,
}

impl CheckedEncodings {
    /// Encodes a value. If the fixture contains the name, decodes the bytes of the fixture and compares the result.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let written = postcard::to_stdvec(value).expect("the value can be encoded");
        self.lines
            .push(format!("{name} {}", to_hexadecimal(&written)));
        if let Some(bytes) = fixture_bytes(name) {
            let (read, rest) =
                postcard::take_from_bytes::<T>(&bytes).expect("the fixture can be decoded");
            assert_eq!(&read, value, "{name}");
            assert!(
                rest.is_empty(),
                "{name}: the fixture has bytes after the value"
            );
        }
    }

    /// Compares all lines with the fixture, after writing them to the target folder.
    fn finish(self) {
        let written = self.lines.join("\n") + "\n";
        let output_path = concat!(env!("CARGO_TARGET_TMPDIR"), "/encodings.txt");
        std::fs::write(output_path, &written).expect("the target folder is writable");
        assert_eq!(written, FIXTURE, "see {output_path}");
    }
}

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn fixture_bytes(name: &str) -> Option<Vec<u8>> {
    let line = FIXTURE
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    let byte = |position| {
        u8::from_str_radix(&line[position..position + 2], 16).expect("hexadecimal digits")
    };
    Some((0..line.len()).step_by(2).map(byte).collect())
}

/// A turn whose fields all differ from each other and from the fields of turns with other numbers.
fn turn(number: u64) -> Turn {
    Turn {
        id: format!("request-{number}"),
        previous: Some(format!("previous-{number}")),
        program: format!("program-{number}"),
        input: Bytes::from(format!("input {number}")),
        output: Bytes::from(format!("output {number}\n")),
        ended_at_ms: 1_700_000_000_000 + number,
        retention_ms: 600_000 + number,
    }
}

fn first_turn() -> Turn {
    Turn {
        previous: None,
        input: Bytes::new(),
        ..turn(0)
    }
}

fn retained_turn(number: u64) -> RetainedTurn {
    RetainedTurn {
        turn: turn(number),
        remaining_ms: 30_000 + number,
    }
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        name: format!("storage-{number}"),
        zone: format!("zone-{number}"),
    }
}

fn ids(numbers: &[u64]) -> Vec<String> {
    numbers
        .iter()
        .map(|number| format!("request-{number}"))
        .collect()
}

/// A store entry in which only the boolean field at this position is set.
fn store(flag: usize, address: &str) -> StoreEntry {
    StoreEntry {
        name: format!("storage-{flag}"),
        zone: format!("zone-{flag}"),
        address: address.parse::<SocketAddr>().expect("an address"),
        incarnation: 1_001,
        disk: 0x0123_4567_89ab_cdef,
        complete: flag == 0,
        present: flag == 1,
        retiring: flag == 2,
        retired: flag == 3,
        epoch: 77,
    }
}

#[test]
fn messages_and_records_keep_their_bytes() {
    let mut checked = CheckedEncodings::default();
    check_requests(&mut checked);
    check_replies(&mut checked);
    check_rejections(&mut checked);
    check_records(&mut checked);
    checked.finish();
}

fn check_requests(checked: &mut CheckedEncodings) {
    check_client_requests(checked);
    check_peer_requests(checked);
}

fn check_client_requests(checked: &mut CheckedEncodings) {
    let hint = Some("storage-9".to_owned());
    checked.check(
        "request/put",
        &StoreRequest::Put {
            turn: turn(1),
            hint,
        },
    );
    checked.check(
        "request/put-first-turn",
        &StoreRequest::Put {
            turn: first_turn(),
            hint: None,
        },
    );
    checked.check(
        "request/chain",
        &StoreRequest::Chain {
            id: "request-2".to_owned(),
        },
    );
}

fn check_peer_requests(checked: &mut CheckedEncodings) {
    let candidates = vec![candidate(3), candidate(4)];
    let (replica, after) = ("storage-5".to_owned(), Some("request-6".to_owned()));
    checked.check(
        "request/list",
        &StoreRequest::List {
            replica,
            candidates,
            replication_factor: 300,
            after,
        },
    );
    let (replica, candidates) = ("storage-7".to_owned(), Vec::new());
    checked.check(
        "request/list-from-start",
        &StoreRequest::List {
            replica,
            candidates,
            replication_factor: 2,
            after: None,
        },
    );
    checked.check(
        "request/fetch",
        &StoreRequest::Fetch {
            ids: ids(&[8, 9]),
            with_ancestors: false,
        },
    );
    let with_ancestors = StoreRequest::Fetch {
        ids: ids(&[10]),
        with_ancestors: true,
    };
    checked.check("request/fetch-with-ancestors", &with_ancestors);
    checked.check(
        "request/offer",
        &StoreRequest::Offer {
            ids: ids(&[11, 12]),
        },
    );
    let turns = vec![retained_turn(13), retained_turn(14)];
    checked.check("request/handoff", &StoreRequest::Handoff { turns });
}

fn check_replies(checked: &mut CheckedEncodings) {
    check_client_replies(checked);
    check_peer_replies(checked);
}

fn check_client_replies(checked: &mut CheckedEncodings) {
    checked.check("reply/stored", &StoreReply::Stored);
    checked.check("reply/rejected", &StoreReply::Rejected(Rejection::Retiring));
    let (turns, missing) = (vec![turn(21), turn(22)], Some("request-20".to_owned()));
    checked.check(
        "reply/found-with-more",
        &StoreReply::Found {
            turns,
            missing,
            has_more: true,
        },
    );
    let complete_chain = StoreReply::Found {
        turns: vec![first_turn()],
        missing: None,
        has_more: false,
    };
    checked.check("reply/found", &complete_chain);
    let known_stores = vec!["storage-23".to_owned(), "storage-24".to_owned()];
    checked.check(
        "reply/unknown-complete",
        &StoreReply::Unknown {
            complete: true,
            known_stores,
        },
    );
    checked.check(
        "reply/unknown",
        &StoreReply::Unknown {
            complete: false,
            known_stores: Vec::new(),
        },
    );
}

fn check_peer_replies(checked: &mut CheckedEncodings) {
    let listed = |number: u64| ListedTurn {
        id: format!("request-{number}"),
        size: 1_000 + number,
    };
    let (turns, next) = (vec![listed(25), listed(26)], Some("request-27".to_owned()));
    checked.check("reply/listed", &StoreReply::Listed { turns, next });
    checked.check(
        "reply/listed-last-page",
        &StoreReply::Listed {
            turns: Vec::new(),
            next: None,
        },
    );
    checked.check(
        "reply/fetched",
        &StoreReply::Fetched {
            turns: vec![retained_turn(28)],
        },
    );
    checked.check(
        "reply/missing",
        &StoreReply::Missing {
            ids: ids(&[29, 30]),
        },
    );
}

fn check_rejections(checked: &mut CheckedEncodings) {
    let rejections = [
        ("joining", Rejection::Joining),
        ("retiring", Rejection::Retiring),
        ("full", Rejection::Full),
        ("busy", Rejection::Busy),
        ("incomplete", Rejection::Incomplete),
        ("conflict", Rejection::Conflict),
        ("disk", Rejection::Disk),
    ];
    for (name, rejection) in rejections {
        checked.check(&format!("rejection/{name}"), &rejection);
    }
}

fn check_records(checked: &mut CheckedEncodings) {
    checked.check("turn", &turn(31));
    checked.check("turn/first", &first_turn());
    let header: TurnHeader = turn(32).header();
    checked.check("turn-header", &header);
    checked.check("retained-turn", &retained_turn(33));
    checked.check(
        "listed-turn",
        &ListedTurn {
            id: "request-34".to_owned(),
            size: 70_000,
        },
    );
    checked.check("candidate", &candidate(35));
    for flag in 0..4 {
        checked.check(
            &format!("store/flag-{flag}"),
            &store(flag, "192.0.2.7:7380"),
        );
    }
    checked.check("store/ipv6", &store(4, "[2001:db8::7]:7381"));
}
