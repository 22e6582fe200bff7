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
                over_worth: 1.0,
                beyond_costs: 0.0,
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
                let came_up = if fresh { f.now } else { 0.0 };
                let entry = Server {
                    readiness,
                    came_up,
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
    let mut lives: BTreeMap<u64, Life> = BTreeMap::new();
    let mut customers: BTreeMap<u64, (u64, usize, f64)> = BTreeMap::new();
    let mut told: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut up: BTreeMap<usize, f64> = BTreeMap::new();
    let mut knows: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut stores: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let (mut sends, mut most): (Vec<(usize, f64, usize)>, f64) = (Vec::new(), CAPACITY);
    for (now, _, seen) in &f.seen {
        match seen {
            Seen::Took { gate, inv } => {
                let life = Life {
                    gate: *gate,
                    until: inv.until,
                    operation: inv.operation,
                    ..Life::default()
                };
                lives.insert(inv.num, life);
                customers.insert(inv.num, (inv.customer, inv.plan, inv.units));
            }
            Seen::Told { gate, entry } => {
                match entry.readiness {
                    Readiness::Live => told.remove(&(*gate, entry.tgt)),
                    _ => Some(*told.entry((*gate, entry.tgt)).or_insert(*now)),
                };
                if entry.came_up > 0.0 {
                    up.insert(entry.tgt, entry.came_up);
                    knows.insert((*gate, entry.tgt), entry.came_up);
                }
            }
            Seen::Withdrawn { gate, tgt } => {
                told.entry((*gate, *tgt)).or_insert(*now);
            }
            Seen::Killed { gate } => {
                // What it held is void; its clients may come again.
                lives
                    .values_mut()
                    .for_each(|l| l.closed |= l.gate == *gate && l.answers == 0);
            }
            Seen::Sent { gate, num, n, tgt } => {
                let life = lives.get_mut(num)?;
                if life.answers > 0 || life.closed || *now > life.until {
                    return Some(format!("rule 1: {num} sent after its end"));
                }
                let effect = f.settings.operations[life.operation].effect;
                for &(first, at, never) in &life.deliveries {
                    let may = never != Some(true);
                    let fits = match effect {
                        Effect::Idempotent => true,
                        Effect::NonIdempotent => !may,
                        Effect::Tokened { group, window } => {
                            let same = match group {
                                Group::All => true,
                                Group::Zone => server(first).zone == server(*tgt).zone,
                                Group::Cell => server(first).cell == server(*tgt).cell,
                            };
                            !may || (same && *now <= at + window)
                        }
                    };
                    if !fits || never.is_none() {
                        return Some(format!("rule 2: {num} sent again"));
                    }
                }
                life.deliveries.push((*tgt, *now, None));
                if told.get(&(*gate, *tgt)).is_some_and(|&t| *now > t + GRACE) {
                    return Some(format!("rule 3: {tgt} got {num} while draining or gone"));
                }
                sends.push((*tgt, *now, *gate));
                // Work of an earlier start is not the new one's.
                let since = up.get(tgt).copied().unwrap_or(0.0).max(*now - TIP);
                let within =
                    |s: usize| sends.iter().filter(|c| c.0 == s && c.1 > since).count() as f64;
                if let Some(&came_up) = up.get(tgt).filter(|&&t| *now < t + f.settings.cold_for) {
                    let part =
                        0.2 + 0.8 * ((*now - TIP).max(came_up) - came_up) / f.settings.cold_for;
                    let aware =
                        |c: &&(usize, f64, usize)| knows.get(&(c.2, *tgt)) == Some(&came_up);
                    let span = sends.iter().filter(|c| c.0 == *tgt && c.1 > since);
                    let told_of = span.filter(aware).count() as f64 / within(*tgt);
                    if within(*tgt) > MULTIPLE * part * most && told_of >= 2.0 / 3.0 {
                        return Some(format!(
                            "rule 4: {} sent to {tgt} within {TIP} s",
                            within(*tgt)
                        ));
                    }
                } else {
                    most = within(*tgt).max(most);
                }
                let (customer, plan, units) = customers[num];
                let plan = &f.settings.plans[plan];
                if *n == 0 && plan.hard_rate > 0.0 {
                    let (left, at) = stores
                        .get(&customer)
                        .copied()
                        .unwrap_or((plan.hard_burst, *now));
                    let left = (left + plan.hard_rate * (now - at)).min(plan.hard_burst) - units;
                    stores.insert(customer, (left, *now));
                    if left < -1e-6 {
                        return Some(format!("rule 5: customer {customer} at {left}"));
                    }
                }
            }
            Seen::Ended {
                num,
                n,
                ending,
                done,
                ..
            } => {
                let life = lives.get_mut(num)?;
                life.deliveries[*n].2 = Some(ending.never_ran());
                if *done && *ending == Ending::Succeeded && !life.closed {
                    life.answers += 1;
                }
            }
            Seen::Final { num, answer, .. } => {
                let life = lives.get_mut(num)?;
                life.answers += 1;
                if life.answers > 1 || life.closed || *now > life.until + f.settings.answer_slack {
                    return Some(format!(
                        "rule 1: {num} answered {} times, at {now}",
                        life.answers
                    ));
                }
                let may = life.deliveries.iter().any(|d| d.2 != Some(true));
                let risky = match f.settings.operations[life.operation].effect {
                    Effect::Idempotent
                    | Effect::Tokened {
                        group: Group::All, ..
                    } => false,
                    _ => may,
                };
                if risky && matches!(answer, Answer::Throttle { .. }) {
                    return Some(format!("rule 2: {num} throttled though it may have run"));
                }
            }
            Seen::Left { num, .. } => lives.get_mut(num)?.closed = true,
        }
    }
    let owed = lives.iter().find(|(_, l)| l.answers == 0 && !l.closed);
    owed.map(|(num, _)| format!("rule 1: {num} never had its answer"))
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
