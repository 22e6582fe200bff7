//! The broker beside a counter that answers at once or not at all.

mod common;

use common::settings;
use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{Broker, BrokerAnswer, LeaseRequest, Output};

fn request(seq: u64, requested: f64) -> LeaseRequest {
    let (name, customer, minimum) = (7, 1, 1.0);
    LeaseRequest {
        seq,
        name,
        customer,
        add: requested,
        requested,
        minimum,
        lifetime: 60.0,
        limit: 20.0,
        limit_rate: 0.0,
        elapsed: 1.0,
        remaining: 1.0,
    }
}

/// A broker beside a counter that answers at once, unless it is silent.
struct Rig {
    broker: Broker,
    counter: f64,
    silent: bool,
    calls: u32,
    now: f64,
}

impl Rig {
    fn new() -> Self {
        Rig {
            broker: Broker::new(settings(), 0),
            counter: 0.0,
            silent: false,
            calls: 0,
            now: 0.0,
        }
    }

    fn drive(&mut self, mut out: Vec<Output>) -> Vec<(u64, BrokerAnswer)> {
        let mut told = Vec::new();
        while !out.is_empty() {
            let mut next = Vec::new();
            for o in out {
                match o {
                    Output::Respond {
                        answer: BrokerAnswer::Pending,
                        ..
                    } => {}
                    Output::Respond { seq, answer, .. } => told.push((seq, answer)),
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
        told
    }

    fn request(&mut self, from: &str, request: LeaseRequest) -> Vec<(u64, BrokerAnswer)> {
        let mut out = Vec::new();
        self.broker.request(from, 1, 0, request, self.now, &mut out);
        self.drive(out)
    }

    fn tick(&mut self, now: f64) -> Vec<(u64, BrokerAnswer)> {
        self.now = now;
        let mut out = Vec::new();
        self.broker.tick(now, &mut out);
        self.drive(out)
    }
}

#[test]
fn many_requests_cost_few_calls_and_none_gets_what_the_counter_has_not_counted() {
    let mut rig = Rig::new();
    let mut lent = 0.0;
    for n in 0..40 {
        rig.now = n as f64 * 0.02;
        let told = rig.request(["a", "b", "c"][n % 3], request(n as u64, 1.0));
        let [(_, BrokerAnswer::Total(total))] = told[..] else {
            panic!("{told:?}")
        };
        lent += if total <= 20.0 { 1.0 } else { 0.0 };
        assert!(lent <= rig.counter, "{lent} lent, {} counted", rig.counter);
    }
    assert_eq!(lent, 20.0, "all of it, and no more");
    assert!(rig.calls <= 10, "{} calls for 40 requests", rig.calls);
    assert!(
        rig.counter <= 21.0,
        "what is refused is not added: {}",
        rig.counter
    );
}

#[test]
fn what_comes_back_is_lent_again_and_what_is_left_goes_back() {
    let mut rig = Rig::new();
    let grows = |seq, requested, add| LeaseRequest {
        limit_rate: 0.5,
        add,
        requested,
        ..request(seq, 0.0)
    };
    assert_eq!(
        rig.request("a", grows(1, 12.0, 12.0)),
        [(1, BrokerAnswer::Total(12.0))]
    );
    assert_eq!(
        rig.request("a", grows(2, 0.0, -6.0)),
        [(2, BrokerAnswer::Total(6.0))]
    );
    let calls = rig.calls;
    assert_eq!(
        rig.request("b", grows(3, 5.0, 5.0)),
        [(3, BrokerAnswer::Total(11.0))]
    );
    assert_eq!(
        (rig.calls, rig.broker.unleased_units()),
        (calls, 1.0),
        "out of what came back"
    );
    rig.tick(30.0);
    assert_eq!(
        (
            rig.broker.name_count(),
            rig.broker.customer_count(),
            rig.counter
        ),
        (0, 0, 11.0)
    );
}

#[test]
fn another_broker_reads_what_the_first_has_lent_and_both_together_let_in_no_more() {
    let mut rig = Rig::new();
    let (mut old, mut lent) = (Broker::new(settings(), 1000), 0.0);
    for n in 0..60u64 {
        rig.now = n as f64 * 0.01;
        // One wakes up and lends again what it holds, the other has the duty.
        std::mem::swap(&mut rig.broker, &mut old);
        for told in rig.request("a", request(n, 1.0)) {
            lent += if matches!(told.1, BrokerAnswer::Total(t) if t <= 20.0) {
                1.0
            } else {
                0.0
            };
        }
    }
    assert!((10.0..=20.0).contains(&lent), "{lent}");
}

#[test]
fn without_the_counter_it_says_no_in_time_and_lends_only_what_it_has() {
    let mut rig = Rig::new();
    rig.request("a", request(1, 1.0));
    rig.now = 0.1;
    rig.request("a", request(2, 1.0));
    let left = rig.broker.unleased_units();
    rig.silent = true;
    let mut lent = 0.0;
    for n in 0..6u64 {
        let told = rig.request("b", request(10 + n, 1.0));
        lent += told
            .iter()
            .filter(|t| matches!(t.1, BrokerAnswer::Total(_)))
            .count() as f64;
    }
    assert!(lent <= left);
    let told = rig.tick(0.2);
    assert!(
        !told.is_empty() && told.iter().all(|t| t.1 == BrokerAnswer::Unavailable),
        "{told:?}"
    );
    rig.silent = false;
    assert!(matches!(
        rig.request("b", request(30, 1.0))[..],
        [(30, BrokerAnswer::Total(_))]
    ));
}

#[test]
fn amounts_that_are_none_and_requests_beyond_a_bound_are_rejected_and_counted() {
    let mut rig = Rig::new();
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        let told = rig.request(
            "a",
            LeaseRequest {
                requested: bad,
                ..request(1, 1.0)
            },
        );
        assert_eq!(told, [(1, BrokerAnswer::Unavailable)]);
    }
    for n in 0..10 {
        rig.request(
            "a",
            LeaseRequest {
                name: n,
                customer: n,
                ..request(n, 1.0)
            },
        );
    }
    assert_eq!((rig.broker.name_count(), rig.broker.rejected), (4, 9));
    for n in 0..20 {
        rig.request(
            &format!("x{n}"),
            LeaseRequest {
                name: 1,
                customer: 1,
                ..request(n, 1.0)
            },
        );
    }
    assert!(rig.broker.most_borrowers() <= 4);
}

#[test]
fn a_new_name_starts_with_the_backlog_of_the_one_before() {
    let mut rig = Rig::new();
    let grows = |seq, name, add, requested| LeaseRequest {
        name,
        limit_rate: 1.0,
        add,
        requested,
        ..request(seq, 0.0)
    };
    rig.request("a", grows(1, 7, 18.0, 18.0));
    rig.now = 0.1;
    // Another one knows nothing of the eighteen, and brings nothing over.
    rig.counter = 0.0;
    let told = rig.request("b", grows(2, 8, 1.0, 1.0));
    let [(2, BrokerAnswer::Total(total))] = told[..] else {
        panic!("{told:?}")
    };
    assert!((total - 18.9).abs() < 0.2, "{total}");
    assert!(
        (rig.counter - rig.broker.unleased_units() - 18.9).abs() < 0.2,
        "the counter knows: {}",
        rig.counter
    );
}
