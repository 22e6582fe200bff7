//! Many clients at once, and endpoints that do all that endpoints may do. Whatever happens, and in whichever order, the
//! rules of the data plane hold.

mod support;

use fastrand::Rng;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use support::{event, events, post, run_test, Message, NodeCall, Peer, TestEndpoint, TestProxy};
use tokio::task::spawn_local;

const CLIENTS: u64 = 8;
const REQUESTS_PER_CLIENT: u64 = 25;
const EVENTS: u64 = 6;
const SEEDS: u64 = 6;

/// Which endpoints ran each request, one entry a run.
type Runs = Rc<RefCell<HashMap<String, Vec<String>>>>;

/// An endpoint that draws what it does with each request, until the test ends.
fn random_endpoint(mut rng: Rng, endpoint: TestEndpoint, runs: Runs) {
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
        let streams =
            request.first_line.contains("/stream/") || request.first_line.contains("/resume");
        let draw = rng.u32(0..14);
        match draw {
            0 => {
                peer.respond(503, &id, "X-Dunespur-Not-Executed: full\r\n", "")
                    .await;
                continue;
            }
            // Another instance says so, and that one has not run it before.
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
            9 if streams => return broken_stream(&mut rng, &mut peer, &request).await,
            _ if streams => stream(&mut peer, &request, EVENTS).await,
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
        .is_some_and(|endpoints| endpoints.iter().any(|ran| ran == endpoint))
}

fn first_event(request: &Message) -> u64 {
    request
        .header("last-event-id")
        .map_or(1, |id| id.parse::<u64>().unwrap() + 1)
}

async fn stream(peer: &mut Peer, request: &Message, last: u64) {
    peer.stream_head(request.id(), "Keep-Alive: timeout=5\r\n")
        .await;
    for id in first_event(request)..=last {
        peer.chunk(&event(id)).await;
    }
    peer.last_chunk().await;
}

/// One that is truncated within an event, or sends one twice.
async fn broken_stream(rng: &mut Rng, peer: &mut Peer, request: &Message) {
    let first = first_event(request);
    peer.stream_head(request.id(), "").await;
    for id in first..=rng.u64(1..=EVENTS) {
        peer.chunk(&event(id)).await;
    }
    match rng.u32(0..3) {
        0 => peer.chunk("id: 7\nda").await,
        1 if first > 1 => peer.chunk(&event(first - 1)).await,
        1 => peer.chunk(&event(1)).await,
        _ => {}
    }
}

/// What a client got for a request.
struct Got {
    id: String,
    kind: &'static str,
    status: u16,
    stamped: bool,
    body: Result<Vec<u8>, Vec<u8>>,
}

async fn load_client(mut rng: Rng, proxy: Rc<TestProxy>, number: u64) -> Vec<Got> {
    let mut got = Vec::new();
    let mut client = proxy.client().await;
    for request in 0..REQUESTS_PER_CLIENT {
        let id = format!("c{number}r{request}");
        let kind = [
            "/read/",
            "/read2/",
            "/write/",
            "/stream/",
            "/resume/",
            "/resume2/",
        ][rng.usize(0..6)];
        let more = "Program: p\r\nBudget: 100000\r\nX-Dunespur-Token-Count: 10,100\r\n";
        client.send(post(kind, &id, more, &id).as_bytes()).await;
        if rng.u32(0..10) == 0 {
            // It disconnects without its response.
            client = proxy.client().await;
            continue;
        }
        let head = client.head().await;
        let body = client.body_of(&head).await;
        if body.is_err() || head.header("connection") == Some("close") {
            client = proxy.client().await;
        }
        let stamped = head.header("x-dunespur-response-stamp").is_some();
        got.push(Got {
            id,
            kind,
            status: head.status(),
            stamped,
            body,
        });
    }
    got
}

fn check(got: &Got, runs: &[String]) {
    let Got {
        id,
        kind,
        status,
        stamped,
        body,
    } = got;
    let streams = kind.starts_with("/stream") || kind.starts_with("/resume");
    match (status, body) {
        (200, Ok(body)) if streams => assert_eq!(body, events(1..=EVENTS).as_bytes(), "{id}"),
        (200, Ok(body)) => assert_eq!(body, id.as_bytes(), "{id}"),
        (200, Err(part)) => {
            assert!(streams, "{id}: a short response is complete or absent");
            assert!(events(1..=EVENTS).as_bytes().starts_with(part), "{id}");
            assert!(part.is_empty() || part.ends_with(b"\n\n"), "{id}");
        }
        (500, Ok(body)) => assert_eq!(body, b"failed", "{id}"),
        (503, Ok(_)) => assert!(runs.is_empty(), "{id}: said not to have run"),
        (502, Ok(_)) => assert!(!runs.is_empty(), "{id}: never sent"),
        other => panic!("{id}: {other:?}"),
    }
    assert_eq!(*stamped, matches!(status, 200 | 500), "{id}");
    assert!(
        !runs.is_empty() || *status == 503,
        "{id}: answered by nobody"
    );
    let endpoints: HashSet<_> = runs.iter().collect();
    let most_servers = if kind.ends_with("2/") { 2 } else { 1 };
    assert!(
        endpoints.len() <= most_servers,
        "{id}: run at {endpoints:?}"
    );
    let once = matches!(*kind, "/write/" | "/stream/");
    assert!(!once || runs.len() <= 1, "{id}: run at {runs:?}");
}

#[test]
fn promises_hold_under_random_load() {
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
        random_endpoint(rng.fork(), endpoint, runs.clone());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| spawn_local(load_client(rng.fork(), proxy.clone(), number)))
        .collect();
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.await.unwrap());
    }
    // Requests of disconnected clients end as well.
    while proxy.server.counters().connections > 0 {
        tokio::task::yield_now().await;
    }
    let runs = runs.borrow();
    for got in &all {
        check(got, runs.get(&got.id).map_or(&[], Vec::as_slice));
    }
    let calls = proxy.node.calls();
    let count = |wanted: fn(&NodeCall) -> bool| calls.iter().filter(|calls| wanted(calls)).count();
    assert_eq!(
        count(|calls| matches!(calls, NodeCall::RecordOutcome(_))),
        proxy.node.sends()
    );
    assert_eq!(
        count(|calls| matches!(calls, NodeCall::Admit { .. })),
        count(|calls| *calls == NodeCall::Release)
    );
    assert_eq!(proxy.server.counters().body_bytes, 0);
}
