//! Model check of the lease with the production types `ClientLease`, `LeaseGranter` and `FencingCheck`: two
//! contenders for one slot that may stall at any moment, a granter that may restart, and messages that arrive
//! late, twice or never. Each safeguard is also removed in turn, and the checker must then find a
//! counterexample, which shows that the model can fail.

use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_singleton_roles::lease::{ClientLease, LeaseGranter};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Length of a lease in time steps.
const LEASE: u8 = 2;
/// Time steps until the granter expires a lease: one more, for clock drift.
const EXPIRY_WAIT: u8 = LEASE + 1;
/// Last time step of the model.
const END: u8 = 5;
const CONTENDERS: usize = 2;

#[derive(Clone, Copy, PartialEq)]
struct Safeguards {
    /// The receiver checks fencing tokens.
    fencing_check: bool,
    /// The client counts the lease from before its request.
    counts_from_request: bool,
    /// A restarted granter waits for leases granted before.
    waits_after_restart: bool,
    /// The granter waits for the full lease and the drift.
    waits_full_lease: bool,
}

const ALL_SAFEGUARDS: Safeguards = Safeguards {
    fencing_check: true,
    counts_from_request: true,
    waits_after_restart: true,
    waits_full_lease: true,
};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A contender's renewal request.
    Renew {
        contender: usize,
        seq: u64,
    },
    Granted {
        contender: usize,
        seq: u64,
        token: u64,
    },
    Effect {
        contender: usize,
        token: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Contender {
    lease: ClientLease<u8>,
    token: u64,
    seq: u64,
    /// Token of an effect in progress: the contender checked its lease and will not check it again.
    effect_token: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    contenders: Vec<Contender>,
    granter: LeaseGranter<u8>,
    /// Owner and token are in the log and survive a restart of the granter.
    owner: Option<usize>,
    token: u64,
    messages: Vec<Message>,
    /// The greatest token that the receiver accepted.
    highest_token: u64,
    /// The receiver accepted an effect under an older token.
    out_of_order: bool,
    /// Two contenders held the slot at the same time.
    overlap: bool,
    restarts: u8,
    effects: u8,
    duplicated_messages: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Tick,
    Renew(usize),
    Deliver(usize),
    /// Delivers a message that will be delivered again. A message that is never delivered counts as lost.
    DeliverAndKeep(usize),
    /// Checks the lease and starts an effect under its token.
    StartEffect(usize),
    Restart,
}

struct LeaseModel(Safeguards);

impl LeaseModel {
    fn owns(&self, state: &State, contender: usize) -> bool {
        state.contenders[contender].token > 0
            && state.contenders[contender].lease.is_valid(state.now)
    }

    fn expiry_wait(&self) -> u8 {
        if self.0.waits_full_lease {
            EXPIRY_WAIT
        } else {
            0
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 1,
            contenders: vec![Contender::default(); CONTENDERS],
            granter: LeaseGranter::default(),
            owner: None,
            token: 0,
            messages: vec![],
            highest_token: 0,
            out_of_order: false,
            overlap: false,
            restarts: 0,
            effects: 0,
            duplicated_messages: 0,
        }]
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        if state.now < END {
            events.push(Event::Tick);
        }
        for contender in 0..CONTENDERS {
            if state.contenders[contender].seq < 2 {
                events.push(Event::Renew(contender));
            }
            // A contender may start an effect whenever it holds the slot; the effect may arrive at any later time.
            if self.owns(state, contender)
                && state.contenders[contender].effect_token.is_none()
                && state.effects < 2
            {
                events.push(Event::StartEffect(contender));
            }
        }
        for n in 0..state.messages.len() {
            events.push(Event::Deliver(n));
            if state.duplicated_messages < 1 {
                events.push(Event::DeliverAndKeep(n));
            }
        }
        if state.restarts < 1 {
            events.push(Event::Restart);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        let kept_message = match &event {
            Event::DeliverAndKeep(n) => Some(state.messages[*n].clone()),
            _ => None,
        };
        state.duplicated_messages += u8::from(kept_message.is_some());
        match event {
            Event::Tick => state.now += 1,
            Event::Renew(contender) => {
                let now = state.now;
                let renewing = &mut state.contenders[contender];
                renewing.seq += 1;
                renewing.lease.renewal_sent(renewing.seq, now);
                state.messages.push(Message::Renew {
                    contender,
                    seq: renewing.seq,
                });
            }
            Event::StartEffect(contender) => {
                let token = state.contenders[contender].token;
                state.contenders[contender].effect_token = Some(token);
                state.effects += 1;
                state.messages.push(Message::Effect { contender, token });
            }
            Event::Restart => {
                state.restarts += 1;
                state.granter = if self.0.waits_after_restart {
                    LeaseGranter::take_over(
                        state.owner.iter().map(|owner| *owner as u64),
                        state.now,
                    )
                } else {
                    LeaseGranter::default()
                };
            }
            Event::Deliver(n) | Event::DeliverAndKeep(n) => match state.messages.remove(n) {
                Message::Renew { contender, seq } => {
                    let is_free = match state.owner {
                        None => true,
                        Some(owner) => {
                            owner != contender
                                && state.granter.has_expired(
                                    owner as u64,
                                    self.expiry_wait(),
                                    state.now,
                                )
                        }
                    };
                    if is_free {
                        if let Some(owner) = state.owner {
                            state.granter.forget(owner as u64);
                        }
                        state.owner = Some(contender);
                        state.token += 1;
                    }
                    if state.owner == Some(contender) {
                        state.granter.renew(contender as u64, state.now);
                        state.messages.push(Message::Granted {
                            contender,
                            seq,
                            token: state.token,
                        });
                    }
                }
                Message::Granted {
                    contender,
                    seq,
                    token,
                } => {
                    let now = state.now;
                    let receiver = &mut state.contenders[contender];
                    let granted = if self.0.counts_from_request {
                        receiver.lease.granted(seq, LEASE)
                    } else {
                        // Without the safeguard, the lease counts from the response.
                        receiver.lease.granted(seq, LEASE) && {
                            receiver.lease.renewal_sent(100 + seq, now);
                            receiver.lease.granted(100 + seq, LEASE)
                        }
                    };
                    if granted {
                        receiver.token = token;
                        let other_owns = (0..CONTENDERS)
                            .any(|other| other != contender && self.owns(&state, other));
                        state.overlap |= other_owns && self.owns(&state, contender);
                    }
                }
                Message::Effect { contender, token } => {
                    state.contenders[contender].effect_token = None;
                    let mut check = FencingCheck::restored(vec![state.highest_token]);
                    if !self.0.fencing_check || check.accept(0, token) {
                        state.out_of_order |= token < state.highest_token;
                        state.highest_token = state.highest_token.max(token);
                    }
                }
            },
        }
        state.messages.extend(kept_message);
        state.messages.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, state: &State| !state.overlap),
            Property::always(
                "effects in the order of their tokens",
                |_, state: &State| !state.out_of_order,
            ),
            Property::sometimes("the slot changes hands", |_, state: &State| {
                state.token >= 2 && state.highest_token >= 2
            }),
        ]
    }
}

