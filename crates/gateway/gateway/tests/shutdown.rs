//! What happens between SIGTERM and the exit, and at the start, over loopback sockets.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Serves what comes with GET and is silent on all else.
fn answers_only_gets() -> Arc<FakeService> {
    FakeService::scripted(|_, message, stream| {
        !message.starts_with("GET") || stream.write_all(ok_response("served").as_bytes()).is_ok()
    })
}

fn send_unanswered_post(gateway: &Gateway, server: &FakeService) -> TcpStream {
    let before = server.received_count();
    let mut stream = gateway.connect().unwrap();
    stream
        .write_all(invocation("POST", "once", 2000, "").as_bytes())
        .unwrap();
    wait_until("it is out", || server.received_count() > before);
    stream
}

#[test]
fn idle_connections_to_servers_are_closed_in_time_while_it_leaves() {
    let server = answers_only_gets();
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let _held = send_unanswered_post(&gateway, &server);
    assert!(gateway.send_read().ends_with("served"));
    let started = Instant::now();
    gateway.signal("-TERM");
    wait_until("the idle one is closed", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(
        started.elapsed() < Duration::from_millis(1400),
        "before its server would, not at the exit"
    );
}

/// From the signal to the close of the listener.
const SIGTERM_TO_CLOSE: Duration = Duration::from_millis(500);
/// How often a gateway is asked to leave until this machine stops one before its close.
const ATTEMPTS: usize = 20;

/// Asks the gateway to leave and does this while it stands still and the time at which it closes passes. False,
/// with nothing done, where the machine was so slow that the gateway may have closed before it stood still.
fn stopped_during_close(gateway: &Gateway, act: impl FnOnce()) -> bool {
    let asked = Instant::now();
    gateway.signal("-TERM");
    let ready = || {
        gateway
            .send("GET /-/ready HTTP/1.1\r\n\r\n")
            .is_some_and(|a| a.contains(" 200 "))
    };
    wait_until("it leaves", || !ready());
    let seen_to_leave = Instant::now();
    let mut in_time = false;
    gateway.while_stopped(|| {
        in_time = asked.elapsed() < SIGTERM_TO_CLOSE;
        if in_time {
            act();
            sleep(
                (SIGTERM_TO_CLOSE + Duration::from_millis(50))
                    .saturating_sub(seen_to_leave.elapsed()),
            );
        }
    });
    in_time
}

#[test]
fn what_the_machine_accepted_before_the_close_is_answered() {
    assert!(
        (0..ATTEMPTS).any(|_| accepted_before_the_close()),
        "no gateway stood still before its close"
    );
}

fn accepted_before_the_close() -> bool {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut idle_client = gateway.idle_client();
    let mut clients = Vec::new();
    let in_time = stopped_during_close(&gateway, || {
        clients.extend((0..5).map(|_| gateway.connect().unwrap()));
        clients.iter_mut().chain([&mut idle_client]).for_each(|c| {
            c.write_all(invocation("GET", "read", 2000, "").as_bytes())
                .unwrap();
        });
    });
    if !in_time {
        drop(idle_client);
        assert!(gateway.wait_for_output().status.success());
        return false;
    }
    for client in clients.iter_mut().chain([&mut idle_client]) {
        let answer = read_message(client).expect("an answer");
        assert!(
            answer.ends_with("served") && answer.contains("connection: close"),
            "{answer}"
        );
    }
    drop((clients, idle_client));
    assert!(gateway.wait_for_output().status.success());
    true
}

#[test]
fn what_comes_after_the_end_was_sent_is_not_sent_on() {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut idle_client = gateway.idle_client();
    gateway.signal("-TERM");
    let mut response = Vec::new();
    idle_client.read_to_end(&mut response).unwrap();
    assert!(response.is_empty());
    _ = idle_client.write_all(invocation("GET", "read", 2000, "").as_bytes());
    assert!(
        !idle_client.read(&mut [0; 64]).is_ok_and(|n| n > 0),
        "nothing is answered after the end"
    );
    drop(idle_client);
    assert!(gateway.wait_for_output().status.success());
    assert_eq!(server.received_count(), 1);
}

/// Clients that go on sending on kept connections while a third of what is sent is never answered: each
/// message gets one answer in its time, or its connection ends without any and it was never sent on.
#[test]
fn clients_that_send_to_the_last_lose_nothing_while_servers_hang() {
    let server = FakeService::scripted(|me, _, stream| {
        me.received_count() % 3 == 0 || stream.write_all(ok_response("served").as_bytes()).is_ok()
    });
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let address = gateway.address;
    let sends = move |at: u64| {
        let (mut answered, mut unanswered) = (0, Vec::new());
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(4)))
            .unwrap();
        loop {
            let text = invocation("GET", ["read", "once"][at as usize % 2], 1000, "");
            let started = Instant::now();
            if stream.write_all(text.as_bytes()).is_err() {
                return (answered, unanswered);
            }
            match read_message(&mut stream) {
                Some(_) => answered += 1,
                None => {
                    unanswered.push(request_id(&text).to_owned());
                    return (answered, unanswered);
                }
            }
            assert!(
                started.elapsed() < Duration::from_millis(1500),
                "answered in its time"
            );
            sleep(Duration::from_millis(7 + at));
        }
    };
    let clients: Vec<_> = (0..12).map(|at| spawn(move || sends(at))).collect();
    sleep(Duration::from_millis(300));
    let started = Instant::now();
    gateway.signal("-TERM");
    let ends: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let output = gateway.wait_for_output();
    assert!(output.status.success());
    assert!(
        started.elapsed() < Duration::from_millis(500 + 1000 + 1200),
        "{:?}",
        started.elapsed()
    );
    let answered: usize = ends.iter().map(|e| e.0).sum();
    let received = server.received.lock().unwrap();
    let lost = |lost: &String| received.iter().any(|m| request_id(m) == lost);
    let lost: Vec<_> = ends.iter().flat_map(|e| &e.1).filter(|l| lost(l)).collect();
    assert!(
        answered > 50 && lost.is_empty(),
        "{answered} answered, sent on and never answered: {lost:?}"
    );
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains(&format!("taken={answered} ")),
        "{answered}: {stderr}"
    );
}

