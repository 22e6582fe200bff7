//! The debug log lines that `dunespur explain` parses, compared with the files in `fixtures/log_lines`.

mod support;

use std::cell::RefCell;
use support::fixtures::{assert_fixture, without_times};
use support::{event, get, post, run_test, two_endpoints, TestEndpoint, TestProxy, TURN_HEADERS};

thread_local! {
    static LINES: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Collects the `event=` lines of each test's thread.
struct LineCollector;

impl log::Log for LineCollector {
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

/// Runs a test and compares the log lines that it wrote with the fixture.
fn run_logged(name: &str, test: impl std::future::Future<Output = ()>) {
    // Only the first call in the test binary succeeds; further tests use the same logger.
    let _ = log::set_logger(&LineCollector);
    log::set_max_level(log::LevelFilter::Debug);
    LINES.take();
    run_test(test);
    let lines = without_times(&LINES.take(), &["remaining_ms="]);
    assert_fixture(&format!("log_lines/{name}.log"), lines.as_bytes());
}

#[test]
fn lines_of_a_served_request() {
    run_logged("served", async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .respond(200, "r1", "Keep-Alive: timeout=5\r\n", "ok")
            .await;
        client.message().await;
        let mut client = proxy.send_request(&get("/read/", "r2")).await;
        connection.message().await;
        connection.respond(200, "r2", "", "ok").await;
        client.message().await;
    });
}

#[test]
fn lines_of_a_retried_request() {
    run_logged("next_server", async {
        let dead = TestEndpoint::dead("i-dead").await;
        let (full, good) = two_endpoints().await;
        let proxy = TestProxy::start(&[&dead, &full, &good]).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
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
fn lines_of_a_turn() {
    run_logged("turn", async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy
            .send_request(&post(
                "/turn/",
                "r 1",
                &format!("{TURN_HEADERS}Previous: r0\r\n"),
                "x",
            ))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send_stream_head("r 1", "").await;
        connection.send_chunk(&event(1)).await;
        connection.send_last_chunk().await;
        client.message().await;
    });
}

#[test]
fn lines_of_rejected_requests() {
    run_logged("rejected", async {
        let proxy = TestProxy::start(&[]).await;
        proxy.response(&get("/nowhere/", "r1")).await;
        proxy.response(&get("/read/", "r2")).await;
        proxy.node.reject_after_ms.set(Some(1250));
        proxy.response(&get("/read/", "r3")).await;
    });
}

#[test]
fn lines_of_a_request_to_an_unresponsive_endpoint() {
    run_logged("unresponsive", async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&post("/short/", "r1", "", "x")).await;
        let (_connection, _) = endpoint.next_request().await;
        client.message().await;
    });
}
