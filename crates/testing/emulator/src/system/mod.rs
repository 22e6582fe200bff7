//! The platform: starts and ends real processes, one for each machine; each machine has its own loopback address.

mod addresses;
mod error;
mod folder;
mod machine;
mod plan;
mod settings;

pub use addresses::{AddressBlock, Ports};
pub use error::SystemError;
pub use folder::TemporaryFolder;
pub use machine::{Machine, Usage};
pub use plan::{MachinePlan, Role, SystemPlan};

use crate::client::call::{call, Call};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Number of seeds in each settings file.
const SEEDS: usize = 3;
/// Interval at which a starting machine is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time-out of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

/// A running system. Dropping this kills its processes and removes its folder.
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
    /// Starts all machines with bootstrap settings, as at the first start of a system.
    ///
    /// # Errors
    ///
    /// Fails where addresses, folders or settings could not be set up or a process could not be started.
    pub fn start(plan: SystemPlan) -> Result<System, SystemError> {
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
    ///
    /// Fails where no address is left or its process could not be started.
    pub fn join(&mut self, plan: MachinePlan) -> Result<usize, SystemError> {
        let program = self.plan.program.clone();
        self.join_with(&program, plan)
    }

    /// Adds a machine that runs `program` to a running system and starts it.
    ///
    /// # Errors
    ///
    /// Fails where no address is left or its process could not be started.
    pub fn join_with(&mut self, program: &Path, plan: MachinePlan) -> Result<usize, SystemError> {
        let index = self.add(plan)?;
        self.machines[index].set_program(program.to_owned());
        self.write_settings(index, false)?;
        self.machines[index].start()?;
        Ok(index)
    }

    /// Starts a machine whose process is not running, with newly written settings.
    ///
    /// # Errors
    ///
    /// Fails where its process runs already or could not be started.
    pub fn restart(&mut self, index: usize) -> Result<(), SystemError> {
        self.write_settings(index, false)?;
        self.machines[index].start()
    }

    /// Starts a machine whose process is not running, with the bootstrap settings of a system's first start.
    ///
    /// # Errors
    ///
    /// Fails where its process runs already or could not be started.
    pub fn restart_bootstrapping(&mut self, index: usize) -> Result<(), SystemError> {
        self.write_settings(index, true)?;
        self.machines[index].start()
    }

    /// Sets the seeds for all settings files written from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Rewrites a machine's settings file while its process is running.
    ///
    /// # Errors
    ///
    /// Fails where the file could not be written.
    pub fn rewrite_settings(&self, index: usize) -> Result<(), SystemError> {
        self.write_settings(index, false)
    }

    /// Kills a machine's process, empties its disk and starts it again.
    ///
    /// # Errors
    ///
    /// Fails where the disk could not be emptied or the process could not be started.
    pub fn wipe(&mut self, index: usize) -> Result<(), SystemError> {
        self.machines[index].kill();
        self.machines[index].wipe()?;
        self.restart(index)
    }

    /// Kills all processes at once: no process is waited for before all have been sent SIGKILL.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            machine.send_kill();
        }
        for machine in &mut self.machines {
            machine.kill();
        }
    }

    /// The machine with this index, for changes.
    pub fn machine(&mut self, index: usize) -> &mut Machine {
        &mut self.machines[index]
    }

    /// All machines, in the order of their indices.
    #[must_use]
    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Indices of the machines whose plan fulfils `predicate`.
    pub fn machine_indices(&self, predicate: impl Fn(&MachinePlan) -> bool) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| predicate(machine.plan()))
            .map(|(index, _)| index)
            .collect()
    }

    /// `control` addresses of all gateways.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.gateway_addresses(self.ports.control)
    }

    /// `front` addresses of all gateways.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.gateway_addresses(self.ports.front)
    }

    /// Address at which this gateway accepts clients.
    #[must_use]
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.front)
    }

    /// Address of this gateway's readiness check.
    #[must_use]
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.ready)
    }

    /// Address at which this gateway accepts servers and the operator.
    #[must_use]
    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.machines[index].ip(), self.ports.control)
    }

    /// A new address for a server; no machine and no other server has it.
    ///
    /// # Errors
    ///
    /// Fails where all addresses of the block are used.
    pub fn server_address(&mut self) -> Result<SocketAddr, SystemError> {
        Ok(SocketAddr::new(
            self.addresses.next_address()?,
            self.ports.server,
        ))
    }

    /// Returns once all running gateways are ready.
    ///
    /// # Errors
    ///
    /// Fails where a gateway has ended or is not ready within `limit`; the error shows the end of its log.
    pub async fn ready(&mut self, limit: Duration) -> Result<(), SystemError> {
        for index in self.machine_indices(|plan| plan.role != Role::Store) {
            if self.machines[index].is_running() {
                self.ready_one(index, limit).await?;
            }
        }
        Ok(())
    }

    /// Returns once this gateway is ready.
    ///
    /// # Errors
    ///
    /// Fails where it has ended or is not ready within `limit`; the error shows the end of its log.
    pub async fn ready_one(&mut self, index: usize, limit: Duration) -> Result<(), SystemError> {
        let address = SocketAddr::new(self.machines[index].ip(), self.ports.ready);
        let deadline = Instant::now() + limit;
        loop {
            if readiness(address).await == Some(200) {
                return Ok(());
            }
            let machine = self.machines[index].name().to_owned();
            if let Some(status) = self.machines[index].ended() {
                return Err(SystemError::EndedBeforeReady {
                    machine,
                    status,
                    log: self.machines[index].log_tail(),
                });
            }
            if Instant::now() > deadline {
                return Err(SystemError::NotReady {
                    machine,
                    limit,
                    log: self.machines[index].log_tail(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The status with which this gateway answers a readiness check now; `None` where it does not answer.
    pub async fn readiness(&self, index: usize) -> Option<u16> {
        readiness(SocketAddr::new(self.machines[index].ip(), self.ports.ready)).await
    }

    /// The last parts of all machines' logs.
    #[must_use]
    pub fn log_tails(&self) -> String {
        let tails = self
            .machines
            .iter()
            .map(|machine| format!("--- {} ---\n{}", machine.name(), machine.log_tail()));
        tails.collect::<Vec<_>>().join("\n")
    }

    /// The folder that holds the system's files.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn gateway_addresses(&self, port: u16) -> Vec<SocketAddr> {
        let gateways = self
            .machines
            .iter()
            .filter(|machine| machine.plan().role != Role::Store);
        gateways
            .map(|machine| SocketAddr::new(machine.ip(), port))
            .collect()
    }

    fn add(&mut self, plan: MachinePlan) -> Result<usize, SystemError> {
        let index = self.machines.len();
        let ip = self.addresses.next_address()?;
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

    fn write_settings(&self, index: usize, bootstrap: bool) -> Result<(), SystemError> {
        let machine = &self.machines[index];
        let text = settings::text(machine, &self.plan, self.ports, &self.seeds, bootstrap);
        std::fs::write(machine.settings_path(), text).map_err(SystemError::file(
            "the settings file",
            machine.settings_path(),
        ))
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
    let answer = call(address, &Call::get("/api/readyz"), READINESS_TIMEOUT).await;
    answer.ok().map(|answer| answer.status)
}
