//! Measures the throughput of one chain of three core members: budget lease requests, at a given number of programs.
//!
//! Each member has its own thread, control state and file. Messages are encoded as between processes, but pass through
//! channels instead of sockets. Every member keeps a number of requests ("adds") under way.
//!
//! `cargo run --release -p dunespur-emulator --example chain_throughput -- PROGRAMS ADDS UNDER_WAY [gateways]`

use dunespur_budget::{CounterChange, CounterRequest, LimiterId};
use dunespur_chain_replication::{
    Input, Member, MemberConfig, MemberId, Message, Output, Peer, View, Write,
};
use dunespur_control_state::{ControlState, Operation};
use dunespur_storage::core::CoreDisk;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const MEMBERS: usize = 3;
const DEFAULT_GATEWAYS: u64 = 40;
/// Units that an add requests.
const UNITS: u64 = 100;
/// Budget of a program, in units.
const BUDGET: u64 = 1 << 40;
/// Number of limiters of one program.
const LIMITERS_PER_PROGRAM: u64 = 4;

/// An event that a member's thread receives.
enum ThreadEvent {
    /// An encoded message from another member arrived.
    Message { from: MemberId, bytes: Vec<u8> },
    /// A batch of writes is on the disk.
    Persisted { batch: u64 },
}

/// Writes that are synced to the disk together.
struct Batch {
    number: u64,
    writes: Vec<Write>,
}

/// Load of a run: number of programs, adds of all members, adds under way at each member, and gateways.
#[derive(Clone, Copy)]
struct Load {
    programs: u64,
    adds: u64,
    under_way: u64,
    gateways: u64,
}

/// A member with its state, its connections to disk and peers, and its counters.
struct Runner {
    /// Processor time of the disk's thread, in nanoseconds.
    disk_used: Arc<AtomicU64>,
    number: usize,
    peers: Vec<Peer>,
    member: Member,
    state: ControlState,
    applied: u64,
    disk: Sender<Batch>,
    senders: Vec<Sender<ThreadEvent>>,
    started: Instant,
    load: Load,
    submitted: u64,
    answered: u64,
    snapshots: u64,
    snapshot_bytes: usize,
    snapshot_time: Duration,
    batches: u64,
    sent_bytes: u64,
    dropped: u64,
}

