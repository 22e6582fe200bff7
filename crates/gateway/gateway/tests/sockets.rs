//! Starts the program and speaks to it over loopback sockets.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn an_invocation_passes_on_unchanged_and_its_answer_comes_back() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, counter) = Gateway::with_servers(&[server.address]);
    let answer = gateway
        .send(&invocation("POST", "write", 1500, "some body"))
        .unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("served"),
        "{answer}"
    );
    let received = server.received.lock().unwrap()[0].to_ascii_lowercase();
    assert!(
        received.starts_with("post /api?n=7 http/1.1\r\n")
            && received.ends_with("\r\n\r\nsome body"),
        "{received}"
    );
    assert!(
        received.contains("x-request-id: 0000")
            && received.contains("idempotency-key: 5c0f6e1a\r\n"),
        "{received}"
    );
    let waits = received
        .split("x-timeout-ms: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    assert!(
        (1..1500).contains(&waits.parse::<u32>().unwrap()),
        "{received}"
    );
    let call = counter.received.lock().unwrap()[0].clone();
    assert!(
        call.starts_with("CNT.ADD ") && call.ends_with(" 1.000000 60000"),
        "{call}"
    );
}

#[test]
fn connections_to_servers_are_reused_and_dropped_before_they_idle_out() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    (0..5).for_each(|_| assert!(gateway.send_read().contains("200 OK")));
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        1,
        "one connection carries all of them in turn"
    );
    let started = Instant::now();
    wait_until("the idle connection is closed", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "before the second after which servers close it"
    );
    assert!(gateway.send_read().contains("200 OK"));
}

#[test]
fn a_client_that_leaves_takes_its_delivery_with_it() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut stream = gateway.connect().unwrap();
    stream
        .write_all(invocation("GET", "once", 2000, "").as_bytes())
        .unwrap();
    wait_until("the delivery has come", || server.received_count() == 1);
    let left = Instant::now();
    drop(stream);
    wait_until("its connection is closed", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "at once, not by a time-out"
    );
    *server.behavior.lock().unwrap() = Behavior::Normal;
    assert!(gateway.send_read().contains("200 OK"));
}

#[test]
fn a_reset_after_the_last_byte_may_have_run_and_a_refused_connection_cannot_have() {
    let server = FakeService::server(Behavior::ReadThenReset);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let after = gateway.send(&invocation("GET", "once", 2000, "")).unwrap();
    assert!(
        after.starts_with("HTTP/1.1 502 "),
        "not to be repeated: {after}"
    );
    assert_eq!(server.received_count(), 1, "nor sent again");
    // Nothing listens there: no byte was ever written.
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[free_address()]);
    let before = gateway.send(&invocation("GET", "once", 2000, "")).unwrap();
    assert!(
        before.starts_with("HTTP/1.1 429 ") && before.contains("retry-after: 0."),
        "harmless: {before}"
    );
}

#[test]
fn a_server_that_turns_away_or_breaks_has_another_take_over() {
    for behavior in [
        Behavior::Overloaded,
        Behavior::ReadThenReset,
        Behavior::ServerError,
    ] {
        // Two bad ones: which is tried first is left to chance, and a third delivery is allowed.
        let (bad, worse) = (FakeService::server(behavior), FakeService::server(behavior));
        let good = FakeService::server(Behavior::Normal);
        let (gateway, _discovery, _counter) =
            Gateway::with_servers(&[bad.address, worse.address, good.address]);
        (0..10).for_each(|_| assert!(gateway.send_read().ends_with("served")));
        let received = bad.received_count() + worse.received_count();
        assert!(
            received > 0 && good.received_count() == 10,
            "{received} and {} received",
            good.received_count()
        );
    }
}

