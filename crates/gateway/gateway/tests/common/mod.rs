//! Shared by the socket tests: starts the gateway with its own configuration, and fakes servers, the counter and
//! discovery. The fakes follow the published protocol and behave as a test tells them.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How a fake service reacts to requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Normal,
    /// Reads requests and never responds.
    Silent,
    /// Responds normally after a delay.
    Slow,
    /// Reads one complete message, then resets the connection.
    ReadThenReset,
    /// Responds that the request was not processed.
    Overloaded,
    /// Responds with an application error.
    ServerError,
    /// Counts the call, then closes the connection without a reply.
    CountThenReset,
    /// Sends a late, non-numeric reply to calls on the first name received; replies normally to all others.
    CorruptFirstName,
}

pub struct FakeService {
    pub address: SocketAddr,
    pub behavior: Arc<Mutex<Behavior>>,
    /// Complete messages received, as text.
    pub received: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<AtomicUsize>,
    /// Connections that have ended.
    pub closed_connections: Arc<AtomicUsize>,
    /// Lists to send on watches, one per line.
    pub list_lines: Arc<Mutex<Vec<String>>>,
}

/// Reads one HTTP message including its body; `None` at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let len = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    bytes.extend(body);
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Closes the connection; with unread input the kernel sends a reset.
pub fn reset(stream: TcpStream) {
    drop(stream);
}

/// Makes the kernel send a reset when the connection is closed.
pub fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A 200 response with this body.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The request id in a message.
pub fn request_id(message: &str) -> &str {
    let at = message.to_ascii_lowercase().find("x-request-id: ").unwrap() + "x-request-id: ".len();
    message[at..].split('\r').next().unwrap()
}

/// A listener whose backlog is full. The kernel drops further connection attempts until one connection is accepted; a
/// waiting client then connects with its next retry, a second later. Also returns the connection that fills the
/// backlog.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let backlog_filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, backlog_filler)
}

