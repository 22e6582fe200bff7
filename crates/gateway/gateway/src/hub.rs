//! Where events meet the reducer and effects their owners. Owns the queue between them, the clock and the
//! one timer. It must never change an invocation's state itself or let an effect overtake another.

use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::fleet::HubObserver;
use crate::front::Front;
use crate::lending::{Lending, BROKER};
use crate::message::Names;
use crate::reducer::{Effect, Event, Reducer};
use crate::upstream::Upstream;
use dunespur_decisions::types::CounterReply;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Unix time as read once at the start, carried on by the monotonic clock: the gateways' windows and the
/// endpoints' start times must agree, and no step of the machine's clock may disturb them.
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

pub struct Hub {
    pub clock: Clock,
    pub names: Names,
    pub front: Front,
    pub upstream: Upstream,
    pub counter: Counter,
    pub discovery: Discovery,
    pub reducer: RefCell<Reducer>,
    /// Where the fleet listens, if there is one.
    pub observer: RefCell<Option<HubObserver>>,
    /// Where a broker may answer in the counter's place.
    pub lending: RefCell<Option<Rc<Lending>>>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    /// What the timer is set to.
    set: Cell<f64>,
    earlier: Notify,
}

/// Lets go of the loop even when an event panics, so that the next connection finds it free.
struct Busy<'a>(&'a Cell<bool>);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Hub {
    pub fn new(
        clock: Clock,
        names: Names,
        reducer: Reducer,
        front: Front,
        upstream: Upstream,
        counter: Counter,
        discovery: Discovery,
    ) -> Rc<Self> {
        Rc::new(Hub {
            clock,
            names,
            front,
            upstream,
            counter,
            discovery,
            reducer: RefCell::new(reducer),
            observer: RefCell::default(),
            lending: RefCell::default(),
            events: RefCell::default(),
            busy: Cell::new(false),
            set: Cell::new(f64::INFINITY),
            earlier: Notify::new(),
        })
    }

    /// Takes one event, and what its effects bring about at once.
    pub fn tell(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let _busy = Busy(&self.busy);
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else {
                break;
            };
            if let Some(observer) = &*self.observer.borrow() {
                observer.event(&event);
            }
            if let (Event::Counted { call, .. }, Some(lending)) = (&event, &*self.lending.borrow())
            {
                // The end of a call of this process's own broker has already been seen by the observer.
                if *call >= BROKER {
                    continue;
                }
                lending.counted(*call);
            }
            self.reducer
                .borrow_mut()
                .reduce(event, self.clock.now(), &mut effects);
            effects.drain(..).for_each(|e| self.carry_out(e));
        }
        if self
            .reducer
            .borrow()
            .next_due()
            .is_some_and(|due| due < self.set.get())
        {
            self.earlier.notify_one();
        }
    }

    /// A call to the counter that the reducer did not ask for, or asked of a broker.
    pub fn call_counter(&self, call: u64, name: u64, add: f64, life: f64) {
        if let Some(observer) = &*self.observer.borrow() {
            observer.effect(&Effect::Count {
                call,
                name,
                add,
                life,
                about: Default::default(),
            });
        }
        self.counter.call(call, name, add, life);
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        let lending = self.lending.borrow().clone();
        if let (
            Effect::Count {
                call,
                name,
                add,
                life,
                about,
            },
            Some(lending),
        ) = (&effect, &lending)
        {
            if lending.route_to_broker(
                *call,
                *name,
                *add,
                *life,
                about,
                self.clock.now() - about.window_start,
            ) {
                return;
            }
        }
        if let Some(observer) = &*self.observer.borrow() {
            observer.effect(&effect);
        }
        match effect {
            Effect::Send(delivery) => self.upstream.send(self, delivery),
            Effect::Abandon { num, n, ending } => self.upstream.abandon(self, num, n, ending),
            Effect::Reply { num, reply } => self.front.reply(num, reply),
            Effect::Count {
                call,
                name,
                add,
                life,
                ..
            } => self.counter.call(call, name, add, life),
            Effect::AbandonCount { call } => match lending {
                Some(lending) if lending.abandon(call) => {
                    self.tell(Event::Counted {
                        call,
                        counted: CounterReply::NoReply,
                    });
                }
                _ => self.counter.abandon(self, call),
            },
            Effect::Retire { tgt } => self.upstream.retire(tgt),
            Effect::Watch => self.discovery.watch(),
        }
    }

    /// The one timer: tells the reducer when something is due.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.reducer.borrow().next_due().unwrap_or(f64::INFINITY);
            self.set.set(due);
            let wait = (due - self.clock.now()).clamp(0.0, 3600.0);
            tokio::select! {
                biased;
                _ = self.earlier.notified() => {}
                _ = tokio::time::sleep(Duration::from_secs_f64(wait)) => self.tell(Event::Due),
            }
        }
    }
}
