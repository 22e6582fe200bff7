//! What goes wrong, and a seeded plan of it.

use super::history::{check, Tally};
use super::lines::Place;
use super::{Setup, World};
use dunespur_chain_replication::Millis;
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
    /// All machines lose power.
    Blackout {
        back_after: Millis,
    },
    Freeze {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Cut {
        from: Place,
        to: Place,
    },
    Heal {
        from: Place,
        to: Place,
    },
    Doubling {
        on: bool,
    },
    Losing {
        on: bool,
    },
    /// This befalls the machine that gives the next 200 to an order.
    AtAcknowledgement {
        trouble: Acknowledgement,
    },
}

/// What befalls the machine that gives a 200.
#[derive(Clone, Copy, Debug)]
pub enum Acknowledgement {
    PowerLoss,
    DiskLoss,
    /// All lose power.
    Blackout,
    /// Its disk is lost, and all others lose power.
    DiskLossInBlackout,
}

/// How long a machine is gone that fails at an acknowledgement.
const GONE: Millis = 700;

impl Trouble {
    /// The trouble as it befalls this machine.
    pub fn at(self, machine: usize) -> Trouble {
        match self {
            Trouble::PowerLoss { back_after, .. } => Trouble::PowerLoss {
                machine,
                back_after,
            },
            Trouble::Wipe { back_after, .. } => Trouble::Wipe {
                machine,
                back_after,
            },
            other => other,
        }
    }
}

impl World {
    pub fn strike(&mut self, trouble: Trouble) {
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
            Trouble::Blackout { back_after } => {
                for machine in 0..self.machines.len() {
                    if self.machines[machine].powered {
                        let back_after = back_after + self.rng.u64(0..300);
                        self.end_and_start(machine, false, back_after);
                    }
                }
            }
            Trouble::Freeze { machine } => self.freeze(machine),
            Trouble::Thaw { machine } => self.thaw(machine),
            Trouble::Cut { from, to } => self.lines.cut(from, to),
            Trouble::Heal { from, to } => self.heal(from, to),
            Trouble::Doubling { on } => self.doubling = on,
            Trouble::Losing { on } => self.losing = on,
            Trouble::AtAcknowledgement { trouble } => {
                let (machine, back_after) = (0, GONE);
                let first = match trouble {
                    Acknowledgement::PowerLoss => Trouble::PowerLoss {
                        machine,
                        back_after,
                    },
                    Acknowledgement::Blackout => Trouble::Blackout { back_after },
                    Acknowledgement::DiskLoss => Trouble::Wipe {
                        machine,
                        back_after,
                    },
                    Acknowledgement::DiskLossInBlackout => {
                        self.blackout_after_wipe = true;
                        Trouble::Wipe {
                            machine,
                            back_after,
                        }
                    }
                };
                self.at_next_acknowledgement = Some(first);
            }
        }
        if matches!(trouble, Trouble::Wipe { .. }) && std::mem::take(&mut self.blackout_after_wipe)
        {
            self.strike(Trouble::Blackout { back_after: GONE });
        }
    }

    fn end_and_start(&mut self, machine: usize, with_power: bool, back_after: Millis) {
        self.end_process(machine, with_power);
        self.start_at(machine, self.now + back_after);
    }
}

/// After a loss of a disk, and before one, this long without other trouble: what is lost at once stays bounded.
const CATCH_UP: Millis = 4_500;
const FIRST_TROUBLE: Millis = 3_000;
/// How long after the last trouble calls go on.
const CALM: Millis = 4_000;
/// The time within which a machine is waited for that acknowledges an order.
const AWAITED: Millis = 3_000;

struct Planner {
    rng: Rng,
    machines: usize,
    callers: usize,
    troubles: Vec<(Millis, Trouble)>,
    over_at: Millis,
}

/// A plan of troubles, and when the last of them is over.
pub fn schedule(setup: &Setup, callers: usize, rounds: usize) -> (Vec<(Millis, Trouble)>, Millis) {
    let mut planner = Planner {
        rng: Rng::with_seed(setup.seed ^ 0x0DE5),
        machines: setup.machines,
        callers,
        troubles: Vec::new(),
        over_at: FIRST_TROUBLE,
    };
    for _ in 0..rounds {
        match planner.rng.u32(0..3) {
            0 => planner.disk_lost(),
            _ => planner.mixture(),
        }
    }
    (planner.troubles, planner.over_at)
}

impl Planner {
    fn push(&mut self, at: Millis, trouble: Trouble) {
        self.troubles.push((at, trouble));
        self.over_at = self.over_at.max(at);
    }

    /// From a tenth of a second to a minute, mostly around the protocol's times and the twenty seconds of a cut.
    fn lasts(&mut self) -> Millis {
        match self.rng.u32(0..8) {
            0..=1 => self.rng.u64(100..1_000),
            2..=4 => self.rng.u64(1_000..5_000),
            5..=6 => 20_000,
            _ => self.rng.u64(5_000..60_000),
        }
    }

    fn mixture(&mut self) {
        let begin = self.over_at + self.rng.u64(0..2_000);
        for _ in 0..self.rng.usize(1..4) {
            let at = begin + self.rng.u64(0..1_500);
            let lasts = self.lasts();
            self.one_trouble(at, lasts);
        }
    }