impl FakeService {
    pub fn start(
        behavior: Behavior,
        serve: impl Fn(&FakeService, TcpStream) + Send + Sync + 'static,
    ) -> Arc<FakeService> {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), behavior, serve)
    }

    pub fn on(
        listener: TcpListener,
        behavior: Behavior,
        serve: impl Fn(&FakeService, TcpStream) + Send + Sync + 'static,
    ) -> Arc<FakeService> {
        let service = Arc::new(FakeService {
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(behavior)),
            received: Arc::default(),
            connections: Arc::default(),
            closed_connections: Arc::default(),
            list_lines: Arc::default(),
        });
        let (shared, serve) = (service.clone(), Arc::new(serve));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let (shared, serve) = (shared.clone(), serve.clone());
                spawn(move || {
                    serve(&shared, stream);
                    shared.closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        service
    }

    pub fn server(behavior: Behavior) -> Arc<FakeService> {
        Self::start(behavior, |service, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                // Read first: a test may change the behavior as soon as it sees the message.
                let behavior = service.behavior();
                service.received.lock().unwrap().push(message);
                if behavior == Behavior::Slow {
                    sleep(Duration::from_millis(300));
                }
                let response = match behavior {
                    Behavior::Normal | Behavior::Slow => {
                        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Allowance-Used: 40\r\n\r\nserved"
                    }
                    Behavior::Overloaded => {
                        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Processed: 1\r\n\r\n"
                    }
                    Behavior::ServerError => "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno",
                    Behavior::Silent => continue,
                    _ => return reset(stream),
                };
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        })
    }

    /// A server that runs `script` for each message and ends the connection when it returns false.
    pub fn scripted(
        script: impl Fn(&FakeService, &str, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<FakeService> {
        Self::start(Behavior::Normal, move |service, mut stream| {
            while let Some(message) = read_message(&mut stream) {
                service.received.lock().unwrap().push(message.clone());
                if !script(service, &message, &mut stream) {
                    return;
                }
            }
        })
    }

    pub fn counter(behavior: Behavior) -> Arc<FakeService> {
        Self::start(behavior, |service, mut stream| {
            let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
            let mut stay_silent = false;
            let mut line = || {
                let mut line = String::new();
                std::io::BufRead::read_line(&mut reader, &mut line)
                    .ok()
                    .filter(|&n| n > 0)?;
                Some(line.trim_end().to_owned())
            };
            while let Some(count) = line() {
                let parts: usize = count.strip_prefix('*').unwrap().parse().unwrap();
                let call: Option<Vec<String>> =
                    (0..parts).map(|_| line().and_then(|_| line())).collect();
                let Some(call) = call else { return };
                let mut received = service.received.lock().unwrap();
                received.push(call.join(" "));
                let same_name =
                    |call_text: &String| call_text.split(' ').nth(1) == Some(call[1].as_str());
                let units = |call_text: &String| {
                    call_text.split(' ').nth(2).unwrap().parse::<f64>().unwrap()
                };
                let is_first_name = same_name(&received[0]);
                let total: f64 = received.iter().filter(|c| same_name(c)).map(units).sum();
                drop(received);
                let total = format!("{total}");
                // Replies are in order, so a connection that skipped one stays silent.
                stay_silent |= service.behavior() == Behavior::Silent;
                match service.behavior() {
                    _ if stay_silent => {}
                    Behavior::Normal => {
                        _ = stream.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes())
                    }
                    Behavior::Overloaded => _ = stream.write_all(b"-BUSY crowded\r\n"),
                    Behavior::CorruptFirstName if is_first_name => {
                        sleep(Duration::from_millis(300));
                        _ = stream.write_all(b"$3\r\n?!?\r\n");
                        stay_silent = true;
                    }
                    Behavior::CorruptFirstName => {
                        _ = stream.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes());
                    }
                    Behavior::CountThenReset => _ = stream.shutdown(Shutdown::Both),
                    _ => {}
                }
            }
        })
    }

    pub fn discovery(list: String, behavior: Behavior) -> Arc<FakeService> {
        let discovery = Self::start(behavior, |service, mut stream| {
            let Some(request) = read_message(&mut stream) else {
                return;
            };
            service.received.lock().unwrap().push(request);
            if service.behavior() == Behavior::Silent {
                return sleep(Duration::from_secs(60));
            }
            _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut sent_lines = 0;
            loop {
                let lines = service.list_lines.lock().unwrap()[sent_lines..].to_vec();
                sent_lines += lines.len();
                for line in lines
                    .iter()
                    .chain(lines.is_empty().then_some(&String::new()))
                {
                    if stream
                        .write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
                        .is_err()
                    {
                        return;
                    }
                }
                sleep(Duration::from_millis(20));
            }
        });
        discovery.list_lines.lock().unwrap().push(list);
        discovery
    }

    pub fn behavior(&self) -> Behavior {
        *self.behavior.lock().unwrap()
    }

    pub fn received_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

pub fn endpoint_list(
    revision: u64,
    complete: bool,
    servers: &[(usize, SocketAddr, &str)],
) -> String {
    let member = |&(id, address, phase): &(usize, SocketAddr, &str)| {
        format!(
            r#"{{"id":"s-{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,
                "phase":"{phase}","size":1,"up_since_ms":0}}"#
        )
    };
    // A list is sent on one line.
    let members: Vec<_> = servers
        .iter()
        .map(|m| member(m).replace('\n', ""))
        .collect();
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// Serializes process starts and binds. Between fork and exec a child process holds every descriptor of this process,
/// so addresses and connections closed meanwhile would stay open.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

pub fn spawn_alone(command: &mut Command) -> Child {
    let _lock = SPAWN_LOCK.lock();
    command.spawn().unwrap()
}

