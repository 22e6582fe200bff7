//! What goes wrong, and a seeded plan of it.

use super::{Setup, World};
use dunespur_chain_replication::{Input, Millis};
use fastrand::Rng;

#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// The process ends, connections are reset, and it starts again.
    Kill {
        machine: usize,
        back_after: Millis,
    },
    /// Power is lost without a word.
    PowerLoss {
        machine: usize,
        back_after: Millis,
    },
    /// Power is lost and the disk with it.
    Wipe {
        machine: usize,
        back_after: Millis,
    },
    /// The machine is gone for good and another, with another name and address, comes.
    Replace {
        machine: usize,
        back_after: Millis,
    },
    Freeze {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Heal {
        from: usize,
        to: usize,
    },
    StallDisk {
        machine: usize,
    },
    UnstallDisk {
        machine: usize,
    },
    Reset {
        one: usize,
        other: usize,
    },
    /// The machine asks to be put out, then ends and comes back.
    Leave {
        machine: usize,
        back_after: Millis,
    },
    Add,
    Doubling {
        on: bool,
    },
    Losing {
        on: bool,
    },
}

impl World {
    pub(super) fn happens(&mut self, trouble: Trouble) {
        self.note(|| format!("{trouble:?}"));
        match trouble {
            Trouble::Kill {
                machine,
                back_after,
            } => self.end_and_start(machine, true, back_after),
            Trouble::PowerLoss {
                machine,
                back_after,
            } => self.end_and_start(machine, false, back_after),
            Trouble::Wipe {
                machine,
                back_after,
            } => {
                self.end_process(machine, false);
                self.wipe(machine);
                self.start_at(machine, self.now + back_after);
            }
            Trouble::Replace {
                machine,
                back_after,
            } => {
                self.end_process(machine, false);
                self.machines[machine].removed = true;
                let newcomer = self.add_machine(false);
                self.start_at(newcomer, self.now + back_after);
            }
            Trouble::Freeze { machine } => self.freeze(machine),
            Trouble::Thaw { machine } => self.thaw(machine),
            Trouble::Cut { from, to } => self.cut(from, to),
            Trouble::Heal { from, to } => self.heal(from, to),
            Trouble::StallDisk { machine } => self.stall_disk(machine),
            Trouble::UnstallDisk { machine } => self.unstall_disk(machine),
            Trouble::Reset { one, other } => self.reset_connection(one, other, true),
            Trouble::Leave {
                machine,
                back_after,
            } => {
                self.input(machine, Input::Leave);
                let trouble = Trouble::Kill {
                    machine,
                    back_after,
                };
                self.trouble_at(self.now + 300, trouble);
            }
            Trouble::Add => {
                let newcomer = self.add_machine(false);
                self.start_at(newcomer, self.now);
            }
            Trouble::Doubling { on } => self.doubling = on,
            Trouble::Losing { on } => self.losing = on,
        }
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, back_after: Millis) {
        if self.machines[machine].removed {
            return;
        }
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + back_after);
    }
}

/// After a loss of a disk, and before one, this long without other trouble: what is lost at once stays bounded.
const CATCH_UP: Millis = 4_200;
const FIRST_TROUBLE: Millis = 2_500;

/// A plan of troubles, and when the last of them is over.
pub struct Schedule {
    pub troubles: Vec<(Millis, Trouble)>,
    pub over_at: Millis,
}

struct Planner {
    rng: Rng,
    present: Vec<usize>,
    machines: usize,
    troubles: Vec<(Millis, Trouble)>,
    over_at: Millis,
}

/// Rounds of trouble: some with any mixture that leaves the disks, some that take disks within what must be borne.
pub fn schedule(setup: &Setup, rounds: usize) -> Schedule {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x5EED),
        present: (0..setup.machines).collect(),
        machines: setup.machines,
        troubles: Vec::new(),
        over_at: FIRST_TROUBLE,
    };
    for _ in 0..rounds {
        if planner.rng.u32(0..3) == 0 {
            planner.disks_lost();
        } else {
            planner.mixture();
        }
    }
    Schedule {
        troubles: planner.troubles,
        over_at: planner.over_at,
    }
}

/// How long a storm lasts, and the longest time between two of its troubles.
const STORM_LASTS: Millis = 12_000;
const EARLIEST_STORM: Millis = 350;
const STORM_GAP: Millis = 350;
/// Few of its troubles last longer than it takes to notice them.
const STORM_TROUBLE: Millis = 1_300;

