//! Trials with real processes: gateways on loopback, test servers around them, an open-loop load ([`load`]), and proxies on
//! the links between the limiters ([`link_proxy`]).
//!
//! A trial ends the processes that it started and removes its files, also when it is interrupted. The roles that the
//! processes held come from their own histories; the histories are checked elsewhere.

mod fault_injection;
mod link_proxy;
mod load;
mod own_delay;
mod ports;

use crate::error::PlayError;
use crate::history::Line;
use crate::trial::{Kind, Trial, MAX_PROCESSES, SERVERS};
use dunespur_gateway::{clock, Work};
use dunespur_peer_transport::Frame;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_test_servers::{endpoint_list, Counter, Discovery, Server};
use link_proxy::{start_proxies, LinkFaults};
use load::{request, Load};
use ports::reserve_address;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, Read, Seek};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// A process of the trial, which is killed on drop.
struct Running {
    child: Child,
}

impl Running {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Limiter {
    name: String,
    number: usize,
    peer: SocketAddrV4,
    client: SocketAddr,
    dir: PathBuf,
    running: RefCell<Option<Running>>,
    twin: RefCell<Option<Running>>,
    wall: Cell<f64>,
    version: Cell<u16>,
    stalled: Cell<Option<f64>>,
    /// Not to be blamed for lost answers: under a fault now or a moment ago.
    excused: Cell<f64>,
    /// How far its history was read, and the lines.
    read: Cell<u64>,
    copies: RefCell<Vec<(f64, PathBuf)>>,
}

struct World<'a> {
    trial: &'a Trial,
    dir: PathBuf,
    program: (PathBuf, Vec<String>),
    faults: Rc<LinkFaults>,
    limiters: Rc<Vec<Limiter>>,
    proxies: Vec<BTreeMap<SocketAddrV4, SocketAddrV4>>,
    receivers: Vec<SocketAddrV4>,
    lines: Rc<RefCell<Vec<Line>>>,
    discovery: Rc<Discovery>,
    counter: Rc<Counter>,
    servers: Vec<Rc<Server>>,
    runs: Cell<u64>,
}

/// Whether the world of processes can play this trial.
pub fn check(trial: &Trial) -> Result<(), PlayError> {
    if trial.fleet.limiters > MAX_PROCESSES {
        return Err(PlayError::TooManyProcesses(trial.fleet.limiters));
    }
    let only = |k: Kind| matches!(k, Kind::Idle);
    if let Some(f) = trial.faults.iter().find(|f| only(f.kind)) {
        return Err(PlayError::OnlySimulated {
            kind: f.kind,
            at: f.at,
        });
    }
    Ok(())
}

/// Plays the trial; the error says what could not be started.
pub fn play(trial: &Trial, seed: u64) -> Result<Vec<Line>, PlayError> {
    check(trial)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let dir = std::env::temp_dir().join(format!(
        "dunespur-trial-{}-{}",
        std::process::id(),
        clock().to_bits()
    ));
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, async {
        tokio::select! {
            played = run(trial, seed, dir.clone()) => played,
            // Interrupted: the limiters end as their handles are dropped.
            _ = tokio::signal::ctrl_c() => Err(PlayError::Interrupted),
        }
    });
    let _ = std::fs::remove_dir_all(&dir);
    played
}

async fn run(trial: &Trial, seed: u64, dir: PathBuf) -> Result<Vec<Line>, PlayError> {
    std::fs::create_dir_all(&dir)?;
    let program = match std::env::var_os("DUNESPUR_GATEWAY") {
        Some(path) => (PathBuf::from(path), vec![]),
        None => (std::env::current_exe()?, vec!["gateway".to_owned()]),
    };
    let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let faults = Rc::new(LinkFaults::new(trial.faults.clone(), rng));
    let counter = Counter::start().await?;
    let mut servers = Vec::new();
    let mut stands = Vec::new();
    for n in 0..SERVERS {
        let server = Server::start(0.01).await?;
        stands.push(server.clone());
        let zone = trial.fleet.zones[n % trial.fleet.zones.len()].clone();
        servers.push((format!("s-{n}"), server.address, zone, "Ready"));
    }
    let discovery = Discovery::start(1, endpoint_list(1, &servers)).await?;
    let limiters = (0..trial.fleet.limiters).map(|n| Limiter::new(trial, n, &dir));
    let limiters = limiters.collect::<std::io::Result<Vec<_>>>()?;
    let peers: Vec<_> = limiters.iter().map(|limiter| limiter.peer).collect();
    let proxies = start_proxies(&faults, &peers).await?;
    let lines = Rc::new(RefCell::new(Vec::new()));
    let mut receivers = Vec::new();
    for n in 0..trial.fleet.receivers {
        let udp = UdpSocket::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(at) = udp.local_addr()? else {
            continue;
        };
        receivers.push(at);
        let fencing = FencingCheck::restored(vec![0; trial.roles().slots() as usize]);
        tokio::task::spawn_local(receive(udp, n, fencing, lines.clone(), faults.clone()));
    }
    let world = World {
        trial,
        dir,
        program,
        faults,
        limiters: Rc::new(limiters),
        proxies,
        receivers,
        lines,
        discovery,
        counter,
        servers: stands,
        runs: Cell::new(seed),
    };
    world.play().await
}

