//! The simulated counter, which takes a limited number of calls a second.

use super::{Event, Out, Service, BROKER, COUNT_WAIT, WAY};
use dunespur_decisions::types::CounterReply;

impl Service {
    /// The counter takes what it can within its time-out, in turn; the rest is never answered nor added.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn count(
        &mut self,
        gate: usize,
        epoch: u64,
        call: u64,
        name: u64,
        add: f64,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        self.tally.calls += u64::from(now >= self.measure_from);
        if self.counter_silent {
            return;
        }
        let each = 1.0 / self.quota.counter;
        self.busy = self.busy.max(now);
        if self.busy + each > now + COUNT_WAIT {
            return;
        }
        self.busy += each;
        self.tally.taken += u64::from(now >= self.measure_from);
        let total = self.counter.entry(name).or_default();
        *total = (*total + add).max(0.0);
        out.push(Out::At(
            self.busy + WAY,
            Event::CounterTotal {
                gate,
                epoch,
                call,
                total: *total,
            },
        ));
    }

    /// The counter loses all its names.
    pub fn forget(&mut self) {
        self.counter.clear();
    }

    /// The answer to a call came back, to the limiter's broker or the limiter itself.
    pub(super) fn counted(
        &mut self,
        gate: usize,
        call: u64,
        counted: CounterReply,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        if call >= BROKER {
            let mut said = Vec::new();
            self.gates[gate]
                .broker
                .counter_answered(call, counted, now, &mut said);
            return self.carry_out_broker(gate, said, now, out);
        }
        let g = &mut self.gates[gate];
        let Some((name, at)) = g.calls.remove(&call) else {
            return;
        };
        g.borrower.counter_answered(call);
        g.limiter.counter_answered(name, counted, now - at, now);
        self.carry_out(gate, now, out);
    }
}
