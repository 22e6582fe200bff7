//! Measures how long after a change of its machines the core tolerates fewer losses than required.

use super::{Setup, World};
use dunespur_chain_replication::{DurableState, Input, Millis, View};

/// By this time the first view is in force and the core is stable.
const STABLE_AT: Millis = 2_500;
/// Resolution at which windows are measured.
const SAMPLE_EVERY: Millis = 10;
/// Longest time for which a leaving process drains before it ends.
const LONGEST_DRAIN: u64 = 8_000;
/// How long the core is watched after the last step.
const WATCHED_FOR: Millis = 5_000;

/// Number of commits that a machine may lack when the core counts as complete again.
const MAX_BEHIND: u64 = 40;

/// A change of the machines of a core that is otherwise without faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    KillAndReturn,
    WipeAndReturn,
    /// A machine is lost for good; a machine with another name and an empty disk starts 1 to 3 s later.
    UnplannedReplacement,
    /// The replacement starts; later the machine is requested to leave and drains for up to 8 s.
    PlannedReplacement,
    Addition,
    PlannedLeaving,
    /// Each machine in turn is requested to leave, drains, ends and restarts.
    RollingRestart,
}

impl Change {
    pub const ALL: [Change; 7] = [
        Change::KillAndReturn,
        Change::WipeAndReturn,
        Change::UnplannedReplacement,
        Change::PlannedReplacement,
        Change::Addition,
        Change::PlannedLeaving,
        Change::RollingRestart,
    ];

    /// The number of machines that remain after the change.
    fn machines_after(self, machines: usize) -> usize {
        match self {
            Change::Addition => machines + 1,
            Change::PlannedLeaving => machines - 1,
            _ => machines,
        }
    }

    /// The number of losses that the core has to tolerate after the change: that of the original number of machines, or of
    /// the remaining ones if these are too few.
    pub fn losses_to_tolerate(self, machines: usize) -> usize {
        tolerated(machines).min(tolerated(self.machines_after(machines)))
    }
}

/// The number of losses that a core of this many machines has to tolerate.
pub fn tolerated(machines: usize) -> usize {
    (machines - 1) / 2
}

/// One step of a change.
#[derive(Clone, Copy, Debug)]
enum Step {
    End {
        machine: usize,
        with_power: bool,
    },
    Wipe {
        machine: usize,
    },
    Start {
        machine: usize,
    },
    /// A new machine with an empty disk starts.
    Add,
    /// The machine receives SIGTERM, and may end at any time from now on.
    Leave {
        machine: usize,
    },
    /// The machine ends and does not restart.
    Remove {
        machine: usize,
        with_power: bool,
    },
}

/// The steps of a change, and the time from which the window is measured.
struct Script {
    steps: Vec<(Millis, Step)>,
    ends_at: Millis,
}

impl Script {
    fn random(change: Change, world: &mut World) -> Script {
        let begin = STABLE_AT + world.rng.u64(0..1_000);
        let machine = world.rng.usize(..world.setup.machines);
        let with_power = world.rng.bool();
        let mut script = Script {
            steps: Vec::new(),
            ends_at: begin,
        };
        match change {
            Change::KillAndReturn => {
                script.push(
                    begin,
                    Step::End {
                        machine,
                        with_power,
                    },
                );
                let returns = begin + world.rng.u64(50..6_000);
                script.push(returns, Step::Start { machine });
                script.ends_at = returns;
            }
            Change::WipeAndReturn => {
                script.push(
                    begin,
                    Step::End {
                        machine,
                        with_power,
                    },
                );
                script.push(begin, Step::Wipe { machine });
                let returns = begin + world.rng.u64(50..6_000);
                script.push(returns, Step::Start { machine });
                script.ends_at = returns;
            }
            Change::UnplannedReplacement => {
                script.push(
                    begin,
                    Step::Remove {
                        machine,
                        with_power,
                    },
                );
                let starts = begin + world.rng.u64(1_000..=3_000);
                script.push(starts, Step::Add);
                script.ends_at = starts;
            }
            Change::PlannedReplacement => {
                script.push(begin, Step::Add);
                let leaves = begin + world.rng.u64(300..6_000);
                script.push_planned_end(machine, leaves, world.rng.u64(20..LONGEST_DRAIN));
                script.ends_at = leaves;
            }
            Change::Addition => script.push(begin, Step::Add),
            Change::PlannedLeaving => {
                script.push_planned_end(machine, begin, world.rng.u64(20..LONGEST_DRAIN));
            }
            Change::RollingRestart => script.push_rolling_restart(begin, world),
        }
        script
    }

