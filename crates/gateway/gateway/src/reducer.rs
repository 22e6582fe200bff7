//! Every state change of the gateway: events go in with the time, effects come out. Owns the invocations in
//! hand, the timers, the numbering of servers and the `Limiter`, of which it is the only caller. It must
//! never read or write a socket, look at a clock, or decide what is the module's to decide.

use crate::message::{Answered, Asked, Names, News, Reply};
use crate::stats::Stats;
use dunespur_decisions::types::{
    Action, AddContext, Arrival, AttemptResult, CounterReply, Decision, Invocation, Outcome,
    Readiness, Server, Settings, Stage,
};
use dunespur_decisions::Limiter;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

pub enum Event {
    /// A client's invocation came in whole.
    Taken {
        num: u64,
        asked: Rc<Asked>,
    },
    /// A client's message was turned down by the front.
    TurnedDown,
    ClientGone {
        num: u64,
    },
    /// A delivery ended, by itself or because it was given up.
    Ended {
        num: u64,
        n: usize,
        answered: Answered,
    },
    Counted {
        call: u64,
        counted: CounterReply,
    },
    Endpoints(News),
    WatchLost,
    /// What the fleet saw of the server at this address: bad for so long, or good again after it.
    FleetVerdict {
        address: SocketAddr,
        bad: bool,
        pause: f64,
    },
    ClientConnected,
    ServerConnected,
    /// The time that `next_due` named has come.
    Due,
}

/// The delivery with number `n` of invocation `num`.
#[derive(Clone)]
pub struct Delivery {
    pub num: u64,
    pub n: usize,
    pub tgt: usize,
    pub address: SocketAddr,
    pub asked: Rc<Asked>,
    pub until: f64,
}

