//! The task that drives this process's part in the fleet for as long as the process lives.

use super::event::FleetEvent;
use super::observer::HubObserver;
use super::setup::DiskResult;
use super::work::Work;
use super::Fleet;
use crate::clock::clock;
use crate::fault::Fault;
use crate::hub::Hub;
use crate::operators::Plan;
use dunespur_peer_transport::ReceivedFrame;
use dunespur_singleton_roles::audit::CallOutcome;
use dunespur_singleton_roles::health_check::Delivery;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Frames from peers that wait for the fleet's task.
const INBOX: usize = 1024;
/// Longest time between two looks at the timers, seconds.
const MAX_WAIT: f64 = 1.0;

/// Whether the voter's disk still has results to come.
#[derive(Clone, Copy, PartialEq)]
enum DiskState {
    Open,
    Closed,
}

/// Opens what the plan names, then drives this process's part in the fleet for as long as it lives.
///
/// # Errors
///
/// [`Fault::Config`] where the voter's disk, the listening address or the history can't be used.
pub async fn start(
    hub: Rc<Hub>,
    plan: Plan,
    name: String,
    seed: u64,
    events: mpsc::UnboundedSender<FleetEvent>,
    inbound: mpsc::UnboundedReceiver<FleetEvent>,
) -> Result<(), Fault> {
    let (to_inbox, inbox) = mpsc::channel(INBOX);
    let (fleet, disk_results) = Fleet::open(plan, name, seed, to_inbox, events.clone()).await?;
    let observer = HubObserver::new(events);
    let queued_reports = observer.waiting.clone();
    *hub.observer.borrow_mut() = Some(observer);
    *hub.lending.borrow_mut() = fleet.lending.clone();
    let driver = Driver {
        fleet,
        hub: hub.clone(),
        queued_reports,
    };
    let task = tokio::task::spawn_local(driver.run(disk_results, inbox, inbound));
    // Guards against a defect of the fleet's part: it ends alone, and the own watch stands again.
    tokio::task::spawn_local(async move {
        if let Err(e) = task.await {
            *hub.lending.borrow_mut() = None;
            ::log::error!("fleet: {e}; this limiter serves on without it");
            hub.discovery.set_own_watch(true);
        }
    });
    Ok(())
}

/// The fleet's part with what it reports to.
struct Driver {
    fleet: Fleet,
    hub: Rc<Hub>,
    /// Reports of the observer that have not been taken yet.
    queued_reports: Rc<Cell<usize>>,
}

impl Driver {
    async fn run(
        mut self,
        mut disk_results: mpsc::UnboundedReceiver<DiskResult>,
        mut inbox: mpsc::Receiver<ReceivedFrame>,
        mut inbound: mpsc::UnboundedReceiver<FleetEvent>,
    ) {
        let mut disk = DiskState::Open;
        loop {
            let wait = (self.fleet.next_due() - clock()).clamp(0.0, MAX_WAIT);
            tokio::select! {
                biased;
                result = disk_results.recv(), if disk == DiskState::Open => {
                    disk = self.receive_disk_result(result);
                }
                () = tokio::time::sleep(Duration::from_secs_f64(wait)), if wait > 0.0 => {}
                received = inbox.recv() => {
                    if let Some(received) = received {
                        self.fleet.receive(&self.hub, received, clock());
                    }
                }
                event = inbound.recv() => match event {
                    Some(event) => self.receive_event(event),
                    None => return,
                },
                () = std::future::ready(()), if wait <= 0.0 => {}
            }
            let now = clock();
            if self.fleet.next_due() <= now {
                self.fleet.tick(&self.hub, now);
            }
        }
    }

    fn receive_disk_result(&mut self, result: Option<DiskResult>) -> DiskState {
        let mut outputs = Vec::new();
        let mut state = DiskState::Open;
        match (result, &mut self.fleet.voter) {
            (Some(DiskResult::Saved(number)), Some(voter)) => {
                voter.written(number, clock(), &mut outputs);
            }
            (Some(DiskResult::Failed(e)), Some(voter)) => {
                ::log::error!("fleet: {e}");
                voter.disk_failed(&mut outputs);
            }
            _ => state = DiskState::Closed,
        }
        self.fleet.perform(outputs, clock());
        state
    }

    fn receive_event(&mut self, event: FleetEvent) {
        let hub = &self.hub;
        let fleet = &mut self.fleet;
        match event {
            FleetEvent::Line(line) => fleet.receive_update(hub, line, clock()),
            FleetEvent::Report => fleet.report(),
            FleetEvent::Delivered { server, answered } => {
                self.report_taken();
                self.record_delivery(&server.to_string(), answered);
            }
            FleetEvent::Counted {
                name,
                add,
                answered,
            } => {
                self.report_taken();
                self.record_call(name, add, answered);
            }
            FleetEvent::Probed {
                server,
                observation,
            } => fleet.finish_check(hub, server, observation, clock()),
            FleetEvent::Total { name, total } => fleet.judge_total(name, total, clock()),
            FleetEvent::Borrow { slot, request } => {
                if let Some(lending) = &fleet.lending {
                    lending.waiting.set(lending.waiting.get().saturating_sub(1));
                }
                fleet.request_lease(hub, slot, request, clock());
            }
            FleetEvent::Brokered { call, counted } => {
                let now = clock();
                fleet
                    .broker
                    .counter_answered(call, counted, now, &mut fleet.broker_outputs);
                fleet.drive_broker(hub, now);
            }
            FleetEvent::Leave => self.leave(),
        }
    }

    fn report_taken(&self) {
        let queued = self.queued_reports.get();
        self.queued_reports.set(queued.saturating_sub(1));
    }

    fn record_delivery(&mut self, server: &str, answered: bool) {
        let now = clock();
        let delivery = if answered {
            Delivery::Answered
        } else {
            Delivery::Unanswered
        };
        let fleet = &mut self.fleet;
        let complaint = fleet
            .experience
            .record_delivery(server, delivery, now, &fleet.plan.probe);
        if let (Some(message), Some(slot)) = (complaint, fleet.health_check_slot(server)) {
            fleet.send_to_owner(&self.hub, slot, Work::Probe(message), now);
        }
    }

    fn record_call(&mut self, name: u64, add: f64, answered: bool) {
        let fleet = &mut self.fleet;
        if fleet.audit_slots.is_none() {
            return;
        }
        let outcome = if answered {
            CallOutcome::Answered
        } else {
            CallOutcome::Unknown
        };
        fleet
            .tally
            .record_call(name, add, outcome, clock(), &fleet.plan.audit);
    }

    /// Hands the roles over and says goodbye.
    fn leave(&mut self) {
        let now = clock();
        let mut role_outputs = Vec::new();
        let mut gossip_outputs = Vec::new();
        let fleet = &mut self.fleet;
        fleet.client.leave(now, &mut role_outputs);
        fleet.members.leave(now, &mut gossip_outputs);
        fleet.perform(role_outputs, now);
        fleet.drive_broker(&self.hub, now);
        fleet.perform_gossip(gossip_outputs, now);
    }
}
