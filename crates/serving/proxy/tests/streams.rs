//! Streams of events: passed on as they come, counted, kept, cut, taken up elsewhere.

mod support;

use dunespur_proxy::{AdmissionDecision, CompletedTurn, History, ProxySettings, TurnKey};
use dunespur_routing::Outcome;
use support::*;

const TURN: &str =
    "Program: p1\r\nSession: s1\r\nBudget: 1000\r\nX-Dunespur-Token-Count: 1460,8\r\n";

fn served(tokens_out: u32) -> Outcome {
    Outcome::Served { tokens_out }
}

#[test]
fn events_are_passed_on_as_they_come() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "X-Versions: 1\r\n").await;
        connection.chunk(&event(1)).await;
        let head = client.head().await;
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("x-dunespur-response-stamp"), Some("s.r1"));
        assert_eq!(head.header("x-versions"), Some("1"));
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        // The next is made only once the one before has arrived.
        for id in 2..=3 {
            connection.chunk(&event(id)).await;
            assert_eq!(client.next_chunk().await.unwrap(), event(id).as_bytes());
        }
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        proxy.node.called_with(&NodeCall::Release).await;
        let reserve = NodeCall::Admit {
            program: "p1".to_owned(),
            budget: 1000,
            max_tokens: 8,
        };
        assert_eq!(
            proxy.node.calls(),
            [
                reserve,
                NodeCall::RecordTokens(3),
                NodeCall::FirstEvent,
                NodeCall::RecordTokens(3),
                NodeCall::RecordTokens(2),
                NodeCall::Finished(served(8)),
                NodeCall::Release
            ]
        );
    });
}

#[test]
fn a_part_of_an_event_waits_for_the_rest() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        connection.chunk("id: 2\nda").await;
        connection
            .chunk(&format!("ta: word2\n\n{}id: 4", event(3)))
            .await;
        assert_eq!(client.next_chunk().await.unwrap(), events(2..=3).as_bytes());
        drop(connection);
        assert_eq!(
            client.next_chunk().await,
            None,
            "neither a partial event nor a clean end"
        );
        proxy
            .node
            .called_with(&NodeCall::Finished(Outcome::Failed))
            .await;
        assert_eq!(proxy.node.used(), 8);
    });
}

#[test]
fn a_stream_that_ends_within_an_event_is_no_whole_one() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection
            .chunk(&format!("{}id: 2\ndata: wo", event(1)))
            .await;
        connection.last_chunk().await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await, None);
    });
}

#[test]
fn a_piece_that_comes_twice_is_not_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&events(1..=2)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), events(1..=2).as_bytes());
        connection.chunk(&event(2)).await;
        assert_eq!(client.next_chunk().await, None);
        assert!(connection.is_closed().await);
    });
}

#[test]
fn before_the_first_event_a_failure_can_still_be_told() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = first.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk("id: 1\nda").await;
        drop(connection);
        let response = client.message().await;
        assert_eq!(response.status(), 502);
        assert_eq!(response.header("x-dunespur-response-stamp"), None);
        assert!(second.has_no_connection().await);
        assert_eq!(proxy.node.used(), 0);
    });
}

#[test]
fn before_the_first_event_a_resumable_stream_starts_anew() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut connection, _) = first.next_request().await;
        connection.stream_head("r1", "X-From: first\r\n").await;
        drop(connection);
        let (mut connection, message) = second.next_request().await;
        assert_eq!(message.header("last-event-id"), None);
        assert_eq!(message.text(), "x");
        connection.stream_head("r1", "X-From: second\r\n").await;
        connection.chunk(&events(1..=2)).await;
        connection.last_chunk().await;
        let response = client.message().await;
        assert_eq!(response.header("x-from"), Some("second"));
        assert_eq!(response.text(), events(1..=2));
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed, served(6)]);
    });
}

