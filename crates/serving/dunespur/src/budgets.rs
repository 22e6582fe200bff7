//! Leases on programs' budgets: sends the requests of a [`LeaseTable`] to the core, and its decisions to waiting turns.

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

/// Timeout of one counter request to the core; the lease table repeats it afterwards.
const COUNTER_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after which a client may retry a turn without a decision, in milliseconds.
const UNDECIDED_RETRY_MS: u64 = 300;

/// Budgets of the programs that are active on this gateway.
pub struct Budgets {
    clock: Clock,
    directory: Rc<Directory>,
    leases: RefCell<LeaseTable>,
    /// Senders of the decisions to waiting turns, by turn.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Admission>>>,
    next_turn: Cell<u64>,
    /// Notified when the time of the next timeout may have changed.
    rescheduled: Notify,
    this: Weak<Budgets>,
}

impl Budgets {
    /// Starts without programs, and spawns the task that renews and returns leases.
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

    /// Reserves the maximum number of tokens that a turn may generate.
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
                drop(self.send_counter_request(request));
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

    /// Waits for the decision on a turn. Dropping the future before then removes the turn.
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

    /// Numbers of active programs and waiting turns.
    pub fn status(&self) -> BudgetStatus {
        BudgetStatus {
            programs: self.leases.borrow().programs(),
            waiting: self.waiting.borrow().len(),
        }
    }

    /// Tokens of a program that this gateway leases.
    pub fn leased(&self, program: &str) -> u64 {
        self.leases.borrow().leased(program)
    }

    /// Records tokens of a turn that are about to be sent to its client.
    pub fn record_tokens(&self, turn: TurnKey, tokens: u64) {
        self.leases.borrow_mut().record_use(turn.0, tokens);
    }

    /// Ends a turn and releases its unused tokens.
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

    /// Returns all leases to the core before the process ends.
    pub async fn close(&self) {
        let requests = self.leases.borrow_mut().close(self.clock.now());
        let counter_requests: Vec<_> = requests
            .into_iter()
            .filter_map(|request| self.send_counter_request(request))
            .collect();
        for counter_request in counter_requests {
            let _ = counter_request.await;
        }
    }

    /// Sends a request to the core in the background and passes its reply to the lease table.
    fn send_counter_request(&self, request: CounterRequest) -> Option<JoinHandle<()>> {
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

    /// Sends decisions to waiting turns, and new requests to the core.
    fn notify(&self, outcomes: Vec<TurnOutcome>) {
        for TurnOutcome { turn, admission } in outcomes {
            match admission {
                Admission::Request(request) => drop(self.send_counter_request(request)),
                Admission::Waiting => {}
                decided => self.complete(turn, decided),
            }
        }
    }

    /// Sends the decision to a waiting turn; ends the turn if its client has disconnected.
    fn complete(&self, turn: u64, admission: Admission) {
        let waiting = self.waiting.borrow_mut().remove(&turn);
        let Some(sender) = waiting else { return };
        if sender.send(admission).is_err() {
            self.finish(turn);
        }
    }

    /// Sends the due requests to the core and the resulting decisions to waiting turns.
    fn handle_timeout(&self) {
        let (requests, outcomes) = {
            let mut leases = self.leases.borrow_mut();
            let requests = leases.handle_timeout(self.clock.now());
            (requests, leases.take_outcomes())
        };
        requests
            .into_iter()
            .for_each(|request| drop(self.send_counter_request(request)));
        self.notify(outcomes);
    }
}

/// Removes a turn if its client disconnects while the turn waits for a decision.
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
        let next_timeout = budgets.leases.borrow().next_timeout();
        match next_timeout {
            Some(next_timeout) => {
                tokio::select! {
                    () = sleep_until(budgets.clock.instant(next_timeout).into()) => budgets.handle_timeout(),
                    () = budgets.rescheduled.notified() => {}
                }
            }
            None => budgets.rescheduled.notified().await,
        }
    }
}
