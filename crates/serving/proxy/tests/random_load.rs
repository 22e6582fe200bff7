//! Concurrent clients and endpoints with random behavior. Guards against violations of the data plane's rules that
//! depend on the order of events.

mod support;

use fastrand::Rng;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use support::{event, events, post, run_test, Message, NodeCall, Peer, TestEndpoint, TestProxy};
use tokio::task::spawn_local;

const CLIENTS: u64 = 8;
const REQUESTS_PER_CLIENT: u64 = 25;
/// The number of events of a complete stream.
const EVENTS: u64 = 6;
const SEEDS: u64 = 6;

/// The endpoints that ran each request, with one entry for each run.
type Runs = Rc<RefCell<HashMap<String, Vec<String>>>>;

/// Starts an endpoint that handles each request in a random way, until the test ends.
fn start_random_endpoint(mut rng: Rng, endpoint: TestEndpoint, runs: Runs) {
    spawn_local(async move {
        loop {
            let peer = endpoint.accept().await;
            spawn_local(serve(rng.fork(), peer, endpoint.id.clone(), runs.clone()));
        }
    });
}

async fn serve(mut rng: Rng, mut peer: Peer, endpoint: String, runs: Runs) {
    loop {
        let Some(request) = peer.next_message().await else {
            return;
        };
        let id = request.id().to_owned();
        let is_stream =
            request.first_line.contains("/stream/") || request.first_line.contains("/resume");
        let draw = rng.u32(0..14);
        match draw {
            0 => {
                peer.respond(503, &id, "X-Dunespur-Not-Executed: full\r\n", "")
                    .await;
                continue;
            }
            // A 421 comes from another instance, so only an instance that has not run the request may send it.
            1 if !has_run(&runs, &id, &endpoint) => {
                peer.respond(421, &id, "", "").await;
                continue;
            }
            _ => runs
                .borrow_mut()
                .entry(id.clone())
                .or_default()
                .push(endpoint.clone()),
        }
        match draw {
            2 => return peer.reset(),
            3 => return,
            4 => peer.respond(500, &id, "", "failed").await,
            5 => peer.respond(503, &id, "", "an unconfirmed rejection").await,
            6 => peer.respond(200, "another", "", "another's").await,
            7 => return peer.send(b"\x00garbage\r\n\r\n").await,
            8 => return peer.send(format!("HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 20\r\n\r\nhalf").as_bytes()).await,
            9 if is_stream => return send_broken_stream(&mut rng, &mut peer, &request).await,
            _ if is_stream => send_stream(&mut peer, &request, EVENTS).await,
            9 => {
                peer.respond(200, &id, "Keep-Alive: timeout=5\r\n", &id).await;
                peer.respond(200, &id, "Keep-Alive: timeout=5\r\n", &id).await;
            }
            10 => peer.respond(200, &id, "Connection: close\r\n", &id).await,
            _ => peer.respond(200, &id, "Keep-Alive: timeout=5\r\n", &id).await,
        }
    }
}

fn has_run(runs: &Runs, id: &str, endpoint: &str) -> bool {
    runs.borrow()
        .get(id)
        .is_some_and(|endpoints| endpoints.iter().any(|other| other == endpoint))
}

fn first_event_id(request: &Message) -> u64 {
    request
        .header("last-event-id")
        .map_or(1, |id| id.parse::<u64>().unwrap() + 1)
}

/// Sends a complete stream, from the event after the request's `Last-Event-Id` on.
async fn send_stream(peer: &mut Peer, request: &Message, last: u64) {
    peer.send_stream_head(request.id(), "Keep-Alive: timeout=5\r\n")
        .await;
    for id in first_event_id(request)..=last {
        peer.send_chunk(&event(id)).await;
    }
    peer.send_last_chunk().await;
}

/// Sends a stream that is truncated, possibly within an event, or repeats an event.
async fn send_broken_stream(rng: &mut Rng, peer: &mut Peer, request: &Message) {
    let first = first_event_id(request);
    peer.send_stream_head(request.id(), "").await;
    for id in first..=rng.u64(1..=EVENTS) {
        peer.send_chunk(&event(id)).await;
    }
    match rng.u32(0..3) {
        0 => peer.send_chunk("id: 7\nda").await,
        1 if first > 1 => peer.send_chunk(&event(first - 1)).await,
        1 => peer.send_chunk(&event(1)).await,
        _ => {}
    }
}

/// The response that a client got to a request.
struct ClientResponse {
    id: String,
    path: &'static str,
    status: u16,
    stamped: bool,
    body: Result<Vec<u8>, Vec<u8>>,
}

