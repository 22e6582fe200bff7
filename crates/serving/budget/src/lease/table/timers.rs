//! Execution and scheduling of the programs' timed steps.

use super::LeaseTable;
use crate::lease::program_lease::Step;
use crate::{CounterChange, CounterRequest, Millis};

impl LeaseTable {
    /// Runs a program's next step if it is due; returns the request to send, if any.
    pub(super) fn run_due_step(&mut self, program: &str, now: Millis) -> Option<CounterRequest> {
        let lease = self.programs.get_mut(program)?;
        let planned = lease.next_step(&self.settings)?;
        if planned.at > now {
            return None;
        }
        match planned.step {
            Step::RejectWaiting => {
                self.decide_waiting(program, now);
                None
            }
            Step::Resend => lease.request.resend(now, &self.settings),
            Step::ReturnUnits => {
                let units = lease.take_available();
                Some(self.begin_request(program, 0, CounterChange::Return { units }, now))
            }
            Step::Report => {
                Some(self.begin_request(program, 0, CounterChange::Return { units: 0 }, now))
            }
            Step::Remove => {
                self.programs.remove(program);
                None
            }
        }
    }

    /// Updates a program's due time in the schedule.
    pub(super) fn reschedule(&mut self, program: &str) {
        let Some((name, lease)) = self.programs.get_key_value(program) else {
            return;
        };
        let at = lease.next_step(&self.settings).map(|planned| planned.at);
        let previous = lease.due_at;
        self.schedule.reschedule(name, previous, at);
        if let Some(lease) = self.programs.get_mut(program) {
            lease.due_at = at;
        }
    }
}
