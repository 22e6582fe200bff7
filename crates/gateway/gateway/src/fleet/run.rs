//! The task that runs this process as a member of the fleet, for as long as the process lives.

use super::event::FleetEvent;
use super::observer::EventObserver;
use super::setup::DiskResult;
use super::work::Work;
use super::FleetMember;
use crate::clock::clock;
use crate::error::GatewayError;
use crate::event_loop::EventLoop;
use crate::operators_file::FleetConfig;
use dunespur_peer_transport::ReceivedFrame;
use dunespur_singleton_roles::audit::CallOutcome;
use dunespur_singleton_roles::health_check::Delivery;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Frames from peers that may be queued for the fleet task.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Longest time between two checks of the timers, in seconds.
const MAX_TIMER_WAIT_S: f64 = 1.0;

/// Whether more results of the voter's disk can arrive.
#[derive(Clone, Copy, PartialEq)]
enum DiskState {
    Open,
    Closed,
}

/// Opens the resources that the configuration names, then runs the fleet member as a task.
///
/// # Errors
///
/// [`GatewayError::Config`] if the voter's disk, the listen address or the history file cannot be used.
pub async fn start(
    event_loop: Rc<EventLoop>,
    config: FleetConfig,
    name: String,
    seed: u64,
    event_sender: mpsc::UnboundedSender<FleetEvent>,
    events: mpsc::UnboundedReceiver<FleetEvent>,
) -> Result<(), GatewayError> {
    let (frame_sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let (fleet, disk_results) =
        FleetMember::open(config, name, seed, frame_sender, event_sender.clone()).await?;
    let observer = EventObserver::new(event_sender);
    let queued_reports = observer.queued.clone();
    *event_loop.observer.borrow_mut() = Some(observer);
    *event_loop.counter_router.borrow_mut() = fleet.counter_router.clone();
    let fleet_task = FleetTask {
        fleet,
        event_loop: event_loop.clone(),
        queued_reports,
    };
    let task = tokio::task::spawn_local(fleet_task.run(disk_results, frames, events));
    // If the fleet task panics, the gateway keeps serving without the fleet and opens its own discovery watch again.
    tokio::task::spawn_local(async move {
        if let Err(e) = task.await {
            *event_loop.counter_router.borrow_mut() = None;
            ::log::error!("fleet: task ended: {e}; this limiter keeps serving without the fleet");
            event_loop.discovery_watch.set_own_watch(true);
        }
    });
    Ok(())
}

/// The fleet member with the event loop that it reports to.
struct FleetTask {
    fleet: FleetMember,
    event_loop: Rc<EventLoop>,
    /// Number of queued reports of the observer.
    queued_reports: Rc<Cell<usize>>,
}

impl FleetTask {
    async fn run(
        mut self,
        mut disk_results: mpsc::UnboundedReceiver<DiskResult>,
        mut frames: mpsc::Receiver<ReceivedFrame>,
        mut events: mpsc::UnboundedReceiver<FleetEvent>,
    ) {
        let mut disk = DiskState::Open;
        loop {
            let wait = (self.fleet.next_due() - clock()).clamp(0.0, MAX_TIMER_WAIT_S);
            tokio::select! {
                biased;
                result = disk_results.recv(), if disk == DiskState::Open => {
                    disk = self.receive_disk_result(result);
                }
                () = tokio::time::sleep(Duration::from_secs_f64(wait)), if wait > 0.0 => {}
                received = frames.recv() => {
                    if let Some(received) = received {
                        self.fleet.receive(&self.event_loop, received, clock());
                    }
                }
                event = events.recv() => match event {
                    Some(event) => self.receive_event(event),
                    None => return,
                },
                () = std::future::ready(()), if wait <= 0.0 => {}
            }
            let now = clock();
            if self.fleet.next_due() <= now {
                self.fleet.tick(&self.event_loop, now);
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
            (Some(DiskResult::Failed(error)), Some(voter)) => {
                ::log::error!("fleet: writing the voter's disk failed: {error}");
                voter.disk_failed(&mut outputs);
            }
            _ => state = DiskState::Closed,
        }
        self.fleet.perform_role_outputs(outputs, clock());
        state
    }

    fn receive_event(&mut self, event: FleetEvent) {
        let event_loop = &self.event_loop;
        let fleet = &mut self.fleet;
        match event {
            FleetEvent::WatchLine(line) => fleet.receive_update(event_loop, line, clock()),
            FleetEvent::Report => fleet.log_statistics(),
            FleetEvent::AttemptEnded { server, answered } => {
                self.report_dequeued();
                self.record_attempt(&server.to_string(), answered);
            }
            FleetEvent::CounterCallEnded {
                name,
                add,
                answered,
            } => {
                self.report_dequeued();
                self.record_counter_call(name, add, answered);
            }
            FleetEvent::HealthCheckEnded {
                server,
                observation,
            } => fleet.finish_check(event_loop, server, observation, clock()),
            FleetEvent::AuditTotal { name, total } => fleet.audit_total(name, total, clock()),
            FleetEvent::LeaseRequested { slot, request } => {
                if let Some(counter_router) = &fleet.counter_router {
                    counter_router
                        .queued_requests
                        .set(counter_router.queued_requests.get().saturating_sub(1));
                }
                fleet.request_lease(event_loop, slot, request, clock());
            }
            FleetEvent::BrokerCallEnded { call, reply } => {
                let now = clock();
                fleet
                    .broker
                    .counter_answered(call, reply, now, &mut fleet.broker_outputs);
                fleet.drive_broker(event_loop, now);
            }
            FleetEvent::Leave => self.leave(),
        }
    }

    fn report_dequeued(&self) {
        let queued = self.queued_reports.get();
        self.queued_reports.set(queued.saturating_sub(1));
    }

    fn record_attempt(&mut self, server: &str, answered: bool) {
        let now = clock();
        let delivery = if answered {
            Delivery::Answered
        } else {
            Delivery::Unanswered
        };
        let fleet = &mut self.fleet;
        let complaint =
            fleet
                .server_experience
                .record_delivery(server, delivery, now, &fleet.config.probe);
        if let (Some(message), Some(slot)) = (complaint, fleet.health_check_slot(server)) {
            fleet.send_to_owner(&self.event_loop, slot, Work::Probe(message), now);
        }
    }

    fn record_counter_call(&mut self, name: u64, add: f64, answered: bool) {
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
            .usage_tally
            .record_call(name, add, outcome, clock(), &fleet.config.audit);
    }

    /// Hands the roles over and announces the departure to the members.
    fn leave(&mut self) {
        let now = clock();
        let mut role_outputs = Vec::new();
        let mut gossip_outputs = Vec::new();
        let fleet = &mut self.fleet;
        fleet.role_client.leave(now, &mut role_outputs);
        fleet.membership.leave(now, &mut gossip_outputs);
        fleet.perform_role_outputs(role_outputs, now);
        fleet.drive_broker(&self.event_loop, now);
        fleet.perform_gossip_outputs(gossip_outputs, now);
    }
}
