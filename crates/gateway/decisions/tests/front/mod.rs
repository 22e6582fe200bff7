//! A front for the tests: several limiters, a counter and servers that answer only when told to.
#![allow(dead_code)]

use dunespur_decisions::types::*;
use dunespur_decisions::Limiter;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Seen {
    Took {
        gate: usize,
        inv: Invocation,
    },
    Sent {
        gate: usize,
        num: u64,
        n: usize,
        tgt: usize,
    },
    Ended {
        gate: usize,
        num: u64,
        n: usize,
        ending: Ending,
        done: bool,
    },
    Final {
        gate: usize,
        num: u64,
        answer: Answer,
    },
    Left {
        gate: usize,
        num: u64,
    },
    Killed {
        gate: usize,
    },
    Told {
        gate: usize,
        entry: Server,
    },
    Withdrawn {
        gate: usize,
        tgt: usize,
    },
}

#[derive(Clone, Debug)]
pub struct Out {
    pub gate: usize,
    pub num: u64,
    pub n: usize,
    pub tgt: usize,
    pub at: f64,
    pub limit: f64,
}

pub struct Front {
    pub now: f64,
    pub settings: Settings,
    pub gates: Vec<Limiter>,
    pub lists: Vec<Vec<Server>>,
    pub counter: BTreeMap<u64, f64>,
    pub calls: Vec<(usize, u64, f64)>,
    pub out: Vec<Out>,
    pub held: BTreeMap<u64, (usize, Invocation, f64)>,
    pub seen: Vec<(f64, usize, Seen)>,
    pub counts: usize,
    pub quick: bool,
    pub used: Option<f64>,
    pub settles: Option<f64>,
    last: u64,
    lives: u64,
}

pub fn operation(effect: Effect, billed_value: f64) -> OperationSettings {
    OperationSettings {
        effect,
        objective: 0.6,
        integration_timeout: 2.0,
        billed_value,
        late_share: 0.0,
    }
}

pub fn rate_plan(rate: f64, burst: f64) -> PlanSettings {
    PlanSettings {
        rate,
        burst,
        beyond_quota_cost: 1.0,
        price: 1.0,
        ..PlanSettings::default()
    }
}

pub fn settings(fleet: u32) -> Settings {
    Settings {
        seed: 7,
        slot: 0,
        fleet,
        zone: 0,
        operations: vec![operation(Effect::Idempotent, 1.0)],
        plans: vec![rate_plan(1000.0, 1000.0)],
        counter: true,
        counter_timeout: 0.05,
        call_price: 0.02,
        max_retry_after: 0.5,
        max_attempts: 6,
        warm_up_from: 0.2,
        warm_up_time: 10.0,
        overload_multiple: 3.0,
        response_slack: 0.02,
        endpoints_on_request: false,
    }
}

pub fn server(tgt: usize) -> Server {
    Server {
        tgt,
        zone: tgt % 2,
        cell: tgt as u64 / 2,
        started_at: 0.0,
        readiness: Readiness::Live,
    }
}

impl Front {
    pub fn new(settings: Settings, servers: usize) -> Self {
        let mut front = Front {
            now: 100.0,
            gates: Vec::new(),
            lists: vec![(0..servers).map(server).collect(); settings.fleet as usize],
            settings,
            counter: BTreeMap::new(),
            calls: Vec::new(),
            out: Vec::new(),
            held: BTreeMap::new(),
            seen: Vec::new(),
            counts: 0,
            quick: true,
            used: None,
            settles: None,
            last: 0,
            lives: 0,
        };
        for gate in 0..front.settings.fleet as usize {
            let limiter = front.limiter(gate);
            front.gates.push(limiter);
            front.endpoints(gate, front.lists[gate].clone(), true);
        }
        front
    }

    fn limiter(&mut self, gate: usize) -> Limiter {
        self.lives += 1;
        Limiter::new(
            &Settings {
                seed: self.lives,
                slot: gate as u32,
                ..self.settings.clone()
            },
            self.now,
        )
    }

    fn see(&mut self, seen: Seen) {
        self.seen.push((self.now, self.seen.len(), seen));
    }

    /// A killed limiter starts anew with its last list.
    pub fn restart(&mut self, gate: usize) {
        self.see(Seen::Killed { gate });
        self.held.retain(|_, (g, _, _)| *g != gate);
        self.out.retain(|o| o.gate != gate);
        self.calls.retain(|c| c.0 != gate);
        self.gates[gate] = self.limiter(gate);
        self.endpoints(gate, self.lists[gate].clone(), true);
    }

    pub fn endpoints(&mut self, gate: usize, entries: Vec<Server>, complete: bool) {
        if complete {
            for old in std::mem::take(&mut self.lists[gate]) {
                if !entries.iter().any(|e| e.tgt == old.tgt) {
                    self.see(Seen::Withdrawn { gate, tgt: old.tgt });
                }
            }
        }
        for &entry in &entries {
            self.see(Seen::Told { gate, entry });
            self.lists[gate].retain(|e| e.tgt != entry.tgt);
            self.lists[gate].push(entry);
        }
        self.gates[gate].endpoints(&entries, complete, self.now);
        self.carry_out(gate);
    }

    pub fn take(
        &mut self,
        gate: usize,
        customer: u64,
        plan: usize,
        operation: usize,
        units: f64,
    ) -> u64 {
        self.last += 1;
        let until = self.now + self.settings.operations[operation].integration_timeout;
        let inv = Invocation::from(Arrival {
            num: self.last,
            customer,
            plan,
            operation,
            units,
            first_gateway: 0,
            gateways: self.settings.fleet,
            arrived_at: self.now,
            client_deadline: until,
        });
        self.see(Seen::Took {
            gate,
            inv: inv.clone(),
        });
        self.held.insert(self.last, (gate, inv, f64::INFINITY));
        let num = self.last;
        self.place(num);
        self.carry_out(gate);
        num
    }

