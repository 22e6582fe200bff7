//! A slow, plain model of the five rules beside several limiters, on generated sequences.

mod front;

use dunespur_decisions::types::*;
use front::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const GRACE: f64 = 0.25;
const MULTIPLE: f64 = 3.0;
const TIP: f64 = 1.0;
/// A warm server is taken to do at least this much in a second, or the most that any was sent.
const CAPACITY: f64 = 12.0;

#[derive(Clone, Debug)]
enum Step {
    Take {
        gate: usize,
        customer: u64,
        operation: usize,
        many: usize,
    },
    Pass(f64),
    End {
        at: usize,
        ending: Ending,
    },
    Count {
        at: usize,
        added: bool,
        told: bool,
    },
    Empty,
    Quick(bool),
    Tell {
        gate: usize,
        tgt: usize,
        readiness: Readiness,
        fresh: bool,
    },
    List {
        gate: usize,
        none: bool,
    },
    Restart(usize),
    Leave(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let mut of = |n: usize| usize::arbitrary(g) % n;
        let gate = of(3);
        match of(40) {
            0..=11 => {
                let many = [1, 1, 4, 12][of(4)];
                Step::Take {
                    gate,
                    customer: of(6) as u64,
                    operation: of(5),
                    many,
                }
            }
            12..=19 => Step::Pass([0.001, 0.02, 0.1, 0.4, 2.0][of(5)]),
            20..=30 => {
                use Ending::*;
                let all = [
                    Succeeded,
                    Succeeded,
                    Succeeded,
                    Succeeded,
                    Error,
                    Full,
                    ConnectFailed,
                    Reset,
                    Moot,
                ];
                Step::End {
                    at: of(50),
                    ending: all[of(9)],
                }
            }
            31..=33 => Step::Count {
                at: of(50),
                added: of(4) > 0,
                told: of(4) > 0,
            },
            34 => Step::Empty,
            35 => Step::Quick(of(3) > 0),
            36 | 37 => {
                let readiness = [Readiness::Live, Readiness::Draining, Readiness::Gone][of(3)];
                Step::Tell {
                    gate,
                    tgt: of(5),
                    readiness,
                    fresh: of(2) == 0,
                }
            }
            38 => match of(3) {
                0 => Step::List {
                    gate,
                    none: of(3) == 0,
                },
                _ => Step::Leave(of(60) as u64),
            },
            _ => Step::Restart(gate),
        }
    }
}

fn world(fleet: u32) -> Settings {
    let tokened = |group| Effect::Tokened { group, window: 0.2 };
    let hard = PlanSettings {
        hard_rate: 3.0,
        hard_burst: 6.0,
        ..rate_plan(30.0, 30.0)
    };
    Settings {
        operations: vec![
            operation(Effect::Idempotent, 1.0),
            operation(Effect::NonIdempotent, 2.0),
            operation(tokened(Group::All), 1.0),
            operation(tokened(Group::Zone), 3.0),
            operation(tokened(Group::Cell), 1.0),
        ],
        plans: vec![
            hard.clone(),
            rate_plan(30.0, 30.0),
            PlanSettings {
                beyond_quota_earnings: 1.0,
                beyond_quota_cost: 0.0,
                ..hard
            },
            PlanSettings {
                open: 4.0,
                ..PlanSettings::default()
            },
            rate_plan(30.0, 60.0),
            PlanSettings {
                hard_rate: 12.0,
                hard_burst: 24.0,
                ..rate_plan(8.0, 16.0)
            },
        ],
        ..settings(fleet)
    }
}

fn play(steps: &[Step], fleet: usize) -> Front {
    let mut f = Front::new(world(fleet as u32), 5);
    let wide = fleet / 3;
    f.settles = Some(1.5);
    for step in steps {
        match *step {
            Step::Take {
                gate,
                customer,
                operation,
                many,
            } => (0..many).for_each(|i| {
                let units =
                    [1.0, 2.0, 1.0, 2.0, 1.0, 12.0 / fleet.clamp(3, 12) as f64][customer as usize];
                f.take(
                    gate * wide + i % wide,
                    customer,
                    customer as usize,
                    operation,
                    units,
                );
            }),
            Step::Pass(seconds) => f.pass(seconds),
            Step::End { at, ending } if !f.out.is_empty() => {
                f.pass(0.005);
                let n = f.out.len();
                if n > 0 {
                    f.end(at % n, ending);
                }
            }
            Step::Count { at, added, told } if !f.calls.is_empty() => {
                let (gate, name, _) = f.calls[at % f.calls.len()];
                let first = f
                    .calls
                    .iter()
                    .position(|c| c.0 == gate && c.1 == name)
                    .unwrap();
                f.count(first, added, told);
            }
            // A counter that comes back empty was away for longer than a short window.
            Step::Empty => {
                let quick = std::mem::replace(&mut f.quick, false);
                f.pass(1.1);
                f.counter.clear();
                f.quick = quick;
            }
            Step::Quick(quick) => f.quick = quick,
            Step::Tell {
                gate,
                tgt,
                readiness,
                fresh,
            } => {
                let started_at = if fresh { f.now } else { 0.0 };
                let entry = Server {
                    readiness,
                    started_at,
                    ..server(tgt)
                };
                (gate * wide..(gate + 1) * wide).for_each(|g| f.endpoints(g, vec![entry], false));
            }
            Step::List { gate, none } => {
                let all = (0..if none { 0 } else { 4 }).map(server).collect();
                f.endpoints(gate * wide, all, true);
            }
            Step::Restart(gate) => f.restart(gate * wide),
            Step::Leave(num) => f.leave(num),
            _ => {}
        }
    }
    f.pass(5.0);
    f
}