/// A close over bytes that nobody read is a reset, which takes with it what the client has not read yet.
#[test]
fn a_slow_reader_gets_its_whole_answer_though_more_lies_behind_its_message() {
    let body = "a long answer ".repeat(4000);
    let answer = ok_response(&body);
    let server =
        FakeService::scripted(move |_, _, stream| stream.write_all(answer.as_bytes()).is_ok());
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&gateway.address.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client
        .set_read_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    let mut text = invocation("GET", "read", 2000, "");
    text.push_str("POST /api HTTP/1.1\r\nContent-Length: 900000\r\n\r\n");
    text.push_str(&"x".repeat(200_000));
    let mut writer = client.try_clone().unwrap();
    let writes = spawn(move || _ = writer.write_all(text.as_bytes()));
    wait_until("it is sent on", || server.received_count() == 1);
    gateway.signal("-TERM");
    let mut response = Vec::new();
    let mut part = [0; 1024];
    while let Ok(n) = client.read(&mut part) {
        response.extend_from_slice(&part[..n]);
        if n == 0 || response.ends_with(b"errored\n") {
            break;
        }
        sleep(Duration::from_millis(20));
    }
    writes.join().unwrap();
    let response = String::from_utf8_lossy(&response);
    assert!(
        response.contains(&body),
        "{} bytes of {}",
        response.len(),
        body.len()
    );
    drop(client);
    assert!(gateway.wait_for_output().status.success());
    assert_eq!(server.received_count(), 1, "nothing behind it was sent on");
}

#[test]
fn a_message_that_comes_in_while_it_closes_is_answered_or_cut_unsent() {
    assert!(
        (0..ATTEMPTS).any(|_| message_over_the_close()),
        "no gateway stood still before its close"
    );
}

fn message_over_the_close() -> bool {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let (mut quick, mut slow) = (gateway.idle_client(), gateway.idle_client());
    let text = invocation("GET", "read", 2000, "");
    let (first, rest) = text.split_at(text.len() / 2);
    let in_time = stopped_during_close(&gateway, || {
        // Half of it lies there when it closes, the other half is there as well, or never comes.
        quick.write_all(first.as_bytes()).unwrap();
        quick.write_all(rest.as_bytes()).unwrap();
        slow.write_all(first.as_bytes()).unwrap();
    });
    let went_on = Instant::now();
    if !in_time {
        drop((quick, slow));
        assert!(gateway.wait_for_output().status.success());
        return false;
    }
    assert!(read_message(&mut quick).unwrap().ends_with("served"));
    let mut response = Vec::new();
    slow.read_to_end(&mut response).unwrap();
    assert!(response.is_empty(), "an end and no reset");
    drop((quick, slow));
    assert!(gateway.wait_for_output().status.success());
    assert!(
        went_on.elapsed() < Duration::from_millis(1400),
        "half a message is not waited for"
    );
    assert_eq!(server.received_count(), 3);
    true
}

#[test]
fn further_signals_while_it_leaves_change_nothing() {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut held = send_unanswered_post(&gateway, &server);
    for name in ["-TERM", "-HUP", "-INT", "-TERM", "-USR1"] {
        gateway.signal(name);
        sleep(Duration::from_millis(50));
    }
    assert!(gateway.send_read().ends_with("served"));
    assert!(
        read_message(&mut held)
            .unwrap()
            .starts_with("HTTP/1.1 502 "),
        "what is in hand has its time"
    );
    drop(held);
    assert!(gateway.wait_for_output().status.success());
}

/// The configuration comes through a pipe, which holds the process between its start and its first line.
#[test]
fn a_reload_in_the_middle_of_the_start_does_not_end_it() {
    let path = std::env::temp_dir().join(format!("dunespur-pipe-{}", std::process::id()));
    assert!(spawn_alone(Command::new("mkfifo").arg(&path))
        .wait()
        .unwrap()
        .success());
    let server = answers_only_gets();
    let initial_list = endpoint_list(1, true, &[(0, server.address, "Ready")]);
    let (discovery, counter) = (
        FakeService::discovery(initial_list.clone(), Behavior::Normal),
        FakeService::counter(Behavior::Normal),
    );
    let address = free_address();
    let text = format!(
        r#"{{"listen":"{address}","discovery":"{}","counter":"{}","seed":"1f","known":{initial_list},
            "settings":{SETTINGS}}}"#,
        discovery.address, counter.address
    );
    let child = start(&path);
    let gateway = Gateway {
        child: Some(child),
        address,
        config: path.clone(),
    };
    // Opening the pipe waits for the process to open it: from here to the write it reads.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    gateway.signal("-HUP");
    sleep(Duration::from_millis(100));
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    wait_until("it listens", || gateway.connect().is_some());
    // It reads the file again, as it was response.
    std::fs::write(&path, &text).unwrap();
    wait_until("it is ready", || {
        gateway.connect().is_some()
            && gateway
                .send("GET /-/ready HTTP/1.1\r\n\r\n")
                .is_some_and(|a| a.contains(" 200 "))
    });
    assert!(gateway.send_read().ends_with("served"));
}
