//! Clients that leave, flood or fill the descriptors, over loopback sockets.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn sent(gateway: &Gateway, operation: &str, timeout_ms: u32) -> TcpStream {
    let mut stream = gateway.connect().unwrap();
    stream
        .write_all(invocation("GET", operation, timeout_ms, "").as_bytes())
        .unwrap();
    stream
}

#[test]
fn a_client_that_sent_more_and_left_is_seen_to_have_gone() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    // A few bytes, a whole message more, more than any message may hold, much more.
    let whole = invocation("GET", "read", 2000, "");
    let floods = [300_000, 5_000_000].map(|bytes| "x".repeat(bytes));
    for (at, more) in ["GET", &whole, &floods[0], &floods[1]].iter().enumerate() {
        let mut stream = sent(&gateway, "once", 2000);
        wait_until("the delivery has come", || {
            server.received_count() == at + 1
        });
        stream.write_all(more.as_bytes()).unwrap();
        // What came has been read by then, so that only the end is new.
        sleep(Duration::from_millis(50));
        let left = Instant::now();
        drop(stream);
        wait_until("its connection is closed", || {
            server.closed_connections.load(Ordering::SeqCst) == at + 1
        });
        assert!(
            left.elapsed() < Duration::from_millis(500),
            "at once, not by a time-out"
        );
        assert_eq!(
            server.received_count(),
            at + 1,
            "nothing that came behind it is sent on"
        );
    }
}

#[test]
fn who_floods_behind_a_message_without_end_has_gone() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut stream = sent(&gateway, "once", 8000);
    wait_until("the delivery has come", || server.received_count() == 1);
    let writes = (0..2000)
        .take_while(|_| stream.write_all(&[b'x'; 65536]).is_ok())
        .count();
    assert!(writes < 2000, "130 MB are not read");
    wait_until("the delivery is given up", || {
        server.closed_connections.load(Ordering::SeqCst) == 1
    });
    *server.behavior.lock().unwrap() = Behavior::Normal;
    assert!(gateway.send_read().ends_with("served"));
}

#[test]
fn a_message_that_becomes_whole_as_it_is_to_be_cut_is_answered_and_so_is_the_next() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut client = gateway.idle_client();
    let text = invocation("GET", "read", 2000, "");
    client.write_all(&text.as_bytes()[..40]).unwrap();
    sleep(Duration::from_millis(1700));
    // Its two seconds pass, the rest of it comes, and a sweep is due: all in one moment.
    gateway.while_stopped(|| {
        client.write_all(&text.as_bytes()[40..]).unwrap();
        sleep(Duration::from_millis(700));
    });
    assert!(read_message(&mut client)
        .expect("an answer")
        .ends_with("served"));
    client
        .write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    assert!(read_message(&mut client)
        .expect("an answer")
        .ends_with("served"));
}

#[test]
fn a_client_that_resets_or_ends_its_sending_has_gone() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    for at in 0..2 {
        let stream = sent(&gateway, "once", 2000);
        wait_until("the delivery has come", || {
            server.received_count() == at + 1
        });
        let left = Instant::now();
        if at == 0 {
            reset_on_close(&stream);
            drop(stream);
        } else {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        wait_until("its connection is closed", || {
            server.closed_connections.load(Ordering::SeqCst) == at + 1
        });
        assert!(
            left.elapsed() < Duration::from_millis(500),
            "at once, not by a time-out"
        );
    }
}

#[test]
fn one_that_left_before_its_message_was_looked_at_is_not_sent_on() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    // A new connection to the server and one that is there already.
    for received in [0, 1] {
        let mut idle_client = if received > 0 {
            gateway.idle_client()
        } else {
            gateway.connect().unwrap()
        };
        gateway.while_stopped(|| {
            idle_client
                .write_all(invocation("GET", "read", 2000, "").as_bytes())
                .unwrap();
            drop(idle_client);
            drop(sent(&gateway, "read", 2000));
        });
        sleep(Duration::from_millis(300));
        assert_eq!(
            server.received_count(),
            received,
            "of those whose clients have gone none is sent on"
        );
    }
    assert!(gateway.send_read().ends_with("served"));
}