impl Limiter {
    fn new(trial: &Trial, n: usize, dir: &Path) -> std::io::Result<Self> {
        let own = dir.join(trial.limiter(n));
        std::fs::create_dir_all(&own)?;
        Ok(Limiter {
            name: trial.limiter(n),
            number: n,
            peer: reserve_address()?,
            client: SocketAddr::V4(reserve_address()?),
            dir: own,
            running: RefCell::default(),
            twin: RefCell::default(),
            wall: Cell::new(0.0),
            version: Cell::new(dunespur_peer_transport::VERSION),
            stalled: Cell::new(None),
            excused: Cell::new(f64::NEG_INFINITY),
            read: Cell::new(0),
            copies: RefCell::default(),
        })
    }
}

/// A receiver of effects that is no limiter: it refuses old tokens.
async fn receive(
    udp: UdpSocket,
    n: usize,
    mut fencing: FencingCheck,
    lines: Rc<RefCell<Vec<Line>>>,
    faults: Rc<LinkFaults>,
) {
    let mut buffer = vec![0; 2048];
    loop {
        let Ok((len, _)) = udp.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(frame) = Frame::from_datagram(&buffer[..len], "trial") else {
            continue;
        };
        let Ok(Work::Effect { slot, token }) = postcard::from_bytes::<Work>(&frame.body) else {
            continue;
        };
        let (t, at, who) = (clock() - faults.start.get(), format!("r{n}"), frame.sender);
        lines.borrow_mut().push(match fencing.accept(slot, token) {
            true => Line::Accepted {
                t,
                at,
                who,
                slot,
                token,
            },
            false => Line::Refused {
                t,
                at,
                who,
                slot,
                token,
            },
        });
    }
}

const SETTINGS: &str = r#"{"classes":[
  {"name":"read","effect":"free","group":"all",
   "goalTimeS":0.6,"deadlineS":2.0,"importance":1,"lateShare":0,"windowS":0}],
 "contracts":[{"name":"small","rate":1000,"burst":1000,"beyondCosts":1}],
 "discovery":"pushed","domain":{"countWaitS":0.05,"largest":1,"sharedCounter":true},
 "limits":{"maxRetryAfterS":0.5,"retryAfter":true,"tryLimit":6,"dialTimeoutS":0.25,"keepaliveS":5.0},
 "rules":{"coldFrom":0.2,"coldS":10,"fallMultiple":4,"answerSlackS":0.016}}"#;

