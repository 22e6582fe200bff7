//! The data plane of a gateway: the [`Node`] behind its [`ProxyServer`](dunespur_proxy::ProxyServer).

use crate::budgets::Budgets;
use crate::clock::Clock;
use crate::directory::{Directory, StateChanges};
use crate::load_exchange::LoadExchange;
use crate::request_events::{self, Stopwatch};
use crate::store_client::StoreClient;
use dunespur_configuration::RouteTable;
use dunespur_control_state::{ServerReport, ServerState};
use dunespur_load_distribution::Identity;
use dunespur_proxy::{AdmissionDecision, AdmissionRequest, CompletedTurn, History, Node, TurnKey};
use dunespur_routing::{
    Availability, Balancer, Choice, EngineParameters, LoadReport, Outcome, RoutingRequest, Server,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Routes requests, admits turns, and stores and reads turns for one gateway.
pub struct DataPlane {
    clock: Clock,
    directory: Rc<Directory>,
    balancer: Rc<RefCell<Balancer>>,
    load_exchange: Rc<LoadExchange>,
    budgets: Rc<Budgets>,
    store_client: StoreClient,
    leaving: Cell<bool>,
}

impl DataPlane {
    /// Creates a data plane. `required_replicas` is the number of stores that must have a turn on disk before the turn
    /// is acknowledged.
    pub fn new(
        directory: Rc<Directory>,
        identity: Identity,
        budgets: Rc<Budgets>,
        required_replicas: usize,
        clock: Clock,
    ) -> Rc<DataPlane> {
        let balancer = Rc::new(RefCell::new(Balancer::new(
            identity.zone.clone(),
            fastrand::u64(..),
        )));
        let load_exchange =
            LoadExchange::start(identity, directory.clone(), balancer.clone(), clock);
        let data_plane = Rc::new(DataPlane {
            clock,
            balancer,
            load_exchange,
            budgets,
            store_client: StoreClient::new(directory.clone(), required_replicas),
            directory: directory.clone(),
            leaving: Cell::new(false),
        });
        let weak = Rc::downgrade(&data_plane);
        directory.on_change(Box::new(move |changed| {
            if let Some(data_plane) = weak.upgrade() {
                data_plane.apply_changes(changed);
            }
        }));
        data_plane
    }

    /// Reports the gateway as not ready from now on, so that it gets no new clients.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// The exchange of service loads with other gateways.
    pub fn load_exchange(&self) -> Rc<LoadExchange> {
        self.load_exchange.clone()
    }

    /// Loads that this gateway has in flight, for each server with any.
    pub fn loads(&self) -> Vec<LoadReport> {
        self.balancer.borrow().load_reports()
    }

    fn apply_changes(&self, changed: StateChanges) {
        if changed.gateways {
            self.load_exchange.gateways_changed();
        }
        if !changed.servers && !changed.configuration {
            return;
        }
        let known = self.directory.known();
        let table = known.table.as_deref();
        let servers = known
            .servers
            .values()
            .map(|report| balancer_server(report, table))
            .collect();
        self.balancer
            .borrow_mut()
            .set_servers(servers, self.clock.now());
    }
}

/// Converts a server's report for the balancer, with parameters of its service from the configuration.
fn balancer_server(report: &ServerReport, table: Option<&RouteTable>) -> Server {
    let service = table.and_then(|table| table.service(&report.backend));
    let engine = service
        .and_then(|service| service.engine.as_ref())
        .map(|engine| EngineParameters {
            kv_capacity: engine.kv_capacity,
            slots: engine.slots,
            chunk_tokens: engine.chunk_tokens,
        });
    Server {
        id: report.id.as_str().into(),
        backend: report.backend.as_str().into(),
        address: report.address,
        zone: report.zone.as_str().into(),
        slots: report.slots,
        draining: report.state == ServerState::Draining,
        warmup_left_ms: 0,
        engine,
        max_conns: service.map_or(0, |service| service.max_conns),
    }
}

impl Node for DataPlane {
    fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.directory.known().table.clone()
    }

    fn is_configuration_stale(&self) -> bool {
        self.directory.has_lost_contact()
    }

    async fn next_change(&self) {
        self.directory.next_change().await;
    }

    fn is_ready(&self) -> bool {
        let known = self.directory.known();
        !self.leaving.get() && known.table.is_some() && !known.servers.is_empty()
    }

    fn choose(&self, request: &RoutingRequest) -> Choice {
        self.load_exchange.report_activity();
        let loads = if request_events::enabled() {
            self.loads()
        } else {
            Vec::new()
        };
        let choice = self.balancer.borrow_mut().choose(request, self.clock.now());
        if request_events::enabled() {
            request_events::choice(request, &choice, &loads);
        }
        choice
    }

    fn availability(&self, endpoint: &Server) -> Availability {
        self.balancer.borrow().availability(endpoint)
    }

    fn record_first_event(&self, key: u64) {
        request_events::first_event(key);
        self.balancer
            .borrow_mut()
            .record_first_event(key, self.clock.now());
    }

    fn record_outcome(&self, key: u64, outcome: Outcome) {
        self.load_exchange.report_activity();
        request_events::outcome(key, outcome);
        self.balancer
            .borrow_mut()
            .record_outcome(key, outcome, self.clock.now());
    }

    async fn admit(&self, turn: AdmissionRequest<'_>) -> AdmissionDecision {
        let stopwatch = Stopwatch::start(self.clock);
        let decision = self.budgets.reserve(turn).await;
        if let Some(waited_ms) = stopwatch.took_ms() {
            request_events::budget(
                &turn,
                &decision,
                self.budgets.leased(turn.program),
                waited_ms,
            );
        }
        decision
    }

    fn record_tokens(&self, turn: TurnKey, tokens: u64) {
        self.budgets.record_tokens(turn, tokens);
    }

    fn release(&self, turn: TurnKey) {
        request_events::release(turn.0);
        self.budgets.release(turn);
    }

    async fn history(&self, program: &str, previous: &str) -> History {
        let stopwatch = Stopwatch::start(self.clock);
        let found = self.store_client.history(program, previous).await;
        if let Some(took_ms) = stopwatch.took_ms() {
            request_events::history(program, previous, &found, took_ms);
        }
        found
    }

    async fn persist(&self, turn: CompletedTurn) -> bool {
        self.store_client.persist(turn).await
    }
}
