//! Internal RPC service of a gateway process: answers requests from the other processes of the system.

use crate::clock::Clock;
use crate::core::Coordinator;
use crate::directory::Directory;
use crate::founding::Founding;
use crate::load_exchange::LoadExchange;
use crate::messages::{decode, encode_reply, Reply, Request};
use crate::status_collection::GatewayStatus;
use bytes::Bytes;
use dunespur_chain_replication::{Peer, View};
use dunespur_rpc::Service;
use std::cell::RefCell;
use std::rc::Rc;

/// Answers internal calls. Requests to the core are answered only on machines with a core member.
pub struct GatewayService {
    /// The clock of the process.
    pub clock: Clock,
    /// The known control state and the client of the core.
    pub directory: Rc<Directory>,
    /// The core member; only on a machine with a disk that counts for the quorum.
    pub coordinator: Option<Rc<Coordinator>>,
    /// The exchange of service loads.
    pub load_exchange: Rc<LoadExchange>,
    /// The founder's state; only in the process that founds the system.
    pub founding: Option<RefCell<Founding>>,
    /// The parts that a status query reports on.
    pub status: GatewayStatus,
}

impl Service for GatewayService {
    async fn call(self: Rc<Self>, payload: Bytes) -> Option<Bytes> {
        let request = decode::<Request>(&payload)?;
        match (request, &self.coordinator) {
            (Request::Watch(request), Some(coordinator)) => Some(coordinator.watch(request).await),
            (request, _) => Some(encode_reply(&self.answer(request).await)),
        }
    }
}

impl GatewayService {
    async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::QueryView => Reply::View(self.view()),
            Request::Announce(view) => {
                self.directory.learn_view(view);
                Reply::View(None)
            }
            Request::Candidate { peer } => self.answer_candidate(peer),
            Request::LoadReport(report) => {
                Reply::LoadUpdate(self.load_exchange.receive_report(&report))
            }
            Request::Status { program } => {
                Reply::Status(self.status.status(program.as_deref()).to_json())
            }
            request => match &self.coordinator {
                Some(coordinator) => answer_core_request(coordinator, request).await,
                None => Reply::Unavailable,
            },
        }
    }

    /// The newest view known to this process, from its core member or its watch.
    fn view(&self) -> Option<View> {
        let member_view = self
            .coordinator
            .as_ref()
            .and_then(|coordinator| coordinator.view());
        let learnt_view = self.directory.view();
        member_view
            .into_iter()
            .chain(learnt_view)
            .max_by_key(|view| view.number)
    }

    fn answer_candidate(&self, peer: Peer) -> Reply {
        let Some(founding) = &self.founding else {
            return Reply::Unavailable;
        };
        let candidacy = founding
            .borrow_mut()
            .answer(peer, self.view().as_ref(), self.clock.now());
        Reply::Candidacy(candidacy)
    }
}

async fn answer_core_request(coordinator: &Coordinator, request: Request) -> Reply {
    match request {
        Request::Chain { from, message } => {
            coordinator.receive(from, message);
            Reply::View(None)
        }
        Request::Execute(operation) => coordinator.execute(&operation).await,
        Request::ReadConfiguration => coordinator.read_configuration().await,
        Request::ReadRetirement { node } => coordinator.read_retirement(&node).await,
        Request::LeaseRenewals(renewals) => {
            coordinator.receive_renewals(&renewals);
            Reply::View(None)
        }
        Request::QueryView
        | Request::Announce(_)
        | Request::Candidate { .. }
        | Request::Watch(_)
        | Request::Store(_)
        | Request::LoadReport(_)
        | Request::Status { .. } => Reply::Unavailable,
    }
}