async fn wait_until_ready(l: &Limiter) -> Result<(), PlayError> {
    let begun = clock();
    while request(l.client, "/-/ready", &[], 1.0).await != Some(200) {
        let ended = l
            .running
            .borrow_mut()
            .as_mut()
            .is_some_and(|r| matches!(r.child.try_wait(), Ok(Some(_))));
        if ended || clock() > begun + 20.0 {
            let log = std::fs::read_to_string(l.dir.join("log")).unwrap_or_default();
            return Err(PlayError::NotReady {
                name: l.name.clone(),
                last_line: log.lines().last().unwrap_or("no word").to_owned(),
            });
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

impl World<'_> {
    /// Writes what a limiter is started with, and starts it.
    fn start(&self, n: usize, twin: bool) -> Result<Running, PlayError> {
        let l = &self.limiters[n];
        let (dir, peer, client) = match twin {
            false => (l.dir.clone(), l.peer, l.client),
            true => (
                self.dir.join(format!("{}-twin", l.name)),
                reserve_address()?,
                SocketAddr::V4(reserve_address()?),
            ),
        };
        std::fs::create_dir_all(&dir)?;
        let config = self.config(n, client)?;
        std::fs::write(dir.join("config.json"), config.to_string())?;
        let mut file = toml::Table::new();
        let fleet = self.operators_section(n, twin, &dir, peer)?;
        file.insert("fleet".into(), toml::Value::Table(fleet));
        std::fs::write(dir.join("operators.toml"), toml::to_string(&file)?)?;
        self.spawn(&dir)
    }

    fn spawn(&self, dir: &Path) -> Result<Running, PlayError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join("log"))?;
        let mut command = Command::new(&self.program.0);
        command
            .args(&self.program.1)
            .env("RELAY_CONFIG", dir.join("config.json"))
            .env("RELAY_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if self.trial.load.fleet {
            command.env("DUNESPUR_OPERATORS", dir.join("operators.toml"));
        }
        let child = command.spawn().map_err(|source| PlayError::Spawn {
            program: self.program.0.clone(),
            source,
        })?;
        Ok(Running { child })
    }

    /// The platform's configuration of one limiter.
    fn config(&self, n: usize, client: SocketAddr) -> Result<serde_json::Value, PlayError> {
        let f = &self.trial.fleet;
        let mut settings: serde_json::Value = serde_json::from_str(SETTINGS)?;
        if let Some(q) = &self.trial.quota {
            let plan = &mut settings["contracts"][0];
            (plan["rate"], plan["burst"]) = (q.rate.into(), q.burst.into());
            if q.hard_rate > 0.0 {
                (plan["hardRate"], plan["hardBurst"]) = (q.hard_rate.into(), q.hard_burst.into());
            }
        }
        settings["failureDomains"] = f.zones.clone().into();
        settings["fleetSize"] = f.limiters.into();
        settings["slotNo"] = n.into();
        settings["zone"] = f.zones[self.trial.zone(n)].clone().into();
        self.runs.set(
            self.runs
                .get()
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407),
        );
        Ok(serde_json::json!({
            "name": self.limiters[n].name, "listen": client.to_string(),
            "discovery": self.discovery.address.to_string(),
            "counter": self.counter.address.to_string(), "seed": format!("{:x}", self.runs.get()),
            "limits": {"sockets": 1024}, "settings": settings,
        }))
    }

    /// The `fleet` section of one limiter's operators' file.
    fn operators_section(
        &self,
        n: usize,
        twin: bool,
        dir: &Path,
        peer: SocketAddrV4,
    ) -> Result<toml::Table, PlayError> {
        let f = &self.trial.fleet;
        // A voter's twin is no voter: its file lists it elsewhere, as a mistaken copy would.
        let voters: Vec<_> = (0..f.voters)
            .map(|v| {
                let of = &self.limiters[v];
                let pair = [("name", of.name.clone()), ("address", of.peer.to_string())];
                pair.into_iter()
                    .map(|(k, v)| (k.to_owned(), toml::Value::String(v)))
                    .collect::<toml::Table>()
            })
            .collect();
        let mut fleet = toml::Table::new();
        let mut put = |key: &str, value: toml::Value| fleet.insert(key.to_owned(), value);
        put("name", "trial".into());
        put("listen", peer.to_string().into());
        put("zone", f.zones[self.trial.zone(n)].clone().into());
        put("machine", format!("m{n}").into());
        put("size", (f.limiters as i64).into());
        put(
            "voter",
            toml::Value::Array(voters.into_iter().map(toml::Value::Table).collect()),
        );
        put("lease", f.lease.into());
        put("renew", f.renew.into());
        put("drift", f.drift.into());
        put("stall", f.stall.into());
        put("tick", f.tick.into());
        put("disk_wait", self.trial.roles().disk_check_timeout.into());
        if n < f.voters && !twin {
            put("disk", dir.join("voter.redb").display().to_string().into());
        }
        put("duty", toml::Value::try_from(&f.duties)?);
        put("trial", toml::Value::Table(self.trial_section(n, dir)));
        Ok(fleet)
    }

    /// The `trial` section in it: how faults reach the limiter.
    fn trial_section(&self, n: usize, dir: &Path) -> toml::Table {
        let l = &self.limiters[n];
        let mut section = toml::Table::new();
        let mut put = |key: &str, value: toml::Value| section.insert(key.to_owned(), value);
        let proxies = self.proxies[n]
            .iter()
            .map(|(a, b)| (a.to_string(), toml::Value::String(b.to_string())));
        put("via", toml::Value::Table(proxies.collect()));
        let history = dir.join("history.jsonl");
        put("history", history.display().to_string().into());
        put("effects", self.trial.load.effects.into());
        let receivers = self
            .receivers
            .iter()
            .map(|r| toml::Value::String(r.to_string()));
        put("receivers", toml::Value::Array(receivers.collect()));
        put("wall", l.wall.get().into());
        put("version", i64::from(l.version.get()).into());
        let slow_disk = dir.join("slow-disk");
        put("slow_disk", slow_disk.display().to_string().into());
        section
    }

    fn now(&self) -> f64 {
        clock() - self.faults.start.get()
    }

    /// Takes what the limiters have written to their histories since the last look.
    fn read(&self) {
        for l in self.limiters.iter() {
            self.read_one(&l.dir.join("history.jsonl"), &l.read);
        }
        let twins = Cell::new(0);
        for l in self.limiters.iter() {
            let path = self
                .dir
                .join(format!("{}-twin", l.name))
                .join("history.jsonl");
            if path.exists() && l.twin.borrow().is_none() {
                // Read once, when it has ended.
                self.read_one(&path, &twins);
                let _ = std::fs::remove_file(path);
                twins.set(0);
            }
        }
    }

    fn read_one(&self, path: &Path, from: &Cell<u64>) {
        let Ok(mut file) = std::fs::File::open(path) else {
            return;
        };
        if file.seek(std::io::SeekFrom::Start(from.get())).is_err() {
            return;
        }
        let mut text = Vec::new();
        let _ = file.read_to_end(&mut text);
        // A line that is half written is read the next time.
        let whole = text
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |at| at + 1);
        from.set(from.get() + whole as u64);
        let start = self.faults.start.get();
        let twin = path
            .parent()
            .is_some_and(|d| d.to_string_lossy().ends_with("-twin"));
        for line in text[..whole].lines().map_while(Result::ok) {
            let Ok(mut line) = serde_json::from_str::<Line>(&line) else {
                continue;
            };
            match &mut line {
                Line::Told { asked, t, .. } => {
                    *asked -= start;
                    *t -= start;
                }
                Line::Ended { t, until, .. } | Line::Died { t, until, .. } => {
                    *t -= start;
                    *until -= start;
                }
                Line::Accepted { t, at, .. } | Line::Refused { t, at, .. } => {
                    *t -= start;
                    if twin {
                        at.push('\'');
                    }
                }
                Line::Began { t, .. }
                | Line::Started { t, .. }
                | Line::Report { t, .. }
                | Line::Counted { t, .. }
                | Line::Fault { t, .. }
                | Line::Answer { t, .. } => *t -= start,
            }
            self.lines.borrow_mut().push(line);
        }
    }

    async fn play(&self) -> Result<Vec<Line>, PlayError> {
        for n in 0..self.limiters.len() {
            *self.limiters[n].running.borrow_mut() = Some(self.start(n, false)?);
        }
        // Ready when all serve; the trial's time begins then.
        for l in self.limiters.iter() {
            wait_until_ready(l).await?;
        }
        self.faults.start.set(clock());
        let load = Load {
            limiters: self.limiters.clone(),
            faults: self.faults.clone(),
            lines: self.lines.clone(),
        };
        let load = load.run(self.trial.load.rate, self.trial.quota.clone());
        let load = tokio::task::spawn_local(load);
        let own_delays = own_delay::record(self.faults.clone(), self.lines.clone());
        let own_delays = tokio::task::spawn_local(own_delays);
        self.play_faults().await?;
        load.abort();
        own_delays.abort();
        self.count_time();
        for l in self.limiters.iter() {
            drop(l.twin.borrow_mut().take());
        }
        self.read();
        self.keep_logs();
        let mut lines = std::mem::take(&mut *self.lines.borrow_mut());
        // Each limiter's own lines keep their order.
        lines.sort_by(|a, b| a.time().total_cmp(&b.time()));
        Ok(lines)
    }

    /// Copies the limiters' logs to where the environment wants them.
    fn keep_logs(&self) {
        let Some(to) = std::env::var_os("DUNESPUR_KEEP_LOGS") else {
            return;
        };
        for l in self.limiters.iter() {
            let _ = std::fs::copy(
                l.dir.join("log"),
                Path::new(&to).join(format!("{}.log", l.name)),
            );
        }
    }

    /// Processor seconds that each limiter has used since its start.
    fn count_time(&self) {
        let per = rustix::param::clock_ticks_per_second() as f64;
        for l in self.limiters.iter() {
            let Some(pid) = l.running.borrow().as_ref().map(|r| r.child.id()) else {
                continue;
            };
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            // User and system time are the 14th and 15th; the name, in brackets, may hold anything.
            let after = stat.rsplit(')').next().unwrap_or_default();
            let ticks: f64 = after
                .split_whitespace()
                .skip(11)
                .take(2)
                .filter_map(|t| t.parse::<f64>().ok())
                .sum();
            let (t, what) = (self.now(), format!("processor seconds {}", l.name));
            self.lines.borrow_mut().push(Line::Counted {
                t,
                what,
                value: ticks / per,
            });
        }
    }
}
