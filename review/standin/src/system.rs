//! The processes of a small deployment on loopback addresses, started with the commands of the deploy file.

use crate::http;
use crate::record::Record;
use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ports that are the same on all machines of the deployment.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A deployment in a temporary folder. Dropping it ends all processes and removes the folder.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    subnet: String,
    pub ports: Ports,
    pub machines: Vec<Machine>,
    record: Record,
}

/// What a machine is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A `front` machine with a disk.
    Core,
    /// A `front` machine without a disk.
    Front,
    /// A `storage` machine.
    Store,
}

impl Deployment {
    /// A deployment without machines. `root` is the root of the repository.
    pub fn new(root: &Path, record: &Record) -> Deployment {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("dunespur-review-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let subnet = format!("127.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250);
        let mut ports = free_ports(&subnet, 4).into_iter();
        let mut next = || ports.next().unwrap();
        Deployment {
            root: root.to_owned(),
            folder,
            ports: Ports {
                front: next(),
                ready: next(),
                control: next(),
                internal: next(),
            },
            subnet,
            machines: Vec::new(),
            record: record.clone(),
        }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        format!("{}.{last}", self.subnet).parse().unwrap()
    }

    /// Adds a machine; `last` is the last part of its address. The three seeds are the addresses 11 to 13.
    pub fn add(&mut self, name: &str, kind: Kind, zone: &str, last: u8, memory_mb: u64) {
        let ip = self.ip(last);
        let Ports {
            front,
            ready,
            control,
            internal,
        } = self.ports;
        let seeds: Vec<String> = (11..14)
            .map(|last| format!("\"{}:{control}\"", self.ip(last)))
            .collect();
        let (role, class, serves, listen) = match kind {
            Kind::Store => ("store", "storage", r#"["storage"]"#, String::new()),
            _ => (
                "gateway",
                "front",
                r#"["front", "control"]"#,
                format!(
                    r#""listen": {{"front": "{ip}:{front}", "ready": "{ip}:{ready}", "control": "{ip}:{control}"}},"#
                ),
            ),
        };
        let (disk, data_dir) = match kind {
            Kind::Front => (String::new(), String::new()),
            _ => {
                let data = self.folder.join(name);
                let megabytes = if kind == Kind::Core { 64 } else { 330 };
                (
                    format!(r#", "disk_mb": {megabytes}"#),
                    format!(r#""data_dir": "{}","#, data.display()),
                )
            }
        };
        let fds = if kind == Kind::Store { 8200 } else { 4100 };
        let text = format!(
            r#"{{
  "node": "{name}", "role": "{role}", "class": "{class}", "serves": {serves},
  "ip": "{ip}", "zone": "{zone}", "region": "r", {listen}
  "port_range": [{internal}, {last_internal}],
  "seeds": [{seeds}],
  "bootstrap": true, "counts_for_quorum": {counts},
  "limits": {{"memory_mb": {memory_mb}, "max_fds": {fds}{disk}}},
  {data_dir}
  "discovery": "registry", "entry": "vip", "heartbeat_ms": 1200,
  "fault_tolerance": {{"machines": 1, "zones": 0, "regions": 0}}
}}
"#,
            last_internal = internal + 15,
            seeds = seeds.join(", "),
            counts = kind != Kind::Front,
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings can be written");
        self.machines.push(Machine {
            name: name.to_owned(),
            role,
            ip,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        });
    }

    fn index(&self, name: &str) -> usize {
        let mut machines = self.machines.iter();
        machines
            .position(|machine| machine.name == name)
            .expect("a known machine")
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, name: &str) {
        let index = self.index(name);
        let machine = &mut self.machines[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&machine.log)
            .unwrap();
        let mut command = Command::new(self.root.join("target/release/dunespur"));
        command
            .arg(machine.role)
            .current_dir(&self.root)
            .env("DUNESPUR_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        match command.spawn() {
            Ok(child) => machine.child = Some(child),
            Err(error) => {
                self.record
                    .line(&format!("{name} can't be started: {error}"));
                self.end_processes();
                self.end_processes();
                std::process::exit(2);
            }
        }
        self.record.line(&format!("{name} starts"));
    }

    pub fn start_all(&mut self) {
        let names: Vec<String> = self.machines.iter().map(|m| m.name.clone()).collect();
        for name in names {
            self.start(&name);
        }
    }

    pub fn pid(&self, name: &str) -> i32 {
        let machine = &self.machines[self.index(name)];
        machine.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: i32) {
        let pid = self.pid(name);
        if pid > 0 {
            self.record.line(&format!("signal {signal} to {name}"));
            unsafe { kill(pid, signal) };
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, SIGKILL);
        let index = self.index(name);
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Starts the process of a machine again: from the second start on, `bootstrap` is false.
    pub fn restart(&mut self, name: &str) {
        let settings = &self.machines[self.index(name)].settings;
        let text = fs::read_to_string(settings).unwrap_or_default();
        let text = text.replace("\"bootstrap\": true", "\"bootstrap\": false");
        fs::write(settings, text).expect("the settings can be written");
        self.start(name);
    }

    /// Kills the process of a machine and removes what is on its disk.
    pub fn lose_disk(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.folder.join(name));
        self.record.line(&format!("{name} has lost its disk"));
    }

    /// Whether the process of a machine runs.
    pub fn runs(&self, name: &str) -> bool {
        self.machines[self.index(name)].child.is_some()
    }

    /// The memory of a machine's process in MiB: what is its own in main memory, without files that are mapped.
    pub fn memory_mb(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid(name)));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    fn address(&self, name: &str, port: u16) -> SocketAddr {
        SocketAddr::new(self.machines[self.index(name)].ip, port)
    }

    pub fn front(&self, name: &str) -> SocketAddr {
        self.address(name, self.ports.front)
    }

    pub fn control(&self, name: &str) -> SocketAddr {
        self.address(name, self.ports.control)
    }

    /// Whether the machine calls itself ready.
    pub fn is_ready(&self, name: &str) -> bool {
        let address = self.address(name, self.ports.ready);
        let answer = http::call(
            address,
            "GET",
            "/api/readyz",
            "ready",
            &[],
            &[],
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.head.status() == 200)
    }

    /// Waits until all front machines call themselves ready; returns whether they do in time.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        let fronts: Vec<&str> = self
            .machines
            .iter()
            .filter(|machine| machine.role == "gateway")
            .map(|machine| machine.name.as_str())
            .collect();
        while !fronts.iter().all(|name| self.is_ready(name)) {
            if started.elapsed() > limit {
                self.record.line("the machines did not become ready");
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all front machines are ready");
        true
    }

    fn end_processes(&self) {
        for machine in &self.machines {
            if let Some(child) = &machine.child {
                unsafe {
                    kill(child.id() as i32, SIGCONT);
                    kill(child.id() as i32, SIGKILL);
                }
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end_processes();
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ports that no process listens at, with room for the range of internal ports behind the last one.
fn free_ports(subnet: &str, count: usize) -> Vec<u16> {
    let ip: IpAddr = format!("{subnet}.11").parse().unwrap();
    let mut ports = Vec::new();
    while ports.len() < count {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let port = listener.local_addr().unwrap().port();
        if port < 65_000 && ports.iter().all(|known: &u16| known.abs_diff(port) > 32) {
            ports.push(port);
        }
    }
    ports
}
