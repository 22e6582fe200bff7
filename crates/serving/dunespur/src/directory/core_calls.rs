//! Operations and reads at the core, and calls to other processes.

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

/// Timeout of a call to one core member, after which another one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after calls to all known members have failed.
const CORE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of a query for the view that another process knows.
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

    /// Reads the newest configuration, confirmed by the core.
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

    /// Reads the state of a store's retirement, confirmed by the core.
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

    /// Calls core members in turn until one answers or the timeout passes. An answer found after the timeout is
    /// discarded: this process may have been frozen since the answer arrived, so it may be outdated.
    async fn call_core(&self, request: &Request, timeout: Duration) -> Result<Reply, Unavailable> {
        let payload = encode(request);
        let deadline = Instant::now() + timeout;
        let reply = within(timeout, async {
            loop {
                if let Some(reply) = self.call_members(&payload, deadline).await {
                    return reply;
                }
                sleep(CORE_RETRY_DELAY).await;
            }
        });
        reply.await.ok_or(Unavailable)
    }

    /// Calls the members one after the other and returns the first answer other than [`Reply::Unavailable`].
    async fn call_members(&self, payload: &Bytes, deadline: Instant) -> Option<Reply> {
        for address in self.members() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let timeout = ATTEMPT_TIMEOUT.min(remaining);
            match self.call(address, payload.clone(), timeout).await {
                Ok(Reply::Unavailable) | Err(_) => {}
                Ok(reply) => return Some(reply),
            }
        }
        None
    }

    /// Queries the newest view that the process at `address` knows.
    pub async fn query_view(&self, address: SocketAddr) -> Option<View> {
        match self
            .call(address, encode(&Request::QueryView), VIEW_QUERY_TIMEOUT)
            .await
        {
            Ok(Reply::View(view)) => view,
            _ => None,
        }
    }

    /// Sends the view that this process knows to the process at `address`.
    pub fn announce(&self, address: SocketAddr) {
        if let Some(view) = self.view() {
            self.links.notify(address, encode(&Request::Announce(view)));
        }
    }

    /// Calls the process at `address`.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no answer arrives within the timeout, or the answer can't be decoded.
    pub async fn call(
        &self,
        address: SocketAddr,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.links.call(address, payload, timeout).await
    }
}
