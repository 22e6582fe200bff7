//! The relay of discovery within a zone: when a limiter closes and opens its own watch, and what it takes.

use dunespur_singleton_roles::discovery_relay::{Action, Message, Relay, Settings};

fn relay(jitter: f64) -> Relay {
    let settings = Settings {
        heartbeat_interval: 0.5,
        stale_after: 1.6,
        reopen_spread: 0.5,
        max_source_age: 5.0,
    };
    Relay::new(settings, 0, 10, jitter, 0.0)
}

fn heartbeat(revision: u64, age: f64) -> Message {
    Message::Heartbeat {
        slot: 0,
        token: 4,
        revision,
        age,
    }
}

#[test]
fn it_closes_its_own_watch_once_the_relay_has_proved_itself_and_opens_it_in_time() {
    let (mut r, mut out) = (relay(0.8), Vec::new());
    let mut t = 0.0;
    while t < 4.0 {
        r.receive("h", heartbeat(10, 0.1), None, t, &mut out);
        r.tick(None, t, &mut out);
        assert_eq!(r.is_watching(), t < 1.6, "at {t}");
        t += 0.4;
    }
    assert_eq!(out, [Action::CloseWatch]);
    out.clear();
    let last = t - 0.4;
    while !r.is_watching() {
        t = r.next_due();
        r.tick(None, t, &mut out);
    }
    assert!(t <= last + 1.6 + 0.5, "open again {t} after {last}");
    assert_eq!(out, [Action::OpenWatch]);
}

#[test]
fn a_relay_whose_own_watch_is_silent_or_behind_is_no_source() {
    let (mut r, mut out) = (relay(0.0), Vec::new());
    for n in 0..10 {
        let t = n as f64 * 0.4;
        r.receive("h", heartbeat(10, 6.0), None, t, &mut out);
        r.receive("h", heartbeat(9, 0.0), None, t, &mut out);
        r.receive("h", heartbeat(10, -1.0), None, t, &mut out);
        r.receive("h", heartbeat(10, f64::NAN), None, t, &mut out);
        r.tick(None, t, &mut out);
    }
    assert!(r.is_watching() && out.is_empty());
}

#[test]
fn updates_that_skip_some_request_the_list_and_older_ones_change_nothing() {
    let (mut r, mut out) = (relay(0.0), Vec::new());
    let update = |since, revision| Message::Update {
        slot: 0,
        token: 4,
        since,
        revision,
        endpoints: vec![revision as u8],
    };
    r.receive("h", update(Some(12), 13), None, 0.0, &mut out);
    assert_eq!(
        out,
        [Action::Send {
            to: "h".into(),
            message: Message::RequestEndpoints { slot: 0 }
        }]
    );
    out.clear();
    r.receive("h", update(None, 13), None, 0.1, &mut out);
    r.receive("h", update(Some(12), 13), None, 0.1, &mut out);
    r.receive("h", update(Some(13), 14), None, 0.2, &mut out);
    r.receive("h", update(Some(10), 11), None, 0.3, &mut out);
    let apply = |revision| Action::ApplyEndpoints {
        endpoints: vec![revision as u8],
        revision,
    };
    assert_eq!(out, [apply(13), apply(14)]);
    out.clear();
    r.receive(
        "x",
        Message::RequestEndpoints { slot: 0 },
        Some(9),
        1.0,
        &mut out,
    );
    assert_eq!(
        out,
        [Action::SendEndpoints {
            to: "x".into(),
            token: 9
        }]
    );
}