#[test]
fn a_silent_server_is_given_up_in_time() {
    let servers = [
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Normal),
    ];
    let (gateway, _discovery, _counter) =
        Gateway::with_servers(&[servers[0].address, servers[1].address]);
    (0..40).for_each(|_| assert!(gateway.send_read().ends_with("served")));
    // The one that is used rather falls silent: its deliveries move to the other within the objective.
    let silent = usize::from(servers[1].received_count() > servers[0].received_count());
    *servers[silent].behavior.lock().unwrap() = Behavior::Silent;
    let before = servers[silent].received_count();
    (0..3).for_each(|_| assert!(gateway.send_read().ends_with("served")));
    assert!(
        servers[silent].received_count() > before,
        "the silent one was tried"
    );
    *servers[1 - silent].behavior.lock().unwrap() = Behavior::Silent;
    let started = Instant::now();
    let answer = gateway.send(&invocation("GET", "once", 700, "")).unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 502 ") && started.elapsed() < Duration::from_millis(700),
        "{answer}"
    );
}

#[test]
fn without_the_counter_invocations_still_pass_and_quotas_still_bind() {
    for behavior in [
        Behavior::Silent,
        Behavior::CountThenReset,
        Behavior::Overloaded,
    ] {
        let server = FakeService::server(Behavior::Normal);
        let (gateway, _discovery, counter) = Gateway::with_servers(&[server.address]);
        *counter.behavior.lock().unwrap() = behavior;
        (0..20).for_each(|_| assert!(gateway.send_read().ends_with("served")));
        assert!(counter.received_count() > 0, "the counter was asked");
        let tiny = invocation("GET", "read", 2000, "")
            .replace("small", "tiny")
            .replace("b4d6", "b4d7");
        let answers: Vec<_> = (0..20).map(|_| gateway.send(&tiny).unwrap()).collect();
        let throttled = answers.iter().filter(|a| a.contains(" 429 ")).count();
        assert!(
            (17..20).contains(&throttled),
            "{throttled} of 20 throttled beyond a burst of 1"
        );
    }
}

#[test]
fn a_counter_that_comes_back_is_used_again() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, counter) = Gateway::with_servers(&[server.address]);
    *counter.behavior.lock().unwrap() = Behavior::Silent;
    (0..5).for_each(|_| assert!(gateway.send_read().ends_with("served")));
    *counter.behavior.lock().unwrap() = Behavior::Normal;
    // A connection that stays silent is taken for dead after a while, and another one opened.
    let before = counter.received_count();
    wait_until("it is asked on a new connection", || {
        let other = invocation("GET", "read", 2000, "")
            .replace("b4d65521", &format!("{:08x}", counter.received_count()));
        gateway.send(&other).unwrap();
        counter.received_count() > before + 3 && counter.connections.load(Ordering::SeqCst) > 1
    });
}

#[test]
fn a_spoilt_answer_of_the_counter_costs_few_other_calls() {
    // On one connection all calls behind it were lost with it, and customers throttled for that.
    let server = FakeService::server(Behavior::Normal);
    let (mut gateway, _discovery, counter) = Gateway::with_servers(&[server.address]);
    *counter.behavior.lock().unwrap() = Behavior::CorruptFirstName;
    let other =
        |n: u64| invocation("GET", "read", 2000, "").replace("b4d65521", &format!("{n:08x}"));
    let mut first = gateway.connect().unwrap();
    first.write_all(other(0).as_bytes()).unwrap();
    wait_until("its call is on its way", || counter.received_count() == 1);
    // A counter not known yet is asked for some of them only.
    (1..120).for_each(|n| assert!(gateway.send(&other(n)).unwrap().ends_with("served")));
    assert!(read_message(&mut first).unwrap().ends_with("served"));
    // Eight at once; the spoilt one may have been opened anew by now.
    let open = counter.connections.load(Ordering::SeqCst);
    assert!(
        (2..=9).contains(&open),
        "{open} connections, of 256 descriptors"
    );
    gateway.signal("-USR1");
    sleep(Duration::from_millis(100));
    gateway.signal("-KILL");
    let stderr = String::from_utf8_lossy(&gateway.wait_for_output().stderr).into_owned();
    let figure = |key: &str| {
        let after = stderr.split(key).nth(1)?;
        after
            .split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u32>()
            .ok()
    };
    let (calls, silent) = (figure("calls=").unwrap(), figure("silent=").unwrap());
    assert!(
        silent > 0 && silent * 8 < calls,
        "{silent} of {calls} silent: {stderr}"
    );
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_gone() {
    let (a, b) = (
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Normal),
    );
    let (gateway, discovery, _counter) = Gateway::with_servers(&[a.address, b.address]);
    for (revision, phases) in [
        (2, ["Terminating", "Ready"]),
        (3, ["Ready", "Gone"]),
        (4, ["Gone", "Ready"]),
    ] {
        let changed = [(0, a.address, phases[0]), (1, b.address, phases[1])];
        discovery
            .list_lines
            .lock()
            .unwrap()
            .push(endpoint_list(revision, false, &changed));
        sleep(Duration::from_millis(100));
        let before = (a.received_count(), b.received_count());
        (0..20).for_each(|_| assert!(gateway.send_read().ends_with("served")));
        let came = (a.received_count() - before.0, b.received_count() - before.1);
        assert_eq!(
            came,
            if phases[0] == "Ready" {
                (20, 0)
            } else {
                (0, 20)
            },
            "while {phases:?}"
        );
    }
    let asked = discovery.received.lock().unwrap()[0].clone();
    assert!(
        asked.starts_with("GET /api/targets?follow=1&since=1 "),
        "{asked}"
    );
}

