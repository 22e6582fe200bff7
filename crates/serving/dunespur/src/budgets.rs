//! Leases on the budgets of programs: carries the requests of a [`LeaseTable`] to the core and its decisions to the
//! turns that wait.

use crate::clock::Clock;
use crate::directory::Directory;
use crate::request_events::{self, Stopwatch};
use crate::status::BudgetStatus;
use dunespur_budget::{Admission, CounterRequest, LeaseTable, LimiterId, Rejection, TurnOutcome};
use dunespur_control_state::{Operation, Outcome};
use dunespur_proxy::{AdmissionDecision, AdmissionRequest, TurnKey};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep_until;

/// The core gets so long for one request; the lease table sends it again.
const COUNTER_TIMEOUT: Duration = Duration::from_millis(900);
/// When a turn may come back that could not be decided on, in milliseconds.
const UNDECIDED_RETRY_MS: u64 = 300;

/// The budgets of programs that are active on this gateway.
pub struct Budgets {
    clock: Clock,
    directory: Rc<Directory>,
    leases: RefCell<LeaseTable>,
    /// Turns that wait for a decision.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Admission>>>,
    next_turn: Cell<u64>,
    /// Notified when the next due time may have changed.
    rescheduled: Notify,
    this: Weak<Budgets>,
}

impl Budgets {
    /// No programs yet; starts the task that renews leases and returns them.
    pub fn start(limiter: LimiterId, directory: Rc<Directory>, clock: Clock) -> Rc<Budgets> {
        let budgets = Rc::new_cyclic(|this| Budgets {
            clock,
            directory,
            leases: RefCell::new(LeaseTable::new(limiter)),
            waiting: RefCell::default(),
            next_turn: Cell::new(1),
            rescheduled: Notify::new(),
            this: this.clone(),
        });
        spawn_local(drive_timers(budgets.clone()));
        budgets
    }

    /// Reserves the most tokens that a turn may generate.
    pub async fn reserve(&self, request: AdmissionRequest<'_>) -> AdmissionDecision {
        let turn = self.next_turn.replace(self.next_turn.get() + 1);
        let now = self.clock.now();
        let admission = self.leases.borrow_mut().admit(
            request.program,
            request.budget,
            request.max_tokens,
            turn,
            now,
        );
        self.rescheduled.notify_one();
        let admission = match admission {
            Admission::Request(request) => {
                let decision = self.await_decision(turn);
                drop(self.exchange(request));
                decision.await
            }
            Admission::Waiting => self.await_decision(turn).await,
            decided => decided,
        };
        match admission {
            Admission::Admitted => AdmissionDecision::Admitted(TurnKey(turn)),
            Admission::Rejected(Rejection::Spent) => AdmissionDecision::BudgetSpent,
            Admission::Rejected(Rejection::LeasedElsewhere { retry_after_ms }) => {
                AdmissionDecision::RetryLater { retry_after_ms }
            }
            _ => AdmissionDecision::RetryLater {
                retry_after_ms: UNDECIDED_RETRY_MS,
            },
        }
    }

    /// The decision on a turn that waits. A future that is dropped before it is ready takes the turn out.
    fn await_decision(&self, turn: u64) -> impl Future<Output = Admission> + '_ {
        let (sender, decision) = oneshot::channel();
        self.waiting.borrow_mut().insert(turn, sender);
        let waiting = WaitingTurn {
            budgets: self,
            turn,
            decided: false,
        };
        async move {
            let mut waiting = waiting;
            let admission = decision
                .await
                .unwrap_or(Admission::Rejected(Rejection::CounterTimeout));
            waiting.decided = true;
            admission
        }
    }

    /// How many programs and turns there are.
    pub fn status(&self) -> BudgetStatus {
        BudgetStatus {
            programs: self.leases.borrow().programs(),
            waiting: self.waiting.borrow().len(),
        }
    }

    /// Tokens of a program that are leased here.
    pub fn leased(&self, program: &str) -> u64 {
        self.leases.borrow().leased(program)
    }

    /// Tokens of a turn that are about to be sent to its client.
    pub fn record_tokens(&self, turn: TurnKey, tokens: u64) {
        self.leases.borrow_mut().record_use(turn.0, tokens);
    }

    /// A turn has ended.
    pub fn release(&self, turn: TurnKey) {
        self.finish(turn.0);
    }

    fn finish(&self, turn: u64) {
        let outcomes = {
            let mut leases = self.leases.borrow_mut();
            leases.finish(turn, self.clock.now());
            leases.take_outcomes()
        };
        self.notify(outcomes);
        self.rescheduled.notify_one();
    }

    /// Gives back what is leased, before the end of the process.
    pub async fn close(&self) {
        let requests = self.leases.borrow_mut().close(self.clock.now());
        let exchanges: Vec<_> = requests
            .into_iter()
            .filter_map(|request| self.exchange(request))
            .collect();
        for exchange in exchanges {
            let _ = exchange.await;
        }
    }

    /// Brings a request to the core and its answer to the lease table.
    fn exchange(&self, request: CounterRequest) -> Option<JoinHandle<()>> {
        let budgets = self.this.upgrade()?;
        Some(spawn_local(async move {
            let stopwatch = Stopwatch::start(budgets.clock);
            let operation = Operation::Budget(request.clone());
            let outcome = budgets.directory.execute(&operation, COUNTER_TIMEOUT).await;
            let reply = match &outcome {
                Ok(Outcome::Budget(reply)) => Some(reply),
                _ => None,
            };
            if let Some(took_ms) = stopwatch.took_ms() {
                request_events::counter(&request, reply, took_ms);
            }
            let outcomes =
                budgets
                    .leases
                    .borrow_mut()
                    .handle_reply(&request, reply, budgets.clock.now());
            budgets.notify(outcomes);
            budgets.rescheduled.notify_one();
        }))
    }

    /// Sends decisions to the turns that wait for them.
    fn notify(&self, outcomes: Vec<TurnOutcome>) {
        for TurnOutcome { turn, admission } in outcomes {
            match admission {
                Admission::Request(request) => drop(self.exchange(request)),
                Admission::Waiting => {}
                decided => self.complete(turn, decided),
            }
        }
    }

    /// Sends its decision to a turn; one whose client is disconnected has ended.
    fn complete(&self, turn: u64, admission: Admission) {
        let waiting = self.waiting.borrow_mut().remove(&turn);
        let Some(sender) = waiting else { return };
        if sender.send(admission).is_err() {
            self.finish(turn);
        }
    }

    /// Sends the requests that are due.
    fn handle_timeout(&self) {
        let (requests, outcomes) = {
            let mut leases = self.leases.borrow_mut();
            let requests = leases.handle_timeout(self.clock.now());
            (requests, leases.take_outcomes())
        };
        requests
            .into_iter()
            .for_each(|request| drop(self.exchange(request)));
        self.notify(outcomes);
    }
}

/// Takes a turn out whose client disconnected while it waited.
struct WaitingTurn<'a> {
    budgets: &'a Budgets,
    turn: u64,
    decided: bool,
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        if !self.decided {
            self.budgets.waiting.borrow_mut().remove(&self.turn);
            self.budgets.finish(self.turn);
        }
    }
}

async fn drive_timers(budgets: Rc<Budgets>) {
    loop {
        let due = budgets.leases.borrow().next_timeout();
        match due {
            Some(due) => {
                tokio::select! {
                    () = sleep_until(budgets.clock.instant(due).into()) => budgets.handle_timeout(),
                    () = budgets.rescheduled.notified() => {}
                }
            }
            None => budgets.rescheduled.notified().await,
        }
    }
}