pub enum Effect {
    Send(Delivery),
    /// Stop a delivery at once; it ends so unless its last byte was never written.
    Abandon {
        num: u64,
        n: usize,
        ending: AttemptResult,
    },
    Reply {
        num: u64,
        reply: Reply,
    },
    Count {
        call: u64,
        name: u64,
        add: f64,
        life: f64,
        about: AddContext,
    },
    AbandonCount {
        call: u64,
    },
    /// Nothing new goes over the connections that there are now.
    Retire {
        tgt: usize,
    },
    Watch,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Timer {
    Ask(u64),
    Limit(u64, usize),
    Call(u64),
    Tick,
}

#[derive(PartialEq)]
struct Due(f64, Timer);

impl Eq for Due {}

impl Ord for Due {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

struct Held {
    asked: Rc<Asked>,
    inv: Invocation,
    /// When the module is asked again about it.
    due: f64,
    /// One bit for each delivery that is out.
    open: u64,
}

struct Known {
    address: SocketAddr,
    started_at: f64,
    live: bool,
}

pub struct Reducer {
    limiter: Limiter,
    counter_timeout: f64,
    response_slack: f64,
    held: HashMap<u64, Held>,
    timers: BinaryHeap<Due>,
    calls: HashMap<u64, (u64, f64)>,
    last_call: u64,
    numbers: HashMap<String, usize>,
    known: Vec<Known>,
    pub stats: Stats,
}

impl Reducer {
    pub fn new(settings: &Settings, now: f64) -> Self {
        Reducer {
            limiter: Limiter::new(settings, now),
            counter_timeout: settings.counter_timeout,
            response_slack: settings.response_slack,
            held: HashMap::new(),
            timers: BinaryHeap::new(),
            calls: HashMap::new(),
            last_call: 0,
            numbers: HashMap::new(),
            known: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// The time at which `Due` is wanted next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.peek().map(|d| d.0)
    }

    pub fn in_hand(&self) -> usize {
        self.held.len()
    }

    /// Whether this delivery is still what the module wants, asked when its connection has come up.
    pub fn holds(&self, d: &Delivery, now: f64) -> bool {
        let Some(held) = self.held.get(&d.num) else {
            return false;
        };
        let known = &self.known[d.tgt];
        let there = known.live && known.address == d.address;
        // Guards against a window for repeats that ended while the connection came up.
        held.open & (1 << d.n) != 0
            && now < d.until
            && there
            && self.limiter.resendable(&held.inv, now)
    }

    pub fn reduce(&mut self, event: Event, now: f64, out: &mut Vec<Effect>) {
        match event {
            Event::Taken { num, asked } => self.take(num, asked, now, out),
            Event::TurnedDown => self.stats.turned_down += 1,
            Event::ClientGone { num } => self.client_gone(num, now, out),
            Event::Ended { num, n, answered } => self.ended(num, n, answered, now, out),
            Event::Counted { call, counted } => {
                let Some((name, at)) = self.calls.remove(&call) else {
                    return;
                };
                self.stats.counted(counted);
                self.limiter.counter_answered(name, counted, now - at, now);
            }
            Event::Endpoints(news) => self.endpoints(news, now, out),
            Event::WatchLost => {
                self.stats.news_lost += 1;
                self.limiter.watch_lost();
            }
            Event::FleetVerdict {
                address,
                bad,
                pause,
            } => {
                if let Some(tgt) = self
                    .known
                    .iter()
                    .position(|k| k.live && k.address == address)
                {
                    self.limiter.fleet_verdict(tgt, bad, pause, now);
                }
            }
            Event::ClientConnected => self.stats.client_connections += 1,
            Event::ServerConnected => self.stats.server_connections += 1,
            Event::Due => self.due(now, out),
        }
        self.carry_out(now, out);
    }

    fn take(&mut self, num: u64, asked: Rc<Asked>, now: f64, out: &mut Vec<Effect>) {
        self.stats.taken += 1;
        // The answer has to be with the client before its time is up.
        let until = now + (asked.wait - self.response_slack).max(0.0);
        let mut inv = Invocation::from(Arrival {
            id: num,
            customer: asked.customer,
            plan: asked.plan,
            operation: asked.operation,
            units: asked.units,
            first_gateway: asked.first_gateway,
            gateways: asked.gateways,
            arrived_at: now,
            client_deadline: until,
        });
        inv.repeat = asked.repeat;
        self.held.insert(
            num,
            Held {
                asked,
                inv,
                due: f64::INFINITY,
                open: 0,
            },
        );
        self.place(num, now, out);
    }

    fn place(&mut self, num: u64, now: f64, out: &mut Vec<Effect>) {
        let Some(held) = self.held.get_mut(&num) else {
            return;
        };
        if matches!(held.inv.stage, Stage::InFlight | Stage::Done) {
            return;
        }
        let answer = self.limiter.place(&mut held.inv, now);
        self.answer(num, answer, now, out);
    }

    /// Carries out one answer; what is finished with nothing out is let go.
    fn answer(&mut self, num: u64, answer: Decision, now: f64, out: &mut Vec<Effect>) {
        let Some(held) = self.held.get_mut(&num) else {
            return;
        };
        let wait = self.limiter.wait_time(&held.inv, now);
        match answer {
            Decision::Send(tgt) => {
                let (n, until) = (
                    held.inv.attempts.len() - 1,
                    (now + wait).min(held.inv.client_deadline),
                );
                held.open |= 1 << n;
                self.timers.push(Due(until, Timer::Limit(num, n)));
                self.stats.deliveries += 1;
                let (address, asked) = (self.known[tgt].address, held.asked.clone());
                out.push(Effect::Send(Delivery {
                    num,
                    n,
                    tgt,
                    address,
                    asked,
                    until,
                }));
            }
            Decision::Hold if held.inv.stage != Stage::InFlight && now + wait < held.due => {
                held.due = now + wait;
                self.timers.push(Due(held.due, Timer::Ask(num)));
            }
            Decision::Throttle { pause, cause } => {
                self.stats.throttled[cause as usize] += 1;
                out.push(Effect::Reply {
                    num,
                    reply: Reply::Throttled { pause },
                });
            }
            Decision::Error => {
                self.stats.errored += 1;
                out.push(Effect::Reply {
                    num,
                    reply: Reply::Errored,
                });
            }
            Decision::Hold | Decision::Done => {}
        }
        if held.inv.stage == Stage::Done && held.inv.in_flight == 0 {
            self.held.remove(&num);
        }
    }

    fn ended(&mut self, num: u64, n: usize, answered: Answered, now: f64, out: &mut Vec<Effect>) {
        let Answered { ending, used, body } = answered;
        let Some(held) = self.held.get_mut(&num).filter(|h| h.open & (1 << n) != 0) else {
            return;
        };
        held.open &= !(1 << n);
        self.stats.ended(ending);
        let finished = held.inv.stage == Stage::Done;
        let done = finished || ending == AttemptResult::Succeeded;
        if done && !finished {
            self.stats.succeeded += 1;
            out.push(Effect::Reply {
                num,
                reply: Reply::Succeeded(body),
            });
        }
        // No answer on this protocol settles units.
        let outcome = Outcome {
            attempt: n,
            result: ending,
            duration: now - held.inv.attempts[n].1,
            answered: done,
            usage: used,
            settled_units: None,
        };
        let answer = self.limiter.attempt_ended(&mut held.inv, &outcome, now);
        self.answer(num, answer, now, out);
    }

    fn client_gone(&mut self, num: u64, now: f64, out: &mut Vec<Effect>) {
        let Some(held) = self
            .held
            .get_mut(&num)
            .filter(|h| h.inv.stage != Stage::Done)
        else {
            return;
        };
        self.stats.clients_gone += 1;
        self.limiter.disconnected(&mut held.inv);
        for n in (0..held.inv.attempts.len()).filter(|n| held.open & (1 << n) != 0) {
            out.push(Effect::Abandon {
                num,
                n,
                ending: AttemptResult::Cancelled,
            });
        }
        self.answer(num, Decision::Done, now, out);
    }

    fn endpoints(&mut self, news: News, now: f64, out: &mut Vec<Effect>) {
        self.stats.news += 1;
        if news.complete {
            self.known.iter_mut().for_each(|k| k.live = false);
        }
        let mut entries = Vec::with_capacity(news.members.len());
        for m in news.members {
            let live = m.readiness == Readiness::Live;
            let known = Known {
                address: m.address,
                started_at: m.started_at,
                live,
            };
            let tgt = match self.numbers.get(&m.id) {
                Some(&tgt) => {
                    let old = std::mem::replace(&mut self.known[tgt], known);
                    if old.address != m.address || old.started_at < m.started_at {
                        out.push(Effect::Retire { tgt });
                    }
                    tgt
                }
                None => {
                    self.known.push(known);
                    self.numbers.insert(m.id, self.known.len() - 1);
                    self.known.len() - 1
                }
            };
            let (zone, cell, started_at, readiness) = (m.zone, m.cell, m.started_at, m.readiness);
            entries.push(Server {
                index: tgt,
                zone,
                cell,
                started_at,
                readiness,
            });
        }
        let shut = self.known.iter().enumerate().filter(|(_, k)| !k.live);
        out.extend(shut.map(|(tgt, _)| Effect::Retire { tgt }));
        self.limiter.update_endpoints(&entries, news.complete, now);
    }

    fn due(&mut self, now: f64, out: &mut Vec<Effect>) {
        while self.timers.peek().is_some_and(|d| d.0 <= now) {
            let Some(Due(at, timer)) = self.timers.pop() else {
                return;
            };
            match timer {
                Timer::Ask(num) => {
                    if let Some(held) = self.held.get_mut(&num).filter(|h| h.due <= at) {
                        held.due = f64::INFINITY;
                        self.place(num, now, out);
                    }
                }
                Timer::Limit(num, n) => {
                    if self.held.get(&num).is_some_and(|h| h.open & (1 << n) != 0) {
                        out.push(Effect::Abandon {
                            num,
                            n,
                            ending: AttemptResult::Timeout,
                        });
                    }
                }
                Timer::Call(call) => {
                    if self.calls.contains_key(&call) {
                        out.push(Effect::AbandonCount { call });
                    }
                }
                Timer::Tick => self.limiter.tick(),
            }
        }
    }

    fn carry_out(&mut self, now: f64, out: &mut Vec<Effect>) {
        while let Some(action) = self.limiter.next_action() {
            match action {
                Action::Place(num) => self.place(num, now, out),
                Action::AddToCounter {
                    name,
                    add,
                    lifetime: life,
                    context: about,
                } => {
                    self.last_call += 1;
                    self.stats.calls += 1;
                    let call = self.last_call;
                    self.calls.insert(call, (name, now));
                    self.timers
                        .push(Due(now + self.counter_timeout, Timer::Call(call)));
                    out.push(Effect::Count {
                        call,
                        name,
                        add,
                        life,
                        about,
                    });
                }
                Action::WatchEndpoints => out.push(Effect::Watch),
                Action::ScheduleTick(after) => self.timers.push(Due(now + after, Timer::Tick)),
            }
        }
    }
}

/// The names and bounds that the settings give to the rest of the gateway.
pub fn names(read: &dunespur_settings::SettingsDocument) -> Names {
    let (plans, operations, zones) = (
        read.plans.clone(),
        read.operations.clone(),
        read.zones.clone(),
    );
    Names {
        plans,
        operations,
        zones,
        fleet: read.settings.fleet_size,
        most_units: read.max_units,
    }
}

#[cfg(test)]
pub mod tests;
