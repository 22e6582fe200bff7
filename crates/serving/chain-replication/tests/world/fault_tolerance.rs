//! How long the core tolerates fewer losses than it has to after a change of its machines.

use super::{Setup, World};
use dunespur_chain_replication::{DurableState, Input, Millis, View};

/// The first view is in force by then, and the core is calm.
const CALM: Millis = 2_500;
/// How finely windows are measured.
const SAMPLE_EVERY: Millis = 10;
/// A process that was requested to end does so at most this long after.
const LONGEST_DRAIN: u64 = 8_000;
/// After the last step, the core is watched for this long.
const WATCHED_FOR: Millis = 5_000;

/// Commits that a machine may lack when the core counts as complete again.
const MAX_BEHIND: u64 = 40;

/// What happens to the machines of a core that is calm otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    KillAndReturn,
    WipeAndReturn,
    /// A machine is lost for good; one of another name and with an empty disk comes 1 to 3 s later.
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

    /// Machines that are there for good once the change is over.
    fn machines_after(self, machines: usize) -> usize {
        match self {
            Change::Addition => machines + 1,
            Change::PlannedLeaving => machines - 1,
            _ => machines,
        }
    }

    /// Losses that the core has to tolerate after the change: those of its deployment, if as many machines are left as
    /// that takes.
    pub fn losses_to_tolerate(self, machines: usize) -> usize {
        tolerated(machines).min(tolerated(self.machines_after(machines)))
    }
}

/// The losses that a core of so many machines is deployed to tolerate.
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
    /// SIGTERM: the machine may end at any moment from now on.
    Leave {
        machine: usize,
    },
    /// It has ended and does not restart.
    Remove {
        machine: usize,
        with_power: bool,
    },
}

/// The steps of a change, and when the event ends that the window is counted from.
struct Script {
    steps: Vec<(Millis, Step)>,
    ends_at: Millis,
}

impl Script {
    fn random(change: Change, world: &mut World) -> Script {
        let begin = CALM + world.rng.u64(0..1_000);
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
                let back = begin + world.rng.u64(50..6_000);
                script.push(back, Step::Start { machine });
                script.ends_at = back;
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
                let back = begin + world.rng.u64(50..6_000);
                script.push(back, Step::Start { machine });
                script.ends_at = back;
            }
            Change::UnplannedReplacement => {
                script.push(
                    begin,
                    Step::Remove {
                        machine,
                        with_power,
                    },
                );
                let comes = begin + world.rng.u64(1_000..=3_000);
                script.push(comes, Step::Add);
                script.ends_at = comes;
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
            Change::RollingRestart => script.push_roll(begin, world),
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

    fn push_roll(&mut self, begin: Millis, world: &mut World) {
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

    /// When the core has been watched for long enough.
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

/// The time from the end of the event until every set of the losses that have to be tolerated leaves a majority and a
/// replica of all that was acknowledged, from then on for as long as is watched.
pub fn window(change: Change, machines: usize, seed: u64) -> Result<Millis, String> {
    window_in(&mut World::new(setup(machines, seed)), change)
}

/// How the world of a window is set up.
pub fn setup(machines: usize, seed: u64) -> Setup {
    Setup {
        write_every: 25,
        ..Setup::new(seed, machines)
    }
}

/// As [`window`], in a world that was just made.
pub fn window_in(world: &mut World, change: Change) -> Result<Millis, String> {
    let machines = world.setup.machines;
    world.play_to(CALM)?;
    let all = &[];
    if !world.tolerates(tolerated(machines), all) {
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
        let due = steps.peek().map_or(next, |(at, _)| next.min(*at));
        world.play_to(due)?;
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= due) {
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
                self.take(machine, Input::Leave);
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

    /// Whether any `losses` of the running machines may be lost, and those that are leaving with them, without the end
    /// of the core.
    fn tolerates(&self, losses: usize, leaving: &[usize]) -> bool {
        let there: Vec<usize> = self
            .running()
            .into_iter()
            .filter(|machine| !leaving.contains(machine))
            .collect();
        let left_by = |lost: Vec<usize>| {
            there
                .iter()
                .copied()
                .filter(|machine| !lost.contains(machine))
                .collect::<Vec<usize>>()
        };
        let mut rests = subsets(&there, losses).map(left_by);
        rests.all(|left| self.is_enough(&left))
    }

    /// Whether these machines alone can decide on the next view, and one of them may head it and has all that was
    /// acknowledged. Counts what is on their disks.
    fn is_enough(&self, left: &[usize]) -> bool {
        let Some(newest) = self.newest_view() else {
            return false;
        };
        let known = left
            .iter()
            .filter_map(|machine| self.member(*machine)?.view())
            .map(|view| view.number)
            .max();
        let Some(known) = known else { return false };
        // From the newest view that any of them knows, they decide again on those up to the newest one.
        let decides = self
            .views
            .range(known..)
            .all(|(_, view)| self.members_left(view, left).len() >= view.majority());
        decides && self.has_all_commits(newest, left)
    }

    fn members_left(&self, view: &View, left: &[usize]) -> Vec<usize> {
        left.iter()
            .copied()
            .filter(|machine| view.has_member(&self.id(*machine)))
            .collect()
    }

    fn has_all_commits(&self, view: &View, left: &[usize]) -> bool {
        let voters = self.members_left(view, left);
        let disk = |machine: &usize| &self.machines[*machine].durable;
        let Some(base) = self.base_of(view.number) else {
            return false;
        };
        let synced_now = voters
            .iter()
            .any(|voter| disk(voter).synced_view == view.number);
        let in_chain = voters.iter().any(|voter| view.in_chain(&self.id(*voter)));
        let enough = if synced_now { view.number } else { base };
        let verify = |voter: &usize| {
            disk(voter).synced_view >= enough
                && end_of_log(disk(voter)) >= self.committed_count() as u64
        };
        (synced_now || in_chain) && voters.iter().any(verify)
    }

    /// The base of a view, if the view is on any disk, be it decided or accepted.
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

/// All sets of `size` of these.
fn subsets(of: &[usize], size: usize) -> impl Iterator<Item = Vec<usize>> + '_ {
    let chosen = move |bits: u32| {
        let members = of
            .iter()
            .enumerate()
            .filter(|(index, _)| bits & 1 << index != 0);
        members.map(|(_, machine)| *machine).collect()
    };
    (0..1_u32 << of.len())
        .filter(move |bits| bits.count_ones() as usize == size)
        .map(chosen)
}