/// Returns a free port on a loopback address of its own, so that no other process takes the port.
pub fn free_address() -> SocketAddr {
    const HOSTS: usize = 250;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let _lock = SPAWN_LOCK.lock();
    let process = 1 + std::process::id() % 250;
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let (network, host) = (1 + number / HOSTS, 1 + number % HOSTS);
    let host = format!("127.{process}.{network}.{host}:0");
    TcpListener::bind(host).unwrap().local_addr().unwrap()
}

pub const SETTINGS: &str = r#"{"classes":[
  {"name":"read","effect":"free","group":"all",
   "goalTimeS":0.6,"deadlineS":2.0,"importance":1,"lateShare":0,"windowS":0},
  {"name":"write","effect":"guarded","group":"all",
   "goalTimeS":0.5,"deadlineS":1.5,"importance":3,"lateShare":0,"windowS":2.5},
  {"name":"once","effect":"single_shot","group":"all",
   "goalTimeS":0.6,"deadlineS":2.0,"importance":1,"lateShare":0,"windowS":0}],
 "contracts":[{"name":"small","rate":1000,"burst":1000,"beyondCosts":1},
              {"name":"tiny","rate":0.1,"burst":1,"beyondCosts":1}],
 "discovery":"pushed","domain":{"countWaitS":0.01,"largest":1,"sharedCounter":true},
 "failureDomains":["a"],"fleetSize":1,
 "limits":{"maxRetryAfterS":0.5,"retryAfter":true,"tryLimit":6,"dialTimeoutS":0.25,"keepaliveS":1.0},
 "rules":{"coldFrom":0.2,"coldS":10,"fallMultiple":4,"answerSlackS":0.016},"slotNo":0,"zone":"a"}"#;

/// The gateway process, killed when the test ends.
pub struct Gateway {
    pub child: Option<Child>,
    pub address: SocketAddr,
    pub config: PathBuf,
}

impl Gateway {
    pub fn with_discovery(
        initial_list: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
        sockets: usize,
    ) -> Gateway {
        Self::start_ready(initial_list, discovery, counter, sockets, SETTINGS)
    }

    pub fn start_ready(
        initial_list: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
        sockets: usize,
        settings: &str,
    ) -> Gateway {
        let mut gateway = Gateway::start(initial_list, discovery, counter, sockets, settings);
        let started_at = Instant::now();
        while gateway
            .send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_none_or(|a| !a.contains(" 200 "))
        {
            if started_at.elapsed() > Duration::from_secs(10) {
                gateway.signal("-KILL");
                let stderr =
                    String::from_utf8_lossy(&gateway.wait_for_output().stderr).into_owned();
                panic!("the gateway was not ready within 10 s: {stderr}");
            }
            sleep(Duration::from_millis(10));
        }
        gateway
    }

