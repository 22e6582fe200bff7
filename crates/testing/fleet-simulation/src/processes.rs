//! The world of processes: real gateways on loopback, the project's stand-ins around them, an open-loop load,
//! and a proxy on every link between two limiters, UDP and TCP. It must end only what it started, and leave
//! nothing behind, interrupted or not. What the processes held and accepted comes from their own histories;
//! this file judges nothing.

use crate::error::PlayError;
use crate::history::Line;
use crate::trial::{Active, Disk, Fault, Kind, Quota, Trial, MAX_PROCESSES, SERVERS};
use bytes::Bytes;
use dunespur_gateway::{clock, Work};
use dunespur_peer_transport::Frame;
use dunespur_singleton_roles::fencing::FencingCheck;
use dunespur_test_servers::{endpoint_list, Counter, Discovery, Server};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Read, Seek};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

/// What the faults make of one direction between two limiters at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Link {
    cut: bool,
    lose: f64,
    delay: f64,
    reorder: f64,
    double: bool,
}

/// All that the proxies look at.
struct Rules {
    faults: Vec<Fault>,
    active: RefCell<Vec<Active>>,
    start: Cell<f64>,
    rng: RefCell<Xoshiro256PlusPlus>,
}

impl Rules {
    fn link(&self, from: usize, to: usize) -> Link {
        let mut link = Link::default();
        let now = clock() - self.start.get();
        for a in self.active.borrow().iter() {
            let fault = &self.faults[a.n];
            if !a.hits(fault, from, to, now) {
                continue;
            }
            match fault.kind {
                Kind::Cut | Kind::HalfOpen => link.cut = true,
                Kind::Lose => link.lose = 1.0 - (1.0 - link.lose) * (1.0 - fault.amount),
                Kind::Delay => link.delay += fault.amount,
                Kind::Reorder => link.reorder += fault.amount,
                Kind::Double => link.double = true,
                _ => {}
            }
        }
        link
    }

    fn chance(&self) -> f64 {
        self.rng.borrow_mut().random()
    }
}

/// Stands on what one limiter sends to another. Returns the address that the sender is told.
async fn proxy(
    rules: Rc<Rules>,
    from: usize,
    to: usize,
    real: SocketAddrV4,
) -> std::io::Result<SocketAddrV4> {
    let (tcp, udp, at) = loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(at) = tcp.local_addr()? else {
            continue;
        };
        if let Ok(udp) = UdpSocket::bind(at).await {
            break (tcp, Rc::new(udp), at);
        }
    };
    let own = rules.clone();
    tokio::task::spawn_local(async move {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((n, _)) = udp.recv_from(&mut buffer).await else {
                continue;
            };
            let link = own.link(from, to);
            if link.cut || own.chance() < link.lose {
                continue;
            }
            for copy in 0..1 + usize::from(link.double) {
                let wait =
                    link.delay + link.reorder * own.chance() + copy as f64 * 0.3 * own.chance();
                let (bytes, udp) = (buffer[..n].to_vec(), udp.clone());
                if wait <= 0.0 {
                    let _ = udp.try_send_to(&bytes, real.into());
                } else {
                    tokio::task::spawn_local(async move {
                        sleep(Duration::from_secs_f64(wait)).await;
                        let _ = udp.send_to(&bytes, real).await;
                    });
                }
            }
        }
    });
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = tcp.accept().await {
            let rules = rules.clone();
            tokio::task::spawn_local(async move {
                // A cut machine answers nothing; here the connection at least comes up, and leads nowhere.
                while rules.link(from, to).cut {
                    sleep(Duration::from_millis(20)).await;
                }
                let Ok(Ok(onward)) =
                    timeout(Duration::from_secs(2), TcpStream::connect(real)).await
                else {
                    return;
                };
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let (sr, sw) = stream.into_split();
                let (or, ow) = onward.into_split();
                let there = tokio::task::spawn_local(carry(rules.clone(), from, to, sr, ow));
                let back = tokio::task::spawn_local(carry(rules, to, from, or, sw));
                let _ = there.await;
                back.abort();
            });
        }
    });
    Ok(at)
}

