//! The checkers. They know nothing of the machines under trial, only the history and what the trial asked.

use crate::history::{Line, OWN_DELAY};
use crate::quotas;
use crate::trial::Trial;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::collections::BTreeMap;

/// A number that never runs back: reading it gives what it stands at, or more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Growing(u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Look;

impl SequentialSpec for Growing {
    type Op = Look;
    type Ret = u64;

    fn invoke(&mut self, _: &Look) -> u64 {
        self.0
    }

    fn is_valid_step(&mut self, _: &Look, ret: &u64) -> bool {
        let valid = *ret >= self.0;
        self.0 = self.0.max(*ret);
        valid
    }
}

/// Asks that are put to the tester at once: its search grows with their number.
const AT_ONCE: usize = 24;

/// What was broken, a sentence each, at the most this many of a kind.
const MOST: usize = 5;

struct Broken(BTreeMap<&'static str, Vec<String>>);

impl Broken {
    fn add(&mut self, kind: &'static str, what: impl FnOnce() -> String) {
        let of = self.0.entry(kind).or_default();
        if of.len() < MOST {
            of.push(format!("{kind}: {}", what()));
        }
    }
}

/// Time without a holder, for one slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    pub slot: u32,
    pub from: f64,
    pub to: f64,
}

/// The times at which no living limiter held a slot, from the first holder on.
pub fn gaps(trial: &Trial, lines: &[Line]) -> Vec<Gap> {
    let slots = trial.roles().slots() as usize;
    // Who holds each slot now, and since when nobody does.
    let mut holder: Vec<Option<(String, u64)>> = vec![None; slots];
    let mut empty: Vec<f64> = vec![0.0; slots];
    let mut gaps = Vec::new();
    for line in lines {
        match line {
            Line::Began {
                t, who, run, slot, ..
            } => {
                let s = *slot as usize;
                if holder[s].is_none() {
                    gaps.push(Gap {
                        slot: *slot,
                        from: empty[s],
                        to: *t,
                    });
                }
                holder[s] = Some((who.clone(), *run));
            }
            Line::Ended {
                t,
                who,
                run,
                slot,
                until,
                ..
            } => {
                let s = *slot as usize;
                if holder[s]
                    .as_ref()
                    .is_some_and(|h| h.0 == *who && h.1 == *run)
                {
                    holder[s] = None;
                    empty[s] = t.min(*until);
                }
            }
            Line::Died { t, who, run, .. } => {
                for s in 0..slots {
                    if holder[s]
                        .as_ref()
                        .is_some_and(|h| h.0 == *who && h.1 == *run)
                    {
                        holder[s] = None;
                        empty[s] = *t;
                    }
                }
            }
            _ => {}
        }
    }
    for s in 0..slots {
        if holder[s].is_none() {
            gaps.push(Gap {
                slot: s as u32,
                from: empty[s],
                to: f64::INFINITY,
            });
        }
    }
    gaps
}

/// For each fault, how long it took until another limiter had begun what its target held; seconds. Slots are
/// taken for the target's where a new holder began before the fault's end.
pub fn handovers(trial: &Trial, lines: &[Line]) -> Vec<f64> {
    let mut holder: BTreeMap<u32, &str> = BTreeMap::new();
    let mut open: Vec<(f64, f64, BTreeMap<u32, &str>)> = Vec::new();
    let mut took = Vec::new();
    let mut faults = trial
        .faults
        .iter()
        .map(|f| (f.at, f.at + f.length))
        .collect::<Vec<_>>();
    faults.sort_by(|a, b| b.0.total_cmp(&a.0));
    for line in lines {
        match line {
            Line::Fault { t, on: true, .. } => {
                let length = faults.pop().map_or(0.0, |f| f.1 - f.0);
                open.push((*t, t + length, holder.clone()));
            }
            Line::Began { t, who, slot, .. } => {
                for (from, to, held) in &mut open {
                    if *t < *to && held.get(slot).is_some_and(|h| h != who) {
                        held.remove(slot);
                        took.push(t - *from);
                    }
                }
                holder.insert(*slot, who);
            }
            _ => {}
        }
    }
    took
}

/// A handover between living limiters may leave a slot this long with nobody; well beyond what is seen.
const HANDOVER: f64 = 1.0;

/// All that the trial broke.
pub fn check(trial: &Trial, lines: &[Line]) -> Vec<String> {
    let mut broken = Broken(BTreeMap::new());
    let mut holds = check_tokens(trial, lines, &mut broken);
    check_alone(trial, &mut holds, &mut broken);
    check_handovers(trial, lines, &mut broken);
    check_log_order(lines, &mut broken);
    check_answers(lines, &mut broken);
    check_quotas(trial, lines, &mut broken);
    broken.0.into_values().flatten().collect()
}

fn slot_name(trial: &Trial, slot: u32) -> String {
    let roles = trial.roles();
    let info = roles.slot_info(slot);
    format!("{} {}", info.role, info.shard)
}