impl Runner {
    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX) + 1
    }

    fn step(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        let mut outputs = Vec::new();
        while let Some(input) = inputs.pop_front() {
            let now = self.now();
            self.member.step(input, now, &mut outputs);
            for output in outputs.drain(..) {
                self.execute(output, &mut inputs);
            }
        }
    }

    fn execute(&mut self, output: Output, inputs: &mut VecDeque<Input>) {
        match output {
            Output::Send { to, message } => self.send(&to, &message),
            Output::Persist { batch, writes } => {
                self.batches += 1;
                let _ = self.disk.send(Batch {
                    number: batch,
                    writes,
                });
            }
            Output::Apply {
                index,
                payload,
                ticket,
            } => {
                let operation: Operation =
                    postcard::from_bytes(&payload).expect("decoding an operation");
                self.state.apply(&operation, &mut Vec::new());
                self.applied = index;
                if ticket.is_some() {
                    self.answered += 1;
                }
            }
            Output::Dropped { .. } => {
                self.dropped += 1;
                self.answered += 1;
            }
            Output::TakeSnapshot => {
                let started = Instant::now();
                let bytes = self.state.snapshot();
                self.snapshot_time += started.elapsed();
                self.snapshots += 1;
                self.snapshot_bytes = bytes.len();
                inputs.push_back(Input::SnapshotTaken {
                    index: self.applied,
                    bytes,
                });
            }
            Output::InstallSnapshot { index, bytes } => {
                self.state = ControlState::restore(&bytes)
                    .expect("restoring the control state from a snapshot");
                self.applied = index;
            }
            Output::SendToAddress { .. }
            | Output::ReadReady { .. }
            | Output::ViewChanged { .. } => {}
        }
    }

    fn send(&mut self, to: &Peer, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("encoding a message");
        self.sent_bytes += bytes.len() as u64;
        let from = self.peers[self.number].id.clone();
        let index = self
            .peers
            .iter()
            .position(|peer| peer.id == to.id)
            .expect("the receiver of a message is a member");
        let _ = self.senders[index].send(ThreadEvent::Message { from, bytes });
    }

    fn submit(&mut self) {
        let serial = self.submitted * MEMBERS as u64 + self.number as u64;
        let program = serial % self.load.programs;
        let turn = serial / self.load.programs;
        let gateway = (program + turn % LIMITERS_PER_PROGRAM) % self.load.gateways;
        let request = CounterRequest {
            program: format!("program-{program:012}"),
            budget: BUDGET,
            limiter: LimiterId {
                node: format!("front-zone-a-{gateway}"),
                incarnation: 1,
            },
            sequence: serial + 1,
            used: UNITS / 2,
            change: CounterChange::Lease {
                needed: UNITS,
                wanted: UNITS,
                returned: 0,
            },
            at_ms: self.now(),
        };
        self.submitted += 1;
        let payload =
            postcard::to_stdvec(&Operation::Budget(request)).expect("encoding an operation");
        self.step(Input::Submit {
            ticket: self.submitted,
            payload,
        });
    }

    /// Submits adds until `adds` more of this member's adds are answered.
    fn submit_adds(&mut self, adds: u64, queue: &Receiver<ThreadEvent>) {
        let end = self.answered + adds;
        while self.answered < end {
            let target = (self.answered + self.load.under_way).min(end);
            while self.submitted < target {
                self.submit();
            }
            self.wait(queue);
        }
    }

    /// Handles the events of the queue; waits for the first one until the member's next tick, 20 ms at most.
    fn wait(&mut self, queue: &Receiver<ThreadEvent>) {
        let timeout_ms = self.member.next_tick().saturating_sub(self.now()).min(20);
        match queue.recv_timeout(Duration::from_millis(timeout_ms)) {
            Ok(first) => {
                self.handle(first);
                while let Ok(next) = queue.try_recv() {
                    self.handle(next);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if self.member.next_tick() <= self.now() {
            self.step(Input::Tick);
        }
    }

    fn handle(&mut self, event: ThreadEvent) {
        match event {
            ThreadEvent::Message { from, bytes } => {
                let message: Message = postcard::from_bytes(&bytes).expect("decoding a message");
                self.step(Input::Received { from, message });
            }
            ThreadEvent::Persisted { batch } => self.step(Input::Persisted { batch }),
        }
    }
}

/// Writes batches as a member's disk thread does, and stores the thread's processor time in `used`, in nanoseconds.
fn disk_thread(
    disk: CoreDisk,
    queue: Receiver<Batch>,
    answers: Sender<ThreadEvent>,
    used: &AtomicU64,
) {
    while let Ok(batch) = queue.recv() {
        disk.write(&batch.writes)
            .expect("writing a batch to the disk");
        used.store(
            u64::try_from(processor_time().as_nanos()).unwrap_or(u64::MAX),
            Ordering::Relaxed,
        );
        if answers
            .send(ThreadEvent::Persisted {
                batch: batch.number,
            })
            .is_err()
        {
            return;
        }
    }
}

/// Processor time of the calling thread.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let [programs, adds, under_way, rest @ ..] = arguments.as_slice() else {
        eprintln!("usage: chain_throughput PROGRAMS ADDS UNDER_WAY [GATEWAYS]");
        return;
    };
    let gateways = rest.first().copied().unwrap_or(DEFAULT_GATEWAYS);
    let load = Load {
        programs: *programs,
        adds: *adds,
        under_way: *under_way,
        gateways,
    };
    run(load);
}