/// Names of the properties that the checker finds violated with these safeguards.
fn violated_properties(safeguards: Safeguards) -> Vec<&'static str> {
    let checker = LeaseModel(safeguards)
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discoveries();
    found
        .into_keys()
        .filter(|property| *property != "the slot changes hands")
        .collect()
}

#[test]
fn no_property_is_violated_with_all_safeguards() {
    let checker = LeaseModel(ALL_SAFEGUARDS)
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
        "the model must reach a change of owner"
    );
    assert_eq!(found.len(), 1);
}

#[test]
fn removing_any_safeguard_gives_a_counterexample() {
    assert_eq!(
        violated_properties(Safeguards {
            fencing_check: false,
            ..ALL_SAFEGUARDS
        }),
        ["effects in the order of their tokens"]
    );
    assert_eq!(
        violated_properties(Safeguards {
            counts_from_request: false,
            ..ALL_SAFEGUARDS
        }),
        ["one holder at a time"]
    );
    assert_eq!(
        violated_properties(Safeguards {
            waits_after_restart: false,
            ..ALL_SAFEGUARDS
        }),
        ["one holder at a time"]
    );
    assert_eq!(
        violated_properties(Safeguards {
            waits_full_lease: false,
            ..ALL_SAFEGUARDS
        }),
        ["one holder at a time"]
    );
}
