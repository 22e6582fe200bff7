//! Discovery watches that stop sending, break, trickle, are refused or move to another address, over loopback
//! sockets.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time within which a change known to discovery must be applied.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Two servers, of which the second will drain, and a gateway that knows both initially.
struct DrainSetup {
    stays: Arc<FakeService>,
    draining: Arc<FakeService>,
    gateway: Gateway,
    _counter: Arc<FakeService>,
}

impl DrainSetup {
    fn new(
        discovery: impl FnOnce(&FakeService, &FakeService) -> Arc<FakeService>,
    ) -> (DrainSetup, Arc<FakeService>) {
        Self::with_settings(SETTINGS, discovery)
    }

    fn with_settings(
        settings: &str,
        discovery: impl FnOnce(&FakeService, &FakeService) -> Arc<FakeService>,
    ) -> (DrainSetup, Arc<FakeService>) {
        let respond = |_: &FakeService, _: &str, stream: &mut TcpStream| {
            sleep(Duration::from_millis(15));
            stream.write_all(ok_response("served").as_bytes()).is_ok()
        };
        let (stays, draining) = (
            FakeService::scripted(respond),
            FakeService::scripted(respond),
        );
        let initial_list = endpoint_list(
            1,
            true,
            &[(0, stays.address, "Ready"), (1, draining.address, "Ready")],
        );
        let (discovery, counter) = (
            discovery(&stays, &draining),
            FakeService::counter(Behavior::Normal),
        );
        let gateway = Gateway::start_ready(
            &initial_list,
            discovery.address,
            counter.address,
            256,
            settings,
        );
        (
            DrainSetup {
                stays,
                draining,
                gateway,
                _counter: counter,
            },
            discovery,
        )
    }

    /// Whether the drain is applied: of several simultaneous requests none goes to the draining server, which would
    /// otherwise get half of them.
    fn drain_applied(&self) -> bool {
        let before = (self.stays.received_count(), self.draining.received_count());
        let mut clients: Vec<_> = (0..4).map(|_| self.gateway.connect().unwrap()).collect();
        for client in &mut clients {
            client
                .write_all(invocation("GET", "read", 2000, "").as_bytes())
                .unwrap();
        }
        clients
            .iter_mut()
            .for_each(|c| assert!(read_message(c).unwrap().ends_with("served")));
        assert!(self.stays.received_count() > before.0);
        self.draining.received_count() == before.1
    }
}

fn drain_update(draining: &FakeService) -> String {
    endpoint_list(2, false, &[(1, draining.address, "Terminating")])
}

/// A discovery whose first watch fails as the test says and whose later watches send the drain.
fn failing_first_watch(
    update: String,
    first: impl Fn(&mut dyn Write) + Send + Sync + 'static,
) -> Arc<FakeService> {
    FakeService::start(Behavior::Normal, move |service, mut stream| {
        let Some(request) = read_message(&mut stream) else {
            return;
        };
        service.received.lock().unwrap().push(request);
        if service.received_count() == 1 {
            return first(&mut stream);
        }
        _ = stream.write_all(RESPONSE_HEAD);
        _ = stream.write_all(&chunk(&format!("{update}\n")));
        while stream.write_all(&chunk("\n")).is_ok() {
            sleep(Duration::from_millis(200));
        }
    })
}