fn run(load: Load) {
    let folder = std::env::temp_dir().join(format!("chain-throughput-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("creating the temporary folder");
    let paths: Vec<PathBuf> = (0..MEMBERS)
        .map(|number| folder.join(format!("{number}.redb")))
        .collect();
    let disks: Vec<_> = paths
        .iter()
        .map(|path| CoreDisk::open(path).expect("opening a member's file"))
        .collect();
    let peers: Vec<Peer> = (0..MEMBERS)
        .map(|number| Peer {
            id: MemberId {
                node: format!("front-zone-a-{number}"),
                disk: number as u64 + 1,
            },
            address: SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16)),
        })
        .collect();
    let chain = peers.iter().map(|peer| peer.id.clone()).collect();
    let view = View {
        number: 1,
        members: peers.clone(),
        chain,
    };
    let channels: Vec<(Sender<ThreadEvent>, Receiver<ThreadEvent>)> =
        (0..MEMBERS).map(|_| channel()).collect();
    let senders: Vec<_> = channels.iter().map(|(sender, _)| sender.clone()).collect();
    let queues = channels.into_iter().map(|(_, queue)| queue);
    let started = Instant::now();
    let filled = Arc::new(Barrier::new(MEMBERS));
    let finished = Arc::new(Barrier::new(MEMBERS));
    let threads: Vec<_> = queues
        .zip(disks)
        .enumerate()
        .map(|(number, (queue, opened))| {
            let (disk, durable) = (opened.disk, opened.contents);
            let config = MemberConfig {
                peer: peers[number].clone(),
                may_bootstrap: true,
                seed: number as u64 + 7,
            };
            let member = Member::new(config, durable, 1);
            let (batches, batch_queue) = channel();
            let disk_used = Arc::new(AtomicU64::new(0));
            let (answers, counted) = (senders[number].clone(), disk_used.clone());
            thread::spawn(move || disk_thread(disk, batch_queue, answers, &counted));
            let runner = Runner {
                disk_used,
                number,
                peers: peers.clone(),
                member,
                state: ControlState::default(),
                applied: 0,
                disk: batches,
                senders: senders.clone(),
                started,
                load,
                submitted: 0,
                answered: 0,
                snapshots: 0,
                snapshot_bytes: 0,
                snapshot_time: Duration::ZERO,
                batches: 0,
                sent_bytes: 0,
                dropped: 0,
            };
            let (view, path) = (view.clone(), paths[number].clone());
            let (filled, finished) = (filled.clone(), finished.clone());
            thread::spawn(move || member_thread(runner, queue, view, &path, &filled, &finished))
        })
        .collect();
    drop(senders);
    for thread in threads {
        thread.join().expect("joining a member's thread");
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap_or_default();
    println!("three members in one process: {peak}");
    let _ = std::fs::remove_dir_all(&folder);
}

/// Serves the chain until all members have reached the barrier, as the other members may still need this one.
fn serve_until_barrier(runner: &mut Runner, queue: &Receiver<ThreadEvent>, barrier: &Arc<Barrier>) {
    let reached = Arc::new(AtomicBool::new(false));
    let waiter = {
        let (barrier, reached) = (barrier.clone(), reached.clone());
        thread::spawn(move || {
            barrier.wait();
            reached.store(true, Ordering::Relaxed);
        })
    };
    while !reached.load(Ordering::Relaxed) {
        runner.wait(queue);
    }
    waiter
        .join()
        .expect("joining the thread that waits at the barrier");
}

fn member_thread(
    mut runner: Runner,
    queue: Receiver<ThreadEvent>,
    view: View,
    path: &std::path::Path,
    filled: &Arc<Barrier>,
    finished: &Arc<Barrier>,
) {
    if runner.number == 0 {
        runner.step(Input::Bootstrap { view });
    }
    while !runner.member.is_up_to_date(runner.now()) {
        runner.wait(&queue);
    }
    runner.submit_adds(runner.load.programs.div_ceil(MEMBERS as u64), &queue);
    serve_until_barrier(&mut runner, &queue, filled);
    let (started, used_before) = (Instant::now(), processor_time());
    let disk_before = runner.disk_used.load(Ordering::Relaxed);
    let (batches, bytes, snapshots) = (runner.batches, runner.sent_bytes, runner.snapshots);
    runner.snapshot_time = Duration::ZERO;
    let adds = runner.load.adds / MEMBERS as u64;
    runner.submit_adds(adds, &queue);
    let own_time = started.elapsed();
    serve_until_barrier(&mut runner, &queue, finished);
    let took = started.elapsed();
    let used = processor_time() - used_before;
    let disk_used = Duration::from_nanos(runner.disk_used.load(Ordering::Relaxed) - disk_before);
    let total_adds = (adds * MEMBERS as u64) as f64;
    let file = std::fs::metadata(path).map_or(0, |metadata| metadata.len());
    println!(
        "member {}: {} programs, {} adds in {:.2} s (own {:.2} s): {:.0}/s; processor {:.1} us an add + {:.1} us for the disk; \
         {:.1} adds a sync; sent {:.0} B an add; {} snapshots of {:.2} MB, {:.1} ms each; file {:.1} MB; dropped {}; view {}",
        runner.number,
        runner.state.counters().programs(),
        total_adds,
        took.as_secs_f64(),
        own_time.as_secs_f64(),
        total_adds / took.as_secs_f64(),
        used.as_secs_f64() * 1e6 / total_adds,
        disk_used.as_secs_f64() * 1e6 / total_adds,
        total_adds / (runner.batches - batches).max(1) as f64,
        (runner.sent_bytes - bytes) as f64 / total_adds,
        runner.snapshots - snapshots,
        runner.snapshot_bytes as f64 / 1e6,
        runner.snapshot_time.as_secs_f64() * 1e3 / (runner.snapshots - snapshots).max(1) as f64,
        file as f64 / 1e6,
        runner.dropped,
        runner.member.view().map_or(0, |view| view.number),
    );
}