    pub fn takes(&mut self, gate: usize, many: usize) {
        (0..many).for_each(|_| _ = self.take(gate, 1, 0, 0, 1.0));
    }

    pub fn end_all_at(&mut self, tgt: usize, ending: Ending) {
        while let Some(at) = self.out.iter().position(|o| o.tgt == tgt) {
            self.end(at, ending);
        }
    }

    pub fn count_all(&mut self, added: bool, told: bool) {
        while !self.calls.is_empty() {
            self.count(0, added, told);
        }
    }

    fn place(&mut self, num: u64) {
        let Some((gate, inv, _)) = self.held.get_mut(&num) else {
            return;
        };
        if matches!(inv.stage, Stage::InFlight | Stage::Done) {
            return;
        }
        let answer = self.gates[*gate].place(inv, self.now);
        self.answer(num, answer);
    }

    fn answer(&mut self, num: u64, answer: Answer) {
        let (gate, inv, due) = self.held.get_mut(&num).unwrap();
        let gate = *gate;
        let wait = self.gates[gate].wait(inv, self.now);
        *due = if answer == Answer::Hold && inv.stage != Stage::InFlight {
            self.now + wait
        } else {
            f64::INFINITY
        };
        let finished = inv.stage == Stage::Done && inv.in_flight == 0;
        match answer {
            Answer::Send(tgt) => {
                let n = inv.attempts.len() - 1;
                let limit = (self.now + wait).min(inv.client_deadline);
                self.out.push(Out {
                    gate,
                    num,
                    n,
                    tgt,
                    at: self.now,
                    limit,
                });
                self.see(Seen::Sent { gate, num, n, tgt });
            }
            Answer::Throttle { .. } | Answer::Error => self.see(Seen::Final { gate, num, answer }),
            Answer::Hold | Answer::Done => {}
        }
        if finished {
            self.held.remove(&num);
        }
    }

    fn carry_out(&mut self, gate: usize) {
        loop {
            while let Some(action) = self.gates[gate].next_action() {
                match action {
                    Action::Ask(num) => self.place(num),
                    Action::Count { name, add, .. } => {
                        self.counts += 1;
                        self.calls.push((gate, name, add));
                    }
                    Action::WatchEndpoints | Action::Tick(_) => {}
                }
            }
            let Some(at) = self.calls.iter().position(|c| self.quick && c.0 == gate) else {
                return;
            };
            self.count(at, true, true);
        }
    }

    /// Ends the call at this place in the line: whether it was added and whether the answer came.
    pub fn count(&mut self, at: usize, added: bool, told: bool) {
        let (gate, name, add) = self.calls.remove(at);
        let total = self.counter.entry(name).or_insert(0.0);
        *total += if added { add } else { 0.0 };
        let counted = match (added, told) {
            (true, true) => Counted::Total(*total),
            (false, true) => Counted::Refused,
            _ => Counted::Silent,
        };
        self.gates[gate].counted(name, counted, 0.0, self.now);
        self.carry_out(gate);
    }

    pub fn end(&mut self, at: usize, ending: Ending) {
        let out = self.out.remove(at);
        let Some((_, inv, _)) = self.held.get_mut(&out.num) else {
            return;
        };
        let done = inv.stage == Stage::Done || ending == Ending::Succeeded;
        let (n, gate, num, spent) = (out.n, out.gate, out.num, self.now - out.at);
        let settled = self.settles.filter(|_| ending == Ending::Succeeded);
        let outcome = Outcome {
            n,
            ending,
            spent,
            done,
            used: self.used,
            settled,
        };
        self.seen.push((
            self.now,
            self.seen.len(),
            Seen::Ended {
                gate,
                num,
                n,
                ending,
                done,
            },
        ));
        let answer = self.gates[gate].after(inv, &outcome, self.now);
        self.answer(num, answer);
        self.carry_out(gate);
    }

    pub fn leave(&mut self, num: u64) {
        let Some((gate, inv, _)) = self.held.get_mut(&num) else {
            return;
        };
        let gate = *gate;
        self.gates[gate].disconnected(inv);
        self.see(Seen::Left { gate, num });
        self.answer(num, Answer::Done);
        self.carry_out(gate);
    }

    pub fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        for round in 0.. {
            assert!(round < 100_000, "asked without end");
            let asked = self
                .held
                .iter()
                .map(|(&num, h)| (h.2, num))
                .min_by(|a, b| a.partial_cmp(b).unwrap());
            let late = self
                .out
                .iter()
                .map(|o| o.limit)
                .enumerate()
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let (asked, late) = (
                asked.unwrap_or((f64::INFINITY, 0)),
                late.unwrap_or((0, f64::INFINITY)),
            );
            if asked.0.min(late.1) > end {
                break;
            }
            self.now = self.now.max(asked.0.min(late.1));
            if late.1 <= asked.0 {
                self.end(late.0, Ending::Timeout);
            } else {
                let gate = self.held[&asked.1].0;
                self.place(asked.1);
                self.carry_out(gate);
            }
        }
        self.now = end;
    }

    pub fn sends(&self) -> Vec<usize> {
        self.seen
            .iter()
            .filter_map(|s| {
                if let Seen::Sent { tgt, .. } = s.2 {
                    Some(tgt)
                } else {
                    None
                }
            })
            .collect()
    }

    pub fn throttles(&self) -> usize {
        let throttle = |s: &Seen| {
            matches!(
                s,
                Seen::Final {
                    answer: Answer::Throttle { .. },
                    ..
                }
            )
        };
        self.seen.iter().filter(|s| throttle(&s.2)).count()
    }
}
