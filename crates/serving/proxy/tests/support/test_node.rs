//! A node that answers as the test says.

use super::{table, CONFIGURATION};
use dunespur_configuration::RouteTable;
use dunespur_proxy::{AdmissionDecision, AdmissionRequest, CompletedTurn, History, Node, TurnKey};
use dunespur_routing::{Choice, Outcome, RoutingRequest, Server, Ticket};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};

/// Answers as the test says, and records every call.
pub struct TestNode {
    pub table: RefCell<Option<Rc<RouteTable>>>,
    pub is_ready: Cell<bool>,
    pub configuration_stale: Cell<bool>,
    /// Chosen in this order, those tried before left out.
    pub endpoints: RefCell<Vec<Rc<Server>>>,
    /// Services without an endpoint.
    pub services_without_endpoints: RefCell<Vec<String>>,
    /// Every choice is a rejection that names this time.
    pub reject_after_ms: Cell<Option<u64>>,
    pub engine_priority: Cell<Option<u8>>,
    /// Whether an endpoint that was tried is offered again once there is no other.
    pub offers_tried_again: Cell<bool>,
    /// Done once, in the very moment in which an endpoint is chosen next.
    pub on_next_choice: RefCell<Option<Box<dyn FnOnce()>>>,
    pub admission: Cell<AdmissionDecision>,
    /// Permits of turns that may be admitted; none waits unless a test takes them away.
    pub admission_permits: Semaphore,
    pub history: RefCell<History>,
    pub persists: Cell<bool>,
    /// Permits of turns that may be stored; none waits unless a test takes them away.
    pub persist_permits: Semaphore,
    pub log: RefCell<Vec<NodeCall>>,
    choices: RefCell<Vec<RecordedChoice>>,
    last_key: Cell<u64>,
    changed: Notify,
    configuration_changed: Notify,
}

/// A call of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeCall {
    AwaitChange,
    RecordFirstEvent,
    RecordOutcome(Outcome),
    Admit {
        program: String,
        budget: u64,
        max_tokens: u64,
    },
    RecordTokens(u64),
    Release,
    History {
        program: String,
        previous: String,
    },
    Persist(CompletedTurn),
}

/// What a choice was asked with.
#[derive(Clone, Debug)]
pub struct RecordedChoice {
    pub backend: String,
    pub program: Option<String>,
    pub session: Option<String>,
    pub prefix: Vec<(u64, u32)>,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub idempotent: bool,
    pub time_left_ms: u64,
    pub tried: Vec<String>,
}

impl TestNode {
    pub fn new(endpoints: Vec<Rc<Server>>) -> Rc<TestNode> {
        Rc::new(TestNode {
            table: RefCell::new(Some(table(CONFIGURATION))),
            is_ready: Cell::new(true),
            configuration_stale: Cell::new(false),
            endpoints: RefCell::new(endpoints),
            services_without_endpoints: RefCell::default(),
            reject_after_ms: Cell::new(None),
            engine_priority: Cell::new(None),
            offers_tried_again: Cell::new(false),
            on_next_choice: RefCell::default(),
            admission: Cell::new(AdmissionDecision::Admitted(TurnKey(7))),
            admission_permits: Semaphore::new(1000),
            history: RefCell::new(History::Found(Vec::new())),
            persists: Cell::new(true),
            persist_permits: Semaphore::new(1000),
            log: RefCell::default(),
            choices: RefCell::default(),
            last_key: Cell::new(0),
            changed: Notify::new(),
            configuration_changed: Notify::new(),
        })
    }

    /// Another table comes into force, or none, and the data plane is notified.
    pub fn set_table(&self, table: Option<Rc<RouteTable>>) {
        *self.table.borrow_mut() = table;
        self.configuration_changed.notify_waiters();
    }