async fn load_client(
    mut rng: Rng,
    proxy: Rc<TestProxy>,
    client_number: u64,
) -> Vec<ClientResponse> {
    let mut responses = Vec::new();
    let mut client = proxy.client().await;
    for request in 0..REQUESTS_PER_CLIENT {
        let id = format!("c{client_number}r{request}");
        let path = [
            "/read/",
            "/read2/",
            "/write/",
            "/stream/",
            "/resume/",
            "/resume2/",
        ][rng.usize(0..6)];
        let more_headers = "Program: p\r\nBudget: 100000\r\nX-Dunespur-Token-Count: 10,100\r\n";
        client
            .send(post(path, &id, more_headers, &id).as_bytes())
            .await;
        if rng.u32(0..10) == 0 {
            // The client disconnects without waiting for the response.
            client = proxy.client().await;
            continue;
        }
        let head = client.head().await;
        let body = client.read_body(&head).await;
        if body.is_err() || head.header("connection") == Some("close") {
            client = proxy.client().await;
        }
        let stamped = head.header("x-dunespur-response-stamp").is_some();
        responses.push(ClientResponse {
            id,
            path,
            status: head.status(),
            stamped,
            body,
        });
    }
    responses
}

/// Checks a response against the runs of its request.
fn check(response: &ClientResponse, runs: &[String]) {
    let ClientResponse {
        id,
        path,
        status,
        stamped,
        body,
    } = response;
    let is_stream = path.starts_with("/stream") || path.starts_with("/resume");
    match (status, body) {
        (200, Ok(body)) if is_stream => assert_eq!(body, events(1..=EVENTS).as_bytes(), "{id}"),
        (200, Ok(body)) => assert_eq!(body, id.as_bytes(), "{id}"),
        (200, Err(part)) => {
            assert!(is_stream, "{id}: a truncated 200 that is not a stream");
            assert!(events(1..=EVENTS).as_bytes().starts_with(part), "{id}");
            assert!(part.is_empty() || part.ends_with(b"\n\n"), "{id}");
        }
        (500, Ok(body)) => assert_eq!(body, b"failed", "{id}"),
        (503, Ok(_)) => assert!(runs.is_empty(), "{id}: a 503 although it has run"),
        (502, Ok(_)) => assert!(!runs.is_empty(), "{id}: a 502 although it was never sent"),
        other => panic!("{id}: {other:?}"),
    }
    assert_eq!(*stamped, matches!(status, 200 | 500), "{id}");
    assert!(
        !runs.is_empty() || *status == 503,
        "{id}: not run, but status {status} instead of 503"
    );
    let endpoints: HashSet<_> = runs.iter().collect();
    let max_endpoints = if path.ends_with("2/") { 2 } else { 1 };
    assert!(
        endpoints.len() <= max_endpoints,
        "{id}: run at more than {max_endpoints} endpoints: {endpoints:?}"
    );
    let must_run_once = matches!(*path, "/write/" | "/stream/");
    assert!(
        !must_run_once || runs.len() <= 1,
        "{id}: run more than once: {runs:?}"
    );
}

#[test]
fn the_rules_hold_under_random_load() {
    for seed in 0..SEEDS {
        run_test(random_load(seed));
    }
}

async fn random_load(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let runs = Runs::default();
    let mut endpoints = Vec::new();
    for number in 0..4 {
        endpoints.push(TestEndpoint::start(&format!("i-{number}")).await);
    }
    let proxy = Rc::new(TestProxy::start(&endpoints.iter().collect::<Vec<_>>()).await);
    for endpoint in endpoints {
        start_random_endpoint(rng.fork(), endpoint, runs.clone());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| spawn_local(load_client(rng.fork(), proxy.clone(), number)))
        .collect();
    let mut responses = Vec::new();
    for client in clients {
        responses.extend(client.await.unwrap());
    }
    // Waits for the end of the requests of disconnected clients.
    while proxy.server.counters().connections > 0 {
        tokio::task::yield_now().await;
    }
    let runs = runs.borrow();
    for response in &responses {
        check(response, runs.get(&response.id).map_or(&[], Vec::as_slice));
    }
    let calls = proxy.node.calls();
    let count = |wanted: fn(&NodeCall) -> bool| calls.iter().filter(|call| wanted(call)).count();
    assert_eq!(
        count(|call| matches!(call, NodeCall::RecordOutcome(_))),
        proxy.node.sends()
    );
    assert_eq!(
        count(|call| matches!(call, NodeCall::Admit { .. })),
        count(|call| *call == NodeCall::Release)
    );
    assert_eq!(proxy.server.counters().body_bytes, 0);
}
