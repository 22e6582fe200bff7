use super::*;
use crate::message::{decode_asked, Member};
use bytes::Bytes;
use dunespur_decisions::types::Effect as Run;
use std::collections::HashSet;

const ENDINGS: [Ending; 5] = [
    Ending::Succeeded,
    Ending::Error,
    Ending::Full,
    Ending::ConnectFailed,
    Ending::Reset,
];

pub fn settings() -> Settings {
    let operation = |effect| OperationSettings {
        effect,
        objective: 0.6,
        integration_timeout: 2.0,
        billed_value: 1.0,
        late_share: 0.0,
    };
    let tokened = Run::Tokened {
        group: Group::All,
        window: 2.5,
    };
    let effects = [Run::Idempotent, tokened, Run::NonIdempotent];
    Settings {
        seed: 1,
        slot: 0,
        fleet: 2,
        zone: 0,
        operations: effects.into_iter().map(operation).collect(),
        plans: vec![PlanSettings {
            rate: 20.0,
            burst: 20.0,
            beyond_costs: 1.0,
            price: 1.0,
            ..Default::default()
        }],
        counter: true,
        count_wait: 0.05,
        call_price: 0.02,
        max_pause: 0.5,
        most_deliveries: 6,
        cold_from: 0.2,
        cold_for: 10.0,
        fall_multiple: 4.0,
        answer_slack: 0.016,
        watch_on_request: false,
    }
}

fn asked(operation: u64, customer: u64) -> Rc<Asked> {
    let names = Names {
        plans: vec!["p".into()],
        operations: ["0", "1", "2"].map(String::from).into(),
        zones: vec!["a".into()],
        fleet: 2,
        most_units: 1.0,
    };
    let request = hyper::Request::get("/api")
        .header("x-request-id", "1")
        .header("x-priority-class", operation.to_string())
        .header("x-tariff", "p")
        .header("x-timeout-ms", "1000")
        .header("x-weight", "units=1,spread=2,first=0")
        .header("cookie", format!("account={customer:016x}"));
    let (parts, ()) = request.body(()).unwrap().into_parts();
    Rc::new(decode_asked(parts, Bytes::new(), &names).unwrap())
}

/// A plain model of the front's duties beside generated events: one answer each and none to who has
/// left, one delivery out at a time, none after the answer or to a server withdrawn, nothing kept.
#[test]
fn every_invocation_gets_one_answer_and_nothing_is_kept() {
    let (mut succeeded, mut timed_out) = (0, 0);
    for seed in 0..60u64 {
        let mut state = seed.wrapping_mul(0x9E3779B97F4A7C15) | 1;
        let mut any = |most: usize| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 33) as usize % most
        };
        let mut now = 1000.0;
        let mut reducer = Reducer::new(&settings(), now);
        let (mut waiting, mut live) = (HashSet::new(), vec![true; 4]);
        let (mut open, mut calls): (Vec<Delivery>, Vec<u64>) = Default::default();
        let mut out = Vec::new();
        for step in 0..3000u64 {
            let last = step >= 1500;
            let event = match any(8) {
                0 | 1 if !last => {
                    waiting.insert(step);
                    Event::Taken {
                        num: step,
                        asked: asked(any(3) as u64, any(3) as u64),
                    }
                }
                2 | 3 if !open.is_empty() => {
                    let d = open.remove(any(open.len()));
                    let answered = Answered::none(ENDINGS[any(5)]);
                    Event::Ended {
                        num: d.num,
                        n: d.n,
                        answered,
                    }
                }
                4 if !calls.is_empty() => {
                    let counted = [Counted::Total(any(60) as f64), Counted::Refused][any(2)];
                    Event::Counted {
                        call: calls.remove(any(calls.len())),
                        counted,
                    }
                }
                5 if !waiting.is_empty() && any(4) == 0 => {
                    let num = *waiting.iter().min().unwrap();
                    waiting.remove(&num);
                    Event::ClientGone { num }
                }
                6 if any(20) == 0 => {
                    let tgt = any(4);
                    live[tgt] = !live[tgt];
                    let member = |tgt: usize| Member {
                        id: tgt.to_string(),
                        address: ([127, 0, 0, 1], 80 + tgt as u16).into(),
                        zone: 0,
                        cell: 0,
                        came_up: 0.0,
                        readiness: if live[tgt] {
                            Readiness::Live
                        } else {
                            Readiness::Draining
                        },
                    };
                    let members = (0..4).map(member).collect();
                    Event::Endpoints(News {
                        revision: step,
                        complete: false,
                        members,
                        whole: true,
                    })
                }
                _ => {
                    now += any(40) as f64 / 1000.0 * if last { 10.0 } else { 1.0 };
                    Event::Due
                }
            };
            reducer.reduce(event, now, &mut out);
            let mut at = 0;
            while at < out.len() {
                match &out[at] {
                    Effect::Send(d) => {
                        assert!(waiting.contains(&d.num) && live[d.tgt], "sent with no need");
                        assert!(open.iter().all(|o| o.num != d.num), "two deliveries out");
                        assert!(d.until <= now + 1.0 && reducer.holds(d, now));
                        open.push(d.clone());
                    }
                    &Effect::Abandon { num, n, ending } => {
                        open.retain(|d| (d.num, d.n) != (num, n));
                        let answered = Answered::none(ending);
                        reducer.reduce(Event::Ended { num, n, answered }, now, &mut out);
                    }
                    Effect::Reply { num, .. } => {
                        assert!(waiting.remove(num), "answered twice or none")
                    }
                    &Effect::Count { call, .. } => calls.push(call),
                    &Effect::AbandonCount { call } => {
                        calls.retain(|c| *c != call);
                        let counted = Counted::Silent;
                        reducer.reduce(Event::Counted { call, counted }, now, &mut out);
                    }
                    Effect::Retire { .. } | Effect::Watch => {}
                }
                at += 1;
            }
            out.clear();
            assert!(
                open.iter().all(|d| waiting.contains(&d.num)),
                "out for one that is done"
            );
        }
        assert!(
            waiting.is_empty() && reducer.in_hand() == 0,
            "{} kept",
            reducer.in_hand()
        );
        assert!(
            reducer.calls.is_empty() && reducer.timers.is_empty(),
            "timers or calls kept"
        );
        succeeded += reducer.stats.succeeded;
        timed_out += reducer.stats.endings[Ending::Timeout as usize];
    }
    assert!(
        succeeded > 1000 && timed_out > 50,
        "{succeeded} succeeded, {timed_out} timed out"
    );
}
