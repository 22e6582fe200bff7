//! Tests of the judge: each rule is reported when a record breaks it, and no other rule is.

use bytes::Bytes;
use dunespur_emulator::client::RequestKind;
use dunespur_emulator::configuration::{ConfigurationPlan, LimitsPlan, RoutePlan};
use dunespur_emulator::judge::{judge, JudgeSettings, Rule, Span, CONFIG_APPLY_MS, DRAIN_MS};
use dunespur_emulator::record::{
    Acknowledged, Answered, AttemptOutcome, AttemptRecord, Fate, Observation, ProgramAttempt,
    Record, Timings,
};
use dunespur_emulator::wire::Event;
use dunespur_emulator::{Digest, RequestId};

const HOST: &str = "h.example";

fn settings() -> JudgeSettings {
    let streaming = RequestKind::Streaming { resumable: false };
    let mut persisted_route = RoutePlan::new("kept", HOST, "/kept/", streaming, "models");
    persisted_route.persisted = true;
    let routes = vec![
        persisted_route,
        RoutePlan::new("record", HOST, "/record/", RequestKind::Mutating, "tools"),
        RoutePlan::new("lookup", HOST, "/lookup/", RequestKind::ReadOnly, "tools"),
    ];
    JudgeSettings::of(vec![version(1, routes)])
}

fn version(generation: u64, routes: Vec<RoutePlan>) -> ConfigurationPlan {
    ConfigurationPlan {
        generation,
        routes,
        services: Vec::new(),
        limits: LimitsPlan::default(),
    }
}

/// One request as its servers and its client observed it.
struct Exchange {
    observations: Vec<Observation>,
    attempt: AttemptRecord,
}

fn events() -> Vec<Event> {
    (0..4)
        .map(|id| Event {
            id,
            data: format!("piece {id}"),
        })
        .collect()
}

fn stream_body() -> Bytes {
    events()
        .iter()
        .flat_map(|event| event.bytes().to_vec())
        .collect()
}

fn observation(id: u64, target: &str, backend: &str, body: &[u8]) -> Observation {
    Observation {
        number: 0,
        at_ms: 100,
        instance: format!("i-{backend}"),
        backend: backend.to_owned(),
        request: Some(RequestId(id)),
        method: "POST".to_owned(),
        target: target.to_owned(),
        digest: Digest::of(body),
        body: None,
        program: None,
        deadline_ms: Some(1_000),
        fate: Fate::Run,
        stamp: Some(format!("stamp {id}")),
        status: Some(200),
        sent_digest: Some(Digest::of(b"answer")),
        events: Vec::new(),
        complete: true,
        faulted: false,
        timings: Timings::default(),
    }
}

fn answered(id: u64, status: u16, body: &[u8]) -> Answered {
    Answered {
        status,
        request: Some(RequestId(id)),
        stamp: Some(format!("stamp {id}")),
        encoding: None,
        not_executed: false,
        retry_after_ms: None,
        digest: Digest::of(body),
        body: Bytes::copy_from_slice(body),
        events: Vec::new(),
        garbled_events: 0,
        trailing_bytes: 0,
        first_event_us: None,
        longest_gap_ms: 0,
        surplus: 0,
    }
}

fn exchange(id: u64, target: &str, backend: &str) -> Exchange {
    let attempt = AttemptRecord {
        number: 0,
        request: RequestId(id),
        operation: id,
        front: "127.0.0.1:80".parse().unwrap(),
        sent_ms: 90,
        ended_ms: 200,
        host: HOST.to_owned(),
        method: "POST".to_owned(),
        target: target.to_owned(),
        expected: Some(Digest::of(b"asked")),
        idempotent: target.starts_with("/lookup/"),
        program: None,
        outcome: AttemptOutcome::Answered(answered(id, 200, b"answer")),
        timings: Timings::default(),
    };
    Exchange {
        observations: vec![observation(id, target, backend, b"asked")],
        attempt,
    }
}

/// A turn of a program with four events of three tokens.
fn turn(id: u64, previous: Option<u64>) -> Exchange {
    let mut turn = exchange(id, "/kept/x", "models");
    let body = stream_body();
    turn.observations[0].events = events();
    turn.observations[0].sent_digest = Some(Digest::of(&body));
    let mut answer = answered(id, 200, &body);
    answer.events = events();
    turn.attempt.outcome = AttemptOutcome::Answered(answer);
    turn.attempt.program = Some(ProgramAttempt {
        program: "p".to_owned(),
        budget: Some(100),
        max_tokens: 12,
        chunk_tokens: 3,
        previous: previous.map(RequestId),
    });
    turn
}

