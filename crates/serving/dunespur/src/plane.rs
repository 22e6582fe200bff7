//! The data plane's side of a gateway: answers what a [`Front`](dunespur_proxy::Front) asks of its node.

use crate::budgets::Budgets;
use crate::clock::Clock;
use crate::directory::{Directory, Touched};
use crate::homes::Homes;
use crate::keeping::Keeping;
use crate::trace::{self, Stopwatch};
use dunespur_configuration::Table;
use dunespur_control_state::{ServerReport, ServerState};
use dunespur_load_distribution::Identity;
use dunespur_proxy::{History, KeptTurn, Node, Reserve, TurnAsk, TurnKey};
use dunespur_routing::{Ask, Choice, Chooser, EngineShape, LoadReport, Outcome, Server};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// One gateway's data plane.
pub struct Plane {
    clock: Clock,
    directory: Rc<Directory>,
    chooser: Rc<RefCell<Chooser>>,
    homes: Rc<Homes>,
    budgets: Rc<Budgets>,
    keeping: Keeping,
    leaving: Cell<bool>,
}

impl Plane {
    pub fn new(
        directory: Rc<Directory>,
        own: Identity,
        budgets: Rc<Budgets>,
        copies: usize,
        clock: Clock,
    ) -> Rc<Plane> {
        let chooser = Rc::new(RefCell::new(Chooser::new(
            own.zone.clone(),
            fastrand::u64(..),
        )));
        let homes = Homes::start(own, directory.clone(), chooser.clone(), clock);
        let plane = Rc::new(Plane {
            clock,
            chooser,
            homes,
            budgets,
            keeping: Keeping::new(directory.clone(), copies),
            directory: directory.clone(),
            leaving: Cell::new(false),
        });
        let weak = Rc::downgrade(&plane);
        directory.when_changed(Box::new(move |touched| {
            if let Some(plane) = weak.upgrade() {
                plane.changed(touched);
            }
        }));
        plane
    }

    /// No new clients are wanted from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// This gateway's part in the homes of services.
    pub fn homes(&self) -> Rc<Homes> {
        self.homes.clone()
    }

    /// What this gateway has in flight at servers; those without any are left out.
    pub fn loads(&self) -> Vec<LoadReport> {
        self.chooser.borrow().load_reports()
    }

    fn changed(&self, touched: Touched) {
        if touched.gateways {
            self.homes.gateways_changed();
        }
        if !touched.servers && !touched.configuration {
            return;
        }
        let known = self.directory.known();
        let table = known.table.as_deref();
        let servers = known
            .servers
            .values()
            .map(|report| server(report, table))
            .collect();
        self.chooser
            .borrow_mut()
            .set_servers(servers, self.clock.now());
    }
}

/// A server as the choice sees it; what its service is comes from the configuration.
fn server(report: &ServerReport, table: Option<&Table>) -> Server {
    let service = table.and_then(|table| table.service(&report.backend));
    let engine = service
        .and_then(|service| service.engine.as_ref())
        .map(|engine| EngineShape {
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
        cold_left_ms: 0,
        engine,
        max_conns: service.map_or(0, |service| service.max_conns),
    }
}

impl Node for Plane {
    fn table(&self) -> Option<Rc<Table>> {
        self.directory.known().table.clone()
    }

    fn is_out_of_touch(&self) -> bool {
        self.directory.has_lost_touch()
    }

    async fn next_change(&self) {
        self.directory.next_change().await;
    }

    fn ready(&self) -> bool {
        let known = self.directory.known();
        !self.leaving.get() && known.table.is_some() && !known.servers.is_empty()
    }

    fn choose(&self, ask: &Ask) -> Choice {
        self.homes.note_activity();
        let loads = if trace::enabled() {
            self.loads()
        } else {
            Vec::new()
        };
        let choice = self.chooser.borrow_mut().choose(ask, self.clock.now());
        if trace::enabled() {
            trace::choice(ask, &choice, &loads);
        }
        choice
    }

    fn first_event(&self, key: u64) {
        trace::first_event(key);
        self.chooser.borrow_mut().first_event(key, self.clock.now());
    }

    fn finished(&self, key: u64, outcome: Outcome) {
        self.homes.note_activity();
        trace::outcome(key, outcome);
        self.chooser
            .borrow_mut()
            .finished(key, outcome, self.clock.now());
    }

    async fn reserve(&self, turn: TurnAsk<'_>) -> Reserve {
        let stopwatch = Stopwatch::start(self.clock);
        let verdict = self.budgets.reserve(turn).await;
        if let Some(waited_ms) = stopwatch.took_ms() {
            trace::budget(&turn, &verdict, self.budgets.held(turn.program), waited_ms);
        }
        verdict
    }

    fn used(&self, turn: TurnKey, tokens: u64) {
        self.budgets.used(turn, tokens);
    }

    fn release(&self, turn: TurnKey) {
        trace::release(turn.0);
        self.budgets.release(turn);
    }

    async fn history(&self, program: &str, previous: &str) -> History {
        let stopwatch = Stopwatch::start(self.clock);
        let found = self.keeping.history(program, previous).await;
        if let Some(took_ms) = stopwatch.took_ms() {
            trace::history(program, previous, &found, took_ms);
        }
        found
    }

    async fn keep(&self, turn: KeptTurn) -> bool {
        self.keeping.keep(turn).await
    }
}
