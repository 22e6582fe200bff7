//! What the data plane asks of its node. All decisions outside HTTP lie behind it.

use bytes::Bytes;
use dunespur_configuration::Table;
use dunespur_routing::{Ask, Choice, Outcome};
use std::future::Future;
use std::rc::Rc;

/// The node that a [`crate::Front`] belongs to.
pub trait Node: 'static {
    /// The configuration in force; none before the first has come.
    fn table(&self) -> Option<Rc<Table>>;

    /// Whether the configuration may be another one by now, as nothing was heard of it for too long.
    fn is_out_of_touch(&self) -> bool;

    /// Ready once what the node knows has changed, the configuration or anything else.
    fn next_change(&self) -> impl Future<Output = ()>;

    /// Whether new connections of clients are wanted.
    fn ready(&self) -> bool;

    /// The server for a request. With [`Choice::Send`] the request counts as in flight there until `finished`.
    fn choose(&self, ask: &Ask) -> Choice;

    /// The first event of a stream, or the head of a plain answer, has come.
    fn first_event(&self, key: u64);

    /// What became of a request that was sent. Called once for each ticket, whatever happens.
    fn finished(&self, key: u64, outcome: Outcome);

    /// Sets aside the most that a turn may generate. A future that is dropped before it is ready leaves nothing
    /// set aside.
    fn reserve(&self, turn: TurnAsk<'_>) -> impl Future<Output = Reserve>;

    /// Tokens of a turn that are about to be handed to its client.
    fn used(&self, turn: TurnKey, tokens: u64);

    /// A turn is over: what it has not used is free. Called once for each admitted turn, whatever happens.
    fn release(&self, turn: TurnKey);

    /// What a turn goes on from.
    fn history(&self, program: &str, previous: &str) -> impl Future<Output = History>;

    /// Keeps a turn; true once it is safe. Only then does its client get the last byte.
    fn keep(&self, turn: KeptTurn) -> impl Future<Output = bool>;
}

/// A turn that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnAsk<'a> {
    /// The agent program.
    pub program: &'a str,
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most that this turn generates.
    pub most: u64,
}

/// Names an admitted turn until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TurnKey(pub u64);

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserve {
    /// It may.
    Admitted(TurnKey),
    /// The budget is spent: it never runs.
    Spent,
    /// Not now: it isn't known whether the budget allows it.
    Wait {
        /// When the client may ask again.
        retry_after_ms: u64,
    },
}

/// The kept turns that a turn goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// The inputs and outputs of the chain, from the oldest on.
    Found(Vec<Bytes>),
    /// There is no such turn.
    Unknown,
    /// Not all that may hold it could be asked.
    Unsure {
        /// When the client may ask again.
        retry_after_ms: u64,
    },
}

/// A turn that was answered whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptTurn {
    /// Its `X-Dunespur-Request-Id`.
    pub id: String,
    /// The turn that it went on from.
    pub previous: Option<String>,
    /// The agent program; empty where the client named none.
    pub program: String,
    /// What the client sent.
    pub input: Bytes,
    /// The data of each event, followed by a line feed.
    pub output: Bytes,
    /// How long it is to be kept from now on.
    pub retention_ms: u64,
}