/// Short troubles one upon the other, so that changes of view run into each other. Disks stay.
pub fn storm(setup: &Setup) -> Schedule {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x5707),
        present: (0..setup.machines).collect(),
        machines: setup.machines,
        troubles: Vec::new(),
        over_at: FIRST_TROUBLE,
    };
    // Some storms meet the founding.
    let mut at = if setup.seed % 4 == 1 {
        EARLIEST_STORM
    } else {
        FIRST_TROUBLE
    };
    let end = FIRST_TROUBLE + STORM_LASTS;
    while at < end {
        planner.gust(at);
        at += 1 + planner.rng.u64(0..STORM_GAP);
    }
    planner.push(end, Trouble::Doubling { on: false });
    planner.push(end, Trouble::Losing { on: false });
    Schedule {
        troubles: planner.troubles,
        over_at: planner.over_at,
    }
}

impl Planner {
    /// One trouble of a storm.
    fn gust(&mut self, at: Millis) {
        let machine = self.any();
        let other = self.any();
        let lasts = 5 + self.rng.u64(0..STORM_TROUBLE);
        match self.rng.u32(0..12) {
            0 | 1 => self.ends(
                at,
                Trouble::Kill {
                    machine,
                    back_after: lasts,
                },
                lasts,
            ),
            2 | 3 => self.ends(
                at,
                Trouble::PowerLoss {
                    machine,
                    back_after: lasts,
                },
                lasts,
            ),
            4 => {
                self.push(at, Trouble::Freeze { machine });
                self.push(at + lasts, Trouble::Thaw { machine });
            }
            5 => self.cut_for(at, lasts, machine, other, true, false),
            6 => self.cut_for(at, lasts, machine, other, true, true),
            7 => {
                let outward = self.rng.bool();
                self.isolate(at, lasts, machine, outward, !outward);
            }
            8 => self.isolate(at, lasts, machine, true, true),
            9 => {
                self.push(at, Trouble::StallDisk { machine });
                self.push(at + lasts, Trouble::UnstallDisk { machine });
            }
            10 => {
                let on = self.rng.bool();
                self.push(at, Trouble::Doubling { on });
                self.push(at, Trouble::Losing { on: !on });
            }
            _ => self.push(
                at,
                Trouble::Reset {
                    one: machine,
                    other,
                },
            ),
        }
    }

    fn any(&mut self) -> usize {
        self.present[self.rng.usize(..self.present.len())]
    }

    fn push(&mut self, at: Millis, trouble: Trouble) {
        self.troubles.push((at, trouble));
        self.over_at = self.over_at.max(at);
    }

    /// A short while: mostly around the protocol's own times.
    fn while_(&mut self) -> Millis {
        match self.rng.u32(0..3) {
            0 => self.rng.u64(5..200),
            1 => self.rng.u64(200..1_500),
            _ => self.rng.u64(1_500..4_000),
        }
    }

    fn mixture(&mut self) {
        let begin = self.over_at + self.while_() / 2;
        let count = self.rng.usize(1..5);
        for _ in 0..count {
            let at = begin + self.rng.u64(0..1_500);
            self.one_trouble(at);
        }
    }

    fn one_trouble(&mut self, at: Millis) {
        let machine = self.any();
        let other = self.any();
        let lasts = self.while_();
        match self.rng.u32(0..14) {
            0 => self.ends(
                at,
                Trouble::Kill {
                    machine,
                    back_after: lasts,
                },
                lasts,
            ),
            1 => self.ends(
                at,
                Trouble::PowerLoss {
                    machine,
                    back_after: lasts,
                },
                lasts,
            ),
            2 => {
                for machine in self.present.clone() {
                    let back_after = 100 + self.rng.u64(0..900);
                    let trouble = if self.rng.bool() {
                        Trouble::Kill {
                            machine,
                            back_after,
                        }
                    } else {
                        Trouble::PowerLoss {
                            machine,
                            back_after,
                        }
                    };
                    self.ends(at, trouble, back_after);
                }
            }
            3 | 4 => {
                self.push(at, Trouble::Freeze { machine });
                self.push(at + lasts, Trouble::Thaw { machine });
            }
            5 => self.cut_for(at, lasts, machine, other, true, false),
            6 => self.cut_for(at, lasts, machine, other, true, true),
            7 => self.isolate(at, lasts, machine, true, false),
            8 => self.isolate(at, lasts, machine, false, true),
            9 => self.isolate(at, lasts, machine, true, true),
            10 => {
                self.push(at, Trouble::StallDisk { machine });
                self.push(at + lasts, Trouble::UnstallDisk { machine });
            }
            11 => {
                self.push(at, Trouble::Doubling { on: true });
                self.push(at + lasts, Trouble::Doubling { on: false });
                self.push(
                    at,
                    Trouble::Reset {
                        one: machine,
                        other,
                    },
                );
            }
            12 => {
                self.push(at, Trouble::Losing { on: true });
                self.push(at + lasts, Trouble::Losing { on: false });
            }
            _ => self.ends(
                at,
                Trouble::Leave {
                    machine,
                    back_after: lasts,
                },
                lasts + 300,
            ),
        }
    }