    fn push(&mut self, at: Millis, step: Step) {
        self.steps.push((at, step));
    }

    fn push_planned_end(&mut self, machine: usize, leaves: Millis, drain: Millis) {
        self.push(leaves, Step::Leave { machine });
        self.push(
            leaves + drain,
            Step::Remove {
                machine,
                with_power: true,
            },
        );
    }

    fn push_rolling_restart(&mut self, begin: Millis, world: &mut World) {
        let mut leaves = begin;
        for machine in 0..world.setup.machines {
            let ends = leaves + world.rng.u64(20..3_000);
            let returns = ends + world.rng.u64(100..1_500);
            self.push(leaves, Step::Leave { machine });
            self.push(
                ends,
                Step::End {
                    machine,
                    with_power: true,
                },
            );
            self.push(returns, Step::Start { machine });
            self.ends_at = returns;
            leaves = returns + world.rng.u64(500..3_000);
        }
    }

    /// The time until which the core is watched.
    fn watched_until(&self) -> Millis {
        let last = self
            .steps
            .iter()
            .map(|(at, _)| *at)
            .max()
            .unwrap_or(self.ends_at);
        last.max(self.ends_at) + WATCHED_FOR
    }
}

/// Measures a window: the time from the end of the change until the core tolerates every set of losses that it has to, and
/// keeps doing so while it is watched. A set is tolerated if it leaves a majority and a replica of everything
/// acknowledged.
pub fn window(change: Change, machines: usize, seed: u64) -> Result<Millis, String> {
    window_in(&mut World::new(setup(machines, seed)), change)
}

/// The setup of a world in which a window is measured.
pub fn setup(machines: usize, seed: u64) -> Setup {
    Setup {
        write_every: 25,
        ..Setup::new(seed, machines)
    }
}

/// As [`window`], in a newly created world.
pub fn window_in(world: &mut World, change: Change) -> Result<Millis, String> {
    let machines = world.setup.machines;
    world.run_until(STABLE_AT)?;
    let leaving = &[];
    if !world.tolerates(tolerated(machines), leaving) {
        return Err(world.describe("too few losses are tolerated before the change".into()));
    }
    let script = Script::random(change, world);
    let losses_to_tolerate = change.losses_to_tolerate(machines);
    let end = script.watched_until();
    let mut leaving: Vec<usize> = Vec::new();
    let mut steps = script.steps.into_iter().peekable();
    let mut tolerated_from = script.ends_at;
    while world.now < end {
        let next = world.now + SAMPLE_EVERY;
        let next_step_at = steps.peek().map_or(next, |(at, _)| next.min(*at));
        world.run_until(next_step_at)?;
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= next_step_at) {
            world.execute_step(step, &mut leaving);
        }
        if world.now >= script.ends_at && !world.tolerates(losses_to_tolerate, &leaving) {
            tolerated_from = world.now + SAMPLE_EVERY;
        }
    }
    if tolerated_from > end {
        return Err(world.describe(format!(
            "{change:?} of {machines}: losses are not tolerated in the end"
        )));
    }
    world.check_complete(MAX_BEHIND)?;
    Ok(tolerated_from - script.ends_at)
}

