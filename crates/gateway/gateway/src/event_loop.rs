//! Passes events to the state machine and its effects to the modules that perform them. Owns the event queue, the
//! clock and the timer. Effects are performed in the order in which the state machine returns them.

use crate::client_listener::ClientListener;
use crate::counter_client::CounterClient;
use crate::counter_router::{CounterRouter, FIRST_BROKER_CALL};
use crate::discovery_watch::DiscoveryWatch;
use crate::fleet::EventObserver;
use crate::protocol::ConfiguredNames;
use crate::server_connections::ServerConnections;
use crate::state_machine::{Effect, Event, StateMachine};
use dunespur_decisions::types::CounterReply;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Unix time, so that rate windows are the same on all gateways and the time can be compared with the start times of
/// endpoints, which discovery reports. Read once at the start and advanced by the monotonic clock, so that steps of
/// the system clock have no effect.
pub struct UnixClock {
    started: Instant,
    unix: f64,
}

impl UnixClock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixClock {
            started: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// Longest wait of the timer, in seconds. Without a deadline the wait is infinite, and `Duration::from_secs_f64`
/// panics on infinity.
const MAX_TIMER_WAIT_S: f64 = 3600.0;

/// The event loop and the modules that perform its effects.
pub struct EventLoop {
    pub clock: UnixClock,
    pub names: ConfiguredNames,
    pub client_listener: ClientListener,
    pub server_connections: ServerConnections,
    pub counter_client: CounterClient,
    pub discovery_watch: DiscoveryWatch,
    pub state_machine: RefCell<StateMachine>,
    /// Reports events and effects to the fleet task, if there is one.
    pub observer: RefCell<Option<EventObserver>>,
    /// Routes counter calls to brokers, if the fleet has any.
    pub counter_router: RefCell<Option<Rc<CounterRouter>>>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    /// The time at which the timer fires next.
    timer_due: Cell<f64>,
    /// Wakes `run_timer` when the state machine has a deadline before `timer_due`.
    earlier_deadline: Notify,
}

/// Clears `busy` even if an event panics, so that later events are still handled.
struct BusyGuard<'a>(&'a Cell<bool>);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl EventLoop {
    pub fn new(
        clock: UnixClock,
        names: ConfiguredNames,
        state_machine: StateMachine,
        client_listener: ClientListener,
        server_connections: ServerConnections,
        counter_client: CounterClient,
        discovery_watch: DiscoveryWatch,
    ) -> Rc<Self> {
        Rc::new(EventLoop {
            clock,
            names,
            client_listener,
            server_connections,
            counter_client,
            discovery_watch,
            state_machine: RefCell::new(state_machine),
            observer: RefCell::default(),
            counter_router: RefCell::default(),
            events: RefCell::default(),
            busy: Cell::new(false),
            timer_due: Cell::new(f64::INFINITY),
            earlier_deadline: Notify::new(),
        })
    }

    /// Handles an event, and the events that its effects cause immediately.
    pub fn handle(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let _busy_guard = BusyGuard(&self.busy);
        let mut effects = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else {
                break;
            };
            if let Some(observer) = &*self.observer.borrow() {
                observer.observe_event(&event);
            }
            if let (Event::CounterReplied { call, .. }, Some(counter_router)) =
                (&event, &*self.counter_router.borrow())
            {
                // A call of this process's own broker: the observer has already reported the reply to the fleet task,
                // and the state machine doesn't know the call.
                if *call >= FIRST_BROKER_CALL {
                    continue;
                }
                counter_router.counter_replied(*call);
            }
            self.state_machine
                .borrow_mut()
                .handle(event, self.clock.now(), &mut effects);
            effects.drain(..).for_each(|effect| self.perform(effect));
        }
        if self
            .state_machine
            .borrow()
            .next_due()
            .is_some_and(|due| due < self.timer_due.get())
        {
            self.earlier_deadline.notify_one();
        }
    }

    /// Calls the counter for this process's broker, or for a call that a broker did not answer in time.
    pub fn call_counter(&self, call: u64, name: u64, add: f64, lifetime: f64) {
        if let Some(observer) = &*self.observer.borrow() {
            observer.observe_effect(&Effect::CallCounter {
                call,
                name,
                add,
                lifetime,
                context: Default::default(),
            });
        }
        self.counter_client.call(call, name, add, lifetime);
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        let counter_router = self.counter_router.borrow().clone();
        if let (
            Effect::CallCounter {
                call,
                name,
                add,
                lifetime,
                context,
            },
            Some(counter_router),
        ) = (&effect, &counter_router)
        {
            if counter_router.route_to_broker(
                *call,
                *name,
                *add,
                *lifetime,
                context,
                self.clock.now() - context.window_start,
            ) {
                return;
            }
        }
        if let Some(observer) = &*self.observer.borrow() {
            observer.observe_effect(&effect);
        }
        match effect {
            Effect::SendAttempt(attempt) => self.server_connections.send(self, attempt),
            Effect::CancelAttempt {
                invocation_id,
                attempt,
                result,
            } => self
                .server_connections
                .cancel(self, invocation_id, attempt, result),
            Effect::Respond {
                invocation_id,
                response,
            } => self.client_listener.respond(invocation_id, response),
            Effect::CallCounter {
                call,
                name,
                add,
                lifetime,
                ..
            } => self.counter_client.call(call, name, add, lifetime),
            Effect::AbandonCounterCall { call } => match counter_router {
                Some(counter_router) if counter_router.abandon(call) => {
                    self.handle(Event::CounterReplied {
                        call,
                        reply: CounterReply::NoReply,
                    });
                }
                _ => self.counter_client.abandon(self, call),
            },
            Effect::RetireConnections { server } => self.server_connections.retire(server),
            Effect::OpenWatch => self.discovery_watch.request_watch(),
        }
    }

    /// Runs the timer: tells the state machine when a deadline is reached.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let next_due = self
                .state_machine
                .borrow()
                .next_due()
                .unwrap_or(f64::INFINITY);
            self.timer_due.set(next_due);
            let wait = (next_due - self.clock.now()).clamp(0.0, MAX_TIMER_WAIT_S);
            tokio::select! {
                biased;
                _ = self.earlier_deadline.notified() => {}
                _ = tokio::time::sleep(Duration::from_secs_f64(wait)) => self.handle(Event::TimerExpired),
            }
        }
    }
}
