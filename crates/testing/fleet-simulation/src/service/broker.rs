//! The brokers and borrowers of the simulated limiters.

use super::{Event, Out, Service, WAY};
use dunespur_quota_sharing::{BrokerAnswer, LeaseRequest, Output};
use dunespur_singleton_roles::Slot;
use rand::RngExt;

impl Service {
    /// What the broker of this limiter wants done.
    pub(super) fn carry_out_broker(
        &mut self,
        gate: usize,
        said: Vec<Output>,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        let epoch = self.gates[gate].epoch;
        for o in said {
            match o {
                Output::Respond {
                    to,
                    run,
                    slot,
                    seq,
                    answer,
                } => {
                    out.push(Out::Tell {
                        gate,
                        to,
                        run,
                        slot,
                        seq,
                        answer,
                    });
                }
                Output::CallCounter {
                    call, name, add, ..
                } => {
                    out.push(Out::At(
                        now + WAY,
                        Event::CounterCall {
                            gate,
                            epoch,
                            call,
                            name,
                            add,
                        },
                    ));
                }
                Output::AbandonCall { .. } => {}
            }
        }
        let g = &mut self.gates[gate];
        let due = g.broker.next_due();
        if due < g.due {
            g.due = due;
            out.push(Out::At(
                due.max(now + 1e-5),
                Event::BrokerDue { gate, epoch },
            ));
        }
    }

    /// An ask came to this limiter, which holds the slot.
    #[allow(clippy::too_many_arguments)]
    pub fn receive_request(
        &mut self,
        gate: usize,
        from: &str,
        run: u64,
        slot: Slot,
        request: LeaseRequest,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        if gate < self.limiters {
            let mut said = Vec::new();
            self.gates[gate]
                .broker
                .request(from, run, slot, request, now, &mut said);
            self.carry_out_broker(gate, said, now, out);
        }
    }

    /// A broker's answer came to this limiter, and its fence took it.
    pub fn receive_response(
        &mut self,
        gate: usize,
        seq: u64,
        answer: BrokerAnswer,
        now: f64,
        out: &mut Vec<Out>,
    ) {
        if gate >= self.limiters {
            return;
        }
        let chance = self.rng.random();
        if let Some(counted) = self.gates[gate]
            .borrower
            .broker_answered(seq, answer, chance, now)
        {
            self.counted(gate, seq, counted, now, out);
        }
    }

    /// This limiter holds the slot no more.
    pub fn slot_lost(&mut self, gate: usize, slot: Slot, now: f64, out: &mut Vec<Out>) {
        if gate < self.limiters {
            let mut said = Vec::new();
            self.gates[gate].broker.slot_lost(slot, &mut said);
            self.carry_out_broker(gate, said, now, out);
        }
    }
}