fn record_of(exchanges: Vec<Exchange>) -> Record {
    let record = Record::default();
    for exchange in exchanges {
        for observation in exchange.observations {
            record.record_observation(observation, &Bytes::new());
        }
        record.record_attempt(exchange.attempt);
    }
    record
}

/// The rules that a record of these exchanges breaks, sorted and without duplicates.
fn broken_rules(exchanges: Vec<Exchange>) -> Vec<Rule> {
    let mut rules: Vec<Rule> = judge(&record_of(exchanges), &settings())
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    rules.sort();
    rules.dedup();
    rules
}

/// The rules that a record of one correct exchange breaks after `change`.
fn broken_rules_after(change: impl FnOnce(&mut Exchange)) -> Vec<Rule> {
    let mut changed = exchange(1, "/record/x", "tools");
    change(&mut changed);
    broken_rules(vec![changed])
}

fn answered_mut(exchange: &mut Exchange) -> &mut Answered {
    match &mut exchange.attempt.outcome {
        AttemptOutcome::Answered(answered) => answered,
        other => panic!("{other:?}"),
    }
}

/// Replaces the response by a rejection of the system itself, which has no server's stamp.
fn reject(exchange: &mut Exchange, status: u16) {
    let mut rejection = answered(exchange.attempt.request.0, status, b"");
    rejection.stamp = None;
    exchange.attempt.outcome = AttemptOutcome::Answered(rejection);
}

#[test]
fn correct_exchanges_break_no_rule() {
    assert_eq!(broken_rules_after(|_| {}), []);
    assert_eq!(
        broken_rules(vec![
            turn(1, None),
            turn(2, Some(1)),
            exchange(3, "/lookup/x", "tools")
        ]),
        []
    );
    assert_eq!(
        broken_rules_after(|it| it.attempt.outcome = AttemptOutcome::Closed),
        []
    );
    assert_eq!(
        broken_rules_after(|it| it.attempt.outcome = AttemptOutcome::GivenUp),
        []
    );
}

#[test]
fn a_response_that_no_server_sent_breaks_mixed() {
    let mixed = [Rule::Mixed];
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).stamp = None),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).stamp = Some("another".to_owned())),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).digest = Digest::of(b"answe")),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).request = Some(RequestId(9))),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).encoding = Some("gzip".to_owned())),
        mixed
    );
    assert_eq!(broken_rules_after(|it| answered_mut(it).surplus = 1), mixed);
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).status = 201),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| answered_mut(it).status = 502),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| it.observations[0].status = Some(500)),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| it.observations[0].complete = false),
        mixed
    );
    assert_eq!(
        broken_rules_after(|it| it.attempt.outcome = AttemptOutcome::Garbled("x".to_owned())),
        mixed
    );
}

#[test]
fn a_request_that_no_client_sent_breaks_unasked() {
    let unasked = [Rule::Unasked];
    assert_eq!(
        broken_rules_after(|it| it.observations[0].digest = Digest::of(b"aske")),
        unasked
    );
    assert_eq!(
        broken_rules_after(|it| it.observations[0].method = "PUT".to_owned()),
        unasked
    );
    assert_eq!(
        broken_rules_after(|it| it.observations[0].target = "/record/x?y".to_owned()),
        unasked
    );
    let unknown = |it: &mut Exchange| {
        it.observations
            .push(observation(7, "/record/x", "tools", b"asked"))
    };
    assert_eq!(broken_rules_after(unknown), unasked);
    let unknown_previous = turn(2, Some(77));
    assert_eq!(broken_rules(vec![unknown_previous]), unasked);
}

#[test]
fn a_request_that_may_run_once_and_ran_twice_breaks_twice() {
    let run_twice = |it: &mut Exchange| {
        let mut second = it.observations[0].clone();
        second.instance = "i-other".to_owned();
        it.observations.push(second);
    };
    assert_eq!(broken_rules_after(run_twice), [Rule::Twice]);
    let mut lookup = exchange(1, "/lookup/x", "tools");
    run_twice(&mut lookup);
    assert_eq!(broken_rules(vec![lookup]), []);
    let mut second_attempt = exchange(2, "/record/x", "tools");
    second_attempt.attempt.operation = 1;
    let mut first_attempt = exchange(1, "/record/x", "tools");
    first_attempt.attempt.outcome = AttemptOutcome::Closed;
    assert_eq!(
        broken_rules(vec![first_attempt, second_attempt]),
        [Rule::Twice]
    );
}

#[test]
fn a_rejected_request_that_ran_breaks_refused() {
    for status in [402, 408, 421, 429, 503] {
        assert_eq!(
            broken_rules_after(|it| reject(it, status)),
            [Rule::Refused],
            "{status}"
        );
        let rejected = |it: &mut Exchange| {
            reject(it, status);
            it.observations[0].fate = Fate::Rejected;
        };
        assert_eq!(broken_rules_after(rejected), [], "{status}");
    }
    assert_eq!(broken_rules_after(|it| reject(it, 502)), []);
}

