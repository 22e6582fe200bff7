//! Watches on the list that fall silent, break, trickle, are refused or moved, over loopback sockets.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What discovery could tell counts as told after so long.
const TOLD: Duration = Duration::from_secs(6);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Two servers, of which the second is to drain, and a gateway that knows both from before.
struct Case {
    kept: Arc<StandIn>,
    drains: Arc<StandIn>,
    gateway: Gateway,
    _counter: Arc<StandIn>,
}

impl Case {
    fn with(discovery: impl FnOnce(&StandIn, &StandIn) -> Arc<StandIn>) -> (Case, Arc<StandIn>) {
        Self::by(SETTINGS, discovery)
    }

    fn by(
        settings: &str,
        discovery: impl FnOnce(&StandIn, &StandIn) -> Arc<StandIn>,
    ) -> (Case, Arc<StandIn>) {
        let works = |_: &StandIn, _: &str, stream: &mut TcpStream| {
            sleep(Duration::from_millis(15));
            stream.write_all(ok("served").as_bytes()).is_ok()
        };
        let (kept, drains) = (StandIn::scripted(works), StandIn::scripted(works));
        let known = list(
            1,
            true,
            &[(0, kept.address, "Ready"), (1, drains.address, "Ready")],
        );
        let (discovery, counter) = (discovery(&kept, &drains), StandIn::counter(Mood::Well));
        let gateway = Gateway::of(&known, discovery.address, counter.address, 256, settings);
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
    fn heeded(&self) -> bool {
        let before = (self.kept.seen(), self.drains.seen());
        let mut clients: Vec<_> = (0..4).map(|_| self.gateway.connect().unwrap()).collect();
        for client in &mut clients {
            client
                .write_all(invocation("GET", "read", 2000, "").as_bytes())
                .unwrap();
        }
        clients
            .iter_mut()
            .for_each(|c| assert!(message(c).unwrap().ends_with("served")));
        assert!(self.kept.seen() > before.0);
        self.drains.seen() == before.1
    }
}

fn drain(drains: &StandIn) -> String {
    list(2, false, &[(1, drains.address, "Terminating")])
}

/// A discovery whose first watch goes wrong as the test says and whose later ones tell of the drain.
fn first_goes_wrong(
    news: String,
    first: impl Fn(&mut dyn Write) + Send + Sync + 'static,
) -> Arc<StandIn> {
    StandIn::start(Mood::Well, move |me, mut stream| {
        let Some(asked) = message(&mut stream) else {
            return;
        };
        me.seen.lock().unwrap().push(asked);
        if me.seen() == 1 {
            return first(&mut stream);
        }
        _ = stream.write_all(HEAD);
        _ = stream.write_all(&chunk(&format!("{news}\n")));
        while stream.write_all(&chunk("\n")).is_ok() {
            sleep(Duration::from_millis(200));
        }
    })
}

#[test]
fn a_watch_that_goes_wrong_right_before_a_drain_is_opened_anew_in_time() {
    type Wrong = fn(&mut dyn Write);
    let wrongs: [(&str, Wrong); 7] = [
        ("silent from its first byte", |_| {
            sleep(Duration::from_secs(20))
        }),
        ("silent after a line", |to| {
            _ = to.write_all(&[HEAD, &chunk("\n")].concat());
            sleep(Duration::from_secs(20));
        }),
        ("a head that never ends", |to| {
            _ = to.write_all(b"HTTP/1.1 200 OK\r\n");
            while to.write_all(b"A: b\r\n").is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("bytes that never make a line", |to| {
            _ = to.write_all(HEAD);
            while to.write_all(&chunk(" ")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("a list that never ends", |to| {
            _ = to.write_all(HEAD);
            while to.write_all(&chunk("{\"revision\":[[\n")).is_ok() {
                sleep(Duration::from_millis(300));
            }
        }),
        ("spoilt", |to| {
            _ = to.write_all(&[HEAD, &chunk("{\"revision\":oh}\n")].concat())
        }),
        ("ended", |_| {}),
    ];
    let cases = wrongs.map(|(what, wrong)| {
        std::thread::spawn(move || {
            let (case, discovery) = Case::with(|_, drains| first_goes_wrong(drain(drains), wrong));
            until("the first watch", || discovery.seen() > 0);
            let began = Instant::now();
            until(what, || discovery.seen() > 1);
            until(what, || case.heeded());
            assert!(
                began.elapsed() < TOLD - Duration::from_millis(700),
                "{what}: {:?}",
                began.elapsed()
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
        _ = to.write_all(&[HEAD, &chunk("\n")].concat());
        sleep(Duration::from_secs(20));
    };
    let (case, discovery) = Case::by(&settings, |_, drains| {
        first_goes_wrong(drain(drains), silent)
    });
    until("the first watch", || discovery.seen() > 0);
    let began = Instant::now();
    until("another is asked for", || discovery.seen() > 1);
    until("the drain is heeded", || case.heeded());
    assert!(
        began.elapsed() < TOLD - Duration::from_millis(300),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn a_silent_discovery_is_asked_so_often_that_its_return_is_never_missed_for_long() {
    let asked: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = asked.clone();
    let (_case, discovery) = Case::with(|_, _| {
        StandIn::start(Mood::Silent, move |me, mut stream| {
            while let Some(message) = message(&mut stream) {
                me.seen.lock().unwrap().push(message);
                times.lock().unwrap().push(Instant::now());
            }
        })
    });
    let began = Instant::now();
    while discovery.seen() < 8 && began.elapsed() < Duration::from_secs(20) {
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
        let news = drain(drains);
        // Like an agent that is cut off: it takes what is asked, and answers all of it when it is back.
        StandIn::start(Mood::Silent, move |me, mut stream| {
            let Some(asked) = message(&mut stream) else {
                return;
            };
            me.seen.lock().unwrap().push(asked);
            until("it is back", || *held.lock().unwrap());
            _ = stream.write_all(&[HEAD, &chunk(&format!("{news}\n"))].concat());
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    // By the fourth the pause is half a second at least, and begins a second after it was asked.
    until("four were asked in vain", || discovery.seen() == 4);
    sleep(Duration::from_millis(1150));
    assert_eq!(discovery.seen(), 4, "in the pause");
    *back.lock().unwrap() = true;
    let began = Instant::now();
    until("the drain is heeded", || case.heeded());
    assert!(
        began.elapsed() < Duration::from_millis(300),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(discovery.seen(), 4, "over a watch that was there");
}

#[test]
fn a_reload_cuts_the_pause_before_the_next_watch_short() {
    let (case, old) = Case::with(|_, _| {
        StandIn::start(Mood::Silent, |me, mut stream| {
            while let Some(message) = message(&mut stream) {
                me.seen.lock().unwrap().push(message);
            }
        })
    });
    let moved = StandIn::discovery(drain(&case.drains), Mood::Well);
    // By the fourth the pause is half a second at least, and begins a second after it was asked.
    until("four watches were in vain", || old.seen() == 4);
    sleep(Duration::from_millis(1150));
    let text = std::fs::read_to_string(&case.gateway.config).unwrap();
    let text = text.replace(&old.address.to_string(), &moved.address.to_string());
    std::fs::write(&case.gateway.config, text).unwrap();
    let began = Instant::now();
    case.gateway.signal("-HUP");
    until("the new one is asked", || moved.seen() == 1);
    assert!(
        began.elapsed() < Duration::from_millis(300),
        "{:?}",
        began.elapsed()
    );
    until("the drain is heeded", || case.heeded());
}

#[test]
fn lists_may_come_indented_and_in_pieces() {
    let (case, discovery) = Case::with(|kept, drains| {
        let flat = list(
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
        StandIn::start(Mood::Well, move |me, mut stream| {
            let Some(asked) = message(&mut stream) else {
                return;
            };
            me.seen.lock().unwrap().push(asked);
            _ = stream.write_all(HEAD);
            for piece in indented.as_bytes().chunks(7) {
                _ = stream.write_all(&chunk(std::str::from_utf8(piece).unwrap()));
            }
            while stream.write_all(&chunk("\n")).is_ok() {
                sleep(Duration::from_millis(200));
            }
        })
    });
    until("the drain is heeded", || case.heeded());
    assert_eq!(discovery.seen(), 1, "one watch told it");
}

#[test]
fn a_spoilt_member_costs_no_news_of_the_others_and_is_asked_for_again() {
    let (case, discovery) = Case::with(|kept, drains| {
        let good = list(
            2,
            true,
            &[
                (0, kept.address, "Ready"),
                (1, drains.address, "Terminating"),
            ],
        );
        let spoilt = good.replacen("\"Ready\"", "\"Rea\"", 1);
        let first = move |to: &mut dyn Write| {
            _ = to.write_all(&[HEAD, &chunk(&format!("{spoilt}\n"))].concat());
            sleep(Duration::from_secs(20));
        };
        first_goes_wrong(good, first)
    });
    until("it is asked again", || discovery.seen() == 2);
    let again = discovery.seen.lock().unwrap()[1].clone();
    assert!(
        again.contains("since=1 "),
        "from before the list that could not be read whole: {again}"
    );
    assert!(
        case.heeded(),
        "what could be read holds, and the one that could not stays in use"
    );
}

#[test]
fn a_client_that_comes_before_the_first_list_waits_for_it() {
    let (gone, new) = (StandIn::server(Mood::Well), StandIn::server(Mood::Well));
    let news = list(2, true, &[(1, new.address, "Ready")]);
    let sent: Arc<Mutex<bool>> = Arc::default();
    let held = sent.clone();
    let discovery = StandIn::start(Mood::Well, move |_, mut stream| {
        let Some(_) = message(&mut stream) else {
            return;
        };
        until("the client has sent", || *held.lock().unwrap());
        _ = stream.write_all(&[HEAD, &chunk(&format!("{news}\n"))].concat());
        sleep(Duration::from_secs(20));
    });
    let counter = StandIn::counter(Mood::Well);
    let known = list(1, true, &[(0, gone.address, "Ready")]);
    let gateway = Gateway::started(&known, discovery.address, counter.address, 256, SETTINGS);
    until("it listens", || gateway.connect().is_some());
    let mut client = gateway.connect().unwrap();
    client
        .write_all(invocation("GET", "read", 2000, "").as_bytes())
        .unwrap();
    *sent.lock().unwrap() = true;
    assert!(message(&mut client).unwrap().ends_with("served"));
    assert_eq!(
        (gone.seen(), new.seen()),
        (0, 1),
        "by the list that discovery had from the first moment"
    );
}

#[test]
fn it_is_not_ready_before_it_has_heard_what_discovery_holds() {
    let told: Arc<Mutex<bool>> = Arc::default();
    let held = told.clone();
    let (case, _discovery) = Case::with(|_, drains| {
        let news = drain(drains);
        StandIn::start(Mood::Well, move |_, mut stream| {
            let Some(_) = message(&mut stream) else {
                return;
            };
            // Long enough for one that does not wait to be ready.
            sleep(Duration::from_millis(400));
            *held.lock().unwrap() = true;
            _ = stream.write_all(&[HEAD, &chunk(&format!("{news}\n"))].concat());
            sleep(Duration::from_secs(20));
        })
    });
    assert!(*told.lock().unwrap(), "ready before");
    assert!(case.heeded(), "from the first invocation on");
}