impl World {
    fn execute_step(&mut self, step: Step, leaving: &mut Vec<usize>) {
        self.trace_event(|| format!("{step:?}"));
        match step {
            Step::End {
                machine,
                with_power,
            } => self.end_process(machine, with_power),
            Step::Wipe { machine } => self.wipe(machine),
            Step::Start { machine } => {
                leaving.retain(|other| *other != machine);
                self.start_at(machine, self.now);
            }
            Step::Add => {
                let joiner = self.add_machine(false);
                self.start_at(joiner, self.now);
            }
            Step::Leave { machine } => {
                leaving.push(machine);
                self.give_input(machine, Input::Leave);
            }
            Step::Remove {
                machine,
                with_power,
            } => {
                self.end_process(machine, with_power);
                self.machines[machine].removed = true;
            }
        }
    }

    /// Whether the core survives the loss of all leaving machines together with any `losses` of the other running ones.
    fn tolerates(&self, losses: usize, leaving: &[usize]) -> bool {
        let present: Vec<usize> = self
            .running()
            .into_iter()
            .filter(|machine| !leaving.contains(machine))
            .collect();
        let remaining_after = |lost: Vec<usize>| {
            present
                .iter()
                .copied()
                .filter(|machine| !lost.contains(machine))
                .collect::<Vec<usize>>()
        };
        let mut remaining_sets = subsets(&present, losses).map(remaining_after);
        remaining_sets.all(|remaining| self.can_continue(&remaining))
    }

    /// Whether these machines alone can decide the next view, with a head among them that has everything acknowledged. Only
    /// their durable state counts.
    fn can_continue(&self, remaining: &[usize]) -> bool {
        let Some(newest) = self.newest_view() else {
            return false;
        };
        let known = remaining
            .iter()
            .filter_map(|machine| self.member(*machine)?.view())
            .map(|view| view.number)
            .max();
        let Some(known) = known else { return false };
        // Starting at the newest view that any of them knows, they have to decide each view up to the newest one again.
        let decides = self
            .views
            .range(known..)
            .all(|(_, view)| self.remaining_members(view, remaining).len() >= view.majority());
        decides && self.has_all_commits(newest, remaining)
    }

    fn remaining_members(&self, view: &View, remaining: &[usize]) -> Vec<usize> {
        remaining
            .iter()
            .copied()
            .filter(|machine| view.has_member(&self.id(*machine)))
            .collect()
    }

    fn has_all_commits(&self, view: &View, remaining: &[usize]) -> bool {
        let voters = self.remaining_members(view, remaining);
        let disk = |machine: &usize| &self.machines[*machine].durable;
        let Some(base) = self.base_of(view.number) else {
            return false;
        };
        let synced_now = voters
            .iter()
            .any(|voter| disk(voter).synced_view == view.number);
        let in_chain = voters.iter().any(|voter| view.in_chain(&self.id(*voter)));
        let required_view = if synced_now { view.number } else { base };
        let is_complete = |voter: &usize| {
            disk(voter).synced_view >= required_view
                && end_of_log(disk(voter)) >= self.committed_count() as u64
        };
        (synced_now || in_chain) && voters.iter().any(is_complete)
    }

    /// The base of the newest view, if that has this number and is on any disk, decided or accepted.
    fn base_of(&self, number: u64) -> Option<u64> {
        let decided = self
            .machines
            .iter()
            .filter_map(|machine| machine.durable.decided.as_ref());
        let accepted = self
            .machines
            .iter()
            .filter_map(|machine| machine.durable.accepted.as_ref());
        let mut views = decided.chain(accepted.map(|accepted| &accepted.proposal));
        let newest = self.newest_view().filter(|view| view.number == number)?;
        views
            .find(|decided| decided.view == *newest)
            .map(|decided| decided.base)
    }
}

fn end_of_log(durable: &DurableState) -> u64 {
    let snapshot = durable
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.position.index);
    durable
        .entries
        .last()
        .map_or(snapshot, |entry| entry.index())
}

/// All subsets with `size` elements.
fn subsets(machines: &[usize], size: usize) -> impl Iterator<Item = Vec<usize>> + '_ {
    let chosen = move |bits: u32| {
        let members = machines
            .iter()
            .enumerate()
            .filter(|(index, _)| bits & 1 << index != 0);
        members.map(|(_, machine)| *machine).collect()
    };
    (0..1_u32 << machines.len())
        .filter(move |bits| bits.count_ones() as usize == size)
        .map(chosen)
}
