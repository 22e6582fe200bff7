//! The lines at debug level that `dunespur explain` reads, held by files in `fixtures/log_lines`.

mod support;

use std::cell::RefCell;
use support::fixtures::{assert_fixture, without_times};
use support::*;

const TURN: &str =
    "Program: p1\r\nSession: s1\r\nBudget: 1000\r\nX-Dunespur-Token-Count: 1460,8\r\n";

thread_local! {
    static LINES: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Keeps the lines of each test's thread.
struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let line = record.args().to_string();
        if line.starts_with("event=") {
            LINES.with_borrow_mut(|lines| *lines += &(line + "\n"));
        }
    }

    fn flush(&self) {}
}

/// Plays a test and compares the lines that it left.
fn play_lines(name: &str, test: impl std::future::Future<Output = ()>) {
    // The second test of the binary finds it set.
    let _ = log::set_logger(&Lines);
    log::set_max_level(log::LevelFilter::Debug);
    LINES.take();
    run_test(test);
    let lines = without_times(&LINES.take(), &["remaining_ms="]);
    assert_fixture(&format!("log_lines/{name}.log"), lines.as_bytes());
}

#[test]
fn of_a_request_that_is_served() {
    play_lines("served", async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .respond(200, "r1", "Keep-Alive: timeout=5\r\n", "ok")
            .await;
        client.message().await;
        let mut client = proxy.request(&get("/read/", "r2")).await;
        connection.message().await;
        connection.respond(200, "r2", "", "ok").await;
        client.message().await;
    });
}

#[test]
fn of_a_request_that_goes_from_server_to_server() {
    play_lines("next_server", async {
        let dead = TestEndpoint::dead("i-dead").await;
        let (full, good) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&dead, &full, &good]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = full.next_request().await;
        connection
            .respond(503, "r1", "X-Dunespur-Not-Executed: full\r\n", "full")
            .await;
        let (connection, _) = good.next_request().await;
        connection.reset();
        client.message().await;
    });
}

#[test]
fn of_a_turn() {
    play_lines("turn", async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy
            .request(&post(
                "/turn/",
                "r 1",
                &format!("{TURN}Previous: r0\r\n"),
                "x",
            ))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r 1", "").await;
        connection.chunk(&event(1)).await;
        connection.last_chunk().await;
        client.message().await;
    });
}

#[test]
fn of_requests_that_are_refused() {
    play_lines("refused", async {
        let proxy = TestProxy::start(&[]).await;
        proxy.request(&get("/nowhere/", "r1")).await.message().await;
        proxy.request(&get("/read/", "r2")).await.message().await;
        proxy.node.refuse.set(Some(1250));
        proxy.request(&get("/read/", "r3")).await.message().await;
    });
}

#[test]
fn of_a_server_that_is_silent() {
    play_lines("silent", async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/short/", "r1", "", "x")).await;
        let (_connection, _) = endpoint.next_request().await;
        client.message().await;
    });
}