/// A time during which one limiter held a slot under one token.
struct Hold<'a> {
    from: f64,
    until: f64,
    token: u64,
    who: &'a str,
}

type HoldsBySlot<'a> = BTreeMap<u32, Vec<Hold<'a>>>;

/// What the tokens were seen to do, line by line.
struct TokenChecks<'a> {
    trial: &'a Trial,
    /// The greatest token that each receiver took, by slot.
    accepted: BTreeMap<(&'a str, u32), u64>,
    owner: BTreeMap<(u32, u64), (&'a str, u64)>,
    greatest: BTreeMap<u32, u64>,
    /// Who holds now, since when and under what.
    current: BTreeMap<(u32, &'a str, u64), (f64, u64)>,
    past: HoldsBySlot<'a>,
}

/// Tokens at each receiver never run back, and each belongs to one holder. Returns who held what and when.
fn check_tokens<'a>(trial: &'a Trial, lines: &'a [Line], broken: &mut Broken) -> HoldsBySlot<'a> {
    let mut checks = TokenChecks {
        trial,
        accepted: BTreeMap::new(),
        owner: BTreeMap::new(),
        greatest: BTreeMap::new(),
        current: BTreeMap::new(),
        past: BTreeMap::new(),
    };
    for line in lines {
        match line {
            Line::Accepted {
                t,
                at,
                who,
                slot,
                token,
            } => {
                checks.accepted(*t, at, who, *slot, *token, broken);
            }
            Line::Began {
                t,
                who,
                run,
                slot,
                token,
            } => checks.began(*t, (who, *run), *slot, *token, broken),
            Line::Ended {
                t,
                who,
                run,
                slot,
                until,
                ..
            } => checks.ended((*slot, who, *run), t.min(*until)),
            Line::Died { t, who, run, until } => checks.died(who, *run, t.min(*until)),
            _ => {}
        }
    }
    checks.finish()
}

impl<'a> TokenChecks<'a> {
    fn accepted(
        &mut self,
        t: f64,
        at: &'a str,
        who: &str,
        slot: u32,
        token: u64,
        broken: &mut Broken,
    ) {
        let last = self.accepted.entry((at, slot)).or_insert(0);
        if token < *last {
            let (trial, last) = (self.trial, *last);
            broken.add("token", || {
                let slot = slot_name(trial, slot);
                format!("{at} took {slot} under {token} from {who} at {t:.3}, after {last}")
            });
        }
        *last = (*last).max(token);
    }

    fn began(
        &mut self,
        t: f64,
        holder: (&'a str, u64),
        slot: u32,
        token: u64,
        broken: &mut Broken,
    ) {
        let trial = self.trial;
        if self
            .owner
            .insert((slot, token), holder)
            .is_some_and(|other| other != holder)
        {
            broken.add("owner", || {
                format!(
                    "token {token} of {} has two holders at {t:.3}",
                    slot_name(trial, slot)
                )
            });
        }
        let (who, run) = holder;
        let greatest = self.greatest.entry(slot).or_insert(0);
        if token < *greatest {
            broken.add("order", || {
                format!(
                    "{who} began {} under an old {token} at {t:.3}",
                    slot_name(trial, slot)
                )
            });
        }
        *greatest = (*greatest).max(token);
        self.current.insert((slot, who, run), (t, token));
    }

    fn ended(&mut self, key: (u32, &'a str, u64), until: f64) {
        let (slot, who, _) = key;
        if let Some((from, token)) = self.current.remove(&key) {
            self.past.entry(slot).or_default().push(Hold {
                from,
                until,
                token,
                who,
            });
        }
    }

    fn died(&mut self, who: &'a str, run: u64, until: f64) {
        let of: Vec<_> = self
            .current
            .keys()
            .filter(|k| k.1 == who && k.2 == run)
            .copied()
            .collect();
        of.into_iter().for_each(|key| self.ended(key, until));
    }

    fn finish(mut self) -> HoldsBySlot<'a> {
        let open: Vec<_> = self.current.keys().copied().collect();
        open.into_iter()
            .for_each(|key| self.ended(key, f64::INFINITY));
        self.past
    }
}

/// One at a time: whoever begins does so when the one before holds no more, stopped or not.
fn check_alone(trial: &Trial, holds: &mut HoldsBySlot, broken: &mut Broken) {
    for (slot, of) in holds {
        of.sort_by(|a, b| a.from.total_cmp(&b.from));
        for (n, a) in of.iter().enumerate() {
            if let Some(b) = of[n + 1..]
                .iter()
                .find(|b| b.from < a.until && b.token != a.token)
            {
                broken.add("alone", || {
                    let slot = slot_name(trial, *slot);
                    format!(
                        "{} held {slot} until {:.3}, {} from {:.3}",
                        a.who, a.until, b.who, b.from
                    )
                });
            }
        }
    }
}

/// Every duty is held again in time.
fn check_handovers(trial: &Trial, lines: &[Line], broken: &mut Broken) {
    let calm = trial.calm_from() + trial.settle;
    // Where messages are lost all the time, a lease may be too.
    let handover = HANDOVER
        + if trial.net.lose > 0.0 {
            trial.roles().expiry_wait()
        } else {
            0.0
        };
    for gap in gaps(trial, lines).into_iter().filter(|g| g.to > calm) {
        if gap.from < calm || gap.to - gap.from > handover {
            let (from, to) = (gap.from, gap.to);
            broken.add("held", || {
                format!(
                    "nobody held {} from {from:.3} to {to:.3}",
                    slot_name(trial, gap.slot)
                )
            });
        }
    }
}

/// The log as asks see it never runs back.
fn check_log_order(lines: &[Line], broken: &mut Broken) {
    let mut told: Vec<(f64, f64, u64)> = lines
        .iter()
        .filter_map(|l| match l {
            Line::Told {
                asked, t, index, ..
            } => Some((*asked, *t, *index)),
            _ => None,
        })
        .collect();
    told.sort_by(|a, b| a.0.total_cmp(&b.0));
    for some in told.chunks(AT_ONCE) {
        if !linear(some) {
            broken.add("log", || {
                format!(
                    "asks between {:.3} and {:.3} see it run back",
                    some[0].0,
                    some[some.len() - 1].1
                )
            });
        }
    }
}

/// Invocations get one final answer each.
fn check_answers(lines: &[Line], broken: &mut Broken) {
    for line in lines {
        if let Line::Answer {
            sent,
            t,
            answers,
            status,
            in_time,
            ..
        } = line
        {
            if *answers != 1 {
                broken.add("answer", || {
                    format!("the invocation sent at {sent:.3} got {answers} answers ({status})")
                });
            } else if !in_time {
                broken.add("late", || {
                    let (took, delay) = (t - sent, own_delay(lines, *sent, *t));
                    format!("the invocation sent at {sent:.3} got its answer too late, after {took:.3} s, in which the trial's own process was delayed for {delay:.3} s")
                });
            }
        }
    }
}

/// For how many seconds the trial's own process was delayed between two times; at most, as a delay counts that began before.
fn own_delay(lines: &[Line], from: f64, to: f64) -> f64 {
    let delays = lines.iter().filter_map(|line| match line {
        Line::Counted { t, what, value } if what == OWN_DELAY => Some((*t - value, *t, *value)),
        _ => None,
    });
    delays
        .filter(|(began, ended, _)| *began < to && *ended > from)
        .map(|(_, _, delay)| delay)
        .sum()
}

/// Quotas stay within the bound that is written down, ceilings within themselves.
fn check_quotas(trial: &Trial, lines: &[Line], broken: &mut Broken) {
    let Some(quota) = &trial.quota else { return };
    let seen = quotas::judge(trial, quota, lines);
    if seen.overshoot > seen.bound {
        broken.add("quota", || {
            format!(
                "{:.1} over the quota; the bound is {:.1}",
                seen.overshoot, seen.bound
            )
        });
    }
    if seen.over_ceiling > quotas::JITTER {
        broken.add("ceiling", || {
            format!("{:.1} over the hard ceiling", seen.over_ceiling)
        });
    }
    if let Some(served) = seen.served.filter(|s| *s < SERVED) {
        broken.add("served", || {
            format!("after all faults {served:.2} of what the quotas hold")
        });
    }
}

/// Least share of what the quotas hold that is served when all is well again; the load is over it.
const SERVED: f64 = 0.8;

/// Whether there is one order of these asks that fits their times and what they saw.
pub fn linear(asks: &[(f64, f64, u64)]) -> bool {
    // The tester's search tries threads in their order: by what they saw, the first path fits if any does.
    let mut rank: Vec<usize> = (0..asks.len()).collect();
    rank.sort_by_key(|n| asks[*n].2);
    let mut thread = vec![0; asks.len()];
    rank.iter().enumerate().for_each(|(at, n)| thread[*n] = at);
    // One that came back before another went out and saw more: no need to search, which could take for ever.
    let runs_back = |n: &usize| asks.iter().any(|a| a.1 < asks[*n].0 && a.2 > asks[*n].2);
    if rank.iter().any(runs_back) {
        return false;
    }
    let mut tester = LinearizabilityTester::new(Growing(0));
    let mut points: Vec<(f64, bool, usize)> = Vec::new();
    for (n, (asked, t, _)) in asks.iter().enumerate() {
        points.push((*asked, false, n));
        points.push((*t, true, n));
    }
    // At one moment asks come before answers: that only widens what is allowed.
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    for (_, back, n) in points {
        let done = if back {
            tester.on_return(thread[n], asks[n].2).is_ok()
        } else {
            tester.on_invoke(thread[n], Look).is_ok()
        };
        if !done {
            return false;
        }
    }
    tester.serialized_history().is_some()
}

#[cfg(test)]
mod tests;
