//! Tests of the emulated servers: the emulator's clients call them directly, without the system between them.

use dunespur_emulator::client::call::{call, Call};
use dunespur_emulator::client::{Client, RequestKind, RequestSpec, TurnHeaders};
use dunespur_emulator::configuration::{ConfigurationPlan, LimitsPlan, RoutePlan};
use dunespur_emulator::engine::{EngineServer, EngineSettings};
use dunespur_emulator::judge::{judge, JudgeSettings};
use dunespur_emulator::plain::{PlainServer, PlainSettings};
use dunespur_emulator::record::{AttemptOutcome, Fate, Record};
use dunespur_emulator::server::{ConnectionSettings, Identity, ServerFault, TestContext};
use dunespur_emulator::wire::{name, Headers};
use dunespur_emulator::{Clock, IdentitySource};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

const HOST: &str = "h.example";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Clock, record and client of a test, and the address of its server.
struct Fixture {
    context: TestContext,
    client: Client,
    address: SocketAddr,
}

async fn fixture(slots: u32) -> (Fixture, TcpListener, Identity) {
    let context = TestContext {
        clock: Clock::start(),
        record: Record::with_bodies(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = Identity {
        instance: "i-1".to_owned(),
        backend: "b".to_owned(),
        address,
        zone: "z".to_owned(),
        generation: "v1".to_owned(),
        slots,
    };
    let (clock, record) = (context.clock, context.record.clone());
    let client = Client::new(clock, record, IdentitySource::new(7), vec![address]);
    (
        Fixture {
            context,
            client,
            address,
        },
        listener,
        identity,
    )
}

async fn start_plain_server(slots: u32, settings: PlainSettings) -> (Fixture, PlainServer) {
    let (fixture, listener, identity) = fixture(slots).await;
    let server = PlainServer::start(listener, identity, settings, fixture.context.clone());
    (fixture, server)
}

async fn start_engine_server(slots: u32, settings: EngineSettings) -> (Fixture, EngineServer) {
    let (fixture, listener, identity) = fixture(slots).await;
    let server = EngineServer::start(listener, identity, settings, fixture.context.clone());
    (fixture, server)
}

impl Fixture {
    fn record(&self) -> &Record {
        &self.context.record
    }

    fn expect_no_violation(&self) {
        let streaming = RequestKind::Streaming { resumable: false };
        let routes = vec![
            RoutePlan::new("any", HOST, "/", RequestKind::ReadOnly, "b"),
            RoutePlan::new("turns", HOST, "/turns/", streaming, "b"),
        ];
        let version = ConfigurationPlan {
            generation: 1,
            routes,
            services: Vec::new(),
            limits: LimitsPlan::default(),
        };
        assert_eq!(judge(self.record(), &JudgeSettings::of(vec![version])), []);
    }
}

/// A mutating request, sent without retries.
fn mutating_request(target: &str) -> RequestSpec {
    RequestSpec {
        retries: 0,
        ..RequestSpec::post(HOST, target, RequestKind::Mutating, "body")
    }
}

/// A turn, sent without retries.
fn turn_request(max_tokens: u64) -> RequestSpec {
    let mut spec = RequestSpec::post(
        HOST,
        "/turns/x",
        RequestKind::Streaming { resumable: false },
        "prompt",
    );
    spec.retries = 0;
    spec.turn = Some(TurnHeaders {
        model: "m".to_owned(),
        prompt_tokens: 100,
        max_tokens,
        prefix: "a:60,b:40".to_owned(),
        chunk_tokens: 3,
        budget: None,
        previous: None,
    });
    spec
}

#[tokio::test]
async fn a_plain_server_gives_each_response_its_own_stamp_and_body() {
    let (fixture, _server) = start_plain_server(2, PlainSettings::default()).await;
    let first = fixture.client.send(&mutating_request("/x")).await;
    let second = fixture.client.send(&mutating_request("/x")).await;
    let (first, second) = (first.answer().unwrap(), second.answer().unwrap());
    assert_eq!((first.status, first.body.len()), (200, 800));
    assert_ne!(first.stamp, second.stamp);
    assert_ne!(first.digest, second.digest);
    fixture.expect_no_violation();
}

#[tokio::test]
async fn a_full_server_rejects_a_request_as_not_run() {
    let (fixture, server) = start_plain_server(
        1,
        PlainSettings {
            queue: 1,
            ..PlainSettings::default()
        },
    )
    .await;
    server.gate.close();
    let mut pending = Vec::new();
    for count in 1..=2 {
        let client = fixture.client.clone();
        pending.push(tokio::spawn(async move {
            client.send(&mutating_request("/x")).await
        }));
        fixture
            .record()
            .until(|observations| observations.len() == count)
            .await;
    }
    server.gate.waiting(1).await;
    let rejected = fixture.client.send(&mutating_request("/x")).await;
    let answer = rejected.answer().unwrap();
    assert_eq!((answer.status, answer.not_executed), (503, true));
    server.gate.open();
    for pending in pending {
        assert!(pending.await.unwrap().succeeded());
    }
    fixture.expect_no_violation();
}

#[tokio::test]
async fn each_server_fault_leads_to_its_outcome_at_the_client() {
    let (fixture, server) = start_plain_server(1, PlainSettings::default()).await;
    let outcome = async |fault| {
        server.handle.faults.once(fault);
        fixture
            .client
            .send(&RequestSpec {
                deadline_ms: 300,
                ..mutating_request("/x")
            })
            .await
            .outcome
    };
    assert!(matches!(
        outcome(ServerFault::AnswerLost).await,
        AttemptOutcome::Closed
    ));
    assert!(matches!(
        outcome(ServerFault::TruncateBody { after: 10 }).await,
        AttemptOutcome::BrokenOff(_)
    ));
    assert!(matches!(
        outcome(ServerFault::SendGarbage).await,
        AttemptOutcome::Garbled(_)
    ));
    assert!(matches!(
        outcome(ServerFault::NeverAnswer).await,
        AttemptOutcome::GivenUp
    ));
    let status = async |fault| match outcome(fault).await {
        AttemptOutcome::Answered(answered) => {
            (answered.status, answered.not_executed, answered.surplus > 0)
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(status(ServerFault::Fail).await, (500, false, false));
    assert_eq!(status(ServerFault::Unavailable).await, (503, false, false));
    assert_eq!(
        status(ServerFault::Reject { status: 429 }).await,
        (429, true, false)
    );
    assert_eq!(status(ServerFault::Surplus).await, (200, false, true));
    let ran = fixture
        .record()
        .observations()
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
        .count();
    assert_eq!(ran, 7, "all requests but the rejected one have run");
}

#[tokio::test]
async fn a_request_for_another_instance_is_rejected_with_421() {
    let (fixture, _server) = start_plain_server(1, PlainSettings::default()).await;
    let mut spec = mutating_request("/x");
    spec.headers = Headers::new().with(name::EXPECT_INSTANCE, "i-2");
    assert_eq!(fixture.client.send(&spec).await.status(), Some(421));
    spec.headers = Headers::new().with(name::EXPECT_INSTANCE, "i-1");
    assert_eq!(fixture.client.send(&spec).await.status(), Some(200));
    let fates: Vec<Fate> = fixture
        .record()
        .observations()
        .iter()
        .map(|observation| observation.fate)
        .collect();
    assert_eq!(fates, [Fate::Rejected, Fate::Run]);
}

#[tokio::test]
async fn a_request_without_id_is_rejected_with_400() {
    let (fixture, _server) = start_plain_server(1, PlainSettings::default()).await;
    let answer = call(fixture.address, &Call::post("/x", "body"), CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.headers.get(name::NOT_EXECUTED).is_some());
}

#[tokio::test]
async fn connections_beyond_the_limit_are_reset() {
    let connections = ConnectionSettings {
        max_connections: 2,
        ..ConnectionSettings::default()
    };
    let (fixture, server) = start_plain_server(
        2,
        PlainSettings {
            connections,
            ..PlainSettings::default()
        },
    )
    .await;
    server.gate.close();
    let mut pending = Vec::new();
    for count in 1..=2 {
        let client = fixture.client.clone();
        pending.push(tokio::spawn(async move {
            client.send(&mutating_request("/x")).await
        }));
        server.gate.waiting(count).await;
    }
    let over_limit = fixture.client.send(&mutating_request("/x")).await;
    assert!(
        matches!(
            over_limit.outcome,
            AttemptOutcome::Closed | AttemptOutcome::NotSent
        ),
        "{over_limit:?}"
    );
    assert_eq!((server.handle.accepted(), server.handle.reset()), (2, 1));
    server.gate.open();
    for pending in pending {
        assert!(pending.await.unwrap().succeeded());
    }
}

#[tokio::test]
async fn the_health_check_names_the_instance_and_fails_once_the_server_is_leaving() {
    let (fixture, server) = start_plain_server(1, PlainSettings::default()).await;
    let spec = Call::get("/healthz");
    let answer = call(fixture.address, &spec, CALL_TIMEOUT).await.unwrap();
    assert_eq!(
        (answer.status, answer.headers.get(name::INSTANCE_ID)),
        (200, Some("i-1"))
    );
    server.handle.set_leaving();
    assert_eq!(
        call(fixture.address, &spec, CALL_TIMEOUT)
            .await
            .unwrap()
            .status,
        503
    );
    assert_eq!(server.handle.probes(), 2);
}

#[tokio::test]
async fn a_model_server_streams_its_tokens_in_events() {
    let (fixture, server) = start_engine_server(4, EngineSettings::default()).await;
    let served = fixture.client.send(&turn_request(10)).await;
    let answer = served.answer().unwrap();
    let ids: Vec<u64> = answer.events.iter().map(|event| event.id).collect();
    assert_eq!(
        ids,
        [0, 1, 2, 3],
        "the events hold three tokens each, except the last one"
    );
    assert_eq!(server.prompt_tokens_prefilled(), 100);
    fixture.client.send(&turn_request(10)).await;
    assert_eq!(
        server.prompt_tokens_prefilled(),
        100,
        "the second prompt needs no prefill, as both its segments are cached"
    );
    fixture.expect_no_violation();
}

#[tokio::test]
async fn each_step_waits_at_the_gate() {
    let (fixture, server) = start_engine_server(
        4,
        EngineSettings {
            chunk_tokens: 1,
            ..EngineSettings::default()
        },
    )
    .await;
    server.gate.close();
    let client = fixture.client.clone();
    let turn = tokio::spawn(async move { client.send(&turn_request(3)).await });
    for count in 0..3 {
        server.gate.waiting(1).await;
        let observations = fixture.record().observations();
        assert_eq!(observations[0].events.len(), count);
        server.gate.release(1);
        fixture
            .record()
            .until(|observations| observations[0].events.len() == count + 1)
            .await;
    }
    assert!(turn.await.unwrap().succeeded());
}

#[tokio::test]
async fn a_caller_that_disconnects_releases_its_slot() {
    let (fixture, server) = start_engine_server(
        1,
        EngineSettings {
            queue: 0,
            ..EngineSettings::default()
        },
    )
    .await;
    server.gate.close();
    let client = fixture.client.clone();
    let dropped = tokio::spawn(async move { client.send(&turn_request(3)).await });
    server.gate.waiting(1).await;
    assert_eq!(
        fixture.client.send(&turn_request(3)).await.status(),
        Some(503)
    );
    dropped.abort();
    fixture
        .record()
        .until(|observations| observations[0].fate == Fate::Abandoned)
        .await;
    server.gate.open();
    assert!(fixture.client.send(&turn_request(3)).await.succeeded());
    fixture.expect_no_violation();
}

#[tokio::test]
async fn a_stream_truncated_inside_an_event_never_looks_complete() {
    let (fixture, server) = start_engine_server(1, EngineSettings::default()).await;
    for after in [0, 1, 30, 60, 100] {
        server
            .handle
            .faults
            .once(ServerFault::TruncateBody { after });
        let served = fixture.client.send(&turn_request(12)).await;
        assert!(
            matches!(served.outcome, AttemptOutcome::BrokenOff(_)),
            "truncated after {after} bytes: {served:?}"
        );
    }
    fixture.expect_no_violation();
}

#[tokio::test]
async fn a_report_states_load_and_memory_use() {
    let (fixture, server) = start_engine_server(2, EngineSettings::default()).await;
    server.gate.close();
    let client = fixture.client.clone();
    let pending = tokio::spawn(async move { client.send(&turn_request(6)).await });
    server.gate.waiting(1).await;
    server.gate.release(1);
    server.gate.waiting(1).await;
    let answer = call(fixture.address, &Call::get("/api/report"), CALL_TIMEOUT)
        .await
        .unwrap();
    let report: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(
        (report["running"].as_u64(), report["queued"].as_u64()),
        (Some(1), Some(0))
    );
    assert_eq!(
        report["kv_used"].as_u64(),
        Some(101),
        "the tokens of the prompt and one generated token"
    );
    server.gate.open();
    assert!(pending.await.unwrap().succeeded());
}

#[tokio::test]
async fn an_attempt_whose_client_is_dropped_is_recorded_as_given_up() {
    let (fixture, server) = start_plain_server(1, PlainSettings::default()).await;
    server.gate.close();
    let client = fixture.client.clone();
    let dropped = tokio::spawn(async move { client.send(&mutating_request("/x")).await });
    server.gate.waiting(1).await;
    dropped.abort();
    assert!(dropped.await.is_err());
    assert!(matches!(
        fixture.record().attempts()[0].outcome,
        AttemptOutcome::GivenUp
    ));
    fixture.expect_no_violation();
}
