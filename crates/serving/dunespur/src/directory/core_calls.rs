//! Operations and reads at the core, and calls of other processes.

use super::unavailable::Unavailable;
use super::Directory;
use crate::deadline::within;
use crate::messages::{encode, Reply, Request};
use bytes::Bytes;
use dunespur_chain_replication::View;
use dunespur_control_state::{Operation, Outcome, RetirementState};
use dunespur_rpc::CallError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// One core member gets so long for an operation before another one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after all known members were tried in vain.
const CORE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A process is given so long to tell the view that it knows.
const VIEW_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

impl Directory {
    /// Executes an operation at the core.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no core member answers within the timeout.
    pub async fn execute(
        &self,
        operation: &Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable> {
        let request = Request::Execute(operation.clone());
        match self.call_core(&request, timeout).await? {
            Reply::Executed(outcome) => Ok(outcome),
            _ => Err(Unavailable),
        }
    }

    /// The newest configuration, confirmed by the core.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no core member answers within the timeout.
    pub async fn read_configuration(
        &self,
        timeout: Duration,
    ) -> Result<Option<String>, Unavailable> {
        match self.call_core(&Request::ReadConfiguration, timeout).await? {
            Reply::Configuration(json) => Ok(json),
            _ => Err(Unavailable),
        }
    }

    /// How far a retirement is, confirmed by the core.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no core member answers within the timeout.
    pub async fn read_retirement(
        &self,
        node: &str,
        timeout: Duration,
    ) -> Result<Option<RetirementState>, Unavailable> {
        let request = Request::ReadRetirement {
            node: node.to_owned(),
        };
        match self.call_core(&request, timeout).await? {
            Reply::Retirement(state) => Ok(state),
            _ => Err(Unavailable),
        }
    }

    /// Calls core members in turn until one answers or the time is over. An answer that is found when it is over says
    /// nothing on the present state: this process may have been frozen since it came.
    async fn call_core(&self, request: &Request, timeout: Duration) -> Result<Reply, Unavailable> {
        let payload = encode(request);
        let end = Instant::now() + timeout;
        let reply = within(timeout, async {
            loop {
                if let Some(reply) = self.call_members(&payload, end).await {
                    return reply;
                }
                sleep(CORE_RETRY_DELAY).await;
            }
        });
        reply.await.ok_or(Unavailable)
    }

    /// The answer of the first member that has one.
    async fn call_members(&self, payload: &Bytes, end: Instant) -> Option<Reply> {
        for address in self.members() {
            let left = end.saturating_duration_since(Instant::now());
            let timeout = ATTEMPT_TIMEOUT.min(left);
            match self.call(address, payload.clone(), timeout).await {
                Ok(Reply::Unavailable) | Err(_) => {}
                Ok(reply) => return Some(reply),
            }
        }
        None
    }

    /// Queries the view that one process knows.
    pub async fn query_view(&self, address: SocketAddr) -> Option<View> {
        match self
            .call(address, encode(&Request::QueryView), VIEW_QUERY_TIMEOUT)
            .await
        {
            Ok(Reply::View(view)) => view,
            _ => None,
        }
    }

    /// Tells a process of the view that this one knows.
    pub fn announce(&self, address: SocketAddr) {
        if let Some(view) = self.view() {
            self.links.notify(address, encode(&Request::Announce(view)));
        }
    }

    /// Calls one process of the system.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no answer within the timeout, or none that can be decoded.
    pub async fn call(
        &self,
        address: SocketAddr,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.links.call(address, payload, timeout).await
    }
}
