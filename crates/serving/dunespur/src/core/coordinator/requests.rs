//! Operations and reads from other processes: passed to the state machine, and answered once the chain has
//! acknowledged them.

use super::Coordinator;
use crate::core::pending_operations::{OutcomeReceiver, Registration};
use crate::deadline::within;
use crate::messages::Reply;
use dunespur_chain_replication::Input;
use dunespur_configuration::Document;
use dunespur_control_state::{ConfigurationRequest, Operation, Outcome};
use std::time::Duration;

/// An operation or read that the chain has not confirmed within this time is answered with [`Reply::Unavailable`].
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum number of operations waiting for their commit; further operations are rejected.
const MAX_PENDING_OPERATIONS: usize = 4096;

impl Coordinator {
    /// Executes an operation and answers once it is committed.
    pub async fn execute(&self, operation: &Operation) -> Reply {
        if let Operation::Configure(request) = operation {
            if let Err(reply) = self.check_size(request).await {
                return reply;
            }
        }
        let Some(outcome) = self.propose(operation) else {
            return Reply::Unavailable;
        };
        match within(COMMIT_TIMEOUT, outcome).await {
            Some(Ok(Some(outcome))) => Reply::Executed(outcome),
            _ => Reply::Unavailable,
        }
    }

    /// Checks the size of a configuration request and of its result by the control state that this member has applied.
    /// Returns the reply to a request that must not be proposed.
    async fn check_size(&self, request: &ConfigurationRequest) -> Result<(), Reply> {
        let builds_on_newer = request.base > self.applied_generation();
        if builds_on_newer && !self.confirm_read().await {
            return Err(Reply::Unavailable);
        }
        let replica = self.replica.borrow();
        let checked = replica.state().check_configuration_size(request);
        checked.map_err(|findings| Reply::Executed(Outcome::Invalid(findings)))
    }

    /// The generation of the configuration that this member has applied, or 0 for none.
    fn applied_generation(&self) -> u64 {
        let replica = self.replica.borrow();
        let current = replica.state().configuration();
        current.map_or(0, Document::generation)
    }

    /// Proposes an operation, or joins an identical pending one; `None` if the operation is rejected.
    pub(super) fn propose(&self, operation: &Operation) -> Option<OutcomeReceiver> {
        let payload = postcard::to_stdvec(operation).ok()?;
        let has_capacity = self.operations.borrow().len() < MAX_PENDING_OPERATIONS;
        if !has_capacity || !self.replica.borrow().accepts_operations(self.clock.now()) {
            return None;
        }
        let ticket = self.allocate_ticket();
        let registration = self
            .operations
            .borrow_mut()
            .register(ticket, operation, &payload);
        match registration {
            Registration::Joined(outcome) => Some(outcome),
            Registration::New(outcome) => {
                self.step(Input::Submit { ticket, payload });
                Some(outcome)
            }
        }
    }

    /// Reads the newest configuration, confirmed by the complete chain.
    pub async fn read_configuration(&self) -> Reply {
        if !self.confirm_read().await {
            return Reply::Unavailable;
        }
        let replica = self.replica.borrow();
        Reply::Configuration(
            replica
                .state()
                .configuration()
                .map(|document| document.to_json()),
        )
    }

    /// Reads the state of a store's retirement, confirmed by the complete chain.
    pub async fn read_retirement(&self, node: &str) -> Reply {
        if !self.confirm_read().await {
            return Reply::Unavailable;
        }
        Reply::Retirement(self.replica.borrow().state().retirement(node))
    }

    /// Waits until this member has applied every operation committed so far; false if the chain doesn't confirm that
    /// within [`COMMIT_TIMEOUT`].
    async fn confirm_read(&self) -> bool {
        let ticket = self.allocate_ticket();
        let completed = self.reads.borrow_mut().register(ticket);
        self.step(Input::Read { ticket });
        matches!(within(COMMIT_TIMEOUT, completed).await, Some(Ok(())))
    }
}
