//! Deliveries whose connection breaks, comes up late or says too much, over loopback sockets.

mod common;

use common::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Three effects: each with its operation and whether it may be sent again after it may have run.
const EFFECTS: [(&str, &str, bool); 3] = [
    ("GET", "read", true),
    ("POST", "write", true),
    ("POST", "once", false),
];

/// A second copy of an answer comes some milliseconds after it, and would be taken for the answer to the next
/// delivery if that was written by then. Until then the connection is a resting one, on which bytes end it.
#[test]
fn a_connection_rests_between_an_answer_and_the_next_delivery() {
    let gaps: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let received = gaps.clone();
    let server = FakeService::start(Behavior::Normal, move |_, mut stream| {
        let mut answered = None::<Instant>;
        while read_message(&mut stream).is_some() {
            received
                .lock()
                .unwrap()
                .extend(answered.map(|a| a.elapsed()));
            // Before it is on its way: this thread may stand still right after.
            answered = Some(Instant::now());
            _ = stream.write_all(ok_response("served").as_bytes());
        }
    });
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    (0..12).for_each(|_| assert!(gateway.send_read().ends_with("served")));
    let gaps = gaps.lock().unwrap();
    assert!(gaps.len() > 5, "{gaps:?}: a connection is used again");
    assert!(
        gaps.iter().all(|&g| g >= Duration::from_millis(10)),
        "{gaps:?}"
    );
}

#[test]
fn a_connection_that_idled_too_long_is_not_used_again_though_no_sweep_came() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut idle_client = gateway.idle_client();
    gateway.while_stopped(|| {
        // The server would close it after a second; three quarters of that are what it is trusted for.
        sleep(Duration::from_millis(850));
        idle_client
            .write_all(invocation("GET", "read", 2000, "").as_bytes())
            .unwrap();
    });
    assert!(read_message(&mut idle_client).unwrap().ends_with("served"));
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        2,
        "over a new one"
    );
}

#[test]
fn a_connection_that_idled_too_long_is_not_used_between_two_sweeps() {
    // Trusted for six seconds of eight; a sweep comes each second from the start on.
    let settings = SETTINGS.replace("\"keepaliveS\":1.0", "\"keepaliveS\":8.0");
    let server = FakeService::server(Behavior::Normal);
    let started = Instant::now();
    let (gateway, _discovery, _counter) = Gateway::with_settings(&[server.address], &settings);
    let at =
        |seconds: f64| sleep(Duration::from_secs_f64(seconds).saturating_sub(started.elapsed()));
    at(0.2);
    assert!(gateway.send_read().ends_with("served"));
    // Six seconds and some after it; the last sweep was a moment too early for it, the next one is to come.
    at(6.6);
    assert_eq!(
        server.closed_connections.load(Ordering::SeqCst),
        0,
        "no sweep has closed it"
    );
    assert!(gateway.send_read().ends_with("served"));
    assert_eq!(
        server.connections.load(Ordering::SeqCst),
        2,
        "over a new one"
    );
}

#[test]
fn a_window_for_repeats_that_ends_while_the_connection_comes_up_is_heeded() {
    let (listener, backlog_filler) = full_listener();
    let address = listener.local_addr().unwrap();
    let settings = SETTINGS
        .replace("\"dialTimeoutS\":0.25", "\"dialTimeoutS\":3")
        .replace(
            "\"goalTimeS\":0.5,\"deadlineS\":1.5",
            "\"goalTimeS\":3.0,\"deadlineS\":4.0",
        )
        .replace("\"windowS\":2.5", "\"windowS\":0.6");
    assert!(settings.contains("0.6}"));
    // The first message is reset once the listener is full again; it is full for longer than the window
    // lasts, then the dial comes up and what comes over it is answered.
    let served = spawn(move || {
        drop(listener.accept().unwrap());
        drop(backlog_filler);
        let (mut first, _) = listener.accept().unwrap();
        assert!(read_message(&mut first).is_some());
        let backlog_filler = TcpStream::connect(address).unwrap();
        reset_on_close(&first);
        drop(first);
        sleep(Duration::from_millis(700));
        drop((listener.accept().unwrap(), backlog_filler));
        let (mut late, _) = listener.accept().unwrap();
        let came = read_message(&mut late).is_some();
        _ = late.write_all(ok_response("served").as_bytes());
        came
    });
    let (gateway, _discovery, _counter) = Gateway::with_settings(&[address], &settings);
    let answer = gateway
        .send(&invocation("POST", "write", 4000, ""))
        .unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 502 "),
        "it may have run: {answer}"
    );
    drop(gateway);
    assert!(
        !served.join().unwrap(),
        "it is not sent again once the window is over"
    );
}