/// One direction of a connection. What is cut is held: TCP would send it again.
async fn carry(
    rules: Rc<Rules>,
    from: usize,
    to: usize,
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
) {
    use tokio::io::AsyncWriteExt;
    let mut buffer = vec![0; 16_384];
    loop {
        let Ok(n) = read.read(&mut buffer).await else {
            return;
        };
        if n == 0 {
            return;
        }
        let mut link = rules.link(from, to);
        while link.cut {
            sleep(Duration::from_millis(20)).await;
            link = rules.link(from, to);
        }
        // What is lost comes again after a while, and holds up what is behind it.
        let again = if rules.chance() < link.lose { 0.2 } else { 0.0 };
        let wait = link.delay + again;
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait)).await;
        }
        if write.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// A process that this one started, and ends.
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
    rules: Rc<Rules>,
    limiters: Rc<Vec<Limiter>>,
    via: Vec<BTreeMap<SocketAddrV4, SocketAddrV4>>,
    receivers: Vec<SocketAddrV4>,
    lines: Rc<RefCell<Vec<Line>>>,
    discovery: Rc<Discovery>,
    counter: Rc<Counter>,
    servers: Vec<Rc<Server>>,
    runs: Cell<u64>,
}

/// A free port on a loopback address that no other trial, and nothing else on the machine, uses. Guards against
/// one that was given before and is not in use yet: the machine gives it again.
fn free() -> std::io::Result<SocketAddrV4> {
    static GIVEN: Mutex<BTreeSet<SocketAddrV4>> = Mutex::new(BTreeSet::new());
    let mut given = GIVEN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let id = std::process::id();
    let host = format!(
        "127.{}.{}.{}:0",
        64 + (id >> 16) % 128,
        (id >> 8) & 255,
        id & 255
    );
    loop {
        let tcp = std::net::TcpListener::bind(&host)?;
        if let SocketAddr::V4(at) = tcp.local_addr()? {
            if std::net::UdpSocket::bind(at).is_ok() && given.insert(at) {
                return Ok(at);
            }
        }
    }
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
    let rules = Rc::new(Rules {
        faults: trial.faults.clone(),
        active: RefCell::default(),
        start: Cell::new(clock()),
        rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
    });
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
    let via = proxy_all(&rules, &limiters).await?;
    let lines = Rc::new(RefCell::new(Vec::new()));
    let mut receivers = Vec::new();
    for n in 0..trial.fleet.receivers {
        let udp = UdpSocket::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(at) = udp.local_addr()? else {
            continue;
        };
        receivers.push(at);
        let fencing = FencingCheck::restored(vec![0; trial.roles().slots() as usize]);
        tokio::task::spawn_local(receive(udp, n, fencing, lines.clone(), rules.clone()));
    }
    let world = World {
        trial,
        dir,
        program,
        rules,
        limiters: Rc::new(limiters),
        via,
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
            peer: free()?,
            client: SocketAddr::V4(free()?),
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

/// A proxy between each two limiters, by which faults reach their links: where each reaches the others.
async fn proxy_all(
    rules: &Rc<Rules>,
    limiters: &[Limiter],
) -> std::io::Result<Vec<BTreeMap<SocketAddrV4, SocketAddrV4>>> {
    let mut via = Vec::new();
    for from in 0..limiters.len() {
        let mut of = BTreeMap::new();
        for to in (0..limiters.len()).filter(|to| *to != from) {
            let at = proxy(rules.clone(), from, to, limiters[to].peer).await?;
            of.insert(limiters[to].peer, at);
        }
        via.push(of);
    }
    Ok(via)
}

/// A receiver of effects that is no limiter: it refuses old tokens.
async fn receive(
    udp: UdpSocket,
    n: usize,
    mut fencing: FencingCheck,
    lines: Rc<RefCell<Vec<Line>>>,
    rules: Rc<Rules>,
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
        let (t, at, who) = (clock() - rules.start.get(), format!("r{n}"), frame.sender);
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

/// When a fault begins or ends.
struct Moment {
    at: f64,
    /// Its number in the trial.
    fault: usize,
    on: bool,
}

/// Each fault's two moments, in order.
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

async fn wait_until_ready(l: &Limiter) -> Result<(), PlayError> {
    let begun = clock();
    while ask(l.client, "/-/ready", &[], 1.0).await != Some(200) {
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
                free()?,
                SocketAddr::V4(free()?),
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
        let via = self.via[n]
            .iter()
            .map(|(a, b)| (a.to_string(), toml::Value::String(b.to_string())));
        put("via", toml::Value::Table(via.collect()));
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
        clock() - self.rules.start.get()
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
        let start = self.rules.start.get();
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

    /// Who held a slot last, and who leads, as far as the histories say.
    fn target(&self, target: &str) -> Vec<usize> {
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
            ["any"] => vec![self
                .rules
                .rng
                .borrow_mut()
                .random_range(0..trial.fleet.limiters)],
            _ => all,
        }
    }

    /// The run of a limiter that was started last.
    fn run_of(&self, name: &str) -> u64 {
        let lines = self.lines.borrow();
        let run = lines.iter().rev().find_map(|l| match l {
            Line::Started { who, run, .. } if who == name => Some(*run),
            _ => None,
        });
        run.unwrap_or(0)
    }

    fn died(&self, n: usize) {
        self.read();
        let l = &self.limiters[n];
        let (t, run) = (self.now(), self.run_of(&l.name));
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

    async fn hit(&self, node: usize, fault: &Fault) -> Result<(), PlayError> {
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
                    self.died(node);
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
                    self.died(node);
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

    fn heal(&self, node: usize, fault: &Fault) -> Result<(), PlayError> {
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

    async fn play(&self) -> Result<Vec<Line>, PlayError> {
        for n in 0..self.limiters.len() {
            *self.limiters[n].running.borrow_mut() = Some(self.start(n, false)?);
        }
        // Ready when all serve; the trial's time begins then.
        for l in self.limiters.iter() {
            wait_until_ready(l).await?;
        }
        self.rules.start.set(clock());
        let load = tokio::task::spawn_local(load(
            self.limiters.clone(),
            self.rules.clone(),
            self.lines.clone(),
            self.trial.load.rate,
            self.trial.quota.clone(),
        ));
        self.play_faults().await?;
        load.abort();
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

    /// Begins and ends each fault at its moment, until the trial's time is over.
    async fn play_faults(&self) -> Result<(), PlayError> {
        let moments = fault_moments(&self.trial.faults);
        let mut hit: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let copies = self.trial.faults.iter().any(|f| f.disk == Disk::Older);
        let mut next = 0;
        let mut count = 0u64;
        while self.now() < self.trial.seconds {
            while next < moments.len() && self.now() >= moments[next].at {
                let Moment { fault, on, .. } = moments[next];
                next += 1;
                self.fault(fault, on, &mut hit).await?;
            }
            count += 1;
            self.throttle(count);
            if copies && count.is_multiple_of(50) {
                self.copy_disks(count);
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// A fault begins or ends; `hit` has the limiters that each active fault lies on.
    async fn fault(
        &self,
        n: usize,
        on: bool,
        hit: &mut BTreeMap<usize, Vec<usize>>,
    ) -> Result<(), PlayError> {
        let fault = &self.trial.faults[n];
        let what = serde_json::to_string(fault).unwrap_or_default();
        self.lines.borrow_mut().push(Line::Fault {
            t: self.now(),
            what,
            on,
        });
        self.fault_outside(fault, on);
        if on {
            let from = self.target(&fault.target);
            let to = fault.peer.as_ref().map(|p| self.target(p));
            self.rules.active.borrow_mut().push(Active {
                n,
                from: from.clone(),
                to,
            });
            for node in &from {
                self.hit(*node, fault).await?;
            }
            hit.insert(n, from);
        } else {
            self.rules.active.borrow_mut().retain(|a| a.n != n);
            for node in hit.remove(&n).unwrap_or_default() {
                self.heal(node, fault)?;
            }
        }
        Ok(())
    }

    /// What a fault does to the servers and the counter.
    fn fault_outside(&self, fault: &Fault, on: bool) {
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

    /// Little processor time: the target stands still for most of each tenth of a second.
    fn throttle(&self, count: u64) {
        for a in self
            .rules
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
                .rules
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

    /// What the voters' disks hold at this moment, as a power loss would leave it.
    fn copy_disks(&self, count: u64) {
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

/// One request on a connection of its own; the status, if a whole answer came.
async fn ask(to: SocketAddr, path: &str, headers: &[(&str, String)], wait: f64) -> Option<u16> {
    let asked = async {
        let stream = TcpStream::connect(to).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream))
                .await
                .ok()?;
        let driver = tokio::task::spawn_local(connection);
        let mut request = hyper::Request::get(path).header("host", "trial");
        for (key, value) in headers {
            request = request.header(*key, value);
        }
        let answer = sender
            .send_request(request.body(Empty::new()).ok()?)
            .await
            .ok()?;
        let status = answer.status().as_u16();
        let whole = answer.into_body().collect().await.is_ok();
        driver.abort();
        whole.then_some(status)
    };
    timeout(Duration::from_secs_f64(wait), asked).await.ok()?
}

/// Open loop: each invocation goes out at its moment, whatever became of the others.
async fn load(
    limiters: Rc<Vec<Limiter>>,
    rules: Rc<Rules>,
    lines: Rc<RefCell<Vec<Line>>>,
    rate: f64,
    quota: Option<Quota>,
) {
    let rate = quota
        .as_ref()
        .map_or(rate, |q| q.rate * q.times * q.customers as f64);
    if rate <= 0.0 {
        return;
    }
    let began = clock();
    let mut n = 0u64;
    loop {
        let at = began + n as f64 / rate;
        let wait = at - clock();
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait)).await;
        }
        let (limiters, rules, lines) = (limiters.clone(), rules.clone(), lines.clone());
        let number = n;
        n += 1;
        // With quotas whose and where are drawn; without, in turn.
        let (customer, limiter, gateways, first) = match &quota {
            None => (
                number % 7,
                number as usize % limiters.len(),
                limiters.len(),
                0,
            ),
            Some(q) => {
                let customer = (rules.chance() * q.customers as f64) as usize;
                let gateways = q.spread.min(limiters.len());
                let first = customer * 7 % limiters.len();
                let thick = q.thin && rules.chance() < 25.0 / (24.0 + gateways as f64);
                let door = if thick {
                    0
                } else {
                    (rules.chance() * gateways as f64) as usize
                };
                (
                    customer as u64,
                    (first + door) % limiters.len(),
                    gateways,
                    first,
                )
            }
        };
        tokio::task::spawn_local(async move {
            let l = &limiters[limiter];
            let sent = clock() - rules.start.get();
            let headers = [
                ("x-request-id", format!("{:016x}", number + 1)),
                ("x-priority-class", "read".to_owned()),
                ("x-tariff", "small".to_owned()),
                ("x-timeout-ms", "2000".to_owned()),
                (
                    "x-weight",
                    format!("units=1,spread={gateways},first={first}"),
                ),
                ("cookie", format!("account={:016x}", customer + 1)),
            ];
            let before = l.excused.get();
            let status = ask(l.client, "/api", &headers, 3.0).await;
            let t = clock() - rules.start.get();
            // A limiter that was killed, stopped or restarted meanwhile loses what it held, as the clients know.
            let excused = before > sent - 3.0 || l.excused.get() > sent - 3.0;
            if excused && status.is_none() {
                return;
            }
            let answers = u32::from(status.is_some());
            let (status, in_time) = (status.unwrap_or(0), t - sent < 2.5 || excused);
            lines.borrow_mut().push(Line::Answer {
                sent,
                t,
                status,
                answers,
                in_time,
                customer,
                limiter,
            });
        });
    }
}

#[cfg(test)]
mod tests;