#[test]
fn a_server_that_moved_gets_nothing_new_at_its_old_address() {
    let (old, new) = (
        FakeService::server(Behavior::Slow),
        FakeService::server(Behavior::Normal),
    );
    let (gateway, discovery, _counter) = Gateway::with_servers(&[old.address]);
    let mut out = gateway.connect().unwrap();
    out.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    wait_until("it is out", || old.received_count() == 1);
    discovery.list_lines.lock().unwrap().push(endpoint_list(
        2,
        false,
        &[(0, new.address, "Ready")],
    ));
    assert!(
        read_message(&mut out).unwrap().ends_with("served"),
        "what was out there is still answered"
    );
    assert!(gateway.send_read().ends_with("served"));
    assert_eq!(
        (old.received_count(), new.received_count()),
        (1, 1),
        "the connection that was in use is not used again"
    );
    wait_until("it is closed", || {
        old.closed_connections.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn a_mute_discovery_leaves_the_known_list_and_is_asked_again() {
    let server = FakeService::server(Behavior::Normal);
    let initial_list = endpoint_list(7, true, &[(0, server.address, "Ready")]);
    let discovery = FakeService::discovery(initial_list.clone(), Behavior::Silent);
    let counter = FakeService::counter(Behavior::Normal);
    let gateway = Gateway::with_discovery(&initial_list, discovery.address, counter.address, 256);
    assert!(gateway.send_read().ends_with("served"));
    // Else the first watch may come when discovery is well again, and stands for good.
    wait_until("the first watch is not answered", || {
        discovery.received_count() == 1
    });
    *discovery.behavior.lock().unwrap() = Behavior::Normal;
    wait_until("another watch is opened", || {
        discovery.received_count() == 2
    });
    assert!(gateway.send_read().ends_with("served"));
}

#[test]
fn a_discovery_with_no_room_is_asked_less_and_less_often_and_nothing_waits_for_it() {
    // Hundreds that start at once and ask ten times a second each keep it from answering any.
    let server = FakeService::server(Behavior::Normal);
    let overloaded_discovery =
        FakeService::start(Behavior::ReadThenReset, |_, stream| reset(stream));
    let counter = FakeService::counter(Behavior::Normal);
    let initial_list = endpoint_list(1, true, &[(0, server.address, "Ready")]);
    let gateway = Gateway::with_discovery(
        &initial_list,
        overloaded_discovery.address,
        counter.address,
        256,
    );
    let before = overloaded_discovery.connections.load(Ordering::SeqCst);
    (0..20).for_each(|_| {
        assert!(
            gateway.send_read().ends_with("served"),
            "from the list it was given"
        )
    });
    sleep(Duration::from_secs(3));
    let asked = overloaded_discovery.connections.load(Ordering::SeqCst) - before;
    assert!(
        (1..=12).contains(&asked),
        "{asked} times in 3 s, about 30 without a pause that grows"
    );
}

#[test]
fn malformed_and_oversized_input_gets_a_plain_4xx_and_the_process_lives() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let good = invocation("GET", "read", 2000, "");
    let bad = [
        good.replace("X-Tariff: small", "X-Tariff: huge"),
        good.replace("Class: read", "Class: dance"),
        good.replace("X-Timeout-Ms: 2000", "X-Timeout-Ms: soon"),
        good.replace("account=", "account=zz"),
        good.replace("Cookie", "Biscuit"),
        good.replace("units=1", "units=-1"),
        good.replace("units=1", "units=NaN"),
        good.replace("units=1", "units=9"),
        good.replace("spread=1", "spread=0"),
        good.replace("spread=1", "spread=2"),
        good.replace("first=0", "first=1"),
        good.replace("account=00000000", "account=00000002"),
        good.replace("account=00000000", "account=+0000000"),
        good.replace("account=00000000", "account="),
        good.replace("Ms: 2000", "Ms: 0"),
        good.replace("Ms: 2000", "Ms: 60001"),
        good.replace("X-Weight", "X-Tariff: small\r\nX-Weight"),
        good.replace("X-Request-ID: 0", "X-Request-ID: \r\nX-Other: 0"),
        good.replace("X-Weight: units=1,spread=1,first=0", "X-Weight: heavy"),
        good.replace("X-Request-ID", "X-Other"),
        good.replace("HTTP/1.1", "HTTP/9"),
        good.replace("\r\n\r\n", "\r\nContent-Length: 99999999999\r\n\r\n"),
        "\u{1}\u{2}\u{3}\r\n\r\n".into(),
        invocation("POST", "write", 1500, &"x".repeat(64 * 1024 + 1)),
        good.replace(
            "\r\n\r\n",
            &format!("\r\nX-Long: {}\r\n\r\n", "x".repeat(128 * 1024)),
        ),
    ];
    for text in &bad {
        // A connection that ends while much is still unread may cut off its answer.
        let answer = gateway.send(text);
        let four = answer.as_ref().is_none_or(|a| a.starts_with("HTTP/1.1 4"))
            && (answer.is_some() || text.len() > 9000);
        assert!(four, "{:?} to {}", answer, &text[..text.len().min(300)]);
    }
    assert!(gateway.send_read().ends_with("served"), "it lives");
    assert_eq!(server.received_count(), 1, "and passed none of them on");
}

#[test]
fn nothing_hides_behind_a_body_with_two_lengths() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let hidden = invocation("GET", "read", 2000, "");
    let body = format!("0\r\n\r\n{hidden}");
    for lengths in [
        "Transfer-Encoding: chunked\r\nContent-Length",
        "Content-Length",
    ] {
        let text = invocation("POST", "write", 1500, &body).replace("Content-Length", lengths);
        let after = format!("\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let text = if lengths.starts_with('C') {
            text.replace(&format!("\r\n\r\n{body}"), &after)
        } else {
            text
        };
        let mut client = gateway.connect().unwrap();
        client.write_all(text.as_bytes()).unwrap();
        let mut response = String::new();
        _ = client.read_to_string(&mut response);
        assert!(
            response.starts_with("HTTP/1.1 400 ") && response.matches("HTTP/1.1").count() == 1,
            "{response}"
        );
    }
    assert_eq!(
        server.received_count(),
        0,
        "neither the one nor the other is passed on"
    );
}

#[test]
fn an_id_in_hand_is_turned_down_and_its_owner_is_answered() {
    let server = FakeService::server(Behavior::Slow);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let text = invocation("GET", "once", 2000, "");
    let mut owner = gateway.connect().unwrap();
    owner.write_all(text.as_bytes()).unwrap();
    wait_until("it is out", || server.received_count() == 1);
    assert!(gateway.send(&text).unwrap().starts_with("HTTP/1.1 409 "));
    assert!(read_message(&mut owner).unwrap().ends_with("served"));
    assert_eq!(server.received_count(), 1, "the copy was not passed on");
    assert!(
        gateway.send(&text).unwrap().ends_with("served"),
        "later the id is as good as any"
    );
}

#[test]
fn more_clients_than_there_is_room_for_are_served_in_turn() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_sockets(&[server.address], 32, SETTINGS);
    // More connections than it keeps: idle ones, half a head, half a body.
    let half = invocation("POST", "write", 1500, &"x".repeat(100));
    let parts = ["", "GET /api HTTP/1.1\r\nHost:", &half[..half.len() - 50]];
    let mut clients: Vec<_> = (0..72).filter_map(|_| gateway.connect()).collect();
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(at, s)| _ = s.write_all(parts[at % 3].as_bytes()));
    (0..10).for_each(|_| assert!(gateway.send_read().ends_with("served")));
}

