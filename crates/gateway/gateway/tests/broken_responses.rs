//! A response whose head is broken is never passed on to a client, over loopback sockets; every sound head is.

mod common;

use common::*;
use dunespur_test_fixtures::response_heads::{
    ResponseHead, BROKEN_LENGTHS, BROKEN_LINES, BROKEN_STATUS_LINES, SOUND_SUCCESSES,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::Duration;

/// Sends `response` to the first request, and normal responses to later ones. Closes the connection in order after each
/// response, as a response without a length needs it.
fn server_with_first_response(response: Vec<u8>) -> Arc<FakeService> {
    FakeService::scripted(move |service, _, stream: &mut TcpStream| {
        if service.received_count() > 1 {
            return stream.write_all(ok_response("served").as_bytes()).is_ok();
        }
        _ = stream.write_all(&response);
        _ = stream.shutdown(Shutdown::Write);
        true
    })
}

/// Sends an invocation through a gateway whose only server first sends `response`. Returns what the client gets, and how
/// many requests the server got.
fn invoke(response: Vec<u8>, method: &str, operation: &str) -> (String, usize) {
    let server = server_with_first_response(response);
    let (gateway, _discovery, _counter) = Gateway::with_servers(&[server.address]);
    let invocation = invocation(method, operation, 2000, "");
    let response = gateway.send(&invocation).unwrap();
    (response, server.received_count())
}

/// Fails with all heads for which `check` returns a failure.
fn check_heads<'a>(
    heads: impl IntoIterator<Item = &'a ResponseHead>,
    check: impl Fn(&ResponseHead) -> Result<(), String>,
) {
    let failures: Vec<String> = heads
        .into_iter()
        .filter_map(|head| Some(format!("{head:?}: {}", check(head).err()?)))
        .collect();
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "{count} heads:\n{}",
        failures.join("\n")
    );
}

fn check_is_error(head: &ResponseHead, more_lines: &str) -> Result<(), String> {
    let (response, received) = invoke(head.with_body(more_lines, "broken"), "POST", "once");
    if response.starts_with("HTTP/1.1 502 ") && response.ends_with("errored\n") && received == 1 {
        Ok(())
    } else {
        Err(format!("{received} requests, {response:?}"))
    }
}

#[test]
fn a_response_with_a_broken_length_becomes_an_error() {
    check_heads(BROKEN_LENGTHS, |head| check_is_error(head, ""));
}

#[test]
fn a_response_with_a_broken_line_becomes_an_error() {
    check_heads(BROKEN_LINES, |head| check_is_error(head, ""));
}

#[test]
fn a_response_with_a_broken_status_line_becomes_an_error() {
    check_heads(BROKEN_STATUS_LINES, |head| check_is_error(head, ""));
}

#[test]
fn a_repeatable_operation_is_sent_again_after_a_broken_length() {
    check_heads(BROKEN_LENGTHS, |head| {
        let (response, received) = invoke(head.with_body("", "broken"), "GET", "read");
        if response.starts_with("HTTP/1.1 200 ") && response.ends_with("served") && received == 2 {
            Ok(())
        } else {
            Err(format!("{received} requests, {response:?}"))
        }
    });
}

/// The statement that a request was not processed is believed only in a sound head.
#[test]
fn a_broken_rejection_does_not_show_that_the_request_was_not_processed() {
    // The head that is broken by its version is sound in HTTP/1.1.
    let heads = BROKEN_LENGTHS
        .iter()
        .filter(|head| head.status_line.starts_with("HTTP/1.1"));
    let rejections = heads.map(|head| ResponseHead {
        status_line: "HTTP/1.1 503 Full",
        ..*head
    });
    let rejections: Vec<ResponseHead> = rejections.collect();
    check_heads(&rejections, |head| {
        check_is_error(head, "X-Not-Processed: 1\r\n")
    });
}

#[test]
fn each_form_of_a_sound_response_is_passed_on() {
    check_heads(SOUND_SUCCESSES, |head| {
        let (response, received) = invoke(head.with_body("", "sound"), "POST", "once");
        if response.starts_with("HTTP/1.1 200 ")
            && response.ends_with("\r\n\r\nsound")
            && received == 1
        {
            Ok(())
        } else {
            Err(format!("{received} requests, {response:?}"))
        }
    });
}

/// A list that takes the only server out of service, in a response with this head; later watches get no change.
fn discovery_with_first_response(head: ResponseHead, server: &FakeService) -> Arc<FakeService> {
    let list = endpoint_list(2, true, &[(0, server.address, "Terminating")]);
    let response = head.with_body("", &format!("{list}\n"));
    FakeService::start(Behavior::Normal, move |service, mut stream| {
        let Some(request) = read_message(&mut stream) else {
            return;
        };
        let is_first = {
            let mut received = service.received.lock().unwrap();
            received.push(request);
            received.len() == 1
        };
        if is_first {
            _ = stream.write_all(&response);
            return;
        }
        _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            sleep(Duration::from_millis(50));
        }
    })
}

/// Returns the revision from which the second watch asks, after a first one with this head.
fn revision_after_first_watch(head: ResponseHead) -> String {
    let server = FakeService::server(Behavior::Normal);
    let discovery = discovery_with_first_response(head, &server);
    let counter = FakeService::counter(Behavior::Normal);
    let initial_list = endpoint_list(1, true, &[(0, server.address, "Ready")]);
    let _gateway = Gateway::start(
        &initial_list,
        discovery.address,
        counter.address,
        256,
        SETTINGS,
    );
    wait_until("discovery is watched again", || {
        discovery.received_count() == 2
    });
    let again = discovery.received.lock().unwrap()[1].clone();
    let (_, since) = again.split_once("since=").unwrap();
    since.split(' ').next().unwrap().to_owned()
}

/// Checks the revision of the second watch after each of these heads, some heads at a time.
fn check_watches(heads: &[ResponseHead], revision: &str) {
    const AT_A_TIME: usize = 8;
    for heads in heads.chunks(AT_A_TIME) {
        let revisions: Vec<String> = scope(|scope| {
            let trials: Vec<_> = heads
                .iter()
                .map(|head| scope.spawn(|| revision_after_first_watch(*head)))
                .collect();
            trials
                .into_iter()
                .map(|trial| trial.join().unwrap())
                .collect()
        });
        let expected = vec![revision.to_owned(); heads.len()];
        assert_eq!(revisions, expected, "{heads:?}");
    }
}

#[test]
fn a_list_from_discovery_in_a_broken_response_is_not_applied() {
    check_watches(BROKEN_LENGTHS, "1");
    check_watches(BROKEN_LINES, "1");
    check_watches(BROKEN_STATUS_LINES, "1");
}

#[test]
fn a_list_from_discovery_in_each_form_of_a_sound_response_is_applied() {
    check_watches(SOUND_SUCCESSES, "2");
}
