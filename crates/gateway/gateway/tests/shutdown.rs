//! Shutdown after SIGTERM, and signals during the start, over loopback sockets.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A server that responds to GET requests and never to others.
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
    wait_until("the attempt has arrived", || {
        server.received_count() > before
    });
    stream
}

#[test]
fn idle_server_connections_are_closed_in_time_during_the_shutdown() {
    let server = answers_only_gets();
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let _unanswered = send_unanswered_post(&gateway, &server);
    assert!(gateway.send_read().ends_with("served"));
    let started_at = Instant::now();
    gateway.signal("-TERM");
    wait_until("the idle connection is closed", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    assert!(
        started_at.elapsed() < Duration::from_millis(1400),
        "not closed until the exit"
    );
}

/// Time from SIGTERM to the close of the listener.
const SIGTERM_TO_CLOSE: Duration = Duration::from_millis(500);
/// Number of gateways started until one is stopped before its close; slow machines need several.
const ATTEMPTS: usize = 20;

/// Sends SIGTERM, then runs `action` while the gateway is stopped and the time of its close passes. Returns false
/// without running it if the gateway may have closed before it was stopped.
fn stopped_during_close(gateway: &Gateway, action: impl FnOnce()) -> bool {
    let signaled_at = Instant::now();
    gateway.signal("-TERM");
    let ready = || {
        gateway
            .send("GET /-/ready HTTP/1.1\r\n\r\n")
            .is_some_and(|a| a.contains(" 200 "))
    };
    wait_until("the gateway shuts down", || !ready());
    let shutdown_seen_at = Instant::now();
    let mut in_time = false;
    gateway.while_stopped(|| {
        in_time = signaled_at.elapsed() < SIGTERM_TO_CLOSE;
        if in_time {
            action();
            sleep(
                (SIGTERM_TO_CLOSE + Duration::from_millis(50))
                    .saturating_sub(shutdown_seen_at.elapsed()),
            );
        }
    });
    in_time
}

#[test]
fn connections_accepted_by_the_kernel_before_the_close_are_answered() {
    assert!(
        (0..ATTEMPTS).any(|_| accepted_before_the_close()),
        "no gateway could be stopped before its close"
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
        let response = read_message(client).expect("no response");
        assert!(
            response.ends_with("served") && response.contains("connection: close"),
            "{response}"
        );
    }
    drop((clients, idle_client));
    assert!(gateway.wait_for_output().status.success());
    true
}

#[test]
fn requests_after_the_end_of_the_connection_are_not_forwarded() {
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
        "a response after the end of the connection"
    );
    drop(idle_client);
    assert!(gateway.wait_for_output().status.success());
    assert_eq!(server.received_count(), 1);
}

/// Clients keep sending on persistent connections while a third of the requests is never answered. Each request must
/// get a response in time, or its connection ends without one and the request was never forwarded.
#[test]
fn clients_that_send_until_the_end_lose_no_request_while_servers_hang() {
    let server = FakeService::scripted(|service, _, stream| {
        service.received_count() % 3 == 0
            || stream.write_all(ok_response("served").as_bytes()).is_ok()
    });
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let address = gateway.address;
    let send_until_closed = move |at: u64| {
        let (mut answered, mut unanswered) = (0, Vec::new());
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(4)))
            .unwrap();
        loop {
            let text = invocation("GET", ["read", "once"][at as usize % 2], 1000, "");
            let started_at = Instant::now();
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
                started_at.elapsed() < Duration::from_millis(1500),
                "the response came too late"
            );
            sleep(Duration::from_millis(7 + at));
        }
    };
    let clients: Vec<_> = (0..12)
        .map(|at| spawn(move || send_until_closed(at)))
        .collect();
    sleep(Duration::from_millis(300));
    let started_at = Instant::now();
    gateway.signal("-TERM");
    let ends: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let output = gateway.wait_for_output();
    assert!(output.status.success());
    assert!(
        started_at.elapsed() < Duration::from_millis(500 + 1000 + 1200),
        "{:?}",
        started_at.elapsed()
    );
    let answered: usize = ends.iter().map(|e| e.0).sum();
    let received = server.received.lock().unwrap();
    let forwarded = |lost: &String| received.iter().any(|m| request_id(m) == lost);
    let lost: Vec<_> = ends
        .iter()
        .flat_map(|e| &e.1)
        .filter(|id| forwarded(id))
        .collect();
    assert!(
        answered > 50 && lost.is_empty(),
        "{answered} answered; forwarded but never answered: {lost:?}"
    );
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains(&format!("taken={answered} ")),
        "{answered}: {stderr}"
    );
}