/// Guards against a process that ends on SIGHUP, that loses what is in hand or keeps to the old addresses.
#[test]
fn sighup_moves_discovery_and_the_counter_and_keeps_all_in_hand() {
    let (first, second) = (
        FakeService::server(Behavior::Slow),
        FakeService::server(Behavior::Normal),
    );
    let (gateway, old_discovery, old_counter) = Gateway::with_servers(&[first.address]);
    let counter = FakeService::counter(Behavior::Normal);
    let discovery = FakeService::discovery(
        endpoint_list(2, false, &[(1, second.address, "Ready")]),
        Behavior::Normal,
    );
    wait_until("the old list is watched", || {
        old_discovery.received_count() == 1
    });
    let mut out = gateway.connect().unwrap();
    out.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    wait_until("it is out", || first.received_count() == 1);
    let text = std::fs::read_to_string(&gateway.config).unwrap();
    let moved = text.replace(
        &old_discovery.address.to_string(),
        &discovery.address.to_string(),
    );
    let moved = moved.replace(
        &old_counter.address.to_string(),
        &counter.address.to_string(),
    );
    // One that is written in part changes nothing.
    std::fs::write(&gateway.config, &moved[..moved.len() / 2]).unwrap();
    gateway.signal("-HUP");
    sleep(Duration::from_millis(100));
    let other =
        |n: u64| invocation("GET", "read", 2000, "").replace("b4d65521", &format!("{n:08x}"));
    assert!(gateway.send(&other(1)).unwrap().ends_with("served"));
    assert_eq!(old_discovery.received_count(), 1, "the old addresses hold");
    std::fs::write(&gateway.config, &moved).unwrap();
    gateway.signal("-HUP");
    wait_until("the list is watched at its new address", || {
        discovery.received_count() == 1
    });
    wait_until("the old watch ends", || {
        old_discovery.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(
        discovery.received.lock().unwrap()[0].contains("since=1 "),
        "it goes on from where it was"
    );
    assert!(gateway.send(&other(2)).unwrap().ends_with("served"));
    assert!(counter.received_count() > 0, "calls go to the new counter");
    let before = old_counter.received_count();
    assert!(gateway.send(&other(3)).unwrap().ends_with("served"));
    assert_eq!(
        old_counter.received_count(),
        before,
        "and none to the old one"
    );
    let open = old_counter.connections.load(Ordering::SeqCst);
    wait_until("the old connections are closed", || {
        old_counter.closed_connections.load(Ordering::SeqCst) == open
    });
    assert!(
        read_message(&mut out).unwrap().ends_with("served"),
        "what was out there is still answered"
    );
    wait_until("the new list's server is used", || {
        gateway.send_read().ends_with("served") && second.received_count() > 0
    });
}

#[test]
fn silence_and_half_messages_are_cut_and_idle_clients_are_not() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let half = invocation("POST", "write", 1500, &"x".repeat(100));
    let started = Instant::now();
    let mut idle = gateway.connect().unwrap();
    idle.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    assert!(read_message(&mut idle).unwrap().ends_with("served"));
    let mut clients: Vec<_> = (0..3).map(|_| gateway.connect().unwrap()).collect();
    let parts = ["", "GET /api HTTP/1.1\r\nHost:", &half[..half.len() - 50]];
    clients
        .iter_mut()
        .zip(parts)
        .for_each(|(c, part)| c.write_all(part.as_bytes()).unwrap());
    for (client, part) in clients.iter_mut().zip(parts) {
        let mut response = Vec::new();
        _ = client.read_to_end(&mut response);
        assert!(
            started.elapsed() < Duration::from_millis(2900),
            "never cut after {part:?}"
        );
    }
    assert!(
        started.elapsed() > Duration::from_millis(1900),
        "each had its two seconds"
    );
    idle.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    assert!(
        read_message(&mut idle).unwrap().ends_with("served"),
        "one between messages stays"
    );
}

#[test]
fn sigterm_answers_what_is_in_hand_and_what_still_comes() {
    let (server, slow) = (
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Silent),
    );
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let (mut kept, mut held) = (gateway.connect().unwrap(), gateway.connect().unwrap());
    kept.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    assert!(read_message(&mut kept).unwrap().ends_with("served"));
    *server.behavior.lock().unwrap() = Behavior::Silent;
    held.write_all(invocation("GET", "once", 1200, "").as_bytes())
        .unwrap();
    wait_until("it is out", || server.received_count() == 2);
    *server.behavior.lock().unwrap() = Behavior::Normal;
    gateway.signal("-TERM");
    sleep(Duration::from_millis(200));
    assert!(gateway
        .send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap()
        .contains(" 503 "));
    assert!(
        gateway.send_read().ends_with("served"),
        "a new connection is still served"
    );
    kept.write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    assert!(
        read_message(&mut kept).unwrap().ends_with("served"),
        "and one that was open"
    );
    assert!(
        read_message(&mut held).unwrap().contains("502"),
        "what is in hand gets its answer"
    );
    let output = gateway.wait_for_output();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{stderr}");
    assert!(
        stderr.contains("taken=4 ")
            && stderr.contains("succeeded=3 ")
            && stderr.contains("errored=1"),
        "{stderr}"
    );
    assert_eq!(slow.received_count(), 0);
}