#[test]
fn a_run_at_a_service_that_no_route_leads_to_breaks_route() {
    assert_eq!(
        broken_rules_after(|it| it.observations[0].backend = "models".to_owned()),
        [Rule::Route]
    );
}

#[test]
fn runs_on_more_servers_than_the_route_allows_break_budget() {
    let over_limit = |id: u64| {
        let mut lookup = exchange(id, "/lookup/x", "tools");
        let mut second = lookup.observations[0].clone();
        second.instance = "i-other".to_owned();
        lookup.observations.push(second);
        lookup
    };
    assert_eq!(broken_rules((1..=3).map(over_limit).collect()), []);
    assert_eq!(
        broken_rules((1..=4).map(over_limit).collect()),
        [Rule::Budget]
    );
}

#[test]
fn too_many_denials_of_valid_requests_break_denied() {
    let denied = |count: u64| {
        let deny = |id| {
            let mut it = exchange(id, "/record/x", "tools");
            reject(&mut it, 400);
            it.observations.clear();
            it
        };
        broken_rules((1..=count).map(deny).collect())
    };
    assert_eq!(denied(5), []);
    assert_eq!(denied(6), [Rule::Denied]);
}

#[test]
fn a_stream_with_wrong_events_breaks_order() {
    let rules_after = |change: fn(&mut Vec<Event>)| {
        let mut turn = turn(1, None);
        change(&mut answered_mut(&mut turn).events);
        broken_rules(vec![turn])
    };
    assert_eq!(rules_after(|_| {}), []);
    assert_eq!(rules_after(|events| events.swap(1, 2)), [Rule::Order]);
    assert_eq!(rules_after(|events| drop(events.remove(1))), [Rule::Order]);
    assert_eq!(
        rules_after(|events| events[1].data.push('!')),
        [Rule::Order]
    );
    let mut garbled = turn(1, None);
    answered_mut(&mut garbled).garbled_events = 1;
    assert_eq!(broken_rules(vec![garbled]), [Rule::Order]);
    let mut truncated = turn(1, None);
    let mut beginning = answered_mut(&mut truncated).clone();
    beginning.events.truncate(2);
    truncated.attempt.outcome = AttemptOutcome::BrokenOff(beginning.clone());
    truncated.observations[0].complete = false;
    assert_eq!(broken_rules(vec![truncated]), []);
    let mut short = turn(1, None);
    beginning.digest = Digest::of(b"two events");
    short.attempt.outcome = AttemptOutcome::Answered(beginning);
    assert_eq!(broken_rules(vec![short]), [Rule::Mixed]);
}

#[test]
fn tokens_beyond_the_budget_and_one_turn_break_budget() {
    let turns = |count: u64| broken_rules((1..=count).map(|id| turn(id, None)).collect());
    assert_eq!(
        turns(9),
        [],
        "108 tokens, with a budget of 100 and 12 for one turn"
    );
    assert_eq!(
        turns(10),
        [Rule::Budget],
        "120 tokens, with a budget of 100 and 12 for one turn"
    );
    let mut truncated: Vec<Exchange> = (1..=10).map(|id| turn(id, None)).collect();
    for turn in &mut truncated {
        let beginning = answered_mut(turn).clone();
        turn.attempt.outcome = AttemptOutcome::BrokenOff(beginning);
    }
    assert_eq!(
        broken_rules(truncated),
        [Rule::Budget],
        "the tokens of incomplete responses count"
    );
}

#[test]
fn a_persisted_turn_that_is_not_found_breaks_lost() {
    let requested_later = |ended_ms: u64| {
        let mut next = turn(2, Some(1));
        reject(&mut next, 404);
        next.observations.clear();
        next.attempt.ended_ms = ended_ms;
        next
    };
    assert_eq!(
        broken_rules(vec![turn(1, None), requested_later(59_000)]),
        [Rule::Lost]
    );
    assert_eq!(
        broken_rules(vec![turn(1, None), requested_later(61_000)]),
        []
    );
    let mut truncated = turn(1, None);
    let beginning = answered_mut(&mut truncated).clone();
    truncated.attempt.outcome = AttemptOutcome::BrokenOff(beginning);
    assert_eq!(
        broken_rules(vec![truncated, requested_later(1_000)]),
        [],
        "only completed turns are stored"
    );
}