#[derive(Default)]
struct Life {
    gate: usize,
    until: f64,
    operation: usize,
    answers: usize,
    closed: bool,
    /// Server, time and, once known, whether it never ran.
    deliveries: Vec<(usize, f64, Option<bool>)>,
}

/// The rules in the words of their page, over what the front saw.
fn broken(f: &Front) -> Option<String> {
    let mut judge = Judge::new(&f.settings);
    for (now, _, seen) in &f.seen {
        if let Err(broken) = judge.see(*now, seen) {
            return broken;
        }
    }
    let owed = judge
        .lives
        .iter()
        .find(|(_, l)| l.answers == 0 && !l.closed);
    owed.map(|(num, _)| format!("rule 1: {num} never had its answer"))
}

/// A broken rule; none where the front saw something of an invocation that it never took.
type Broken = Option<String>;

/// What the rules look at, brought up to date by each thing seen.
struct Judge<'a> {
    settings: &'a Settings,
    lives: BTreeMap<u64, Life>,
    /// Of each invocation its customer, plan and units.
    customers: BTreeMap<u64, (u64, usize, f64)>,
    /// Since when each gateway was told that a server drains or is gone.
    told: BTreeMap<(usize, usize), f64>,
    up: BTreeMap<usize, f64>,
    knows: BTreeMap<(usize, usize), f64>,
    stores: BTreeMap<u64, (f64, f64)>,
    /// Server, time and gateway of each delivery.
    sends: Vec<(usize, f64, usize)>,
    most: f64,
}

impl<'a> Judge<'a> {
    fn new(settings: &'a Settings) -> Self {
        Judge {
            settings,
            lives: BTreeMap::new(),
            customers: BTreeMap::new(),
            told: BTreeMap::new(),
            up: BTreeMap::new(),
            knows: BTreeMap::new(),
            stores: BTreeMap::new(),
            sends: Vec::new(),
            most: CAPACITY,
        }
    }

    fn see(&mut self, now: f64, seen: &Seen) -> Result<(), Broken> {
        match seen {
            Seen::Took { gate, inv } => {
                let life = Life {
                    gate: *gate,
                    until: inv.client_deadline,
                    operation: inv.operation,
                    ..Life::default()
                };
                self.lives.insert(inv.num, life);
                self.customers
                    .insert(inv.num, (inv.customer, inv.plan, inv.units));
            }
            Seen::Told { gate, entry } => {
                match entry.readiness {
                    Readiness::Live => self.told.remove(&(*gate, entry.tgt)),
                    _ => Some(*self.told.entry((*gate, entry.tgt)).or_insert(now)),
                };
                if entry.started_at > 0.0 {
                    self.up.insert(entry.tgt, entry.started_at);
                    self.knows.insert((*gate, entry.tgt), entry.started_at);
                }
            }
            Seen::Withdrawn { gate, tgt } => {
                self.told.entry((*gate, *tgt)).or_insert(now);
            }
            Seen::Killed { gate } => {
                // What it held is void; its clients may come again.
                self.lives
                    .values_mut()
                    .for_each(|l| l.closed |= l.gate == *gate && l.answers == 0);
            }
            Seen::Sent { gate, num, n, tgt } => self.sent(now, *gate, *num, *n, *tgt)?,
            Seen::Ended {
                num,
                n,
                ending,
                done,
                ..
            } => {
                let life = self.lives.get_mut(num).ok_or(None)?;
                life.deliveries[*n].2 = Some(ending.never_ran());
                if *done && *ending == Ending::Succeeded && !life.closed {
                    life.answers += 1;
                }
            }
            Seen::Final { num, answer, .. } => self.answered(now, *num, answer)?,
            Seen::Left { num, .. } => self.lives.get_mut(num).ok_or(None)?.closed = true,
        }
        Ok(())
    }

