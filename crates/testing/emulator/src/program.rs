//! Agent programs: lines of turns, tools between them, sub-agents side by side, a budget for all.

use crate::client::{Ask, Client, Kind, Served, Turn};
use crate::digest::Digester;
use crate::identity::RequestId;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// A turn that has failed with all its tries is sent anew at most so often.
const MOST_RENEWALS: u32 = 2;
/// The pause before, in milliseconds: at least, and how much more at most.
const RENEWAL_PAUSE_MS: u64 = 100;
const RENEWAL_SPREAD_MS: u64 = 300;

/// A part of prompts that many programs share.
#[derive(Clone, Debug)]
pub struct SharedPart {
    /// The same id is the same text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A tool that is called after each turn but the last.
#[derive(Clone, Debug)]
pub struct Tool {
    /// Path and query.
    pub target: String,
    /// What the route of the target allows.
    pub kind: Kind,
    /// The client waits for the answer so long, in milliseconds.
    pub deadline_ms: u64,
    /// Attempts beyond the first.
    pub retries: u32,
}

/// Sub-agents, started side by side.
#[derive(Clone, Copy, Debug)]
pub struct SubAgents {
    /// After that many turns of the main line.
    pub after_turn: u32,
    /// How many there are.
    pub count: u32,
    /// Turns that each takes.
    pub turns: u32,
}

/// What a program is to do.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// The host that is asked.
    pub host: String,
    /// Path of its turns.
    pub target: String,
    /// Whether the system keeps what was said.
    pub persisted: bool,
    /// Turns of the main line.
    pub turns: u32,
    /// What its prompts begin with.
    pub shared: SharedPart,
    /// New input of each turn.
    pub input_bytes: usize,
    /// New input of each turn in tokens.
    pub input_tokens: u64,
    /// The most that a turn generates, and how much one event holds.
    pub most: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Its token budget.
    pub budget: u64,
    /// Tools called after each turn but the last.
    pub tools: Vec<Tool>,
    /// Sub-agents in the place of tools, after one of the turns.
    pub sub_agents: Option<SubAgents>,
    /// The model that is to answer.
    pub model: String,
    /// The client waits for a turn's answer so long, in milliseconds.
    pub deadline_ms: u64,
    /// Latency target of the first event, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between two events that serves the client, in milliseconds.
    pub pause_ms: u64,
    /// Tries of a turn beyond the first.
    pub retries: u32,
    /// Time until the program should be over.
    pub finish_ms: u64,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All turns were answered.
    Finished,
    /// A 402: the budget is spent.
    Spent,
    /// A turn or a tool failed; the status of its last answer.
    Failed {
        /// Of the last answer, if there was one.
        status: Option<u16>,
    },
}

/// What became of a program.
#[derive(Clone, Debug)]
pub struct Played {
    /// The program's id.
    pub program: String,
    /// How it ended.
    pub end: End,
    /// The turns answered whole, of all lines.
    pub turns: Vec<TurnDone>,
    /// From its start to its end, in milliseconds.
    pub took_ms: u64,
    /// The main line as it ended.
    pub line: Line,
}

/// A turn answered whole.
#[derive(Clone, Debug)]
pub struct TurnDone {
    /// The id of the attempt that was answered.
    pub request: RequestId,
    /// From the first attempt to the first event, in milliseconds.
    pub first_ms: u64,
    /// From the first attempt to the last event, in milliseconds.
    pub took_ms: u64,
    /// Events in the answer.
    pub events: usize,
    /// How many attempts were made.
    pub tries: u32,
}

/// One line of turns: what was said so far, and the turn that the next one goes on from.
#[derive(Clone, Debug)]
pub struct Line {
    plan: ProgramPlan,
    program: String,
    session: String,
    previous: Option<RequestId>,
    said: Digester,
    /// Kept only where the client has to send it all.
    transcript: BytesMut,
    parts: Vec<String>,
    prompt_tokens: u64,
    started: Instant,
}

