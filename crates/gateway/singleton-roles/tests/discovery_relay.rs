//! The relay of discovery within a zone: when a limiter closes and reopens its own watch, and which messages it
//! accepts.

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
fn the_own_watch_closes_once_the_relay_is_stable_and_reopens_when_it_is_stale() {
    let (mut relay, mut out) = (relay(0.8), Vec::new());
    let mut now = 0.0;
    while now < 4.0 {
        relay.receive("h", heartbeat(10, 0.1), None, now, &mut out);
        relay.tick(None, now, &mut out);
        assert_eq!(relay.is_watching(), now < 1.6, "watching at {now} s");
        now += 0.4;
    }
    assert_eq!(out, [Action::CloseWatch]);
    out.clear();
    let last_heartbeat = now - 0.4;
    while !relay.is_watching() {
        now = relay.next_due();
        relay.tick(None, now, &mut out);
    }
    assert!(
        now <= last_heartbeat + 1.6 + 0.5,
        "reopened at {now} s, last heartbeat at {last_heartbeat} s"
    );
    assert_eq!(out, [Action::OpenWatch]);
}

#[test]
fn a_relay_with_a_silent_watch_or_an_older_list_is_ignored() {
    let (mut relay, mut out) = (relay(0.0), Vec::new());
    for n in 0..10 {
        let now = n as f64 * 0.4;
        relay.receive("h", heartbeat(10, 6.0), None, now, &mut out);
        relay.receive("h", heartbeat(9, 0.0), None, now, &mut out);
        relay.receive("h", heartbeat(10, -1.0), None, now, &mut out);
        relay.receive("h", heartbeat(10, f64::NAN), None, now, &mut out);
        relay.tick(None, now, &mut out);
    }
    assert!(relay.is_watching() && out.is_empty());
}

#[test]
fn an_update_after_a_gap_requests_the_list_and_older_updates_are_ignored() {
    let (mut relay, mut out) = (relay(0.0), Vec::new());
    let update = |since, revision| Message::Update {
        slot: 0,
        token: 4,
        since,
        revision,
        endpoints: vec![revision as u8],
    };
    relay.receive("h", update(Some(12), 13), None, 0.0, &mut out);
    assert_eq!(
        out,
        [Action::Send {
            to: "h".into(),
            message: Message::RequestEndpoints { slot: 0 }
        }]
    );
    out.clear();
    relay.receive("h", update(None, 13), None, 0.1, &mut out);
    relay.receive("h", update(Some(12), 13), None, 0.1, &mut out);
    relay.receive("h", update(Some(13), 14), None, 0.2, &mut out);
    relay.receive("h", update(Some(10), 11), None, 0.3, &mut out);
    let apply = |revision| Action::ApplyEndpoints {
        endpoints: vec![revision as u8],
        revision,
    };
    assert_eq!(out, [apply(13), apply(14)]);
    out.clear();
    relay.receive(
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