    /// Starts a gateway without waiting until it is ready.
    pub fn start(
        initial_list: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
        sockets: usize,
        settings: &str,
    ) -> Gateway {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let address = free_address();
        let name = format!(
            "dunespur-{}-{}.json",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::SeqCst)
        );
        let config = std::env::temp_dir().join(name);
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","counter":"{counter}",
                "seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets},"memory_mb":32}},
                "known":{initial_list},"settings":{settings}}}"#
        );
        std::fs::write(&config, text).unwrap();
        let child = start_within(&config, sockets);
        Gateway {
            child: Some(child),
            address,
            config,
        }
    }

    /// Starts a gateway with these servers and with a normally behaving counter and discovery.
    pub fn with_servers(servers: &[SocketAddr]) -> (Gateway, Arc<FakeService>, Arc<FakeService>) {
        Self::with_sockets(servers, 256, SETTINGS)
    }

    pub fn with_settings(
        servers: &[SocketAddr],
        settings: &str,
    ) -> (Gateway, Arc<FakeService>, Arc<FakeService>) {
        Self::with_sockets(servers, 256, settings)
    }

    pub fn with_sockets(
        servers: &[SocketAddr],
        sockets: usize,
        settings: &str,
    ) -> (Gateway, Arc<FakeService>, Arc<FakeService>) {
        let live: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(id, &a)| (id, a, "Ready"))
            .collect();
        let (initial_list, counter) = (
            endpoint_list(1, true, &live),
            FakeService::counter(Behavior::Normal),
        );
        let discovery = FakeService::discovery(initial_list.clone(), Behavior::Normal);
        (
            Gateway::start_ready(
                &initial_list,
                discovery.address,
                counter.address,
                sockets,
                settings,
            ),
            discovery,
            counter,
        )
    }

    pub fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(8)))
            .unwrap();
        Some(stream)
    }

    /// Sends one message on its own connection and returns the response; `None` if the connection ended without one.
    pub fn send(&self, text: &str) -> Option<String> {
        let mut stream = self.connect()?;
        stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut stream)
    }

    pub fn send_read(&self) -> String {
        self.send(&invocation("GET", "read", 2000, "")).unwrap()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        assert!(spawn_alone(Command::new("kill").args([name, &pid]))
            .wait()
            .unwrap()
            .success());
    }

    /// Runs `action` while the gateway is stopped by SIGSTOP, so that everything that happens meanwhile reaches it at
    /// once.
    pub fn while_stopped(&self, action: impl FnOnce()) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.as_ref().unwrap().id());
        wait_until("the gateway is stopped", || {
            std::fs::read_to_string(&stat).unwrap().contains(") T ")
        });
        action();
        self.signal("-CONT");
    }

    /// An idle client connection that has received one response.
    pub fn idle_client(&self) -> TcpStream {
        let mut stream = self.connect().unwrap();
        stream
            .write_all(invocation("GET", "read", 2000, "").as_bytes())
            .unwrap();
        assert!(read_message(&mut stream).unwrap().ends_with("served"));
        stream
    }

    pub fn wait_for_output(&mut self) -> Output {
        self.child.take().unwrap().wait_with_output().unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let ended = child.try_wait().unwrap();
            assert!(
                std::thread::panicking() || ended.is_none(),
                "the gateway exited before its test ended"
            );
            _ = child.kill();
            match child.wait_with_output() {
                Ok(output) if std::thread::panicking() => {
                    eprintln!("{}", String::from_utf8_lossy(&output.stderr));
                }
                _ => {}
            }
        }
        _ = std::fs::remove_file(&self.config);
    }
}

pub fn start(config: &PathBuf) -> Child {
    start_by(Command::new(env!("CARGO_BIN_EXE_dunespur-gateway")), config)
}

/// Starts the gateway with a limit on its file descriptors.
pub fn start_within(config: &PathBuf, sockets: usize) -> Child {
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n {sockets}; exec \"$0\""),
        env!("CARGO_BIN_EXE_dunespur-gateway"),
    ]);
    start_by(command, config)
}

fn start_by(mut command: Command, config: &PathBuf) -> Child {
    spawn_alone(
        command
            .env("RELAY_CONFIG", config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped()),
    )
}

pub fn invocation(method: &str, operation: &str, timeout_ms: u32, body: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} /api?n=7 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id:016x}\r\n\
         X-Priority-Class: {operation}\r\n\
         X-Tariff: small\r\nCookie: account=00000000b4d65521\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Weight: units=1,spread=1,first=0\r\nIdempotency-Key: 5c0f6e1a\r\n{length}\r\n{body}"
    )
}

/// Runs a trial whose steps have to follow each other in time until the machine lets it; returns the first result that is
/// not None.
pub fn first_trial_in_time<T>(trial: impl Fn() -> Option<T>) -> T {
    const MAX_TRIALS: usize = 5;
    (0..MAX_TRIALS)
        .find_map(|_| trial())
        .expect("the machine should run the steps of one of five trials in time")
}

pub fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(
            started_at.elapsed() < Duration::from_secs(8),
            "condition not met within 8 s: {condition}"
        );
        sleep(Duration::from_millis(5));
    }
}
