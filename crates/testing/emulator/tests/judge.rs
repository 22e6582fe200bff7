//! The judge finds each broken rule in a record that keeps all others.

use bytes::Bytes;
use dunespur_emulator::client::Kind;
use dunespur_emulator::configuration::{ConfigurationPlan, LimitsPlan, RoutePlan};
use dunespur_emulator::judge::{judge, Rule, Span, Terms, CONFIG_APPLY_MS, DRAIN_MS};
use dunespur_emulator::record::{
    Acknowledged, Answered, Fate, Moments, ProgramTry, Record, Sighting, Try, TryOutcome,
};
use dunespur_emulator::wire::Event;
use dunespur_emulator::{Digest, RequestId};

const HOST: &str = "h.example";

fn terms() -> Terms {
    let streaming = Kind::Streaming { resumable: false };
    let mut kept = RoutePlan::new("kept", HOST, "/kept/", streaming, "models");
    kept.persisted = true;
    let routes = vec![
        kept,
        RoutePlan::new("record", HOST, "/record/", Kind::Mutating, "tools"),
        RoutePlan::new("lookup", HOST, "/lookup/", Kind::ReadOnly, "tools"),
    ];
    Terms::of(vec![version(1, routes)])
}

fn version(generation: u64, routes: Vec<RoutePlan>) -> ConfigurationPlan {
    ConfigurationPlan {
        generation,
        routes,
        services: Vec::new(),
        limits: LimitsPlan::default(),
    }
}

