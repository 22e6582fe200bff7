//! The stand-ins for servers, asked by the stand-in for clients without anything between.

use dunespur_emulator::client::call::{call, Call};
use dunespur_emulator::client::{Ask, Client, Kind, Turn};
use dunespur_emulator::configuration::{ConfigurationPlan, LimitsPlan, RoutePlan};
use dunespur_emulator::engine::{EngineServer, EngineSettings};
use dunespur_emulator::judge::{judge, Terms};
use dunespur_emulator::plain::{PlainServer, PlainSettings};
use dunespur_emulator::record::{Fate, Record, TryOutcome};
use dunespur_emulator::server::{DoorSettings, Identity, Surroundings, Trouble};
use dunespur_emulator::wire::{name, Headers};
use dunespur_emulator::{Clock, IdentitySource};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

const HOST: &str = "h.example";
const LIMIT: Duration = Duration::from_secs(5);

struct Place {
    surroundings: Surroundings,
    client: Client,
    address: SocketAddr,
}

async fn place(slots: u32) -> (Place, TcpListener, Identity) {
    let surroundings = Surroundings {
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
    let (clock, record) = (surroundings.clock, surroundings.record.clone());
    let client = Client::new(clock, record, IdentitySource::new(7), vec![address]);
    (
        Place {
            surroundings,
            client,
            address,
        },
        listener,
        identity,
    )
}

async fn plain(slots: u32, settings: PlainSettings) -> (Place, PlainServer) {
    let (place, listener, identity) = place(slots).await;
    let server = PlainServer::start(listener, identity, settings, place.surroundings.clone());
    (place, server)
}

async fn engine(slots: u32, settings: EngineSettings) -> (Place, EngineServer) {
    let (place, listener, identity) = place(slots).await;
    let server = EngineServer::start(listener, identity, settings, place.surroundings.clone());
    (place, server)
}

impl Place {
    fn record(&self) -> &Record {
        &self.surroundings.record
    }

    fn expect_no_violation(&self) {
        let streaming = Kind::Streaming { resumable: false };
        let routes = vec![
            RoutePlan::new("any", HOST, "/", Kind::ReadOnly, "b"),
            RoutePlan::new("turns", HOST, "/turns/", streaming, "b"),
        ];
        let version = ConfigurationPlan {
            generation: 1,
            routes,
            services: Vec::new(),
            limits: LimitsPlan::default(),
        };
        assert_eq!(judge(self.record(), &Terms::of(vec![version])), []);
    }
}

fn once(target: &str) -> Ask {
    Ask {
        retries: 0,
        ..Ask::post(HOST, target, Kind::Mutating, "body")
    }
}

fn turn(most: u64) -> Ask {
    let mut ask = Ask::post(
        HOST,
        "/turns/x",
        Kind::Streaming { resumable: false },
        "prompt",
    );
    ask.retries = 0;
    ask.turn = Some(Turn {
        model: "m".to_owned(),
        prompt_tokens: 100,
        most,
        prefix: "a:60,b:40".to_owned(),
        chunk_tokens: 3,
        budget: None,
        previous: None,
    });
    ask
}

#[tokio::test]
async fn a_plain_server_answers_with_id_stamp_and_a_body_of_its_own() {
    let (place, _server) = plain(2, PlainSettings::default()).await;
    let first = place.client.send(&once("/x")).await;
    let second = place.client.send(&once("/x")).await;
    let (first, second) = (first.answer().unwrap(), second.answer().unwrap());
    assert_eq!((first.status, first.body.len()), (200, 800));
    assert_ne!(first.stamp, second.stamp);
    assert_ne!(first.digest, second.digest);
    place.expect_no_violation();
}

#[tokio::test]
async fn a_full_server_says_that_it_did_not_run_the_request() {
    let (place, server) = plain(
        1,
        PlainSettings {
            queue: 1,
            ..PlainSettings::default()
        },
    )
    .await;
    server.gate.hold();
    let mut held = Vec::new();
    for count in 1..=2 {
        let client = place.client.clone();
        held.push(tokio::spawn(async move { client.send(&once("/x")).await }));
        place
            .record()
            .until(|sightings| sightings.len() == count)
            .await;
    }
    server.gate.waiting(1).await;
    let refused = place.client.send(&once("/x")).await;
    let answer = refused.answer().unwrap();
    assert_eq!((answer.status, answer.not_executed), (503, true));
    server.gate.open();
    for held in held {
        assert!(held.await.unwrap().succeeded());
    }
    place.expect_no_violation();
}

#[tokio::test]
async fn troubles_look_like_what_they_are() {
    let (place, server) = plain(1, PlainSettings::default()).await;
    let outcome = async |trouble| {
        server.door.troubles.once(trouble);
        place
            .client
            .send(&Ask {
                deadline_ms: 300,
                ..once("/x")
            })
            .await
            .outcome
    };
    assert!(matches!(
        outcome(Trouble::AnswerLost).await,
        TryOutcome::Closed
    ));
    assert!(matches!(
        outcome(Trouble::Cut { after: 10 }).await,
        TryOutcome::BrokenOff(_)
    ));
    assert!(matches!(
        outcome(Trouble::Garble).await,
        TryOutcome::Garbled(_)
    ));
    assert!(matches!(outcome(Trouble::Mute).await, TryOutcome::GivenUp));
    let status = async |trouble| match outcome(trouble).await {
        TryOutcome::Answered(answered) => {
            (answered.status, answered.not_executed, answered.surplus > 0)
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(status(Trouble::Fail).await, (500, false, false));
    assert_eq!(status(Trouble::Unavailable).await, (503, false, false));
    assert_eq!(
        status(Trouble::TurnAway { status: 429 }).await,
        (429, true, false)
    );
    assert_eq!(status(Trouble::Surplus).await, (200, false, true));
    let ran = place
        .record()
        .sightings()
        .iter()
        .filter(|sighting| sighting.fate == Fate::Run)
        .count();
    assert_eq!(ran, 7, "all but the one turned away");
}

#[tokio::test]
async fn another_server_than_the_expected_one_is_421_and_runs_nothing() {
    let (place, _server) = plain(1, PlainSettings::default()).await;
    let mut ask = once("/x");
    ask.headers = Headers::new().with(name::EXPECT_INSTANCE, "i-2");
    assert_eq!(place.client.send(&ask).await.status(), Some(421));
    ask.headers = Headers::new().with(name::EXPECT_INSTANCE, "i-1");
    assert_eq!(place.client.send(&ask).await.status(), Some(200));
    let fates: Vec<Fate> = place
        .record()
        .sightings()
        .iter()
        .map(|sighting| sighting.fate)
        .collect();
    assert_eq!(fates, [Fate::TurnedAway, Fate::Run]);
}

#[tokio::test]
async fn a_request_without_id_is_400_and_not_run() {
    let (place, _server) = plain(1, PlainSettings::default()).await;
    let answer = call(place.address, &Call::post("/x", "body"), LIMIT)
        .await
        .unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.headers.get(name::NOT_EXECUTED).is_some());
}

#[tokio::test]
async fn connections_beyond_the_most_are_reset() {
    let door = DoorSettings {
        max_connections: 2,
        ..DoorSettings::default()
    };
    let (place, server) = plain(
        2,
        PlainSettings {
            door,
            ..PlainSettings::default()
        },
    )
    .await;
    server.gate.hold();
    let mut held = Vec::new();
    for count in 1..=2 {
        let client = place.client.clone();
        held.push(tokio::spawn(async move { client.send(&once("/x")).await }));
        server.gate.waiting(count).await;
    }
    let third = place.client.send(&once("/x")).await;
    assert!(
        matches!(third.outcome, TryOutcome::Closed | TryOutcome::NotSent),
        "{third:?}"
    );
    assert_eq!((server.door.accepted(), server.door.reset()), (2, 1));
    server.gate.open();
    for held in held {
        assert!(held.await.unwrap().succeeded());
    }
}

#[tokio::test]
async fn health_names_the_server_until_it_leaves() {
    let (place, server) = plain(1, PlainSettings::default()).await;
    let ask = Call::get("/healthz");
    let answer = call(place.address, &ask, LIMIT).await.unwrap();
    assert_eq!(
        (answer.status, answer.headers.get(name::INSTANCE_ID)),
        (200, Some("i-1"))
    );
    server.door.set_leaving();
    assert_eq!(call(place.address, &ask, LIMIT).await.unwrap().status, 503);
    assert_eq!(server.door.probes(), 2);
}

#[tokio::test]
async fn a_model_server_streams_its_tokens_in_events() {
    let (place, server) = engine(4, EngineSettings::default()).await;
    let served = place.client.send(&turn(10)).await;
    let answer = served.answer().unwrap();
    let ids: Vec<u64> = answer.events.iter().map(|event| event.id).collect();
    assert_eq!(
        ids,
        [0, 1, 2, 3],
        "three tokens each, the last event not full"
    );
    assert_eq!(server.tokens_read(), 100);
    place.client.send(&turn(10)).await;
    assert_eq!(
        server.tokens_read(),
        100,
        "both parts of the prompt are kept"
    );
    place.expect_no_violation();
}

#[tokio::test]
async fn the_test_lets_each_step_go() {
    let (place, server) = engine(
        4,
        EngineSettings {
            chunk_tokens: 1,
            ..EngineSettings::default()
        },
    )
    .await;
    server.gate.hold();
    let client = place.client.clone();
    let turn = tokio::spawn(async move { client.send(&turn(3)).await });
    for count in 0..3 {
        server.gate.waiting(1).await;
        let sightings = place.record().sightings();
        assert_eq!(sightings[0].events.len(), count);
        server.gate.let_go(1);
        place
            .record()
            .until(|sightings| sightings[0].events.len() == count + 1)
            .await;
    }
    assert!(turn.await.unwrap().succeeded());
}

#[tokio::test]
async fn a_caller_that_leaves_gives_its_place_back() {
    let (place, server) = engine(
        1,
        EngineSettings {
            queue: 0,
            ..EngineSettings::default()
        },
    )
    .await;
    server.gate.hold();
    let client = place.client.clone();
    let left = tokio::spawn(async move { client.send(&turn(3)).await });
    server.gate.waiting(1).await;
    assert_eq!(place.client.send(&turn(3)).await.status(), Some(503));
    left.abort();
    place
        .record()
        .until(|sightings| sightings[0].fate == Fate::Abandoned)
        .await;
    server.gate.open();
    assert!(place.client.send(&turn(3)).await.succeeded());
    place.expect_no_violation();
}

#[tokio::test]
async fn a_stream_cut_inside_an_event_never_looks_whole() {
    let (place, server) = engine(1, EngineSettings::default()).await;
    for after in [0, 1, 30, 60, 100] {
        server.door.troubles.once(Trouble::Cut { after });
        let served = place.client.send(&turn(12)).await;
        assert!(
            matches!(served.outcome, TryOutcome::BrokenOff(_)),
            "{after}: {served:?}"
        );
    }
    place.expect_no_violation();
}

#[tokio::test]
async fn a_report_tells_load_and_memory() {
    let (place, server) = engine(2, EngineSettings::default()).await;
    server.gate.hold();
    let client = place.client.clone();
    let held = tokio::spawn(async move { client.send(&turn(6)).await });
    server.gate.waiting(1).await;
    server.gate.let_go(1);
    server.gate.waiting(1).await;
    let answer = call(place.address, &Call::get("/api/report"), LIMIT)
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
        "the prompt and one token"
    );
    server.gate.open();
    assert!(held.await.unwrap().succeeded());
}

#[tokio::test]
async fn a_try_whose_client_is_dropped_is_in_the_record() {
    let (place, server) = plain(1, PlainSettings::default()).await;
    server.gate.hold();
    let client = place.client.clone();
    let left = tokio::spawn(async move { client.send(&once("/x")).await });
    server.gate.waiting(1).await;
    left.abort();
    assert!(left.await.is_err());
    assert!(matches!(
        place.record().tries()[0].outcome,
        TryOutcome::GivenUp
    ));
    place.expect_no_violation();
}