    fn one_trouble(&mut self, at: Millis, lasts: Millis) {
        let machine = self.rng.usize(..self.machines);
        let back_after = lasts.min(3_000);
        match self.rng.u32(0..14) {
            0 => self.ends(
                at,
                Trouble::Kill {
                    machine,
                    back_after,
                },
                back_after,
            ),
            1 => self.ends(
                at,
                Trouble::PowerLoss {
                    machine,
                    back_after,
                },
                back_after,
            ),
            2..=4 => {
                self.push(at, Trouble::Freeze { machine });
                self.push(at + lasts, Trouble::Thaw { machine });
            }
            5..=6 => self.split(at, lasts),
            7 => self.isolate(at, lasts, machine, true, false),
            8 => self.isolate(at, lasts, machine, false, true),
            9 => self.isolate(at, lasts, machine, true, true),
            10 => {
                let other = self.rng.usize(..self.machines);
                self.cut_for(at, lasts, Place::Machine(machine), Place::Machine(other));
            }
            11 => {
                self.push(at, Trouble::Doubling { on: true });
                self.push(at + lasts, Trouble::Doubling { on: false });
            }
            12 => {
                self.push(at, Trouble::Losing { on: true });
                self.push(at + lasts, Trouble::Losing { on: false });
            }
            _ => {
                let trouble = match self.rng.bool() {
                    true => Acknowledgement::PowerLoss,
                    false => Acknowledgement::Blackout,
                };
                self.ends(at, Trouble::AtAcknowledgement { trouble }, AWAITED + GONE);
            }
        }
    }

    fn ends(&mut self, at: Millis, trouble: Trouble, lasts: Millis) {
        self.push(at, trouble);
        self.over_at = self.over_at.max(at + lasts);
    }

    fn cut_for(&mut self, at: Millis, lasts: Millis, from: Place, to: Place) {
        if from != to {
            self.push(at, Trouble::Cut { from, to });
            self.push(at + lasts, Trouble::Heal { from, to });
        }
    }

    /// Machines and callers fall apart into two sides.
    fn split(&mut self, at: Millis, lasts: Millis) {
        let machines = (0..self.machines).map(Place::Machine);
        let places: Vec<Place> = machines
            .chain((0..self.callers).map(Place::Caller))
            .collect();
        let sides: Vec<bool> = places.iter().map(|_| self.rng.bool()).collect();
        for (one, side) in places.iter().zip(&sides) {
            for (other, other_side) in places.iter().zip(&sides) {
                if side != other_side {
                    self.cut_for(at, lasts, *one, *other);
                }
            }
        }
    }

    /// One machine is cut off from all others, callers reach it.
    fn isolate(&mut self, at: Millis, lasts: Millis, machine: usize, outward: bool, inward: bool) {
        for other in (0..self.machines).filter(|other| *other != machine) {
            let (one, other) = (Place::Machine(machine), Place::Machine(other));
            if outward {
                self.cut_for(at, lasts, one, other);
            }
            if inward {
                self.cut_for(at, lasts, other, one);
            }
        }
    }

    /// The disk is lost that has just acknowledged an order, or any other, at times while all others lose power.
    fn disk_lost(&mut self) {
        let at = self.over_at + CATCH_UP + self.rng.u64(0..500);
        match self.rng.u32(0..3) {
            0 => {
                let machine = self.rng.usize(..self.machines);
                self.ends(
                    at,
                    Trouble::Wipe {
                        machine,
                        back_after: GONE,
                    },
                    GONE,
                );
            }
            1 => {
                let trouble = Acknowledgement::DiskLoss;
                self.ends(at, Trouble::AtAcknowledgement { trouble }, AWAITED + GONE);
            }
            _ => {
                let trouble = Acknowledgement::DiskLossInBlackout;
                self.ends(at, Trouble::AtAcknowledgement { trouble }, AWAITED + GONE);
            }
        }
        self.over_at += CATCH_UP;
    }
}

/// Plays a world through a plan of troubles and judges what its operators saw.
pub fn play(setup: Setup, rounds: usize) -> Result<Tally, String> {
    play_in(&mut World::new(setup), rounds)
}

/// Plays a world through a plan of troubles: the digest of all that happened in it.
pub fn digest(setup: Setup, rounds: usize) -> u64 {
    let mut world = World::new(setup);
    let verdict = play_in(&mut world, rounds);
    world.finish_digest(verdict)
}

fn play_in(world: &mut World, rounds: usize) -> Result<Tally, String> {
    let setup = world.setup;
    let (troubles, over_at) = schedule(&setup, world.callers.len(), rounds);
    for (at, trouble) in troubles {
        world.schedule(at, super::Event::Trouble(trouble));
    }
    world.play_to(over_at + CALM)?;
    check(&world.history).map_err(|text| world.told(&text))?;
    let snapshots = world.snapshots_installed;
    let (emptied, kept) = (world.keeper.begun, world.keeper.refused);
    Ok(Tally {
        snapshots,
        emptied,
        kept,
        ..world.history.tally()
    })
}