    fn ends(&mut self, at: Millis, trouble: Trouble, lasts: Millis) {
        self.push(at, trouble);
        self.over_at = self.over_at.max(at + lasts);
    }

    fn cut_for(
        &mut self,
        at: Millis,
        lasts: Millis,
        one: usize,
        other: usize,
        there: bool,
        back: bool,
    ) {
        for (from, to, cut) in [(one, other, there), (other, one, back)] {
            if cut && from != to {
                self.push(at, Trouble::Cut { from, to });
                self.push(at + lasts, Trouble::Heal { from, to });
            }
        }
    }

    fn isolate(&mut self, at: Millis, lasts: Millis, machine: usize, outward: bool, inward: bool) {
        for other in self.present.clone() {
            self.cut_for(at, lasts, machine, other, outward, inward);
        }
    }

    /// Disks are lost, no more of them than must be borne, sometimes while all others are killed or lose power.
    fn disks_lost(&mut self) {
        let at = self.over_at + CATCH_UP + self.rng.u64(0..500);
        let borne = (self.present.len() - 1) / 2;
        let lost = self.rng.usize(1..=borne);
        let mut rest = self.present.clone();
        self.rng.shuffle(&mut rest);
        let victims = rest.split_off(rest.len() - lost);
        for machine in victims {
            let back_after = self.rng.u64(100..2_000);
            if self.rng.u32(0..3) == 0 {
                self.ends(
                    at,
                    Trouble::Replace {
                        machine,
                        back_after,
                    },
                    back_after,
                );
                let newcomer = self.machines;
                self.machines += 1;
                self.present.retain(|other| *other != machine);
                self.present.push(newcomer);
            } else {
                self.ends(
                    at,
                    Trouble::Wipe {
                        machine,
                        back_after,
                    },
                    back_after,
                );
            }
        }
        if self.rng.bool() {
            for machine in rest {
                let back_after = 100 + self.rng.u64(0..900);
                self.ends(
                    at,
                    Trouble::PowerLoss {
                        machine,
                        back_after,
                    },
                    back_after,
                );
            }
        }
        // The newcomers count as lost for this long.
        self.over_at += CATCH_UP;
    }
}

/// How long after the last trouble a write must have been committed, and everyone must be back in the chain.
const WRITABLE_AFTER: Millis = 5_000;
const WHOLE_AFTER: Millis = 9_000;

/// What went on in a world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    pub acknowledged: u64,
    pub reads: u64,
    pub snapshots_given: u64,
    pub snapshots_installed: u64,
}

/// Plays a schedule and checks that the core is writable and whole in the end.
pub fn play(setup: Setup, plan: Schedule) -> Result<Played, String> {
    play_in(&mut World::new(setup), plan)
}

/// As [`play`], in a world that was just made.
pub fn play_in(world: &mut World, plan: Schedule) -> Result<Played, String> {
    for (at, trouble) in plan.troubles {
        world.trouble_at(at, trouble);
    }
    world.play_to(plan.over_at + 1)?;
    world.watch_fresh();
    for index in world.running() {
        world.submit(index);
    }
    world.play_to(plan.over_at + WRITABLE_AFTER)?;
    if world.fresh_committed_at.is_none() {
        return Err(world.told("nothing was committed after the last trouble".into()));
    }
    world.play_to(plan.over_at + WHOLE_AFTER)?;
    world.check_whole(20)?;
    Ok(Played {
        acknowledged: world.acknowledged,
        reads: world.reads_done,
        snapshots_given: world.snapshots_given,
        snapshots_installed: world.snapshots_installed,
    })
}
