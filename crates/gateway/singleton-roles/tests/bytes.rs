//! The bytes of each message between limiters and of each record on a voter's disk. The encoding goes by
//! position and order, so a moved field or variant breaks a fleet that runs two versions and a disk that an
//! older one wrote; the files under `fixtures/` were written before the names changed and stay as they are.

use dunespur_singleton_roles::book::{Book, Command, Group, Held, Session};
use dunespur_singleton_roles::log::{Batch, Conf, Entry, Hard, Message, Meta, Saved, Seen, Snap};
use dunespur_singleton_roles::{audit, probe, watch, Ask, Hello, HelloBack, Judged, Me, Msg, Told};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Values by the label under which the fixture file holds their bytes.
struct Fixtures {
    file: &'static str,
    bytes: BTreeMap<String, Vec<u8>>,
    wrong: Vec<String>,
    used: usize,
}

impl Fixtures {
    fn open(file: &'static str) -> Self {
        let path = format!("{}/tests/fixtures/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
        let bytes = text.lines().map(|line| {
            let (label, hex) = line.split_once(' ').unwrap();
            (label.to_owned(), decode_hex(hex))
        });
        Fixtures {
            file,
            bytes: bytes.collect(),
            wrong: Vec::new(),
            used: 0,
        }
    }

    /// The value is written to the file's bytes, and they are read back to it.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        label: &str,
        value: T,
    ) {
        self.used += 1;
        let written = postcard::to_stdvec(&value).unwrap();
        let expected = self.bytes.get(label).cloned().unwrap_or_default();
        if written != expected {
            self.wrong.push(format!("{label} {}", encode_hex(&written)));
        } else {
            assert_eq!(
                postcard::from_bytes::<T>(&expected).unwrap(),
                value,
                "{label} read back"
            );
        }
    }