#[test]
fn none_is_sent_on_whose_client_left_while_the_counter_was_asked() {
    let (server, slow) = (
        FakeService::server(Behavior::Normal),
        SETTINGS.replace("0.01,", "0.5,"),
    );
    let (gateway, _discovery, counter) = Gateway::with_settings(&[server.address], &slow);
    *counter.behavior.lock().unwrap() = Behavior::Silent;
    let stream = sent(&gateway, "read", 2000);
    wait_until("the counter is asked", || counter.received_count() == 1);
    drop(stream);
    sleep(Duration::from_millis(900));
    assert_eq!(
        server.received_count(),
        0,
        "its client had gone when the call's time was up"
    );
}

#[test]
fn none_is_sent_on_whose_client_left_while_the_connection_came_up() {
    let (listener, backlog_filler) = full_listener();
    let address = listener.local_addr().unwrap();
    let (gateway, _discovery, counter) = Gateway::with_settings(
        &[address],
        &SETTINGS.replace("\"dialTimeoutS\":0.25", "\"dialTimeoutS\":3"),
    );
    let stream = sent(&gateway, "once", 2000);
    wait_until("its units are leased", || counter.received_count() > 0);
    sleep(Duration::from_millis(100));
    drop(stream);
    let server = FakeService::on(listener, Behavior::Normal, |me, mut stream| {
        while let Some(message) = read_message(&mut stream) {
            me.received.lock().unwrap().push(message);
        }
    });
    drop(backlog_filler);
    sleep(Duration::from_millis(1500));
    assert_eq!(
        server.received_count(),
        0,
        "the connection that came up late carried nothing"
    );
}

#[test]
fn no_further_delivery_follows_a_reset_when_the_client_has_gone_by_then() {
    // The first message is held until the test resets it, all others are answered.
    let (reset_sender, reset_receiver) = std::sync::mpsc::channel::<()>();
    let reset_receiver = std::sync::Mutex::new(reset_receiver);
    let server = FakeService::scripted(move |me, _, stream| {
        if me.received_count() == 1 {
            reset_receiver.lock().unwrap().recv().unwrap();
            reset_on_close(stream);
            return false;
        }
        stream.write_all(ok_response("served").as_bytes()).is_ok()
    });
    let settings = SETTINGS.replace("\"keepaliveS\":1.0", "\"keepaliveS\":10.0");
    let (gateway, _discovery, _counter) = Gateway::with_settings(&[server.address], &settings);
    let stream = sent(&gateway, "read", 2000);
    wait_until("the delivery has come", || server.received_count() == 1);
    // Another connection stands ready, so that nothing delays the next delivery.
    assert!(gateway.send_read().ends_with("served"));
    gateway.while_stopped(|| {
        reset_sender.send(()).unwrap();
        wait_until("it is reset", || {
            server.closed_connections.load(Ordering::SeqCst) == 1
        });
        drop(stream);
    });
    sleep(Duration::from_millis(400));
    assert_eq!(
        server.received_count(),
        2,
        "the one that had gone was not sent again"
    );
}

#[test]
fn hundreds_that_leave_at_once_leave_nothing_behind() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_sockets(&[server.address], 1024, SETTINGS);
    let streams: Vec<_> = (0..300).map(|_| sent(&gateway, "read", 4000)).collect();
    wait_until("some are out", || server.received_count() > 0);
    sleep(Duration::from_millis(100));
    drop(streams);
    sleep(Duration::from_millis(100));
    let (received, open) = (
        server.received_count(),
        server.connections.load(Ordering::SeqCst),
    );
    wait_until("all deliveries end", || {
        server.closed_connections.load(Ordering::SeqCst) == open
    });
    sleep(Duration::from_millis(700));
    assert_eq!(
        server.received_count(),
        received,
        "nothing is sent for who has gone"
    );
    *server.behavior.lock().unwrap() = Behavior::Normal;
    assert!(gateway.send_read().ends_with("served"));
}

#[test]
fn a_flood_without_a_message_ends_its_connection_only() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let mut flood = gateway.connect().unwrap();
    let started = Instant::now();
    let writes = (0..200)
        .take_while(|_| flood.write_all(&[b'x'; 65536]).is_ok())
        .count();
    assert!(
        writes < 200 || flood.read(&mut [0; 16]).is_ok_and(|n| n < 16),
        "13 MB are not read"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
    assert!(gateway.send_read().ends_with("served"));
    assert_eq!(server.received_count(), 1);
}