impl Line {
    /// The main line of a new program.
    #[must_use]
    pub fn new(client: &Client, plan: &ProgramPlan) -> Line {
        Line {
            plan: plan.clone(),
            program: client.identities().short(),
            session: client.identities().short(),
            previous: None,
            said: Digester::default(),
            transcript: BytesMut::new(),
            parts: vec![format!("{}:{}", plan.shared.id, plan.shared.tokens)],
            prompt_tokens: plan.shared.tokens,
            started: Instant::now(),
        }
    }

    /// A line that goes on from here as another session.
    #[must_use]
    pub fn branch(&self, client: &Client) -> Line {
        Line {
            session: client.identities().short(),
            ..self.clone()
        }
    }

    /// The program's id.
    #[must_use]
    pub fn program(&self) -> &str {
        &self.program
    }

    /// The turn that the next one goes on from.
    #[must_use]
    pub fn previous(&self) -> Option<RequestId> {
        self.previous
    }

    /// Has the next turn go on from another turn than the one before it here.
    pub fn set_previous(&mut self, previous: Option<RequestId>) {
        self.previous = previous;
    }

    /// The next turn as it would be asked for.
    pub fn ask(&self, client: &Client, input: &Bytes) -> Ask {
        let plan = &self.plan;
        let expected = self.said.clone().with(input).finish();
        let body = match plan.persisted {
            true => input.clone(),
            false => [&self.transcript[..], &input[..]].concat().into(),
        };
        let own = format!("{}:{}", client.identities().short(), plan.input_tokens);
        let prefix = self
            .parts
            .iter()
            .cloned()
            .chain([own])
            .collect::<Vec<_>>()
            .join(",");
        let mut ask = Ask::post(
            &plan.host,
            &plan.target,
            Kind::Streaming { resumable: false },
            body,
        );
        ask.expected = Some(expected);
        ask.deadline_ms = plan.deadline_ms;
        ask.target_ms = plan.target_ms;
        ask.pause_ms = plan.pause_ms;
        ask.retries = plan.retries;
        ask.program = Some(self.program.clone());
        ask.session = Some(self.session.clone());
        ask.finish_ms = Some(self.finish_ms());
        ask.turn = Some(Turn {
            model: plan.model.clone(),
            prompt_tokens: self.prompt_tokens + plan.input_tokens,
            most: plan.most,
            prefix,
            chunk_tokens: plan.chunk_tokens,
            budget: Some(plan.budget),
            previous: self.previous.filter(|_| plan.persisted),
        });
        ask
    }

    /// Takes one turn with the tries that any request has.
    pub async fn turn(&mut self, client: &Client, input: &Bytes) -> Served {
        let ask = self.ask(client, input);
        let served = client.send(&ask).await;
        if served.succeeded() {
            self.heard(&ask, input, &served);
        }
        served
    }

    /// What a whole answer adds to the line.
    pub fn heard(&mut self, ask: &Ask, input: &Bytes, served: &Served) {
        let Some(answered) = served.answer() else {
            return;
        };
        self.say(input);
        for event in &answered.events {
            self.say(event.data.as_bytes());
            self.say(b"\n");
        }
        self.previous = Some(served.request);
        let Some(turn) = &ask.turn else { return };
        self.parts = turn.prefix.split(',').map(str::to_owned).collect();
        let generated = answered.events.len() as u64 * self.plan.chunk_tokens;
        self.parts
            .push(format!("{:x}:{generated}", served.request.0));
        self.prompt_tokens = turn.prompt_tokens + generated;
    }

    fn say(&mut self, bytes: &[u8]) {
        self.said.push(bytes);
        if !self.plan.persisted {
            self.transcript.extend_from_slice(bytes);
        }
    }

    fn finish_ms(&self) -> u64 {
        self.plan
            .finish_ms
            .saturating_sub(self.started.elapsed().as_millis() as u64)
    }

    fn tool_ask(&self, tool: &Tool) -> Ask {
        let mut ask = match tool.kind {
            Kind::ReadOnly => Ask::get(&self.plan.host, &tool.target),
            kind => Ask::post(
                &self.plan.host,
                &tool.target,
                kind,
                format!("call of {}", self.program),
            ),
        };
        ask.deadline_ms = tool.deadline_ms;
        ask.retries = tool.retries;
        ask.program = Some(self.program.clone());
        ask.session = Some(self.session.clone());
        ask.finish_ms = Some(self.finish_ms());
        ask
    }
}