    fn finish(self) {
        assert!(
            self.wrong.is_empty(),
            "{}: written otherwise now:\n{}",
            self.file,
            self.wrong.join("\n")
        );
        assert_eq!(
            self.used,
            self.bytes.len(),
            "{}: some were not looked at",
            self.file
        );
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn entry(kind: u8, n: u64) -> Entry {
    Entry {
        kind,
        term: 1000 + n,
        index: 2000 + n,
        data: vec![n as u8, 1],
        context: vec![n as u8, 2, 3],
    }
}

fn conf() -> Conf {
    Conf {
        voters: vec![11, 12, 13],
        outgoing: vec![14],
        learners: vec![15, 16],
        learners_next: vec![17],
        auto_leave: true,
    }
}

fn snap() -> Snap {
    Snap {
        index: 301,
        term: 302,
        conf: conf(),
        data: vec![31, 32, 33],
    }
}

fn message(kind: u8) -> Message {
    Message {
        kind,
        to: 401,
        from: 402,
        term: 403,
        log_term: 404,
        index: 405,
        entries: vec![entry(0, 6), entry(2, 7)],
        commit: 408,
        commit_term: 409,
        snap: Some(snap()),
        request_snapshot: 410,
        reject: true,
        reject_hint: 411,
        context: vec![41, 42],
    }
}

fn group() -> Group {
    vec![(501, "n0".into()), (502, "n1".into()), (503, "n2".into())]
}

fn me() -> Me {
    Me {
        name: "n4".into(),
        run: 601,
        zone: "zone-a".into(),
        machine: "m4".into(),
    }
}

fn ask() -> Ask {
    Ask {
        me: me(),
        seq: 602,
        version: 603,
        freed: vec![(604, 605, true), (606, 607, false)],
        leaving: true,
        prime: false,
        who: vec![608, 609],
    }
}

fn told() -> Told {
    Told {
        seq: 701,
        version: 702,
        index: 703,
        list: Some(vec![(704, 705), (706, 707)]),
        give_up: vec![708],
        tokens: Some(vec![709, 710]),
        holders: vec![(711, "n5".into())],
    }
}

fn hello() -> Hello {
    Hello {
        name: "n6".into(),
        disk: 801,
        starts: 802,
        nonce: 803,
        term: 804,
        last: 805,
        voter: true,
    }
}

fn formed(judged: Judged) -> HelloBack {
    HelloBack::Formed {
        disk: 806,
        group: group(),
        judged,
        leader: (807, 808),
    }
}

fn back(back: HelloBack) -> Msg {
    Msg::HelloBack {
        of: 809,
        nonce: 810,
        back,
    }
}

#[test]
fn messages_between_limiters_keep_their_bytes() {
    let mut fixtures = Fixtures::open("messages.hex");
    let mut check = |label: &str, msg: Msg| fixtures.check(label, msg);
    check(
        "raft",
        Msg::Raft {
            group: 901,
            message: message(3),
        },
    );
    let bare = Message {
        entries: vec![],
        snap: None,
        reject: false,
        context: vec![],
        ..message(9)
    };
    check(
        "raft-bare",
        Msg::Raft {
            group: 902,
            message: bare,
        },
    );
    check("hello", Msg::Hello(hello()));
    check(
        "hello-outsider",
        Msg::Hello(Hello {
            voter: false,
            ..hello()
        }),
    );
    check("hello-back-empty", back(HelloBack::Empty { disk: 811 }));
    check("hello-back-fit", back(formed(Judged::Fit)));
    check("hello-back-old", back(formed(Judged::Old)));
    check("hello-back-unknown", back(formed(Judged::Unknown)));
    check("ask", Msg::Ask(ask()));
    let first = Ask {
        freed: vec![],
        leaving: false,
        prime: true,
        who: vec![],
        ..ask()
    };
    check("ask-first", Msg::Ask(first));
    check(
        "told",
        Msg::Told {
            run: 903,
            told: told(),
        },
    );
    let bare = Told {
        list: None,
        give_up: vec![],
        tokens: None,
        holders: vec![],
        ..told()
    };
    check(
        "told-bare",
        Msg::Told {
            run: 904,
            told: bare,
        },
    );
    check(
        "elsewhere",
        Msg::Elsewhere {
            run: 905,
            seq: 906,
            leader: Some("n7".into()),
        },
    );
    check(
        "elsewhere-unknown",
        Msg::Elsewhere {
            run: 907,
            seq: 908,
            leader: None,
        },
    );
    check("doubled", Msg::Doubled { run: 909 });
    check("notice", Msg::Notice { run: 910 });
    fixtures.finish();
}

#[test]
fn messages_of_the_duties_work_keep_their_bytes() {
    let mut fixtures = Fixtures::open("work.hex");
    let (slot, token) = (1001, 1002);
    fixtures.check(
        "watch-beat",
        watch::Msg::Beat {
            slot,
            token,
            revision: 1003,
            age: 0.25,
        },
    );
    let list = vec![1, 2, 250];
    let since = Some(1004);
    fixtures.check(
        "watch-news",
        watch::Msg::News {
            slot,
            token,
            since,
            revision: 1005,
            list: list.clone(),
        },
    );
    fixtures.check(
        "watch-whole",
        watch::Msg::News {
            slot,
            token,
            since: None,
            revision: 1006,
            list,
        },
    );
    fixtures.check("watch-want", watch::Msg::Want { slot });
    let server = "s1".to_owned();
    fixtures.check(
        "probe-complaint",
        probe::Msg::Complaint {
            server: server.clone(),
            unanswered: 1007,
        },
    );
    let outcomes = [
        ("probe-answered", probe::Seen::Answered),
        ("probe-refused", probe::Seen::Refused),
        ("probe-silent", probe::Seen::Silent),
    ];
    for (label, seen) in outcomes {
        fixtures.check(
            label,
            probe::Msg::Outcome {
                slot,
                token,
                server: server.clone(),
                seen,
                age: 0.5,
            },
        );
    }
    let one = audit::Use {
        name: 1008,
        calls: 1009,
        units: 1.5,
        least: -2.5,
        most: 3.5,
    };
    let other = audit::Use {
        name: 1010,
        ..audit::Use::default()
    };
    fixtures.check(
        "audit-uses",
        audit::Msg::Uses {
            run: 1011,
            uses: vec![one, other],
        },
    );
    fixtures.finish();
}

#[test]
fn commands_and_the_book_keep_their_bytes() {
    let mut fixtures = Fixtures::open("log.hex");
    let enter = Command::Enter {
        name: "n8".into(),
        run: 1101,
        zone: "zone-b".into(),
        machine: "m8".into(),
    };
    let commands = vec![
        enter,
        Command::Expire { session: 1102 },
        Command::Free {
            slot: 1103,
            token: 1104,
        },
        Command::Grant {
            slot: 1105,
            token: 1106,
            session: 1107,
        },
        Command::Double { name: "n9".into() },
        Command::Single { name: "n10".into() },
    ];
    for (label, command) in ["enter", "expire", "free", "grant", "double", "single"]
        .into_iter()
        .zip(commands.iter())
    {
        fixtures.check(label, command.clone());
    }
    fixtures.check("entry-data", (1108u64, commands));
    fixtures.check("entry-context", ("n11".to_owned(), 1109u64));
    let session = |n: u64, replaced| Session {
        name: format!("n{n}"),
        run: 1110 + n,
        zone: format!("z{n}"),
        machine: format!("m{n}"),
        replaced,
    };
    let book = Book {
        voters: group().into_iter().collect(),
        sessions: [(1120, session(1, true)), (1121, session(2, false))].into(),
        slots: vec![
            Held {
                token: 1122,
                session: 1123,
            },
            Held::default(),
        ],
        doubled: ["n12".to_owned(), "n13".to_owned()].into(),
        versions: [(1124, 1125), (1126, 1127)].into(),
    };
    fixtures.check("book", book);
    fixtures.finish();
}

#[test]
fn records_on_a_voters_disk_keep_their_bytes() {
    let mut fixtures = Fixtures::open("records.hex");
    let meta = Meta {
        disk: 1201,
        starts: 1202,
        group: Some(group()),
        seen: [
            (
                1203,
                Seen {
                    starts: 1204,
                    nonce: 1205,
                    term: 1206,
                    last: 1207,
                },
            ),
            (1208, Seen::default()),
        ]
        .into(),
    };
    let hard = Hard {
        term: 1210,
        vote: 1211,
        commit: 1212,
    };
    fixtures.check("meta", meta.clone());
    fixtures.check(
        "meta-new",
        Meta {
            disk: 1213,
            starts: 1,
            ..Meta::default()
        },
    );
    fixtures.check("hard", hard);
    fixtures.check("snap", snap());
    fixtures.check(
        "conf",
        Conf {
            auto_leave: false,
            ..conf()
        },
    );
    fixtures.check("entry", entry(0, 14));
    fixtures.check("entry-change", entry(2, 15));
    fixtures.check("group", group());
    let batch = Batch {
        number: 1216,
        wipe: true,
        meta: Some(meta.clone()),
        hard: Some(hard),
        snap: Some(snap()),
        entries: vec![entry(0, 17)],
    };
    fixtures.check("batch", batch);
    fixtures.check(
        "batch-bare",
        Batch {
            number: 1218,
            ..Batch::default()
        },
    );
    fixtures.check(
        "saved",
        Saved {
            meta,
            hard,
            snap: snap(),
            entries: vec![entry(0, 19), entry(2, 20)],
        },
    );
    fixtures.finish();
}

/// Numbers of the message kinds come from the consensus library; a newer one must not move them.
#[test]
fn kinds_that_voters_send_are_read_by_the_consensus_library() {
    let known: Vec<u8> = (0..=u8::MAX)
        .filter(|kind| message(*kind).to_raft().is_some())
        .collect();
    assert_eq!(known, [3, 4, 5, 6, 7, 8, 9, 13, 14, 16, 17, 18]);
    let expected = message(3);
    let read = Message::from(&expected.to_raft().unwrap());
    assert_eq!(
        read, expected,
        "nothing is lost on the way through the library's form"
    );
}
