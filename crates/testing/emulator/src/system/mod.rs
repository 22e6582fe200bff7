//! The platform: starts real processes, each machine under an address of its own on loopback, and ends them.

mod addresses;
mod folder;
mod machine;
mod settings;

pub use addresses::{AddressBlock, Ports};
pub use folder::TemporaryFolder;
pub use machine::{Machine, Usage};
pub use settings::{MachinePlan, Role};

use crate::client::call::{call, Call};
use anyhow::{bail, Context};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Seeds that each process is told.
const SEEDS: usize = 3;
/// Pause between two looks at a machine that is coming up.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// A look at readiness takes at most so long.
const LOOK_LIMIT: Duration = Duration::from_secs(1);

/// What a system consists of.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// The program that plays all roles.
    pub program: PathBuf,
    /// The machines, in order.
    pub machines: Vec<MachinePlan>,
    /// Time between the servers' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
}

/// A running system. Its processes and its folder end with it.
#[derive(Debug)]
pub struct System {
    plan: SystemPlan,
    ports: Ports,
    addresses: AddressBlock,
    seeds: Vec<SocketAddr>,
    machines: Vec<Machine>,
    folder: TemporaryFolder,
}

impl System {
    /// Starts all machines, as at the first start of the whole system.
    ///
    /// # Errors
    /// No addresses, or a process can't be started.
    pub fn start(plan: SystemPlan) -> anyhow::Result<System> {
        let ports = Ports::default();
        let addresses = AddressBlock::reserve(ports)?;
        let folder = TemporaryFolder::new("dunespur-system")?;
        let mut system = System {
            plan,
            ports,
            addresses,
            seeds: Vec::new(),
            machines: Vec::new(),
            folder,
        };
        for plan in system.plan.machines.clone() {
            system.add(plan)?;
        }
        system.seeds = system.controls().into_iter().take(SEEDS).collect();
        for index in 0..system.machines.len() {
            system.write_settings(index, true)?;
            system.machines[index].start()?;
        }
        Ok(system)
    }

    /// Adds a machine to a running system and starts it.
    ///
    /// # Errors
    /// No address, or the process can't be started.
    pub fn join(&mut self, plan: MachinePlan) -> anyhow::Result<usize> {
        let index = self.add(plan)?;
        self.write_settings(index, false)?;
        self.machines[index].start()?;
        Ok(index)
    }

    /// Starts a machine that is not running, with the settings of this moment.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        self.write_settings(index, false)?;
        self.machines[index].start()
    }

    /// Starts a machine that is not running with the settings of the first start of the whole system.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn restart_bootstrapping(&mut self, index: usize) -> anyhow::Result<()> {
        self.write_settings(index, true)?;
        self.machines[index].start()
    }

    /// The seeds that processes are told from their next start on, or their next look at their settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Writes a machine's settings anew while its process runs.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn rewrite_settings(&self, index: usize) -> anyhow::Result<()> {
        self.write_settings(index, false)
    }

    /// Kills a machine's process, takes its disk away and starts it empty.
    ///
    /// # Errors
    /// The disk can't be taken away, or the process can't be started.
    pub fn wipe(&mut self, index: usize) -> anyhow::Result<()> {
        self.machines[index].kill();
        self.machines[index].wipe()?;
        self.restart(index)
    }

    /// Kills all processes at the same moment.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            machine.send_kill();
        }
        for machine in &mut self.machines {
            machine.kill();
        }
    }

    /// One machine, by its place in the plan.
    pub fn machine(&mut self, index: usize) -> &mut Machine {
        &mut self.machines[index]
    }

    /// All machines, in the order of the plan.
    #[must_use]
    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Places of machines of a kind.
    pub fn places(&self, wanted: impl Fn(&MachinePlan) -> bool) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| wanted(machine.plan()))
            .map(|(index, _)| index)
            .collect()
    }

    /// `control` addresses of all gateways.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of_gateways(self.ports.control)
    }

    /// `front` addresses of all gateways.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.of_gateways(self.ports.front)
    }

    /// Where a machine takes requests.
    #[must_use]
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.front)
    }

    /// Where the platform asks whether this gateway is ready.
    #[must_use]
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.ready)
    }

    /// Where a machine takes the operator's orders.
    #[must_use]
    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.control)
    }

    /// An address for a server, other than those of all machines.
    ///
    /// # Errors
    /// The block has no more addresses.
    pub fn server_address(&mut self) -> anyhow::Result<SocketAddr> {
        Ok(SocketAddr::new(self.addresses.next()?, self.ports.server))
    }

    /// Ends once all running gateways are ready.
    ///
    /// # Errors
    /// One of them is not within `limit`.
    pub async fn ready(&mut self, limit: Duration) -> anyhow::Result<()> {
        for index in self.places(|plan| plan.role != Role::Store) {
            if self.machines[index].is_running() {
                self.ready_one(index, limit).await?;
            }
        }
        Ok(())
    }

    /// Ends once this gateway is ready.
    ///
    /// # Errors
    /// It is not within `limit`.
    pub async fn ready_one(&mut self, index: usize, limit: Duration) -> anyhow::Result<()> {
        let address = SocketAddr::new(self.machines[index].ip(), self.ports.ready);
        let until = Instant::now() + limit;
        loop {
            if readiness(address).await == Some(200) {
                return Ok(());
            }
            let name = self.machines[index].name().to_owned();
            if let Some(status) = self.machines[index].ended() {
                bail!(
                    "{name} ended by itself: {status}\n{}",
                    self.machines[index].log_tail()
                );
            }
            if Instant::now() > until {
                bail!(
                    "{name} is not ready after {limit:?}\n{}",
                    self.machines[index].log_tail()
                );
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// What this gateway's readiness check answers now.
    pub async fn readiness(&self, index: usize) -> Option<u16> {
        readiness(SocketAddr::new(self.machines[index].ip(), self.ports.ready)).await
    }

    /// The ends of all logs.
    #[must_use]
    pub fn log_tails(&self) -> String {
        let tails = self
            .machines
            .iter()
            .map(|machine| format!("--- {} ---\n{}", machine.name(), machine.log_tail()));
        tails.collect::<Vec<_>>().join("\n")
    }

    /// Where the files of the system lie.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn of_gateways(&self, port: u16) -> Vec<SocketAddr> {
        let gateways = self
            .machines
            .iter()
            .filter(|machine| machine.plan().role != Role::Store);
        gateways
            .map(|machine| SocketAddr::new(machine.ip(), port))
            .collect()
    }

    fn add(&mut self, plan: MachinePlan) -> anyhow::Result<usize> {
        let index = self.machines.len();
        let ip = self.addresses.next()?;
        let folder = self.folder.path().join(plan.name(index));
        self.machines.push(Machine::new(
            plan,
            index,
            ip,
            folder,
            self.plan.program.clone(),
        )?);
        Ok(index)
    }

    fn write_settings(&self, index: usize, bootstrap: bool) -> anyhow::Result<()> {
        let machine = &self.machines[index];
        let text = settings::text(machine, &self.plan, self.ports, &self.seeds, bootstrap);
        std::fs::write(machine.settings_path(), text).context("the settings file")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.kill_all();
        if std::thread::panicking() {
            eprintln!("{}", self.log_tails());
        }
    }
}

async fn readiness(address: SocketAddr) -> Option<u16> {
    let answer = call(address, &Call::get("/api/readyz"), LOOK_LIMIT).await;
    answer.ok().map(|answer| answer.status)
}
