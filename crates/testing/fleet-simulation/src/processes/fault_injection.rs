//! Applies the faults of a trial to its processes, files and test servers.

use super::World;
use crate::error::PlayError;
use crate::history::Line;
use crate::trial::{Active, Disk, Fault, Kind};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// The beginning or the end of a fault.
struct Moment {
    at: f64,
    /// Number of the fault in the trial.
    fault: usize,
    on: bool,
}

/// Beginnings and ends of all faults, in order of time.
fn fault_moments(faults: &[Fault]) -> Vec<Moment> {
    let mut moments = Vec::new();
    for (n, f) in faults.iter().enumerate() {
        moments.push(Moment {
            at: f.at,
            fault: n,
            on: true,
        });
        moments.push(Moment {
            at: f.at + f.length,
            fault: n,
            on: false,
        });
    }
    moments.sort_by(|a, b| a.at.total_cmp(&b.at));
    moments
}

impl World<'_> {
    /// The limiters that a target names. The latest holder of a role and the leader are those of the histories.
    fn resolve_target(&self, target: &str) -> Vec<usize> {
        let trial = self.trial;
        if let Some(named) = trial.named(target) {
            return named;
        }
        let all: Vec<usize> = (0..trial.fleet.limiters).collect();
        let parts: Vec<&str> = target.split(':').collect();
        let number = |n: &str| n.parse::<usize>().unwrap_or(0);
        let named = |who: &str| self.limiters.iter().position(|l| l.name == who);
        match parts.as_slice() {
            ["receivers" | "counter"] | ["server", _] => vec![],
            ["leader"] => {
                self.read();
                let lines = self.lines.borrow();
                let mut leads: Vec<(f64, &String)> = lines
                    .iter()
                    .filter_map(|l| match l {
                        Line::Report { t, who, text, .. } if text.contains(" leads in term ") => {
                            Some((*t, who))
                        }
                        _ => None,
                    })
                    .collect();
                leads.sort_by(|a, b| a.0.total_cmp(&b.0));
                leads
                    .last()
                    .and_then(|l| named(l.1))
                    .map_or(vec![0], |n| vec![n])
            }
            ["holder", duty, shard] => {
                self.read();
                let slot = trial.roles().slots_of(duty).map_or(0, |range| range.first)
                    + number(shard) as u32;
                let lines = self.lines.borrow();
                let mut began: Vec<(f64, &String)> = lines
                    .iter()
                    .filter_map(|l| match l {
                        Line::Began {
                            t, who, slot: s, ..
                        } if *s == slot => Some((*t, who)),
                        _ => None,
                    })
                    .collect();
                began.sort_by(|a, b| a.0.total_cmp(&b.0));
                began
                    .last()
                    .and_then(|b| named(b.1))
                    .map_or(vec![], |n| vec![n])
            }
            ["any"] => vec![self.faults.draw_below(trial.fleet.limiters)],
            _ => all,
        }
    }

    /// Number of the latest run of a limiter.
    fn latest_run(&self, name: &str) -> u64 {
        let lines = self.lines.borrow();
        let run = lines.iter().rev().find_map(|l| match l {
            Line::Started { who, run, .. } if who == name => Some(*run),
            _ => None,
        });
        run.unwrap_or(0)
    }

    /// Records the end of a limiter's run.
    fn record_end(&self, n: usize) {
        self.read();
        let l = &self.limiters[n];
        let (t, run) = (self.now(), self.latest_run(&l.name));
        // Stopped before it was killed, it may hold no longer than a lease from then.
        let until = l
            .stalled
            .get()
            .map_or(t, |at| (at + self.trial.fleet.lease).min(t));
        self.lines.borrow_mut().push(Line::Died {
            t,
            who: l.name.clone(),
            run,
            until,
        });
    }

    /// Begins a fault at one limiter.
    async fn begin_at(&self, node: usize, fault: &Fault) -> Result<(), PlayError> {
        let l = &self.limiters[node];
        l.excused.set(f64::INFINITY);
        let signal = |s: Signal| {
            if let Some(r) = l.running.borrow().as_ref() {
                r.signal(s);
            }
        };
        match fault.kind {
            Kind::Kill => {
                let running = l.running.borrow_mut().take();
                if let Some(mut r) = running {
                    r.signal(Signal::KILL);
                    let _ = r.child.wait();
                    self.record_end(node);
                    l.stalled.set(None);
                }
            }
            Kind::Stall => {
                signal(Signal::STOP);
                l.stalled.set(Some(self.now()));
            }
            Kind::Term | Kind::Upgrade => {
                signal(Signal::CONT);
                signal(Signal::TERM);
                let running = l.running.borrow_mut().take();
                if let Some(mut r) = running {
                    let name = l.name.clone();
                    for _ in 0..1000 {
                        if matches!(r.child.try_wait(), Ok(Some(_))) {
                            break;
                        }
                        sleep(Duration::from_millis(10)).await;
                    }
                    drop(r);
                    self.record_end(node);
                    tracing::info!(limiter = name, "ended after SIGTERM");
                }
            }
            Kind::Twin => *l.twin.borrow_mut() = Some(self.start(node, true)?),
            Kind::Clock => l.wall.set(fault.amount),
            Kind::SlowDisk => {
                std::fs::write(l.dir.join("slow-disk"), fault.amount.to_string())?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends a fault at one limiter.
    fn end_at(&self, node: usize, fault: &Fault) -> Result<(), PlayError> {
        let l = &self.limiters[node];
        l.excused.set(self.now());
        match fault.kind {
            Kind::SlowDisk => _ = std::fs::remove_file(l.dir.join("slow-disk")),
            Kind::Kill | Kind::Term | Kind::Upgrade if l.running.borrow().is_none() => {
                if fault.kind == Kind::Upgrade {
                    l.version.set(fault.amount as u16);
                }
                let store = l.dir.join("voter.redb");
                match fault.disk {
                    Disk::Kept => {}
                    Disk::Lost => {
                        let _ = std::fs::remove_file(&store);
                    }
                    Disk::Older => {
                        let copies = l.copies.borrow();
                        match copies.iter().rfind(|c| c.0 <= fault.at - fault.older) {
                            Some((_, copy)) => _ = std::fs::copy(copy, &store),
                            None => _ = std::fs::remove_file(&store),
                        }
                    }
                }
                *l.running.borrow_mut() = Some(self.start(node, false)?);
            }
            Kind::Stall => {
                if let Some(r) = l.running.borrow().as_ref() {
                    r.signal(Signal::CONT);
                }
                l.stalled.set(None);
            }
            Kind::Twin => drop(l.twin.borrow_mut().take()),
            _ => {}
        }
        Ok(())
    }

    /// Begins and ends each fault at its time, until the end of the trial.
    pub(super) async fn play_faults(&self) -> Result<(), PlayError> {
        let moments = fault_moments(&self.trial.faults);
        let mut affected: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let copies = self.trial.faults.iter().any(|f| f.disk == Disk::Older);
        let mut next = 0;
        let mut count = 0u64;
        while self.now() < self.trial.seconds {
            while next < moments.len() && self.now() >= moments[next].at {
                let Moment { fault, on, .. } = moments[next];
                next += 1;
                self.apply_fault(fault, on, &mut affected).await?;
            }
            count += 1;
            self.throttle_slow_limiters(count);
            if copies && count.is_multiple_of(50) {
                self.copy_voter_disks(count);
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Begins or ends a fault. `affected` has the limiters that each active fault affects.
    async fn apply_fault(
        &self,
        n: usize,
        on: bool,
        affected: &mut BTreeMap<usize, Vec<usize>>,
    ) -> Result<(), PlayError> {
        let fault = &self.trial.faults[n];
        let what = serde_json::to_string(fault).unwrap_or_default();
        self.lines.borrow_mut().push(Line::Fault {
            t: self.now(),
            what,
            on,
        });
        self.apply_to_servers(fault, on);
        if on {
            let from = self.resolve_target(&fault.target);
            let to = fault.peer.as_ref().map(|p| self.resolve_target(p));
            self.faults.active.borrow_mut().push(Active {
                n,
                from: from.clone(),
                to,
            });
            for node in &from {
                self.begin_at(*node, fault).await?;
            }
            affected.insert(n, from);
        } else {
            self.faults.active.borrow_mut().retain(|a| a.n != n);
            for node in affected.remove(&n).unwrap_or_default() {
                self.end_at(node, fault)?;
            }
        }
        Ok(())
    }

    /// Begins or ends a fault of the servers or of the counter.
    fn apply_to_servers(&self, fault: &Fault, on: bool) {
        let server = fault
            .target
            .strip_prefix("server:")
            .and_then(|n| n.parse::<usize>().ok());
        if let (Kind::Hang, Some(server)) = (fault.kind, server) {
            self.servers[server].hangs.set(on);
        }
        match fault.kind {
            Kind::Forget if on => self.counter.clear(),
            Kind::Silence => self.counter.silent.set(on),
            _ => {}
        }
    }

    /// Takes processor time from slow limiters: they are stopped for most of each tenth of a second.
    fn throttle_slow_limiters(&self, count: u64) {
        for a in self
            .faults
            .active
            .borrow()
            .iter()
            .filter(|a| self.trial.faults[a.n].kind == Kind::Slow)
        {
            for n in &a.from {
                let l = &self.limiters[*n];
                if l.stalled.get().is_none() {
                    if let Some(r) = l.running.borrow().as_ref() {
                        r.signal(if count % 10 < 8 {
                            Signal::STOP
                        } else {
                            Signal::CONT
                        });
                    }
                }
            }
        }
        if count.is_multiple_of(10) {
            // Nobody is left standing when such a fault has ended.
            let slow: Vec<usize> = self
                .faults
                .active
                .borrow()
                .iter()
                .flat_map(|a| a.from.clone())
                .collect();
            for l in self
                .limiters
                .iter()
                .filter(|l| l.stalled.get().is_none() && !slow.contains(&l.number))
            {
                if let Some(r) = l.running.borrow().as_ref() {
                    r.signal(Signal::CONT);
                }
            }
        }
    }

    /// Copies the voters' files as a loss of power would leave them now.
    fn copy_voter_disks(&self, count: u64) {
        for l in self.limiters.iter().take(self.trial.fleet.voters) {
            let running = l.running.borrow();
            let Some(r) = running.as_ref().filter(|_| l.stalled.get().is_none()) else {
                continue;
            };
            r.signal(Signal::STOP);
            let to = l.dir.join(format!("copy-{count}"));
            if std::fs::copy(l.dir.join("voter.redb"), &to).is_ok() {
                l.copies.borrow_mut().push((self.now(), to));
            }
            r.signal(Signal::CONT);
        }
    }
}