/// Closing a socket with unread input resets the connection and destroys the part of the response that the client has
/// not read.
#[test]
fn a_slow_reader_gets_its_whole_response_despite_unread_input() {
    let body = "a long answer ".repeat(4000);
    let response = ok_response(&body);
    let server =
        FakeService::scripted(move |_, _, stream| stream.write_all(response.as_bytes()).is_ok());
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
    wait_until("the request is forwarded", || server.received_count() == 1);
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
        "response cut off: {} bytes received, {} expected",
        response.len(),
        body.len()
    );
    drop(client);
    assert!(gateway.wait_for_output().status.success());
    assert_eq!(server.received_count(), 1, "unread input was forwarded");
}

#[test]
fn a_message_arriving_during_the_close_is_answered_or_not_forwarded() {
    assert!(
        (0..ATTEMPTS).any(|_| message_over_the_close()),
        "no gateway could be stopped before its close"
    );
}

fn message_over_the_close() -> bool {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let (mut quick, mut slow) = (gateway.idle_client(), gateway.idle_client());
    let text = invocation("GET", "read", 2000, "");
    let (first, rest) = text.split_at(text.len() / 2);
    let in_time = stopped_during_close(&gateway, || {
        // At the close, the first half has arrived; the second half has arrived too, or never does.
        quick.write_all(first.as_bytes()).unwrap();
        quick.write_all(rest.as_bytes()).unwrap();
        slow.write_all(first.as_bytes()).unwrap();
    });
    let resumed_at = Instant::now();
    if !in_time {
        drop((quick, slow));
        assert!(gateway.wait_for_output().status.success());
        return false;
    }
    assert!(read_message(&mut quick).unwrap().ends_with("served"));
    let mut response = Vec::new();
    slow.read_to_end(&mut response).unwrap();
    assert!(response.is_empty(), "the connection ended with data");
    drop((quick, slow));
    assert!(gateway.wait_for_output().status.success());
    assert!(
        resumed_at.elapsed() < Duration::from_millis(1400),
        "the gateway waited for the rest of a message"
    );
    assert_eq!(server.received_count(), 3);
    true
}

#[test]
fn further_signals_during_the_shutdown_have_no_effect() {
    let server = answers_only_gets();
    let (mut gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut unanswered = send_unanswered_post(&gateway, &server);
    for name in ["-TERM", "-HUP", "-INT", "-TERM", "-USR1"] {
        gateway.signal(name);
        sleep(Duration::from_millis(50));
    }
    assert!(gateway.send_read().ends_with("served"));
    assert!(
        read_message(&mut unanswered)
            .unwrap()
            .starts_with("HTTP/1.1 502 "),
        "an invocation in flight must keep its deadline"
    );
    drop(unanswered);
    assert!(gateway.wait_for_output().status.success());
}

/// The configuration comes through a named pipe, which blocks the process between its start and its first read.
#[test]
fn sighup_during_the_start_does_not_end_the_process() {
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
    // Opening the pipe blocks until the process opens it; it then blocks in the read until the write below.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    gateway.signal("-HUP");
    sleep(Duration::from_millis(100));
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    wait_until("the gateway listens", || gateway.connect().is_some());
    // For the reload that the SIGHUP requested.
    std::fs::write(&path, &text).unwrap();
    wait_until("the gateway is ready", || {
        gateway.connect().is_some()
            && gateway
                .send("GET /-/ready HTTP/1.1\r\n\r\n")
                .is_some_and(|a| a.contains(" 200 "))
    });
    assert!(gateway.send_read().ends_with("served"));
}