#[test]
fn a_cut_stream_is_taken_up_at_another_server() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut connection, _) = first.next_request().await;
        connection.stream_head("r1", "X-From: first\r\n").await;
        connection
            .chunk(&format!("{}id: 3\nda", events(1..=2)))
            .await;
        let head = client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), events(1..=2).as_bytes());
        connection.reset();
        let (mut connection, message) = second.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("2"));
        assert_eq!(message.id(), "r1");
        connection.stream_head("r1", "X-From: second\r\n").await;
        connection.chunk(&event(3)).await;
        assert_eq!(client.next_chunk().await.unwrap(), event(3).as_bytes());
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        assert_eq!(head.header("x-from"), Some("first"));
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed, served(8)]);
        assert_eq!(proxy.node.used(), 8);
    });
}

#[test]
fn a_server_that_starts_over_does_not_go_on_with_a_stream() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut connection, _) = first.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&events(1..=2)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), events(1..=2).as_bytes());
        drop(connection);
        for _ in 0..3 {
            let (mut connection, message) = second.next_request().await;
            assert_eq!(message.header("last-event-id"), Some("2"));
            connection.stream_head("r1", "").await;
            connection.chunk(&events(1..=3)).await;
            assert!(connection.is_closed().await);
        }
        assert_eq!(client.next_chunk().await, None);
        assert!(second.has_no_connection().await);
    });
}

#[test]
fn a_cut_stream_is_taken_up_at_its_server_where_no_further_one_may_run_it() {
    run_test(async {
        let (endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&post("/resume/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        connection.reset();
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        assert_eq!(message.header("x-dunespur-expect-instance"), Some("i-1"));
        connection.stream_head("r1", "").await;
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(2).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        assert!(other.has_no_connection().await);
        assert_eq!(proxy.node.outcomes(), [served(6)]);
    });
}

#[test]
fn a_server_that_crashed_midway_no_longer_counts() {
    run_test(async {
        let (mut endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&post("/resume/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        endpoint.die();
        connection.reset();
        let (mut connection, message) = other.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        connection.stream_head("r1", "").await;
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(2).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        assert_eq!(proxy.node.outcomes(), [Outcome::Unreachable, served(6)]);
    });
}

#[test]
fn another_instance_at_the_address_says_that_the_server_crashed() {
    run_test(async {
        let (endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&post("/resume/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        connection.reset();
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(421, "r1", "", "").await;
        let (mut connection, message) = other.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        connection.stream_head("r1", "").await;
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        assert_eq!(proxy.node.outcomes(), [Outcome::Misdirected, served(3)]);
    });
}

#[test]
fn a_stream_that_can_not_be_resumed_ends_where_it_is_cut() {
    run_test(async {
        let (endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        connection.reset();
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await, None);
        assert!(endpoint.has_no_connection().await && other.has_no_connection().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed]);
    });
}

#[test]
fn a_client_that_takes_a_stream_up_gets_what_comes_behind() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy
            .request(&post("/resume/", "r2", "Last-Event-Id: 4\r\n", "x"))
            .await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("4"));
        connection.stream_head("r2", "").await;
        connection.chunk(&events(5..=6)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), events(5..=6));
    });
}

#[test]
fn a_failure_instead_of_a_stream_is_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(500, "r1", "", "broken").await;
        let response = client.message().await;
        assert_eq!((response.status(), response.text()), (500, "broken"));
        assert_eq!(proxy.node.calls().last(), Some(&NodeCall::Release));
    });
}

#[test]
fn a_client_that_leaves_a_stream_frees_everything() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/turn/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.until("\n\n").await;
        drop(client);
        assert!(connection.is_closed().await);
        proxy.node.called_with(&NodeCall::Release).await;
        assert_eq!(proxy.node.outcomes(), [Outcome::Cancelled]);
        assert_eq!(proxy.server.counters().body_bytes, 0);
        let kept = proxy
            .node
            .calls()
            .iter()
            .any(|calls| matches!(calls, NodeCall::Persist(_)));
        assert!(!kept);
    });
}

