//! The lease layer under a model checker: three contenders for one slot that may stall at any moment, a
//! granter that may restart, messages that come late, twice or never. The model drives the text that serves,
//! `ClientLease`, `LeaseGranter` and `FencingCheck`. Each guard is then taken out in turn, and the checker has to find a
//! history in which that breaks something: a model that can't fail would prove nothing.

use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::lease::{ClientLease, LeaseGranter};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Time runs in steps. A lease of 2, and one step of allowance for what clocks differ.
const LEASE: u8 = 2;
const WAIT: u8 = LEASE + 1;
const END: u8 = 5;
const CONTENDERS: usize = 2;

#[derive(Clone, Copy, PartialEq)]
struct Safeguards {
    token: bool,
    counted_before: bool,
    waits_after_restart: bool,
    waits_full_lease: bool,
}

const ALL: Safeguards = Safeguards {
    token: true,
    counted_before: true,
    waits_after_restart: true,
    waits_full_lease: true,
};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Mail {
    /// Of a contender, with the number of its ask and when it was sent.
    Ask {
        who: usize,
        seq: u64,
    },
    Granted {
        who: usize,
        seq: u64,
        token: u64,
    },
    Effect {
        who: usize,
        token: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Contender {
    lease: ClientLease<u8>,
    token: u64,
    seq: u64,
    /// In the middle of an effect: it looked, and goes on whatever happens.
    looked: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    contenders: Vec<Contender>,
    granter: LeaseGranter<u8>,
    /// What is in the log: it survives the granter.
    owner: Option<usize>,
    token: u64,
    mail: Vec<Mail>,
    /// The receiver's last token, what it took, and whether one came out of order.
    seen: u64,
    disorder: bool,
    overlap: bool,
    restarts: u8,
    effects: u8,
    twice: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Ask(usize),
    Deliver(usize),
    /// It comes again later. What is never delivered was lost, or is still on its way.
    DeliverAndKeep(usize),
    Look(usize),
    Restart,
}

struct Lease(Safeguards);

impl Lease {
    fn owns(&self, s: &State, who: usize) -> bool {
        s.contenders[who].token > 0 && s.contenders[who].lease.is_valid(s.now)
    }

    fn wait(&self) -> u8 {
        if self.0.waits_full_lease {
            WAIT
        } else {
            0
        }
    }
}

impl Model for Lease {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 1,
            contenders: vec![Contender::default(); CONTENDERS],
            granter: LeaseGranter::default(),
            owner: None,
            token: 0,
            mail: vec![],
            seen: 0,
            disorder: false,
            overlap: false,
            restarts: 0,
            effects: 0,
            twice: 0,
        }]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        if s.now < END {
            acts.push(Act::Tick);
        }
        for who in 0..CONTENDERS {
            if s.contenders[who].seq < 2 {
                acts.push(Act::Ask(who));
            }
            // It looks at any moment at which it holds; what it saw is acted on at any later one.
            if self.owns(s, who) && s.contenders[who].looked.is_none() && s.effects < 2 {
                acts.push(Act::Look(who));
            }
        }
        for n in 0..s.mail.len() {
            acts.push(Act::Deliver(n));
            if s.twice < 1 {
                acts.push(Act::DeliverAndKeep(n));
            }
        }
        if s.restarts < 1 {
            acts.push(Act::Restart);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        let again = match &act {
            Act::DeliverAndKeep(n) => Some(s.mail[*n].clone()),
            _ => None,
        };
        s.twice += u8::from(again.is_some());
        match act {
            Act::Tick => s.now += 1,
            Act::Ask(who) => {
                let now = s.now;
                let c = &mut s.contenders[who];
                c.seq += 1;
                c.lease.renewal_sent(c.seq, now);
                s.mail.push(Mail::Ask { who, seq: c.seq });
            }
            Act::Look(who) => {
                let token = s.contenders[who].token;
                s.contenders[who].looked = Some(token);
                s.effects += 1;
                s.mail.push(Mail::Effect { who, token });
            }
            Act::Restart => {
                s.restarts += 1;
                s.granter = if self.0.waits_after_restart {
                    LeaseGranter::take_over(s.owner.iter().map(|h| *h as u64), s.now)
                } else {
                    LeaseGranter::default()
                };
            }
            Act::Deliver(n) | Act::DeliverAndKeep(n) => match s.mail.remove(n) {
                Mail::Ask { who, seq } => {
                    let free = match s.owner {
                        None => true,
                        Some(h) => h != who && s.granter.has_expired(h as u64, self.wait(), s.now),
                    };
                    if free {
                        if let Some(h) = s.owner {
                            s.granter.forget(h as u64);
                        }
                        s.owner = Some(who);
                        s.token += 1;
                    }
                    if s.owner == Some(who) {
                        s.granter.renew(who as u64, s.now);
                        s.mail.push(Mail::Granted {
                            who,
                            seq,
                            token: s.token,
                        });
                    }
                }
                Mail::Granted { who, seq, token } => {
                    let now = s.now;
                    let c = &mut s.contenders[who];
                    let took = if self.0.counted_before {
                        c.lease.granted(seq, LEASE)
                    } else {
                        // Counted from the answer instead.
                        c.lease.granted(seq, LEASE) && {
                            c.lease.renewal_sent(100 + seq, now);
                            c.lease.granted(100 + seq, LEASE)
                        }
                    };
                    if took {
                        c.token = token;
                        let other = (0..CONTENDERS).any(|o| o != who && self.owns(&s, o));
                        s.overlap |= other && self.owns(&s, who);
                    }
                }
                Mail::Effect { who, token } => {
                    s.contenders[who].looked = None;
                    let mut check = FencingCheck::restored(vec![s.seen]);
                    if !self.0.token || check.accept(0, token) {
                        s.disorder |= token < s.seen;
                        s.seen = s.seen.max(token);
                    }
                }
            },
        }
        s.mail.extend(again);
        s.mail.sort();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, s: &State| !s.overlap),
            Property::always("effects in the order of their tokens", |_, s: &State| {
                !s.disorder
            }),
            Property::sometimes("the slot changes hands", |_, s: &State| {
                s.token >= 2 && s.seen >= 2
            }),
        ]
    }
}

fn broken(safeguards: Safeguards) -> Vec<&'static str> {
    let checker = Lease(safeguards)
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discoveries();
    found
        .into_keys()
        .filter(|k| *k != "the slot changes hands")
        .collect()
}

#[test]
fn with_all_guards_nothing_breaks() {
    let checker = Lease(ALL)
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
    let found = checker.discoveries();
    assert!(
        found.contains_key("the slot changes hands"),
        "the model plays what it is for"
    );
    assert_eq!(found.len(), 1);
}

#[test]
fn each_guard_taken_out_gives_a_counterexample() {
    assert_eq!(
        broken(Safeguards {
            token: false,
            ..ALL
        }),
        ["effects in the order of their tokens"]
    );
    assert_eq!(
        broken(Safeguards {
            counted_before: false,
            ..ALL
        }),
        ["one holder at a time"]
    );
    assert_eq!(
        broken(Safeguards {
            waits_after_restart: false,
            ..ALL
        }),
        ["one holder at a time"]
    );
    assert_eq!(
        broken(Safeguards {
            waits_full_lease: false,
            ..ALL
        }),
        ["one holder at a time"]
    );
}