/// One request as its server and its client saw it.
struct Exchange {
    sightings: Vec<Sighting>,
    attempt: Try,
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

fn sighting(id: u64, target: &str, backend: &str, body: &[u8]) -> Sighting {
    Sighting {
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
        sent: Some(Digest::of(b"answer")),
        events: Vec::new(),
        whole: true,
        spoilt: false,
        moments: Moments::default(),
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
        left_over: 0,
        first_event_us: None,
        longest_pause_ms: 0,
        surplus: 0,
    }
}

fn exchange(id: u64, target: &str, backend: &str) -> Exchange {
    let attempt = Try {
        number: 0,
        request: RequestId(id),
        wanted: id,
        front: "127.0.0.1:80".parse().unwrap(),
        sent_ms: 90,
        ended_ms: 200,
        host: HOST.to_owned(),
        method: "POST".to_owned(),
        target: target.to_owned(),
        expected: Some(Digest::of(b"asked")),
        repeatable: target.starts_with("/lookup/"),
        program: None,
        outcome: TryOutcome::Answered(answered(id, 200, b"answer")),
        moments: Moments::default(),
    };
    Exchange {
        sightings: vec![sighting(id, target, backend, b"asked")],
        attempt,
    }
}

/// A turn of a program with four events of three tokens.
fn turn(id: u64, previous: Option<u64>) -> Exchange {
    let mut turn = exchange(id, "/kept/x", "models");
    let body = stream_body();
    turn.sightings[0].events = events();
    turn.sightings[0].sent = Some(Digest::of(&body));
    let mut answer = answered(id, 200, &body);
    answer.events = events();
    turn.attempt.outcome = TryOutcome::Answered(answer);
    turn.attempt.program = Some(ProgramTry {
        program: "p".to_owned(),
        budget: Some(100),
        most: 12,
        chunk_tokens: 3,
        previous: previous.map(RequestId),
    });
    turn
}

fn record_of(exchanges: Vec<Exchange>) -> Record {
    let record = Record::default();
    for exchange in exchanges {
        for sighting in exchange.sightings {
            record.saw(sighting, &Bytes::new());
        }
        record.tried(exchange.attempt);
    }
    record
}

fn broken(exchanges: Vec<Exchange>) -> Vec<Rule> {
    let mut rules: Vec<Rule> = judge(&record_of(exchanges), &terms())
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    rules.sort();
    rules.dedup();
    rules
}

/// The rules broken once an honest exchange is changed so.
fn changed(change: impl FnOnce(&mut Exchange)) -> Vec<Rule> {
    let mut changed = exchange(1, "/record/x", "tools");
    change(&mut changed);
    broken(vec![changed])
}

fn answer_of(exchange: &mut Exchange) -> &mut Answered {
    match &mut exchange.attempt.outcome {
        TryOutcome::Answered(answered) => answered,
        other => panic!("{other:?}"),
    }
}

/// The system's own refusal.
fn refuse(exchange: &mut Exchange, status: u16) {
    let mut refusal = answered(exchange.attempt.request.0, status, b"");
    refusal.stamp = None;
    exchange.attempt.outcome = TryOutcome::Answered(refusal);
}

#[test]
fn honest_exchanges_break_nothing() {
    assert_eq!(changed(|_| {}), []);
    assert_eq!(
        broken(vec![
            turn(1, None),
            turn(2, Some(1)),
            exchange(3, "/lookup/x", "tools")
        ]),
        []
    );
    assert_eq!(changed(|it| it.attempt.outcome = TryOutcome::Closed), []);
    assert_eq!(changed(|it| it.attempt.outcome = TryOutcome::GivenUp), []);
}

#[test]
fn an_answer_that_is_not_the_servers_is_mixed() {
    let mixed = [Rule::Mixed];
    assert_eq!(changed(|it| answer_of(it).stamp = None), mixed);
    assert_eq!(
        changed(|it| answer_of(it).stamp = Some("another".to_owned())),
        mixed
    );
    assert_eq!(
        changed(|it| answer_of(it).digest = Digest::of(b"answe")),
        mixed
    );
    assert_eq!(
        changed(|it| answer_of(it).request = Some(RequestId(9))),
        mixed
    );
    assert_eq!(
        changed(|it| answer_of(it).encoding = Some("gzip".to_owned())),
        mixed
    );
    assert_eq!(changed(|it| answer_of(it).surplus = 1), mixed);
    assert_eq!(changed(|it| answer_of(it).status = 201), mixed);
    assert_eq!(changed(|it| answer_of(it).status = 502), mixed);
    assert_eq!(changed(|it| it.sightings[0].status = Some(500)), mixed);
    assert_eq!(changed(|it| it.sightings[0].whole = false), mixed);
    assert_eq!(
        changed(|it| it.attempt.outcome = TryOutcome::Garbled("x".to_owned())),
        mixed
    );
}

#[test]
fn a_request_that_no_client_sent_so_is_unasked() {
    let unasked = [Rule::Unasked];
    assert_eq!(
        changed(|it| it.sightings[0].digest = Digest::of(b"aske")),
        unasked
    );
    assert_eq!(
        changed(|it| it.sightings[0].method = "PUT".to_owned()),
        unasked
    );
    assert_eq!(
        changed(|it| it.sightings[0].target = "/record/x?y".to_owned()),
        unasked
    );
    let unknown = |it: &mut Exchange| {
        it.sightings
            .push(sighting(7, "/record/x", "tools", b"asked"))
    };
    assert_eq!(changed(unknown), unasked);
    let invented = turn(2, Some(77));
    assert_eq!(broken(vec![invented]), unasked);
}

#[test]
fn what_may_run_once_and_ran_twice_is_twice() {
    let again = |it: &mut Exchange| {
        let mut second = it.sightings[0].clone();
        second.instance = "i-other".to_owned();
        it.sightings.push(second);
    };
    assert_eq!(changed(again), [Rule::Twice]);
    let mut lookup = exchange(1, "/lookup/x", "tools");
    again(&mut lookup);
    assert_eq!(broken(vec![lookup]), []);
    let mut second_try = exchange(2, "/record/x", "tools");
    second_try.attempt.wanted = 1;
    let mut first_try = exchange(1, "/record/x", "tools");
    first_try.attempt.outcome = TryOutcome::Closed;
    assert_eq!(broken(vec![first_try, second_try]), [Rule::Twice]);
}

#[test]
fn a_promise_that_is_not_kept_is_refused() {
    for status in [402, 408, 421, 429, 503] {
        assert_eq!(
            changed(|it| refuse(it, status)),
            [Rule::Refused],
            "{status}"
        );
        let turned_away = |it: &mut Exchange| {
            refuse(it, status);
            it.sightings[0].fate = Fate::TurnedAway;
        };
        assert_eq!(changed(turned_away), [], "{status}");
    }
    assert_eq!(changed(|it| refuse(it, 502)), []);
}

#[test]
fn a_service_that_no_route_leads_to_is_route() {
    assert_eq!(
        changed(|it| it.sightings[0].backend = "models".to_owned()),
        [Rule::Route]
    );
}

#[test]
fn more_servers_than_the_route_allows_is_budget() {
    let over = |id: u64| {
        let mut lookup = exchange(id, "/lookup/x", "tools");
        let mut second = lookup.sightings[0].clone();
        second.instance = "i-other".to_owned();
        lookup.sightings.push(second);
        lookup
    };
    assert_eq!(broken((1..=3).map(over).collect()), []);
    assert_eq!(broken((1..=4).map(over).collect()), [Rule::Budget]);
}

#[test]
fn proper_requests_denied_beyond_a_few_are_denied() {
    let denied = |count: u64| {
        let deny = |id| {
            let mut it = exchange(id, "/record/x", "tools");
            refuse(&mut it, 400);
            it.sightings.clear();
            it
        };
        broken((1..=count).map(deny).collect())
    };
    assert_eq!(denied(5), []);
    assert_eq!(denied(6), [Rule::Denied]);
}

#[test]
fn a_stream_out_of_order_is_order() {
    let streamed = |change: fn(&mut Vec<Event>)| {
        let mut turn = turn(1, None);
        change(&mut answer_of(&mut turn).events);
        broken(vec![turn])
    };
    assert_eq!(streamed(|_| {}), []);
    assert_eq!(streamed(|events| events.swap(1, 2)), [Rule::Order]);
    assert_eq!(streamed(|events| drop(events.remove(1))), [Rule::Order]);
    assert_eq!(streamed(|events| events[1].data.push('!')), [Rule::Order]);
    let mut garbled = turn(1, None);
    answer_of(&mut garbled).garbled_events = 1;
    assert_eq!(broken(vec![garbled]), [Rule::Order]);
    let mut cut = turn(1, None);
    let mut beginning = answer_of(&mut cut).clone();
    beginning.events.truncate(2);
    cut.attempt.outcome = TryOutcome::BrokenOff(beginning.clone());
    cut.sightings[0].whole = false;
    assert_eq!(broken(vec![cut]), []);
    let mut short = turn(1, None);
    beginning.digest = Digest::of(b"two events");
    short.attempt.outcome = TryOutcome::Answered(beginning);
    assert_eq!(broken(vec![short]), [Rule::Mixed]);
}

#[test]
fn tokens_beyond_budget_and_one_turn_are_budget() {
    let turns = |count: u64| broken((1..=count).map(|id| turn(id, None)).collect());
    assert_eq!(turns(9), [], "108 tokens of 100 and 12");
    assert_eq!(turns(10), [Rule::Budget], "120 tokens of 100 and 12");
    let mut cut: Vec<Exchange> = (1..=10).map(|id| turn(id, None)).collect();
    for turn in &mut cut {
        let beginning = answer_of(turn).clone();
        turn.attempt.outcome = TryOutcome::BrokenOff(beginning);
    }
    assert_eq!(broken(cut), [Rule::Budget], "broken tries count");
}

#[test]
fn a_kept_turn_that_is_not_found_is_lost() {
    let asked_later = |ended_ms: u64| {
        let mut next = turn(2, Some(1));
        refuse(&mut next, 404);
        next.sightings.clear();
        next.attempt.ended_ms = ended_ms;
        next
    };
    assert_eq!(
        broken(vec![turn(1, None), asked_later(59_000)]),
        [Rule::Lost]
    );
    assert_eq!(broken(vec![turn(1, None), asked_later(61_000)]), []);
    let mut cut = turn(1, None);
    let beginning = answer_of(&mut cut).clone();
    cut.attempt.outcome = TryOutcome::BrokenOff(beginning);
    assert_eq!(
        broken(vec![cut, asked_later(1_000)]),
        [],
        "only turns answered whole are kept"
    );
}

#[test]
fn a_request_at_a_server_that_has_drained_is_drain() {
    let came = |at_ms: u64, status: u16| {
        let mut late = exchange(1, "/record/x", "tools");
        late.sightings[0].at_ms = at_ms;
        if status == 421 {
            late.sightings[0].fate = Fate::TurnedAway;
            late.sightings[0].status = Some(421);
            refuse(&mut late, 503);
        }
        let record = record_of(vec![late]);
        let instance = "i-tools".to_owned();
        record.acknowledged(50, 40, Acknowledged::Draining { instance });
        judge(&record, &terms())
            .iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(came(50 + DRAIN_MS, 200), []);
    assert_eq!(came(51 + DRAIN_MS, 200), [Rule::Drain]);
    assert_eq!(came(51 + DRAIN_MS, 421), []);
}

/// Version 1 has `/record/` at `tools`; version 2 has it at `models`, drops `/lookup/` and adds `/new/`.
fn two_versions() -> Terms {
    let first = terms().versions.remove(0);
    let moved = RoutePlan::new("record", HOST, "/record/", Kind::Mutating, "models");
    let new = RoutePlan::new("new", HOST, "/new/", Kind::ReadOnly, "tools");
    let second = first.patched(2, &[moved, new], &["lookup"]);
    Terms::of(vec![first, second])
}

/// The rules broken by a request sent so long after the second version was acknowledged.
fn after_second(mut exchange: Exchange, sent_after_ms: u64, terms: &Terms) -> Vec<Rule> {
    const ACKNOWLEDGED_MS: u64 = 1_000;
    exchange.attempt.sent_ms = ACKNOWLEDGED_MS + sent_after_ms;
    let record = record_of(vec![exchange]);
    record.acknowledged(500, 400, Acknowledged::Configuration { generation: 1 });
    record.acknowledged(
        ACKNOWLEDGED_MS,
        900,
        Acknowledged::Configuration { generation: 2 },
    );
    judge(&record, terms)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn what_only_an_older_version_allows_is_config() {
    let terms = two_versions();
    let (in_time, late) = (CONFIG_APPLY_MS, CONFIG_APPLY_MS + 1);
    let old_service = || exchange(1, "/record/x", "tools");
    let dropped_route = || exchange(1, "/lookup/x", "tools");
    let unknown_route = || {
        let mut unknown = exchange(1, "/new/x", "tools");
        refuse(&mut unknown, 404);
        unknown.sightings.clear();
        unknown
    };
    for old in [old_service(), dropped_route(), unknown_route()] {
        assert_eq!(after_second(old, in_time, &terms), []);
    }
    for old in [old_service(), dropped_route(), unknown_route()] {
        assert_eq!(after_second(old, late, &terms), [Rule::Config]);
    }
    assert_eq!(
        after_second(exchange(1, "/record/x", "models"), late, &terms),
        []
    );
    let unrest = vec![Span {
        from_ms: 1_000,
        to_ms: 9_000,
    }];
    assert_eq!(
        after_second(old_service(), late, &Terms { unrest, ..terms }),
        []
    );
}

#[test]
fn a_request_that_a_leaving_machine_cuts_is_lost() {
    let cut = |ended_ms: u64, change: fn(&mut Exchange)| {
        let mut cut = exchange(1, "/record/x", "tools");
        cut.attempt.outcome = TryOutcome::Closed;
        cut.attempt.ended_ms = ended_ms;
        cut.sightings[0].whole = false;
        change(&mut cut);
        let front = cut.attempt.front;
        let record = record_of(vec![cut]);
        record.acknowledged(1_000, 1_000, Acknowledged::Terminated { front });
        judge(&record, &terms())
            .iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    assert_eq!(cut(2_000, |_| {}), [Rule::Lost]);
    assert_eq!(cut(999, |_| {}), []);
    assert_eq!(cut(2_000, |it| it.sightings[0].spoilt = true), []);
    let unread = |it: &mut Exchange| {
        it.sightings.clear();
        it.attempt.sent_ms = it.attempt.ended_ms - 100;
    };
    assert_eq!(cut(2_000, unread), []);
    let mut in_trouble = exchange(1, "/record/x", "tools");
    in_trouble.attempt.outcome = TryOutcome::Closed;
    in_trouble.attempt.ended_ms = 2_000;
    let front = in_trouble.attempt.front;
    let record = record_of(vec![in_trouble]);
    record.acknowledged(1_000, 1_000, Acknowledged::Terminated { front });
    let unrest = vec![Span {
        from_ms: 1_500,
        to_ms: 1_600,
    }];
    assert_eq!(judge(&record, &Terms { unrest, ..terms() }), []);
}
