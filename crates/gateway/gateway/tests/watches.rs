//! Watches on the list that fall silent, break, trickle, are refused or moved, over loopback sockets.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What discovery could tell counts as response after so long.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Two servers, of which the second is to drain, and a gateway that knows both from before.
struct Case {
    kept: Arc<FakeService>,
    drains: Arc<FakeService>,
    gateway: Gateway,
    _counter: Arc<FakeService>,
}

impl Case {
    fn with(
        discovery: impl FnOnce(&FakeService, &FakeService) -> Arc<FakeService>,
    ) -> (Case, Arc<FakeService>) {
        Self::by(SETTINGS, discovery)
    }

    fn by(
        settings: &str,
        discovery: impl FnOnce(&FakeService, &FakeService) -> Arc<FakeService>,
    ) -> (Case, Arc<FakeService>) {
        let works = |_: &FakeService, _: &str, stream: &mut TcpStream| {
            sleep(Duration::from_millis(15));
            stream.write_all(ok_response("served").as_bytes()).is_ok()
        };
        let (kept, drains) = (FakeService::scripted(works), FakeService::scripted(works));
        let initial_list = endpoint_list(
            1,
            true,
            &[(0, kept.address, "Ready"), (1, drains.address, "Ready")],
        );
        let (discovery, counter) = (
            discovery(&kept, &drains),
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
            Case {
                kept,
                drains,
                gateway,
                _counter: counter,
            },
            discovery,
        )
    }

    /// Whether the drain is heeded by now: of some sent together none goes there, as half of them else do.
    fn drain_applied(&self) -> bool {
        let before = (self.kept.received_count(), self.drains.received_count());
        let mut clients: Vec<_> = (0..4).map(|_| self.gateway.connect().unwrap()).collect();
        for client in &mut clients {
            client
                .write_all(invocation("GET", "read", 2000, "").as_bytes())
                .unwrap();
        }
        clients
            .iter_mut()
            .for_each(|c| assert!(read_message(c).unwrap().ends_with("served")));
        assert!(self.kept.received_count() > before.0);
        self.drains.received_count() == before.1
    }
}

fn drain_update(drains: &FakeService) -> String {
    endpoint_list(2, false, &[(1, drains.address, "Terminating")])
}

/// A discovery whose first watch goes wrong as the test says and whose later ones tell of the drain.
fn failing_first_watch(
    news: String,
    first: impl Fn(&mut dyn Write) + Send + Sync + 'static,
) -> Arc<FakeService> {
    FakeService::start(Behavior::Normal, move |me, mut stream| {
        let Some(asked) = read_message(&mut stream) else {
            return;
        };
        me.received.lock().unwrap().push(asked);
        if me.received_count() == 1 {
            return first(&mut stream);
        }
        _ = stream.write_all(RESPONSE_HEAD);
        _ = stream.write_all(&chunk(&format!("{news}\n")));
        while stream.write_all(&chunk("\n")).is_ok() {
            sleep(Duration::from_millis(200));
        }
    })
}

