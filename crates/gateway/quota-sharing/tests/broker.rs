//! The broker with a counter that replies at once or not at all.

mod common;

use common::settings;
use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{Broker, BrokerAnswer, LeaseRequest, Output};

fn request(seq: u64, requested: f64) -> LeaseRequest {
    LeaseRequest {
        seq,
        name: 7,
        customer: 1,
        add: requested,
        requested,
        minimum: 1.0,
        lifetime: 60.0,
        limit: 20.0,
        limit_rate: 0.0,
        elapsed: 1.0,
        remaining: 1.0,
    }
}

/// A broker with a counter that replies at once, unless it is silent.
struct Harness {
    broker: Broker,
    counter: f64,
    silent: bool,
    calls: u32,
    now: f64,
}

impl Harness {
    fn new() -> Self {
        Harness {
            broker: Broker::new(settings(), 0),
            counter: 0.0,
            silent: false,
            calls: 0,
            now: 0.0,
        }
    }

    /// Processes the outputs of the broker and those that follow from counter replies. Returns the answers other than
    /// `Pending`, each with its request number.
    fn process_outputs(&mut self, mut out: Vec<Output>) -> Vec<(u64, BrokerAnswer)> {
        let mut answers = Vec::new();
        while !out.is_empty() {
            let mut next = Vec::new();
            for output in out {
                match output {
                    Output::Respond {
                        answer: BrokerAnswer::Pending,
                        ..
                    } => {}
                    Output::Respond { seq, answer, .. } => answers.push((seq, answer)),
                    Output::CallCounter { call, add, .. } => {
                        self.calls += 1;
                        if !self.silent {
                            self.counter += add;
                            let total = CounterReply::Total(self.counter);
                            self.broker
                                .counter_answered(call, total, self.now, &mut next);
                        }
                    }
                    Output::AbandonCall { .. } => {}
                }
            }
            out = next;
        }
        answers
    }

    fn request(&mut self, from: &str, request: LeaseRequest) -> Vec<(u64, BrokerAnswer)> {
        let mut out = Vec::new();
        self.broker.request(from, 1, 0, request, self.now, &mut out);
        self.process_outputs(out)
    }

    fn tick(&mut self, now: f64) -> Vec<(u64, BrokerAnswer)> {
        self.now = now;
        let mut out = Vec::new();
        self.broker.tick(now, &mut out);
        self.process_outputs(out)
    }
}

#[test]
fn many_requests_cost_few_calls_and_only_counted_units_are_granted() {
    let mut harness = Harness::new();
    let mut granted = 0.0;
    for n in 0..40 {
        harness.now = n as f64 * 0.02;
        let answers = harness.request(["a", "b", "c"][n % 3], request(n as u64, 1.0));
        let [(_, BrokerAnswer::Total(total))] = answers[..] else {
            panic!("{answers:?}")
        };
        granted += if total <= 20.0 { 1.0 } else { 0.0 };
        assert!(
            granted <= harness.counter,
            "{granted} units granted, {} counted",
            harness.counter
        );
    }
    assert_eq!(granted, 20.0, "the whole limit is granted, and no more");
    assert!(
        harness.calls <= 10,
        "{} calls for 40 requests",
        harness.calls
    );
    assert!(
        harness.counter <= 21.0,
        "refused units were added: the counter holds {}",
        harness.counter
    );
}

#[test]
fn returned_units_are_granted_again_and_the_rest_of_a_block_is_returned() {
    let mut harness = Harness::new();
    let grows = |seq, requested, add| LeaseRequest {
        limit_rate: 0.5,
        add,
        requested,
        ..request(seq, 0.0)
    };
    assert_eq!(
        harness.request("a", grows(1, 12.0, 12.0)),
        [(1, BrokerAnswer::Total(12.0))]
    );
    assert_eq!(
        harness.request("a", grows(2, 0.0, -6.0)),
        [(2, BrokerAnswer::Total(6.0))]
    );
    let calls = harness.calls;
    assert_eq!(
        harness.request("b", grows(3, 5.0, 5.0)),
        [(3, BrokerAnswer::Total(11.0))]
    );
    assert_eq!(
        (harness.calls, harness.broker.unleased_units()),
        (calls, 1.0),
        "the request was not granted from the returned units"
    );
    harness.tick(30.0);
    assert_eq!(
        (
            harness.broker.name_count(),
            harness.broker.customer_count(),
            harness.counter
        ),
        (0, 0, 11.0)
    );
}

