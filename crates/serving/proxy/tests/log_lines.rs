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
    play(test);
    let lines = without_times(&LINES.take(), &["left_ms="]);
    assert_fixture(&format!("log_lines/{name}.log"), lines.as_bytes());
}

#[test]
fn of_a_request_that_is_served() {
    play_lines("served", async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = server.take().await;
        connection
            .answer(200, "r1", "Keep-Alive: timeout=5\r\n", "ok")
            .await;
        client.message().await;
        let mut client = gateway.ask(&get("/read/", "r2")).await;
        connection.message().await;
        connection.answer(200, "r2", "", "ok").await;
        client.message().await;
    });
}

#[test]
fn of_a_request_that_goes_from_server_to_server() {
    play_lines("next_server", async {
        let dead = StandIn::dead("i-dead").await;
        let (full, good) = (StandIn::start("i-1").await, StandIn::start("i-2").await);
        let gateway = Gateway::start(&[&dead, &full, &good]).await;
        let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = full.take().await;
        connection
            .answer(503, "r1", "X-Dunespur-Not-Executed: full\r\n", "full")
            .await;
        let (connection, _) = good.take().await;
        connection.reset();
        client.message().await;
    });
}

#[test]
fn of_a_turn() {
    play_lines("turn", async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway
            .ask(&post(
                "/turn/",
                "r 1",
                &format!("{TURN}Previous: r0\r\n"),
                "x",
            ))
            .await;
        let (mut connection, _) = server.take().await;
        connection.stream_head("r 1", "").await;
        connection.chunk(&event(1)).await;
        connection.last_chunk().await;
        client.message().await;
    });
}

#[test]
fn of_requests_that_are_refused() {
    play_lines("refused", async {
        let gateway = Gateway::start(&[]).await;
        gateway.ask(&get("/nowhere/", "r1")).await.message().await;
        gateway.ask(&get("/read/", "r2")).await.message().await;
        gateway.node.refuse.set(Some(1250));
        gateway.ask(&get("/read/", "r3")).await.message().await;
    });
}

#[test]
fn of_a_server_that_is_silent() {
    play_lines("silent", async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.ask(&post("/short/", "r1", "", "x")).await;
        let (_connection, _) = server.take().await;
        client.message().await;
    });
}