#[test]
fn descriptors_full_of_idle_clients_leave_room_for_discovery_servers_and_the_counter() {
    let (kept, drains) = (
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Normal),
    );
    let initial_list = endpoint_list(
        1,
        true,
        &[(0, kept.address, "Ready"), (1, drains.address, "Ready")],
    );
    let (discovery, counter) = (
        FakeService::discovery(initial_list.clone(), Behavior::Silent),
        FakeService::counter(Behavior::Normal),
    );
    let mut gateway =
        Gateway::with_discovery(&initial_list, discovery.address, counter.address, 64);
    let mut clients = Vec::new();
    // Twice as many as there are descriptors, each rests after an answer or before its first message.
    for at in 0..64 {
        clients.push(gateway.idle_client());
        clients.extend(gateway.connect().filter(|_| at % 2 == 0));
    }
    assert!(
        gateway.send_read().ends_with("served"),
        "while discovery is silent"
    );
    discovery.list_lines.lock().unwrap()[0] =
        endpoint_list(2, false, &[(1, drains.address, "Terminating")]);
    let asked = discovery.received_count();
    *discovery.behavior.lock().unwrap() = Behavior::Normal;
    wait_until("it is watched again", || discovery.received_count() > asked);
    sleep(Duration::from_millis(100));
    let (before, calls) = (drains.received_count(), counter.received_count());
    let other =
        |n: u64| invocation("GET", "read", 2000, "").replace("b4d65521", &format!("{n:08x}"));
    (0..20).for_each(|n| assert!(gateway.send(&other(n)).unwrap().ends_with("served")));
    assert_eq!(drains.received_count(), before, "the drain is heeded");
    assert!(counter.received_count() > calls, "the counter is asked");
    gateway.signal("-KILL");
    let stderr = String::from_utf8_lossy(&gateway.wait_for_output().stderr).into_owned();
    assert!(!stderr.contains("Too many open files"), "{stderr}");
    drop(clients);
}

#[test]
fn a_connection_that_makes_room_ends_in_order_and_takes_nothing_more() {
    let server = FakeService::server(Behavior::Normal);
    let (gateway, _discovery, _counter) = Gateway::with_sockets(&[server.address], 32, SETTINGS);
    let mut clients: Vec<_> = (0..60).map(|_| gateway.idle_client()).collect();
    let mut ended = 0;
    for client in &mut clients[..30] {
        client
            .set_read_timeout(Some(Duration::from_secs(2)))
            .unwrap();
        let mut response = Vec::new();
        assert!(
            client.read_to_end(&mut response).is_ok() && response.is_empty(),
            "an end, no reset"
        );
        let before = server.received_count();
        _ = client.write_all(invocation("GET", "read", 2000, "").as_bytes());
        assert!(
            !client.read(&mut [0; 64]).is_ok_and(|n| n > 0),
            "nothing is answered after the end"
        );
        assert_eq!(server.received_count(), before, "nor sent on");
        ended += 1;
    }
    assert_eq!(ended, 30, "the oldest went first");
    assert!(gateway.send_read().ends_with("served"));
}

#[test]
fn large_bodies_of_many_clients_stay_within_the_memory_there_is() {
    let server = FakeService::server(Behavior::Silent);
    let (gateway, _discovery, _counter) = Gateway::with_sockets(&[server.address], 1024, SETTINGS);
    let body = "x".repeat(60_000);
    let mut clients = Vec::new();
    let mut refused = 0;
    for at in 0..500 {
        let text = invocation("POST", "write", 1500, &body);
        let mut client = gateway.connect().unwrap();
        // Half of them send all, half of them never send the end.
        _ = client.write_all(&text.as_bytes()[..text.len() - at % 2]);
        clients.push(client);
    }
    for client in &mut clients {
        let answer = read_message(client).unwrap_or_default();
        refused += usize::from(answer.starts_with("HTTP/1.1 503 "));
    }
    let status = std::fs::read_to_string(format!(
        "/proc/{}/status",
        gateway.child.as_ref().unwrap().id()
    ));
    let most: usize = status
        .unwrap()
        .lines()
        .find_map(|l| {
            l.strip_prefix("VmHWM:")?
                .trim()
                .strip_suffix(" kB")?
                .parse()
                .ok()
        })
        .unwrap();
    assert!(most < 32 * 1024, "{most} kB of 32 MB");
    assert!(refused > 100, "{refused} were response to come again");
    drop(clients);
    *server.behavior.lock().unwrap() = Behavior::Normal;
    wait_until("there is room again", || {
        gateway
            .send(&invocation("POST", "write", 1500, &body))
            .is_some_and(|a| a.ends_with("served"))
    });
}