/// Plays a program to its end.
pub async fn play(client: &Client, plan: &ProgramPlan) -> Played {
    let started = Instant::now();
    let mut line = Line::new(client, plan);
    let mut turns = Vec::new();
    let end = match main_line(client, &mut line, &mut turns).await {
        Ok(()) => End::Finished,
        Err(end) => end,
    };
    let took_ms = started.elapsed().as_millis() as u64;
    Played {
        program: line.program.clone(),
        end,
        turns,
        took_ms,
        line,
    }
}

async fn main_line(client: &Client, line: &mut Line, turns: &mut Vec<TurnDone>) -> Result<(), End> {
    let plan = line.plan.clone();
    for number in 1..=plan.turns {
        turns.push(lasting_turn(client, line, number).await?);
        if number == plan.turns {
            break;
        }
        match plan.sub_agents.filter(|agents| agents.after_turn == number) {
            Some(agents) => turns.extend(sub_agents(client, line, agents).await?),
            None => call_tools(client, line).await?,
        }
    }
    Ok(())
}

/// A turn, sent anew where it failed.
async fn lasting_turn(client: &Client, line: &mut Line, number: u32) -> Result<TurnDone, End> {
    let input = input(&line.session, number, line.plan.input_bytes);
    for renewal in 0..=MOST_RENEWALS {
        let served = line.turn(client, &input).await;
        if served.succeeded() {
            let events = served.answer().map_or(0, |answered| answered.events.len());
            let (request, tries) = (served.request, served.tries);
            return Ok(TurnDone {
                request,
                first_ms: served.first_ms,
                took_ms: served.took_ms,
                events,
                tries,
            });
        }
        match served.status() {
            Some(402) => return Err(End::Spent),
            Some(status @ (400 | 401 | 403 | 404 | 413)) => {
                return Err(End::Failed {
                    status: Some(status),
                })
            }
            status if renewal == MOST_RENEWALS => return Err(End::Failed { status }),
            _ => {}
        }
        let pause = RENEWAL_PAUSE_MS + client.identities().below(RENEWAL_SPREAD_MS);
        sleep(Duration::from_millis(pause)).await;
    }
    Err(End::Failed { status: None })
}

async fn call_tools(client: &Client, line: &Line) -> Result<(), End> {
    let mut calls = JoinSet::new();
    for tool in &line.plan.tools {
        let (client, ask) = (client.clone(), line.tool_ask(tool));
        calls.spawn(async move { client.send(&ask).await });
    }
    while let Some(served) = calls.join_next().await {
        match served {
            Ok(served) if served.succeeded() => {}
            Ok(served) => {
                return Err(End::Failed {
                    status: served.status(),
                })
            }
            Err(_) => return Err(End::Failed { status: None }),
        }
    }
    Ok(())
}

async fn sub_agents(client: &Client, line: &Line, agents: SubAgents) -> Result<Vec<TurnDone>, End> {
    let mut lines = JoinSet::new();
    for _ in 0..agents.count {
        let (client, line) = (client.clone(), line.branch(client));
        lines.spawn(async move { sub_agent(&client, line, agents.turns).await });
    }
    let mut turns = Vec::new();
    while let Some(ended) = lines.join_next().await {
        turns.extend(ended.unwrap_or(Err(End::Failed { status: None }))?);
    }
    Ok(turns)
}

async fn sub_agent(client: &Client, mut line: Line, count: u32) -> Result<Vec<TurnDone>, End> {
    let mut turns = Vec::new();
    for number in 1..=count {
        turns.push(lasting_turn(client, &mut line, number).await?);
    }
    Ok(turns)
}

/// An input that differs from session to session and turn to turn.
fn input(session: &str, number: u32, bytes: usize) -> Bytes {
    let unit = format!("{session} says {number}; ");
    let mut text = unit.repeat(bytes / unit.len() + 1);
    text.truncate(bytes.max(1));
    Bytes::from(text)
}
