//! Operations and reads of other processes: received, proposed to the state machine, answered once the chain has
//! acknowledged them.

use super::Coordinator;
use crate::core::pending_operations::{OperationAnswer, Registration};
use crate::deadline::within;
use crate::messages::Reply;
use dunespur_chain_replication::Input;
use dunespur_control_state::Operation;
use std::time::Duration;

/// An operation or read that is not committed after this time is answered with [`Reply::Unavailable`].
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1800);
/// Operations that may wait for their commit; further ones are rejected.
const MAX_PENDING_OPERATIONS: usize = 4096;

impl Coordinator {
    /// Executes an operation; answered once it is committed.
    pub async fn execute(&self, operation: &Operation) -> Reply {
        let Some(answer) = self.propose(operation) else {
            return Reply::Unavailable;
        };
        match within(COMMIT_TIMEOUT, answer).await {
            Some(Ok(Some(outcome))) => Reply::Executed(outcome),
            _ => Reply::Unavailable,
        }
    }

    /// Hands an operation to the state machine, unless the same one is pending; `None` if it is rejected.
    pub(super) fn propose(&self, operation: &Operation) -> Option<OperationAnswer> {
        let payload = postcard::to_stdvec(operation).ok()?;
        let has_capacity = self.operations.borrow().len() < MAX_PENDING_OPERATIONS;
        if !has_capacity || !self.replica.borrow().accepts_operations(self.clock.now()) {
            return None;
        }
        let ticket = self.take_ticket();
        let registration = self
            .operations
            .borrow_mut()
            .register(ticket, operation, &payload);
        match registration {
            Registration::Joined(answer) => Some(answer),
            Registration::New(answer) => {
                self.step(Input::Submit { ticket, payload });
                Some(answer)
            }
        }
    }

    /// The newest configuration, confirmed by the complete chain.
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

    /// How far a retirement is, confirmed by the complete chain.
    pub async fn read_retirement(&self, node: &str) -> Reply {
        if !self.confirm_read().await {
            return Reply::Unavailable;
        }
        Reply::Retirement(self.replica.borrow().state().retirement(node))
    }

    /// Waits until all that was committed before is applied here; false if that can't be confirmed in time.
    async fn confirm_read(&self) -> bool {
        let ticket = self.take_ticket();
        let answer = self.reads.borrow_mut().register(ticket);
        self.step(Input::Read { ticket });
        matches!(within(COMMIT_TIMEOUT, answer).await, Some(Ok(())))
    }
}