#[test]
fn a_server_that_vanishes_in_its_answer_is_followed_only_where_that_is_harmless() {
    let begun = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser";
    let parts = [
        begun,
        &begun[..30],
        "HTTP/1.1 200 OK\r\n\r\nserved",
        "HTTP/1.1 200 OK\r\n\r\n",
    ];
    for (part, (method, operation, again)) in parts
        .iter()
        .flat_map(|p| EFFECTS.map(|e| (p.to_string(), e)))
    {
        let server = FakeService::scripted(move |me, _, stream| {
            if me.received_count() > 1 {
                return stream.write_all(ok_response("served").as_bytes()).is_ok();
            }
            stream.write_all(part.as_bytes()).unwrap();
            // The part is on its way before the reset, which would overtake it here and there.
            sleep(Duration::from_millis(30));
            reset_on_close(stream);
            false
        });
        let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
        let answer = gateway
            .send(&invocation(method, operation, 2000, ""))
            .unwrap();
        if again {
            assert!(
                answer.ends_with("served") && server.received_count() == 2,
                "{operation}: {answer}"
            );
        } else {
            assert!(
                answer.starts_with("HTTP/1.1 502 ") && server.received_count() == 1,
                "{operation}: {answer}"
            );
        }
    }
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
    let server = FakeService::scripted(|_, _, stream| {
        _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nser");
        sleep(Duration::from_millis(30));
        _ = stream.write_all(b"ved");
        _ = stream.shutdown(Shutdown::Write);
        true
    });
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    for (method, operation, _) in EFFECTS {
        let answer = gateway
            .send(&invocation(method, operation, 2000, ""))
            .unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("served"),
            "{answer}"
        );
    }
    assert_eq!(server.received_count(), 3);
}

#[test]
fn an_answer_that_never_ends_costs_its_time_and_no_more() {
    let bodies = [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
        "HTTP/1.1 2",
    ];
    for begin in bodies {
        let server = FakeService::scripted(move |me, _, stream| {
            if me.behavior() == Behavior::Normal {
                return stream.write_all(ok_response("served").as_bytes()).is_ok();
            }
            _ = stream.write_all(begin.as_bytes());
            while stream.write_all(b"0").is_ok() {
                sleep(Duration::from_millis(1));
            }
            false
        });
        let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
        *server.behavior.lock().unwrap() = Behavior::Slow;
        let started = Instant::now();
        let answer = gateway.send(&invocation("POST", "once", 600, "")).unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 502 ") && started.elapsed() < Duration::from_millis(700)
        );
        assert_eq!(server.received_count(), 1);
        wait_until("its connection is closed", || {
            server.closed_connections.load(Ordering::SeqCst) == 1
        });
        *server.behavior.lock().unwrap() = Behavior::Normal;
        wait_until("it is used again", || {
            gateway.send_read().ends_with("served")
        });
    }
}

#[test]
fn half_a_line_on_a_resting_connection_ends_that_connection() {
    let server = FakeService::scripted(|me, _, stream| {
        let first = me.received_count() == 1;
        _ = stream.write_all(ok_response("served").as_bytes());
        if first {
            sleep(Duration::from_millis(30));
            _ = stream.write_all(b"HTTP/1.1 200");
        }
        true
    });
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    assert!(gateway.send_read().ends_with("served"));
    wait_until("it is closed", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(gateway.send_read().ends_with("served"));
    assert_eq!(
        (
            server.received_count(),
            server.connections.load(Ordering::SeqCst)
        ),
        (2, 2)
    );
}

#[test]
fn a_connection_that_ends_in_the_moment_of_its_use_costs_no_attempt() {
    let server = FakeService::scripted(|me, _, stream| {
        _ = stream.write_all(ok_response("served").as_bytes());
        if me.received_count() == 1 {
            wait_until("it stands still", || me.behavior() == Behavior::Slow);
        }
        me.received_count() > 1
    });
    let settings = SETTINGS.replace("\"keepaliveS\":1.0", "\"keepaliveS\":10.0");
    let (mut gateway, _discovery, _counter) = Gateway::with_settings(&[server.address], &settings);
    let mut idle_client = gateway.idle_client();
    gateway.while_stopped(|| {
        *server.behavior.lock().unwrap() = Behavior::Slow;
        wait_until("the connection has ended", || {
            server.closed_connections.load(Ordering::SeqCst) == 1
        });
        // A busy machine passes the end on a little later.
        sleep(Duration::from_millis(50));
        idle_client
            .write_all(invocation("POST", "once", 2000, "").as_bytes())
            .unwrap();
    });
    assert!(read_message(&mut idle_client).unwrap().ends_with("served"));
    drop(idle_client);
    gateway.signal("-TERM");
    let stderr = String::from_utf8_lossy(&gateway.wait_for_output().stderr).into_owned();
    assert!(
        stderr.contains("deliveries sent=2 succeeded=2 "),
        "{stderr}"
    );
}

#[test]
fn bytes_that_came_while_it_stood_still_spoil_no_answer() {
    // Half a line and the next message reach it in the same moment.
    let server: Arc<FakeService> = FakeService::scripted(|me, _, stream| {
        _ = stream.write_all(ok_response("served").as_bytes());
        if me.received_count() == 1 {
            wait_until("it stands still", || me.behavior() == Behavior::Slow);
            _ = stream.write_all(ok_response("spoilt").as_bytes());
            *me.behavior.lock().unwrap() = Behavior::Normal;
        }
        true
    });
    let settings = SETTINGS.replace("\"keepaliveS\":1.0", "\"keepaliveS\":10.0");
    let (gateway, _discovery, _counter) = Gateway::with_settings(&[server.address], &settings);
    let mut idle_client = gateway.idle_client();
    gateway.while_stopped(|| {
        *server.behavior.lock().unwrap() = Behavior::Slow;
        wait_until("the bytes are there", || {
            server.behavior() == Behavior::Normal
        });
        idle_client
            .write_all(invocation("GET", "read", 2000, "").as_bytes())
            .unwrap();
    });
    let answer = read_message(&mut idle_client).unwrap();
    assert!(answer.ends_with("served"), "{answer}");
}