    /// Replaces parts of the configuration that tests start with, without a notification.
    pub fn edit_configuration(&self, replacements: &[(&str, &str)]) {
        let mut text = CONFIGURATION.to_owned();
        for (from, to) in replacements {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        *self.table.borrow_mut() = Some(table(&text));
    }

    pub fn choices(&self) -> Vec<RecordedChoice> {
        self.choices.borrow().clone()
    }

    /// How many sends it has allowed.
    pub fn sends(&self) -> usize {
        self.last_key.get() as usize
    }

    pub fn calls(&self) -> Vec<NodeCall> {
        self.log.borrow().clone()
    }

    /// Outcomes of the sends so far, in order.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let log = self.log.borrow();
        log.iter()
            .filter_map(|call| {
                if let NodeCall::RecordOutcome(outcome) = call {
                    Some(*outcome)
                } else {
                    None
                }
            })
            .collect()
    }

    /// Tokens counted so far.
    pub fn recorded_tokens(&self) -> u64 {
        self.log
            .borrow()
            .iter()
            .map(|call| {
                if let NodeCall::RecordTokens(tokens) = call {
                    *tokens
                } else {
                    0
                }
            })
            .sum()
    }

    fn record(&self, call: NodeCall) {
        self.log.borrow_mut().push(call);
        self.changed.notify_waiters();
    }

    /// Waits for this call.
    pub async fn called_with(&self, wanted: &NodeCall) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if self.log.borrow().contains(wanted) {
                return;
            }
            changed.await;
        }
    }
}

impl Node for TestNode {
    fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    fn is_configuration_stale(&self) -> bool {
        self.configuration_stale.get()
    }

    async fn next_change(&self) {
        self.record(NodeCall::AwaitChange);
        self.configuration_changed.notified().await;
    }

    fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    fn choose(&self, request: &RoutingRequest) -> Choice {
        self.choices.borrow_mut().push(RecordedChoice {
            backend: request.backend.to_owned(),
            program: request.program.map(str::to_owned),
            session: request.session.map(str::to_owned),
            prefix: request
                .prefix
                .iter()
                .map(|part| (part.id, part.tokens))
                .collect(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            idempotent: request.idempotent,
            time_left_ms: request.time_left_ms,
            tried: request.tried.iter().map(|id| id.to_string()).collect(),
        });
        if let Some(act) = self.on_next_choice.borrow_mut().take() {
            act();
        }
        if let Some(retry_after_ms) = self.reject_after_ms.get() {
            return Choice::Reject { retry_after_ms };
        }
        if self
            .services_without_endpoints
            .borrow()
            .iter()
            .any(|service| service == request.backend)
        {
            return Choice::NoServer;
        }
        let endpoints = self.endpoints.borrow();
        let untried = endpoints
            .iter()
            .find(|endpoint| !request.tried.contains(&endpoint.id));
        match untried.or(endpoints.first().filter(|_| self.offers_tried_again.get())) {
            Some(endpoint) => {
                self.last_key.set(self.last_key.get() + 1);
                let engine_priority = self.engine_priority.get();
                Choice::Send(Ticket {
                    server: endpoint.clone(),
                    key: self.last_key.get(),
                    engine_priority,
                })
            }
            None => Choice::NoServer,
        }
    }

    fn record_first_event(&self, _key: u64) {
        self.record(NodeCall::RecordFirstEvent);
    }

    fn record_outcome(&self, _key: u64, outcome: Outcome) {
        self.record(NodeCall::RecordOutcome(outcome));
    }

    async fn admit(&self, turn: AdmissionRequest<'_>) -> AdmissionDecision {
        self.record(NodeCall::Admit {
            program: turn.program.to_owned(),
            budget: turn.budget,
            max_tokens: turn.max_tokens,
        });
        self.admission_permits.acquire().await.unwrap().forget();
        self.admission.get()
    }

    fn record_tokens(&self, _turn: TurnKey, tokens: u64) {
        self.record(NodeCall::RecordTokens(tokens));
    }

    fn release(&self, _turn: TurnKey) {
        self.record(NodeCall::Release);
    }

    async fn history(&self, program: &str, previous: &str) -> History {
        self.record(NodeCall::History {
            program: program.to_owned(),
            previous: previous.to_owned(),
        });
        self.history.borrow().clone()
    }

    async fn persist(&self, turn: CompletedTurn) -> bool {
        self.record(NodeCall::Persist(turn));
        self.persist_permits.acquire().await.unwrap().forget();
        self.persists.get()
    }
}