#[test]
fn a_watch_that_goes_wrong_right_before_a_drain_is_opened_anew_in_time() {
    type FirstWatch = fn(&mut dyn Write);
    let failures: [(&str, FirstWatch); 7] = [
        ("silent from its first byte", |_| {
            sleep(Duration::from_secs(20))
        }),
        ("silent after a line", |to| {
            _ = to.write_all(&[RESPONSE_HEAD, &chunk("\n")].concat());
            sleep(Duration::from_secs(20));
        }),
        ("a head that never ends", |to| {
            _ = to.write_all(b"HTTP/1.1 200 OK\r\n");
            while to.write_all(b"A: b\r\n").is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("bytes that never make a line", |to| {
            _ = to.write_all(RESPONSE_HEAD);
            while to.write_all(&chunk(" ")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("a list that never ends", |to| {
            _ = to.write_all(RESPONSE_HEAD);
            while to.write_all(&chunk("{\"revision\":[[\n")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("spoilt", |to| {
            _ = to.write_all(&[RESPONSE_HEAD, &chunk("{\"revision\":oh}\n")].concat())
        }),
        ("ended", |_| {}),
    ];
    let cases = failures.map(|(what, fail)| {
        std::thread::spawn(move || {
            let (case, discovery) =
                Case::with(|_, drains| failing_first_watch(drain_update(drains), fail));
            wait_until("the first watch", || discovery.received_count() > 0);
            let started = Instant::now();
            wait_until(what, || discovery.received_count() > 1);
            wait_until(what, || case.drain_applied());
            assert!(
                started.elapsed() < CHANGE_DEADLINE - Duration::from_millis(700),
                "{what}: {:?}",
                started.elapsed()
            );
        })
    });
    cases.into_iter().for_each(|c| c.join().unwrap());
}

#[test]
fn a_watch_on_request_is_asked_for_in_time_however_long_the_objectives_are() {
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
    let silent = |to: &mut dyn Write| {
        _ = to.write_all(&[RESPONSE_HEAD, &chunk("\n")].concat());
        sleep(Duration::from_secs(20));
    };
    let (case, discovery) = Case::by(&settings, |_, drains| {
        failing_first_watch(drain_update(drains), silent)
    });
    wait_until("the first watch", || discovery.received_count() > 0);
    let started = Instant::now();
    wait_until("another is asked for", || discovery.received_count() > 1);
    wait_until("the drain is heeded", || case.drain_applied());
    assert!(
        started.elapsed() < CHANGE_DEADLINE - Duration::from_millis(300),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn a_silent_discovery_is_asked_so_often_that_its_return_is_never_missed_for_long() {
    let asked: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = asked.clone();
    let (_case, discovery) = Case::with(|_, _| {
        FakeService::start(Behavior::Silent, move |me, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                me.received.lock().unwrap().push(message);
                times.lock().unwrap().push(Instant::now());
            }
        })
    });
    let started = Instant::now();
    while discovery.received_count() < 8 && started.elapsed() < Duration::from_secs(20) {
        sleep(Duration::from_millis(50));
    }
    let asked = asked.lock().unwrap();
    let longest = asked.windows(2).map(|w| w[1] - w[0]).max().unwrap();
    // In the worst case discovery is back just after one of them was written.
    assert!(
        longest < Duration::from_millis(2800),
        "{longest:?} between two: {asked:?}"
    );
}

#[test]
fn a_return_of_discovery_between_two_attempts_is_heard_at_once() {
    let back: Arc<Mutex<bool>> = Arc::default();
    let held = back.clone();
    let (case, discovery) = Case::with(|_, drains| {
        let news = drain_update(drains);
        // Like an agent that is cut off: it takes what is asked, and answers all of it when it is back.
        FakeService::start(Behavior::Silent, move |me, mut stream| {
            let Some(asked) = read_message(&mut stream) else {
                return;
            };
            me.received.lock().unwrap().push(asked);
            wait_until("it is back", || *held.lock().unwrap());
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{news}\n"))].concat());
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    // By the fourth the pause is half a second at least, and begins a second after it was asked.
    wait_until("four were asked in vain", || {
        discovery.received_count() == 4
    });
    sleep(Duration::from_millis(1150));
    assert_eq!(discovery.received_count(), 4, "in the pause");
    *back.lock().unwrap() = true;
    let started = Instant::now();
    wait_until("the drain is heeded", || case.drain_applied());
    assert!(
        started.elapsed() < Duration::from_millis(300),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(discovery.received_count(), 4, "over a watch that was there");
}

#[test]
fn a_reload_cuts_the_pause_before_the_next_watch_short() {
    let (case, old) = Case::with(|_, _| {
        FakeService::start(Behavior::Silent, |me, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                me.received.lock().unwrap().push(message);
            }
        })
    });
    let moved = FakeService::discovery(drain_update(&case.drains), Behavior::Normal);
    // By the fourth the pause is half a second at least, and begins a second after it was asked.
    wait_until("four watches were in vain", || old.received_count() == 4);
    sleep(Duration::from_millis(1150));
    let text = std::fs::read_to_string(&case.gateway.config).unwrap();
    let text = text.replace(&old.address.to_string(), &moved.address.to_string());
    std::fs::write(&case.gateway.config, text).unwrap();
    let started = Instant::now();
    case.gateway.signal("-HUP");
    wait_until("the new one is asked", || moved.received_count() == 1);
    assert!(
        started.elapsed() < Duration::from_millis(300),
        "{:?}",
        started.elapsed()
    );
    wait_until("the drain is heeded", || case.drain_applied());
}

#[test]
fn lists_may_come_indented_and_in_pieces() {
    let (case, discovery) = Case::with(|kept, drains| {
        let flat = endpoint_list(
            2,
            true,
            &[
                (0, kept.address, "Ready"),
                (1, drains.address, "Terminating"),
            ],
        );
        let indented = flat
            .replace(",", ",\n  ")
            .replace("{", "{\n")
            .replace("}", "\r\n}");
        FakeService::start(Behavior::Normal, move |me, mut stream| {
            let Some(asked) = read_message(&mut stream) else {
                return;
            };
            me.received.lock().unwrap().push(asked);
            _ = stream.write_all(RESPONSE_HEAD);
            for piece in indented.as_bytes().chunks(7) {
                _ = stream.write_all(&chunk(std::str::from_utf8(piece).unwrap()));
            }
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    wait_until("the drain is heeded", || case.drain_applied());
    assert_eq!(discovery.received_count(), 1, "one watch response it");
}

#[test]
fn a_spoilt_member_costs_no_news_of_the_others_and_is_asked_for_again() {
    let (case, discovery) = Case::with(|kept, drains| {
        let good = endpoint_list(
            2,
            true,
            &[
                (0, kept.address, "Ready"),
                (1, drains.address, "Terminating"),
            ],
        );
        let spoilt = good.replacen("\"Ready\"", "\"Rea\"", 1);
        let first = move |to: &mut dyn Write| {
            _ = to.write_all(&[RESPONSE_HEAD, &chunk(&format!("{spoilt}\n"))].concat());
            sleep(Duration::from_secs(20));
        };
        failing_first_watch(good, first)
    });
    wait_until("it is asked again", || discovery.received_count() == 2);
    let again = discovery.received.lock().unwrap()[1].clone();
    assert!(
        again.contains("since=1 "),
        "from before the list that could not be read whole: {again}"
    );
    assert!(
        case.drain_applied(),
        "what could be read holds, and the one that could not stays in use"
    );
}

#[test]
fn a_client_that_comes_before_the_first_list_waits_for_it() {
    let (gone, new) = (
        FakeService::server(Behavior::Normal),
        FakeService::server(Behavior::Normal),
    );
    let news = endpoint_list(2, true, &[(1, new.address, "Ready")]);
    let sent: Arc<Mutex<bool>> = Arc::default();
    let held = sent.clone();
    let discovery = FakeService::start(Behavior::Normal, move |_, mut stream| {
        let Some(_) = read_message(&mut stream) else {
            return;
        };
        wait_until("the client has sent", || *held.lock().unwrap());
        _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{news}\n"))].concat());
        sleep(Duration::from_secs(20));
    });
    let counter = FakeService::counter(Behavior::Normal);
    let initial_list = endpoint_list(1, true, &[(0, gone.address, "Ready")]);
    let gateway = Gateway::start(
        &initial_list,
        discovery.address,
        counter.address,
        256,
        SETTINGS,
    );
    wait_until("it listens", || gateway.connect().is_some());
    let mut client = gateway.connect().unwrap();
    client
        .write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    *sent.lock().unwrap() = true;
    assert!(read_message(&mut client).unwrap().ends_with("served"));
    assert_eq!(
        (gone.received_count(), new.received_count()),
        (0, 1),
        "by the list that discovery had from the first moment"
    );
}

#[test]
fn it_is_not_ready_before_it_has_heard_what_discovery_holds() {
    let list_sent: Arc<Mutex<bool>> = Arc::default();
    let held = list_sent.clone();
    let (case, _discovery) = Case::with(|_, drains| {
        let news = drain_update(drains);
        FakeService::start(Behavior::Normal, move |_, mut stream| {
            let Some(_) = read_message(&mut stream) else {
                return;
            };
            // Long enough for one that does not wait to be ready.
            sleep(Duration::from_millis(400));
            *held.lock().unwrap() = true;
            _ = stream.write_all(&[RESPONSE_HEAD, &chunk(&format!("{news}\n"))].concat());
            sleep(Duration::from_secs(20));
        })
    });
    assert!(*list_sent.lock().unwrap(), "ready before");
    assert!(case.drain_applied(), "from the first invocation on");
}