#[test]
fn counters_are_printed_on_request() {
    let server = FakeService::server(Behavior::Normal);
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    (0..3).for_each(|_| assert!(gateway.send_read().ends_with("served")));
    gateway.signal("-USR1");
    sleep(Duration::from_millis(100));
    assert!(gateway.send_read().ends_with("served"), "it goes on");
    gateway.signal("-KILL");
    let stderr = String::from_utf8_lossy(&gateway.wait_for_output().stderr).into_owned();
    assert!(
        stderr.contains("taken=3 ") && stderr.contains("deliveries sent=3 succeeded=3 "),
        "{stderr}"
    );
}

#[test]
fn a_bad_configuration_gets_one_plain_line() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = format!(
        r#"{{"listen":"{}","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#,
        taken.local_addr().unwrap()
    );
    let bad = [
        ("{".to_owned(), "EOF"),
        (good.replace("\"listen\":\"", "\"listen\":\"x"), "listen"),
        (good.replace("\"1f\"", "\"seed\""), "seed"),
        (good.replace("\"free\"", "\"fre\""), "fre"),
        (
            good.replace("\"dialTimeoutS\":0.25", "\"dialTimeoutS\":1e300"),
            "dialTimeoutS",
        ),
        (
            good.replace(
                "\"seed\":\"1f\"",
                "\"seed\":\"1f\",\"limits\":{\"sockets\":3}",
            ),
            "sockets",
        ),
        (
            good.replace(
                "\"seed\":\"1f\"",
                "\"seed\":\"1f\",\"limits\":{\"memory_mb\":3}",
            ),
            "memory_mb",
        ),
        (good.clone(), "listen"),
    ];
    for (at, (text, word)) in bad.iter().enumerate() {
        let path =
            std::env::temp_dir().join(format!("dunespur-bad-{}-{at}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        let output = start(&path).wait_with_output().unwrap();
        _ = std::fs::remove_file(&path);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.lines().count() == 1 && stderr.contains(word),
            "{word}: {stderr}"
        );
    }
}