    fn sent(
        &mut self,
        now: f64,
        gate: usize,
        num: u64,
        n: usize,
        tgt: usize,
    ) -> Result<(), Broken> {
        self.sent_again(now, num, tgt)?;
        if self
            .told
            .get(&(gate, tgt))
            .is_some_and(|&t| now > t + GRACE)
        {
            return Err(Some(format!(
                "rule 3: {tgt} got {num} while draining or gone"
            )));
        }
        self.sends.push((tgt, now, gate));
        self.sent_to_cold(now, tgt)?;
        if n == 0 {
            self.over_ceiling(now, num)?;
        }
        Ok(())
    }

    /// Rules 1 and 2: not after its end, and twice only where the operation allows it.
    fn sent_again(&mut self, now: f64, num: u64, tgt: usize) -> Result<(), Broken> {
        let life = self.lives.get_mut(&num).ok_or(None)?;
        if life.answers > 0 || life.closed || now > life.until {
            return Err(Some(format!("rule 1: {num} sent after its end")));
        }
        let effect = self.settings.operations[life.operation].effect;
        for &(first, at, never) in &life.deliveries {
            let may = never != Some(true);
            let fits = match effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => !may,
                Effect::Tokened { group, window } => {
                    let same = match group {
                        Group::All => true,
                        Group::Zone => server(first).zone == server(tgt).zone,
                        Group::Cell => server(first).cell == server(tgt).cell,
                    };
                    !may || (same && now <= at + window)
                }
            };
            if !fits || never.is_none() {
                return Err(Some(format!("rule 2: {num} sent again")));
            }
        }
        life.deliveries.push((tgt, now, None));
        Ok(())
    }

    /// Rule 4: a server that just came up gets a part of what the others do.
    fn sent_to_cold(&mut self, now: f64, tgt: usize) -> Result<(), Broken> {
        // Work of an earlier start is not the new one's.
        let since = self.up.get(&tgt).copied().unwrap_or(0.0).max(now - TIP);
        let span = || self.sends.iter().filter(|c| c.0 == tgt && c.1 > since);
        let within = span().count() as f64;
        let warm_up_time = self.settings.warm_up_time;
        let Some(&started_at) = self.up.get(&tgt).filter(|&&t| now < t + warm_up_time) else {
            self.most = within.max(self.most);
            return Ok(());
        };
        let part = 0.2 + 0.8 * ((now - TIP).max(started_at) - started_at) / warm_up_time;
        let aware = |c: &&(usize, f64, usize)| self.knows.get(&(c.2, tgt)) == Some(&started_at);
        let told_of = span().filter(aware).count() as f64 / within;
        if within > MULTIPLE * part * self.most && told_of >= 2.0 / 3.0 {
            return Err(Some(format!(
                "rule 4: {within} sent to {tgt} within {TIP} s"
            )));
        }
        Ok(())
    }

    /// Rule 5: the customer's hard ceiling.
    fn over_ceiling(&mut self, now: f64, num: u64) -> Result<(), Broken> {
        let (customer, plan, units) = self.customers[&num];
        let plan = &self.settings.plans[plan];
        if plan.hard_rate <= 0.0 {
            return Ok(());
        }
        let (left, at) = self
            .stores
            .get(&customer)
            .copied()
            .unwrap_or((plan.hard_burst, now));
        let left = (left + plan.hard_rate * (now - at)).min(plan.hard_burst) - units;
        self.stores.insert(customer, (left, now));
        if left < -1e-6 {
            return Err(Some(format!("rule 5: customer {customer} at {left}")));
        }
        Ok(())
    }

    fn answered(&mut self, now: f64, num: u64, answer: &Answer) -> Result<(), Broken> {
        let life = self.lives.get_mut(&num).ok_or(None)?;
        life.answers += 1;
        if life.answers > 1 || life.closed || now > life.until + self.settings.response_slack {
            return Err(Some(format!(
                "rule 1: {num} answered {} times, at {now}",
                life.answers
            )));
        }
        let may = life.deliveries.iter().any(|d| d.2 != Some(true));
        let risky = match self.settings.operations[life.operation].effect {
            Effect::Idempotent
            | Effect::Tokened {
                group: Group::All, ..
            } => false,
            _ => may,
        };
        if risky && matches!(answer, Answer::Throttle { .. }) {
            return Err(Some(format!(
                "rule 2: {num} throttled though it may have run"
            )));
        }
        Ok(())
    }
}

#[test]
fn limiters_and_model_agree_on_what_is_allowed() {
    fn agrees<const FLEET: usize>(steps: Vec<Step>) -> Result<(), String> {
        broken(&play(&steps, FLEET)).map_or(Ok(()), Err)
    }
    let gen = || Gen::from_size_and_seed(400, 20261201);
    QuickCheck::new()
        .rng(gen())
        .tests(1200)
        .max_tests(1200)
        .quickcheck(agrees::<3> as fn(Vec<Step>) -> _);
    QuickCheck::new()
        .rng(gen())
        .tests(60)
        .max_tests(60)
        .quickcheck(agrees::<300> as fn(Vec<Step>) -> _);
}