#[test]
fn a_turn_without_budget_left_reaches_no_server() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.reserve.set(AdmissionDecision::BudgetSpent);
        assert_eq!(
            proxy
                .request(&post("/stream/", "r1", TURN, "x"))
                .await
                .message()
                .await
                .status(),
            402
        );
        proxy
            .node
            .reserve
            .set(AdmissionDecision::RetryLater { retry_after_ms: 80 });
        let response = proxy
            .request(&post("/stream/", "r2", TURN, "x"))
            .await
            .message()
            .await;
        assert_eq!(
            (response.status(), response.header("retry-after")),
            (503, Some("0.080"))
        );
        assert!(endpoint.has_no_connection().await);
        assert!(!proxy.node.calls().contains(&NodeCall::Release));
    });
}

#[test]
fn a_turn_that_finds_no_server_gives_its_tokens_back() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        assert_eq!(
            proxy
                .request(&post("/stream/", "r1", TURN, "x"))
                .await
                .message()
                .await
                .status(),
            503
        );
        assert_eq!(proxy.node.calls().last(), Some(&NodeCall::Release));
    });
}

#[test]
fn calls_of_tools_carry_no_budget() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy
            .request(&post(
                "/write/",
                "r1",
                "Program: p1\r\nSession: s1\r\nBudget: 5\r\n",
                "x",
            ))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.status(), 200);
        assert_eq!(
            proxy.node.calls(),
            [NodeCall::FirstEvent, NodeCall::Finished(served(0))]
        );
    });
}

#[test]
fn a_kept_turn_ends_only_once_it_is_kept() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let more = format!("{TURN}Previous: r0\r\n");
        *proxy.node.history.borrow_mut() = History::Found(vec![bytes("first "), bytes("answer\n")]);
        proxy.node.persist_permits.forget_permits(1000);
        let mut client = proxy.request(&post("/turn/", "r1", &more, "second")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.text(), "first answer\nsecond");
        assert_eq!(message.header("previous"), Some("r0"));
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        connection
            .chunk("versions: 2\nid: 2\ndata: a\ndata: b\n\n")
            .await;
        connection.last_chunk().await;
        let kept = NodeCall::Persist(CompletedTurn {
            id: "r1".to_owned(),
            previous: Some("r0".to_owned()),
            program: "p1".to_owned(),
            input: bytes("second"),
            output: bytes("word1\na\nb\n"),
            retention_ms: 60_000,
        });
        proxy.node.called_with(&kept).await;
        client.until("data: b\n\n\r\n").await;
        assert_eq!(client.unread(), b"", "all events, and not the end");
        proxy.node.persist_permits.add_permits(1);
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        proxy.node.called_with(&NodeCall::Release).await;
    });
}

#[test]
fn a_turn_that_is_not_kept_does_not_end_whole() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.persists.set(false);
        let mut client = proxy.request(&post("/turn/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        connection.last_chunk().await;
        assert_eq!(
            client.try_message().await.unwrap_err().body,
            event(1).as_bytes()
        );
    });
}

#[test]
fn a_turn_with_a_stated_length_is_held_back_as_well() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.persists.set(false);
        let mut client = proxy.request(&post("/turn/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .respond(200, "r1", "Content-Type: text/event-stream\r\n", &event(1))
            .await;
        assert_eq!(
            client.try_message().await.unwrap_err().body,
            event(1).as_bytes()
        );
    });
}

#[test]
fn a_turn_goes_on_only_from_one_that_is_known() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let more = format!("{TURN}Previous: r0\r\n");
        *proxy.node.history.borrow_mut() = History::Unknown;
        assert_eq!(
            proxy
                .request(&post("/turn/", "r1", &more, "x"))
                .await
                .message()
                .await
                .status(),
            404
        );
        *proxy.node.history.borrow_mut() = History::Unavailable {
            retry_after_ms: 300,
        };
        let response = proxy
            .request(&post("/turn/", "r2", &more, "x"))
            .await
            .message()
            .await;
        assert_eq!(
            (response.status(), response.header("retry-after")),
            (503, Some("0.300"))
        );
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn turns_are_not_kept_where_the_route_does_not_say_so() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let more = format!("{TURN}Previous: r0\r\n");
        let mut client = proxy.request(&post("/stream/", "r1", &more, "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(
            (message.header("previous"), message.text()),
            (Some("r0"), "x")
        );
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), event(1));
        let calls = proxy.node.calls();
        assert!(!calls
            .iter()
            .any(|calls| matches!(calls, NodeCall::Persist(_) | NodeCall::History { .. })));
    });
}