#[test]
fn a_watch_that_fails_right_before_a_drain_is_reopened_in_time() {
    type FirstWatch = fn(&mut dyn Write);
    let failures: [(&str, FirstWatch); 7] = [
        ("silent from its first byte", |_| {
            sleep(Duration::from_secs(20))
        }),
        ("silent after a line", |stream| {
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk("\n")].concat());
            sleep(Duration::from_secs(20));
        }),
        ("a head that never ends", |stream| {
            _ = stream.write_all(b"HTTP/1.1 200 OK\r\n");
            while stream.write_all(b"A: b\r\n").is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("bytes that never make a line", |stream| {
            _ = stream.write_all(RESPONSE_HEAD);
            while stream.write_all(&chunk(" ")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("a list that never ends", |stream| {
            _ = stream.write_all(RESPONSE_HEAD);
            while stream.write_all(&chunk("{\"revision\":[[\n")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("invalid JSON", |stream| {
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk("{\"revision\":oh}\n")].concat())
        }),
        ("ended", |_| {}),
    ];
    let cases = failures.map(|(what, fail)| {
        std::thread::spawn(move || {
            let (setup, discovery) =
                DrainSetup::new(|_, draining| failing_first_watch(drain_update(draining), fail));
            wait_until("the first watch", || discovery.received_count() > 0);
            let started_at = Instant::now();
            wait_until(what, || discovery.received_count() > 1);
            wait_until(what, || setup.drain_applied());
            assert!(
                started_at.elapsed() < CHANGE_DEADLINE - Duration::from_millis(700),
                "{what}: {:?}",
                started_at.elapsed()
            );
        })
    });
    cases.into_iter().for_each(|c| c.join().unwrap());
}

#[test]
fn a_watch_on_request_is_reopened_in_time_despite_long_objectives() {
    let settings = SETTINGS
        .replace("\"pushed\"", "\"on_request\"")
        .replace(
            "\"goalTimeS\":0.6,\"deadlineS\":2.0",
            "\"goalTimeS\":9.0,\"deadlineS\":20.0",
        )
        .replace(
            "\"goalTimeS\":0.5,\"deadlineS\":1.5",
            "\"goalTimeS\":9.0,\"deadlineS\":20.0",
        );
    let silent = |stream: &mut dyn Write| {
        _ = stream.write_all(&[RESPONSE_HEAD, &chunk("\n")].concat());
        sleep(Duration::from_secs(20));
    };
    let (setup, discovery) = DrainSetup::with_settings(&settings, |_, draining| {
        failing_first_watch(drain_update(draining), silent)
    });
    wait_until("the first watch", || discovery.received_count() > 0);
    let started_at = Instant::now();
    wait_until("another watch is requested", || {
        discovery.received_count() > 1
    });
    wait_until("the drain is applied", || setup.drain_applied());
    assert!(
        started_at.elapsed() < CHANGE_DEADLINE - Duration::from_millis(300),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_silent_discovery_is_retried_often_enough_to_notice_its_return() {
    let request_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = request_times.clone();
    let (_setup, discovery) = DrainSetup::new(|_, _| {
        FakeService::start(Behavior::Silent, move |service, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                service.received.lock().unwrap().push(message);
                times.lock().unwrap().push(Instant::now());
            }
        })
    });
    let started_at = Instant::now();
    while discovery.received_count() < 8 && started_at.elapsed() < Duration::from_secs(20) {
        sleep(Duration::from_millis(50));
    }
    let request_times = request_times.lock().unwrap();
    let longest = request_times.windows(2).map(|w| w[1] - w[0]).max().unwrap();
    // In the worst case discovery returns just after a watch request was written.
    assert!(
        longest < Duration::from_millis(2800),
        "{longest:?} between two requests: {request_times:?}"
    );
}

#[test]
fn a_return_of_discovery_between_two_watches_is_noticed_at_once() {
    let returned: Arc<Mutex<bool>> = Arc::default();
    let held = returned.clone();
    let (setup, discovery) = DrainSetup::new(|_, draining| {
        let update = drain_update(draining);
        // Like an agent behind a network partition: it receives all requests and answers them when it returns.
        FakeService::start(Behavior::Silent, move |service, mut stream| {
            let Some(request) = read_message(&mut stream) else {
                return;
            };
            service.received.lock().unwrap().push(request);
            wait_until("discovery is back", || *held.lock().unwrap());
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{update}\n"))].concat());
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    // After the fourth request the delay is at least half a second, and starts one second after the request.
    wait_until("four watch requests got no response", || {
        discovery.received_count() == 4
    });
    sleep(Duration::from_millis(1150));
    assert_eq!(
        discovery.received_count(),
        4,
        "a watch was requested during the delay"
    );
    *returned.lock().unwrap() = true;
    let started_at = Instant::now();
    wait_until("the drain is applied", || setup.drain_applied());
    assert!(
        started_at.elapsed() < Duration::from_millis(300),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(
        discovery.received_count(),
        4,
        "the drain must arrive on an existing watch"
    );
}

#[test]
fn a_reload_ends_the_delay_before_the_next_watch() {
    let (setup, old) = DrainSetup::new(|_, _| {
        FakeService::start(Behavior::Silent, |service, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                service.received.lock().unwrap().push(message);
            }
        })
    });
    let moved = FakeService::discovery(drain_update(&setup.draining), Behavior::Normal);
    // After the fourth request the delay is at least half a second, and starts one second after the request.
    wait_until("four watch requests got no response", || {
        old.received_count() == 4
    });
    sleep(Duration::from_millis(1150));
    let text = std::fs::read_to_string(&setup.gateway.config).unwrap();
    let text = text.replace(&old.address.to_string(), &moved.address.to_string());
    std::fs::write(&setup.gateway.config, text).unwrap();
    let started_at = Instant::now();
    setup.gateway.signal("-HUP");
    wait_until("the new address gets a watch request", || {
        moved.received_count() == 1
    });
    assert!(
        started_at.elapsed() < Duration::from_millis(300),
        "{:?}",
        started_at.elapsed()
    );
    wait_until("the drain is applied", || setup.drain_applied());
}

#[test]
fn lists_may_be_indented_and_split_into_chunks() {
    let (setup, discovery) = DrainSetup::new(|stays, draining| {
        let flat = endpoint_list(
            2,
            true,
            &[
                (0, stays.address, "Ready"),
                (1, draining.address, "Terminating"),
            ],
        );
        let indented = flat
            .replace(",", ",\n  ")
            .replace("{", "{\n")
            .replace("}", "\r\n}");
        FakeService::start(Behavior::Normal, move |service, mut stream| {
            let Some(request) = read_message(&mut stream) else {
                return;
            };
            service.received.lock().unwrap().push(request);
            _ = stream.write_all(RESPONSE_HEAD);
            for piece in indented.as_bytes().chunks(7) {
                _ = stream.write_all(&chunk(std::str::from_utf8(piece).unwrap()));
            }
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    wait_until("the drain is applied", || setup.drain_applied());
    assert_eq!(discovery.received_count(), 1, "one watch must be enough");
}

#[test]
fn an_invalid_endpoint_does_not_hide_the_others_and_is_requested_again() {
    let (setup, discovery) = DrainSetup::new(|stays, draining| {
        let good = endpoint_list(
            2,
            true,
            &[
                (0, stays.address, "Ready"),
                (1, draining.address, "Terminating"),
            ],
        );
        let invalid = good.replacen("\"Ready\"", "\"Rea\"", 1);
        let first = move |stream: &mut dyn Write| {
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{invalid}\n"))].concat());
            sleep(Duration::from_secs(20));
        };
        failing_first_watch(good, first)
    });
    wait_until("the list is requested again", || {
        discovery.received_count() == 2
    });
    let again = discovery.received.lock().unwrap()[1].clone();
    assert!(
        again.contains("since=1 "),
        "the second watch must start before the invalid list: {again}"
    );
    assert!(
        setup.drain_applied(),
        "the valid endpoint must be applied and the invalid one stays"
    );
}

#[test]
fn a_client_that_connects_before_the_first_list_waits_for_it() {
    let (removed, new) = (
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Normal),
    );
    let update = endpoint_list(2, true, &[(1, new.address, "Ready")]);
    let sent: Arc<Mutex<bool>> = Arc::default();
    let held = sent.clone();
    let discovery = FakeService::start(Behavior::Normal, move |_, mut stream| {
        let Some(_) = read_message(&mut stream) else {
            return;
        };
        wait_until("the client has sent", || *held.lock().unwrap());
        _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{update}\n"))].concat());
        sleep(Duration::from_secs(20));
    });
    let counter = FakeService::counter(Behavior::Normal);
    let initial_list = endpoint_list(1, true, &[(0, removed.address, "Ready")]);
    let gateway = Gateway::start(
        &initial_list,
        discovery.address,
        counter.address,
        256,
        SETTINGS,
    );
    wait_until("the gateway listens", || gateway.connect().is_some());
    let mut client = gateway.connect().unwrap();
    client
        .write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    *sent.lock().unwrap() = true;
    assert!(read_message(&mut client).unwrap().ends_with("served"));
    assert_eq!(
        (removed.received_count(), new.received_count()),
        (0, 1),
        "the request must follow the list from discovery"
    );
}

#[test]
fn the_gateway_is_not_ready_before_the_first_list_arrives() {
    let list_sent: Arc<Mutex<bool>> = Arc::default();
    let held = list_sent.clone();
    let (setup, _discovery) = DrainSetup::new(|_, draining| {
        let update = drain_update(draining);
        FakeService::start(Behavior::Normal, move |_, mut stream| {
            let Some(_) = read_message(&mut stream) else {
                return;
            };
            // Long enough that a gateway that does not wait would be ready.
            sleep(Duration::from_millis(400));
            *held.lock().unwrap() = true;
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{update}\n"))].concat());
            sleep(Duration::from_secs(20));
        })
    });
    assert!(*list_sent.lock().unwrap(), "ready before the list was sent");
    assert!(
        setup.drain_applied(),
        "the drain must be applied from the first request on"
    );
}
