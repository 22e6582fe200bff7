//! Stores and reads turns: sends the requests of the coordinators of `dunespur-turn-replication` to the stores.

use crate::clock::wall_clock_ms;
use crate::directory::Directory;
use crate::messages::{encode, Reply, Request};
use crate::request_events;
use dunespur_proxy::{CompletedTurn, History};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::read_coordinator::{ReadCoordinator, ReadOutcome};
use dunespur_turn_replication::turn::Turn;
use dunespur_turn_replication::write_coordinator::{
    WriteCoordinator, WriteOutcome, WRITE_DEADLINE_MS,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Timeout of a call to one store, after which the call counts as failed.
const STORE_TIMEOUT: Duration = Duration::from_millis(WRITE_DEADLINE_MS);
/// Delay after which a client may retry if its history could not be read, in milliseconds.
const HISTORY_RETRY_MS: u64 = 300;

/// A store's answer to one request for a turn.
struct StoreAnswer {
    store: String,
    /// Id of the turn that was requested or stored.
    id: String,
    reply: Option<StoreReply>,
}

/// A gateway's client for the stores.
pub struct StoreClient {
    directory: Rc<Directory>,
    required_replicas: usize,
}

impl StoreClient {
    /// Creates a client. `required_replicas` is the number of stores that must have a turn on disk before it counts as
    /// stored.
    pub fn new(directory: Rc<Directory>, required_replicas: usize) -> StoreClient {
        StoreClient {
            directory,
            required_replicas,
        }
    }

    /// Reads the messages of the turn `previous` and of all turns that it continues, oldest first.
    pub async fn history(&self, program: &str, previous: &str) -> History {
        let stores = self.stores();
        if stores.is_empty() {
            return History::Unavailable {
                retry_after_ms: HISTORY_RETRY_MS,
            };
        }
        let clock = self.directory.clock();
        let mut read = ReadCoordinator::new(
            previous,
            program,
            &stores,
            self.required_replicas,
            clock.now(),
        );
        let (answers, mut queue) = mpsc::unbounded_channel();
        loop {
            while let Some(query) = read.poll() {
                request_events::chain_request(previous, &query.id, &query.store);
                let request = StoreRequest::Chain {
                    id: query.id.clone(),
                };
                self.call(&stores, query.store, query.id, request, &answers);
            }
            match read.take_outcome() {
                Some(ReadOutcome::Chain(turns)) => return History::Found(messages_of(turns)),
                Some(ReadOutcome::Unknown) => return History::Unknown,
                Some(ReadOutcome::Uncertain | ReadOutcome::TooLong) => {
                    return History::Unavailable {
                        retry_after_ms: HISTORY_RETRY_MS,
                    };
                }
                None => {}
            }
            let next_tick = clock.instant(read.next_due().unwrap_or(clock.now()));
            tokio::select! {
                Some(answer) = queue.recv() => {
                    let now = clock.now();
                    if request_events::enabled() {
                        request_events::chain_reply(previous, &answer.store, answer.reply.as_ref());
                    }
                    match answer.reply {
                        Some(reply) => read.replied(&answer.store, &answer.id, reply, now),
                        None => read.failed(&answer.store, &answer.id, now),
                    }
                }
                () = sleep_until(next_tick.into()) => read.tick(clock.now()),
            }
        }
    }

    /// Stores a turn; true once `required_replicas` stores have it on disk.
    pub async fn persist(&self, completed: CompletedTurn) -> bool {
        let stores = self.stores();
        let clock = self.directory.clock();
        let turn = Turn {
            id: completed.id,
            previous: completed.previous,
            program: completed.program,
            input: completed.input,
            output: completed.output,
            ended_at_ms: wall_clock_ms(),
            retention_ms: completed.retention_ms,
        };
        let started_at = clock.now();
        let mut write =
            WriteCoordinator::new(&turn.header(), &stores, self.required_replicas, started_at);
        let (answers, mut queue) = mpsc::unbounded_channel();
        loop {
            while let Some(put) = write.poll() {
                request_events::put(&turn.id, &put.store, put.hint.as_deref());
                let request = StoreRequest::Put {
                    turn: turn.clone(),
                    hint: put.hint,
                };
                self.call(&stores, put.store, turn.id.clone(), request, &answers);
            }
            if let Some(outcome) = write.outcome() {
                let persisted = outcome == WriteOutcome::Stored;
                let took_ms = clock.now() - started_at;
                request_events::persisted(
                    &turn.id,
                    turn.previous.as_deref(),
                    &turn.program,
                    persisted,
                    took_ms,
                );
                return persisted;
            }
            let next_tick = clock.instant(write.next_due().unwrap_or(clock.now()));
            tokio::select! {
                Some(answer) = queue.recv() => {
                    let now = clock.now();
                    if request_events::enabled() {
                        request_events::put_reply(&turn.id, &answer.store, answer.reply.as_ref());
                    }
                    match answer.reply {
                        Some(StoreReply::Stored) => write.acknowledged(&answer.store, now),
                        _ => write.failed(&answer.store, now),
                    }
                }
                () = sleep_until(next_tick.into()) => write.tick(clock.now()),
            }
        }
    }

    fn stores(&self) -> Vec<StoreEntry> {
        self.directory.known().stores.values().cloned().collect()
    }

    /// Calls one store in the background; the answer goes to `answers`, unless its receiver is gone.
    fn call(
        &self,
        stores: &[StoreEntry],
        store: String,
        id: String,
        request: StoreRequest,
        answers: &mpsc::UnboundedSender<StoreAnswer>,
    ) {
        let answers = answers.clone();
        let Some(address) = store_address(stores, &store) else {
            let _ = answers.send(StoreAnswer {
                store,
                id,
                reply: None,
            });
            return;
        };
        let directory = self.directory.clone();
        spawn_local(async move {
            let reply = call_store(&directory, address, request, STORE_TIMEOUT).await;
            let _ = answers.send(StoreAnswer { store, id, reply });
        });
    }
}

/// Calls the store at an address; `None` if it does not answer within `limit`.
pub async fn call_store(
    directory: &Directory,
    address: SocketAddr,
    request: StoreRequest,
    limit: Duration,
) -> Option<StoreReply> {
    match directory
        .call(address, encode(&Request::Store(request)), limit)
        .await
    {
        Ok(Reply::Store(reply)) => Some(reply),
        _ => None,
    }
}

/// Address of the store with this name.
pub fn store_address(stores: &[StoreEntry], name: &str) -> Option<SocketAddr> {
    stores
        .iter()
        .find(|store| store.name == name)
        .map(|store| store.address)
}

fn messages_of(turns: Vec<Turn>) -> Vec<bytes::Bytes> {
    turns
        .into_iter()
        .flat_map(|turn| [turn.input, turn.output])
        .collect()
}