#[test]
fn two_brokers_together_grant_no_more_than_the_limit() {
    let mut harness = Harness::new();
    let (mut old, mut granted) = (Broker::new(settings(), 1000), 0.0);
    for n in 0..60u64 {
        harness.now = n as f64 * 0.01;
        // Alternates between the holder of the role and a broker that resumed after a pause and still grants its block.
        std::mem::swap(&mut harness.broker, &mut old);
        for (_, answer) in harness.request("a", request(n, 1.0)) {
            granted += if matches!(answer, BrokerAnswer::Total(total) if total <= 20.0) {
                1.0
            } else {
                0.0
            };
        }
    }
    assert!(
        (10.0..=20.0).contains(&granted),
        "{granted} units granted of a limit of 20"
    );
}

#[test]
fn without_the_counter_a_broker_refuses_in_time_and_grants_only_its_block() {
    let mut harness = Harness::new();
    harness.request("a", request(1, 1.0));
    harness.now = 0.1;
    harness.request("a", request(2, 1.0));
    let available = harness.broker.unleased_units();
    harness.silent = true;
    let mut granted = 0.0;
    for n in 0..6u64 {
        let answers = harness.request("b", request(10 + n, 1.0));
        granted += answers
            .iter()
            .filter(|(_, answer)| matches!(answer, BrokerAnswer::Total(_)))
            .count() as f64;
    }
    assert!(granted <= available);
    let answers = harness.tick(0.2);
    assert!(
        !answers.is_empty()
            && answers
                .iter()
                .all(|(_, answer)| *answer == BrokerAnswer::Unavailable),
        "{answers:?}"
    );
    harness.silent = false;
    assert!(matches!(
        harness.request("b", request(30, 1.0))[..],
        [(30, BrokerAnswer::Total(_))]
    ));
}

#[test]
fn invalid_amounts_and_requests_over_a_bound_are_rejected_and_counted() {
    let mut harness = Harness::new();
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        let answers = harness.request(
            "a",
            LeaseRequest {
                requested: invalid,
                ..request(1, 1.0)
            },
        );
        assert_eq!(answers, [(1, BrokerAnswer::Unavailable)]);
    }
    for n in 0..10 {
        harness.request(
            "a",
            LeaseRequest {
                name: n,
                customer: n,
                ..request(n, 1.0)
            },
        );
    }
    assert_eq!(
        (harness.broker.name_count(), harness.broker.rejected),
        (4, 9)
    );
    for n in 0..20 {
        harness.request(
            &format!("x{n}"),
            LeaseRequest {
                name: 1,
                customer: 1,
                ..request(n, 1.0)
            },
        );
    }
    assert!(harness.broker.most_borrowers() <= 4);
}

#[test]
fn a_new_name_starts_with_the_backlog_of_the_previous_name() {
    let mut harness = Harness::new();
    let grows = |seq, name, add, requested| LeaseRequest {
        name,
        limit_rate: 1.0,
        add,
        requested,
        ..request(seq, 0.0)
    };
    harness.request("a", grows(1, 7, 18.0, 18.0));
    harness.now = 0.1;
    // Limiter b does not know of the 18 units and carries no backlog over.
    harness.counter = 0.0;
    let answers = harness.request("b", grows(2, 8, 1.0, 1.0));
    let [(2, BrokerAnswer::Total(total))] = answers[..] else {
        panic!("{answers:?}")
    };
    assert!(
        (total - 18.9).abs() < 0.2,
        "the answered total is {total}, expected about 18.9"
    );
    assert!(
        (harness.counter - harness.broker.unleased_units() - 18.9).abs() < 0.2,
        "the counter holds {}, which does not contain the backlog of 18.9",
        harness.counter
    );
}