#[test]
fn a_client_that_leaves_before_its_turn_is_admitted_sends_nothing() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.admission_permits.forget_permits(1000);
        let reserve = NodeCall::Admit {
            program: "p1".to_owned(),
            budget: 1000,
            max_tokens: 8,
        };
        let client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        proxy.node.called_with(&reserve).await;
        drop(client);
        // The place of the connection is free once the request is dropped.
        while proxy.server.counters().connections > 0 {
            tokio::task::yield_now().await;
        }
        proxy.node.admission_permits.add_permits(1);
        assert!(endpoint.has_no_connection().await);
        assert_eq!(proxy.node.calls(), [reserve]);
        assert_eq!(
            proxy.node.reserve.get(),
            AdmissionDecision::Admitted(TurnKey(7))
        );
    });
}

/// Routes of much patience before the first event, and of little after it.
fn impatient(node: &TestNode) {
    let impatient = CONFIGURATION
        .replace(r#""target_ms":200"#, r#""target_ms":20000"#)
        .replace(r#""gap_aim_ms":300"#, r#""gap_aim_ms":5"#);
    *node.table.borrow_mut() = Some(table(&impatient));
}

#[test]
fn a_stream_leaves_a_server_that_falls_silent() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        impatient(&proxy.node);
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut silent, _) = first.next_request().await;
        silent.stream_head("r1", "").await;
        silent.chunk(&event(1)).await;
        let (mut connection, message) = second.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        assert!(silent.is_closed().await);
        connection.stream_head("r1", "").await;
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), events(1..=2));
        assert_eq!(proxy.node.outcomes(), [Outcome::TimedOut, served(6)]);
    });
}

#[test]
fn a_silent_server_is_waited_for_where_there_is_no_other() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        impatient(&proxy.node);
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        // Asked for a server when the request came, and again when the first was silent.
        while proxy.node.choices().len() < 2 {
            tokio::task::yield_now().await;
        }
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), events(1..=2));
        assert_eq!(proxy.node.outcomes(), [served(6)]);
    });
}

#[test]
fn what_can_not_be_repeated_waits_for_a_silent_server() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        impatient(&proxy.node);
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = first.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        // Another one, which can be repeated, loses its patience meanwhile.
        let mut other = proxy.request(&post("/resume2/", "r2", TURN, "x")).await;
        let (mut silent, _) = first.next_request().await;
        silent.stream_head("r2", "").await;
        silent.chunk(&event(1)).await;
        let (mut taken, message) = second.next_request().await;
        assert_eq!(message.id(), "r2");
        taken.stream_head("r2", "").await;
        taken.last_chunk().await;
        assert_eq!(other.message().await.text(), event(1));
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), events(1..=2));
    });
}

#[test]
fn a_kept_turn_has_a_stream_for_an_answer() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/turn/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .respond(200, "r1", "Content-Type: application/json\r\n", "{}")
            .await;
        assert_eq!(client.message().await.status(), 502);
    });
}

#[test]
fn a_kept_turn_is_not_taken_up_in_its_middle() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let more = format!("{TURN}Last-Event-Id: 3\r\n");
        assert_eq!(
            proxy
                .request(&post("/turn/", "r1", &more, "x"))
                .await
                .message()
                .await
                .status(),
            503
        );
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn an_output_too_long_to_be_kept_ends_broken() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let settings = ProxySettings {
            body_memory_bytes: 1000,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with(&[&endpoint], settings).await;
        let mut client = proxy.request(&post("/turn/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        connection
            .chunk(&format!("id: 2\ndata: {}\n\n", "x".repeat(2000)))
            .await;
        assert_eq!(
            client.try_message().await.unwrap_err().body,
            event(1).as_bytes()
        );
        assert!(connection.is_closed().await);
    });
}