#[test]
fn a_late_request_at_a_draining_server_breaks_drain() {
    let rules_for_arrival = |at_ms: u64, status: u16| {
        let mut late = exchange(1, "/record/x", "tools");
        late.observations[0].at_ms = at_ms;
        if status == 421 {
            late.observations[0].fate = Fate::Rejected;
            late.observations[0].status = Some(421);
            reject(&mut late, 503);
        }
        let record = record_of(vec![late]);
        let instance = "i-tools".to_owned();
        record.acknowledged(50, 40, Acknowledged::Draining { instance });
        judge(&record, &settings())
            .iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(rules_for_arrival(50 + DRAIN_MS, 200), []);
    assert_eq!(rules_for_arrival(51 + DRAIN_MS, 200), [Rule::Drain]);
    assert_eq!(rules_for_arrival(51 + DRAIN_MS, 421), []);
}

/// Version 1 routes `/record/` to `tools`; version 2 routes it to `models`, removes `/lookup/` and adds `/new/`.
fn two_versions() -> JudgeSettings {
    let first = settings().versions.remove(0);
    let moved = RoutePlan::new("record", HOST, "/record/", RequestKind::Mutating, "models");
    let new = RoutePlan::new("new", HOST, "/new/", RequestKind::ReadOnly, "tools");
    let second = first.patched(2, &[moved, new], &["lookup"]);
    JudgeSettings::of(vec![first, second])
}

/// The rules broken by a request that is sent `sent_after_ms` after the acknowledgement of the second version.
fn rules_after_second_version(
    mut exchange: Exchange,
    sent_after_ms: u64,
    settings: &JudgeSettings,
) -> Vec<Rule> {
    const ACKNOWLEDGED_MS: u64 = 1_000;
    exchange.attempt.sent_ms = ACKNOWLEDGED_MS + sent_after_ms;
    let record = record_of(vec![exchange]);
    record.acknowledged(500, 400, Acknowledged::Configuration { generation: 1 });
    record.acknowledged(
        ACKNOWLEDGED_MS,
        900,
        Acknowledged::Configuration { generation: 2 },
    );
    judge(&record, settings)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn handling_that_only_a_superseded_version_allows_breaks_config() {
    let settings = two_versions();
    let (in_time, late) = (CONFIG_APPLY_MS, CONFIG_APPLY_MS + 1);
    let old_service = || exchange(1, "/record/x", "tools");
    let dropped_route = || exchange(1, "/lookup/x", "tools");
    let unknown_route = || {
        let mut unknown = exchange(1, "/new/x", "tools");
        reject(&mut unknown, 404);
        unknown.observations.clear();
        unknown
    };
    for old in [old_service(), dropped_route(), unknown_route()] {
        assert_eq!(rules_after_second_version(old, in_time, &settings), []);
    }
    for old in [old_service(), dropped_route(), unknown_route()] {
        assert_eq!(
            rules_after_second_version(old, late, &settings),
            [Rule::Config]
        );
    }
    assert_eq!(
        rules_after_second_version(exchange(1, "/record/x", "models"), late, &settings),
        []
    );
    let disturbances = vec![Span {
        from_ms: 1_000,
        to_ms: 9_000,
    }];
    assert_eq!(
        rules_after_second_version(
            old_service(),
            late,
            &JudgeSettings {
                disturbances,
                ..settings
            }
        ),
        []
    );
}

#[test]
fn a_request_closed_by_a_terminating_machine_breaks_lost() {
    let rules_for_closed = |ended_ms: u64, change: fn(&mut Exchange)| {
        let mut closed = exchange(1, "/record/x", "tools");
        closed.attempt.outcome = AttemptOutcome::Closed;
        closed.attempt.ended_ms = ended_ms;
        closed.observations[0].complete = false;
        change(&mut closed);
        let front = closed.attempt.front;
        let record = record_of(vec![closed]);
        record.acknowledged(1_000, 1_000, Acknowledged::Terminated { front });
        judge(&record, &settings())
            .iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(rules_for_closed(2_000, |_| {}), [Rule::Lost]);
    assert_eq!(rules_for_closed(999, |_| {}), []);
    assert_eq!(
        rules_for_closed(2_000, |it| it.observations[0].faulted = true),
        []
    );
    let unread = |it: &mut Exchange| {
        it.observations.clear();
        it.attempt.sent_ms = it.attempt.ended_ms - 100;
    };
    assert_eq!(rules_for_closed(2_000, unread), []);
    let mut faulty = exchange(1, "/record/x", "tools");
    faulty.attempt.outcome = AttemptOutcome::Closed;
    faulty.attempt.ended_ms = 2_000;
    let front = faulty.attempt.front;
    let record = record_of(vec![faulty]);
    record.acknowledged(1_000, 1_000, Acknowledged::Terminated { front });
    let disturbances = vec![Span {
        from_ms: 1_500,
        to_ms: 1_600,
    }];
    assert_eq!(
        judge(
            &record,
            &JudgeSettings {
                disturbances,
                ..settings()
            }
        ),
        []
    );
}
