//! Agent programs: a conversation of turns, tool calls between the turns, and concurrent sub-agents, all under one token
//! budget.

use crate::client::{Client, RequestKind, RequestSpec, Served, TurnHeaders};
use crate::digest::Digester;
use crate::identity::RequestId;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Number of times that a turn is started again after all its attempts have failed.
const MAX_TURN_RESTARTS: u32 = 2;
/// Minimum backoff before a turn is started again, in milliseconds.
const RESTART_BACKOFF_MS: u64 = 100;
/// Upper bound of the random addition to that backoff, in milliseconds.
const RESTART_JITTER_MS: u64 = 300;

/// A prompt prefix that many programs share.
#[derive(Clone, Debug)]
pub struct SharedPrefix {
    /// Id in hexadecimal digits.
    pub id: String,
    /// Length in tokens.
    pub tokens: u64,
}

/// A tool that is called after each turn except the last.
#[derive(Clone, Debug)]
pub struct Tool {
    /// Path of the tool's calls.
    pub target: String,
    /// Kind of the tool's calls.
    pub kind: RequestKind,
    /// Time limit of one call, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of attempts of a call after the first.
    pub retries: u32,
}

/// Sub-agents, which run concurrently.
#[derive(Clone, Copy, Debug)]
pub struct SubAgents {
    /// Number of turns of the main conversation after which the sub-agents start.
    pub after_turn: u32,
    /// Number of sub-agents.
    pub count: u32,
    /// Number of turns of each sub-agent.
    pub turns: u32,
}

/// Plan of a program: its turns, tools, sub-agents and limits.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    /// Value of `Host`.
    pub host: String,
    /// Path of the program's turns.
    pub target: String,
    /// Whether the system stores the turns.
    pub persisted: bool,
    /// Number of turns of the main conversation.
    pub turns: u32,
    /// Prefix of all prompts.
    pub shared: SharedPrefix,
    /// Length of the new input of each turn, in bytes.
    pub input_bytes: usize,
    /// Length of the new input of each turn, in tokens.
    pub input_tokens: u64,
    /// Maximum number of tokens that a turn generates.
    pub max_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Token budget of the whole program.
    pub budget: u64,
    /// Tools, which are called concurrently after a turn.
    pub tools: Vec<Tool>,
    /// Sub-agents of the program, if any; they take the place of the tool calls after their turn.
    pub sub_agents: Option<SubAgents>,
    /// Name of the model.
    pub model: String,
    /// Time limit of one turn, in milliseconds.
    pub deadline_ms: u64,
    /// Latency target to a turn's first event, in milliseconds.
    pub target_ms: u64,
    /// Longest gap wanted between two events, in milliseconds.
    pub max_gap_ms: u64,
    /// Maximum number of attempts of a turn after the first.
    pub retries: u32,
    /// Time within which the program has to finish, in milliseconds.
    pub finish_ms: u64,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramEnd {
    /// All turns and tool calls succeeded.
    Finished,
    /// A turn was answered with 402: the budget is spent.
    Spent,
    /// A turn or a tool call failed.
    Failed {
        /// Status of the last response, if any came.
        status: Option<u16>,
    },
}

/// The result of a program.
#[derive(Clone, Debug)]
pub struct ProgramResult {
    /// Id of the program.
    pub program: String,
    /// How the program ended.
    pub end: ProgramEnd,
    /// Completed turns of all conversations.
    pub turns: Vec<CompletedTurn>,
    /// Time from the program's start to its end, in milliseconds.
    pub took_ms: u64,
    /// The main conversation after its last turn.
    pub conversation: Conversation,
}

/// A completed turn.
#[derive(Clone, Debug)]
pub struct CompletedTurn {
    /// Id of the successful attempt.
    pub request: RequestId,
    /// Time from the first attempt to the first event, in milliseconds.
    pub first_ms: u64,
    /// Time from the first attempt to the end of the turn, in milliseconds.
    pub took_ms: u64,
    /// Number of events.
    pub events: usize,
    /// Number of attempts.
    pub attempts: u32,
}

/// A conversation: its transcript so far, and the id of the turn that the next turn continues.
#[derive(Clone, Debug)]
pub struct Conversation {
    plan: ProgramPlan,
    program: String,
    session: String,
    previous: Option<RequestId>,
    transcript_digest: Digester,
    /// The transcript; stored only where each turn has to send it, as the system does not store the turns.
    transcript: BytesMut,
    segments: Vec<String>,
    prompt_tokens: u64,
    started: Instant,
}

impl Conversation {
    /// The main conversation of a new program.
    #[must_use]
    pub fn new(client: &Client, plan: &ProgramPlan) -> Conversation {
        Conversation {
            plan: plan.clone(),
            program: client.identities().short(),
            session: client.identities().short(),
            previous: None,
            transcript_digest: Digester::default(),
            transcript: BytesMut::new(),
            segments: vec![format!("{}:{}", plan.shared.id, plan.shared.tokens)],
            prompt_tokens: plan.shared.tokens,
            started: Instant::now(),
        }
    }

    /// A conversation that continues this one as another session.
    #[must_use]
    pub fn branch(&self, client: &Client) -> Conversation {
        Conversation {
            session: client.identities().short(),
            ..self.clone()
        }
    }

    /// Id of the program.
    #[must_use]
    pub fn program(&self) -> &str {
        &self.program
    }

    /// Id of the turn that the next turn continues.
    #[must_use]
    pub fn previous(&self) -> Option<RequestId> {
        self.previous
    }

    /// Sets the turn that the next turn continues.
    pub fn set_previous(&mut self, previous: Option<RequestId>) {
        self.previous = previous;
    }

    /// The request of the next turn, with `input` as its new input.
    pub fn next_request(&self, client: &Client, input: &Bytes) -> RequestSpec {
        let plan = &self.plan;
        let expected = self.transcript_digest.clone().with(input).finish();
        let body = match plan.persisted {
            true => input.clone(),
            false => [&self.transcript[..], &input[..]].concat().into(),
        };
        let input_segment = format!("{}:{}", client.identities().short(), plan.input_tokens);
        let prefix = self
            .segments
            .iter()
            .cloned()
            .chain([input_segment])
            .collect::<Vec<_>>()
            .join(",");
        let mut spec = RequestSpec::post(
            &plan.host,
            &plan.target,
            RequestKind::Streaming { resumable: false },
            body,
        );
        spec.expected = Some(expected);
        spec.deadline_ms = plan.deadline_ms;
        spec.target_ms = plan.target_ms;
        spec.max_gap_ms = plan.max_gap_ms;
        spec.retries = plan.retries;
        spec.program = Some(self.program.clone());
        spec.session = Some(self.session.clone());
        spec.finish_ms = Some(self.finish_ms());
        spec.turn = Some(TurnHeaders {
            model: plan.model.clone(),
            prompt_tokens: self.prompt_tokens + plan.input_tokens,
            max_tokens: plan.max_tokens,
            prefix,
            chunk_tokens: plan.chunk_tokens,
            budget: Some(plan.budget),
            previous: self.previous.filter(|_| plan.persisted),
        });
        spec
    }

    /// Sends the next turn, with retries, and adds it to the conversation if it succeeds.
    pub async fn turn(&mut self, client: &Client, input: &Bytes) -> Served {
        let spec = self.next_request(client, input);
        let served = client.send(&spec).await;
        if served.succeeded() {
            self.record_answer(&spec, input, &served);
        }
        served
    }

    /// Adds a completed turn to the conversation.
    pub fn record_answer(&mut self, spec: &RequestSpec, input: &Bytes, served: &Served) {
        let Some(answered) = served.answer() else {
            return;
        };
        self.append(input);
        for event in &answered.events {
            self.append(event.data.as_bytes());
            self.append(b"\n");
        }
        self.previous = Some(served.request);
        let Some(turn) = &spec.turn else { return };
        self.segments = turn.prefix.split(',').map(str::to_owned).collect();
        let generated = answered.events.len() as u64 * self.plan.chunk_tokens;
        self.segments
            .push(format!("{:x}:{generated}", served.request.0));
        self.prompt_tokens = turn.prompt_tokens + generated;
    }

    fn append(&mut self, bytes: &[u8]) {
        self.transcript_digest.push(bytes);
        if !self.plan.persisted {
            self.transcript.extend_from_slice(bytes);
        }
    }

    fn finish_ms(&self) -> u64 {
        self.plan
            .finish_ms
            .saturating_sub(self.started.elapsed().as_millis() as u64)
    }

    fn tool_request(&self, tool: &Tool) -> RequestSpec {
        let mut spec = match tool.kind {
            RequestKind::ReadOnly => RequestSpec::get(&self.plan.host, &tool.target),
            kind => RequestSpec::post(
                &self.plan.host,
                &tool.target,
                kind,
                format!("call of {}", self.program),
            ),
        };
        spec.deadline_ms = tool.deadline_ms;
        spec.retries = tool.retries;
        spec.program = Some(self.program.clone());
        spec.session = Some(self.session.clone());
        spec.finish_ms = Some(self.finish_ms());
        spec
    }
}

/// Runs a program to its end.
pub async fn play(client: &Client, plan: &ProgramPlan) -> ProgramResult {
    let started = Instant::now();
    let mut conversation = Conversation::new(client, plan);
    let mut turns = Vec::new();
    let end = match main_conversation(client, &mut conversation, &mut turns).await {
        Ok(()) => ProgramEnd::Finished,
        Err(end) => end,
    };
    let took_ms = started.elapsed().as_millis() as u64;
    ProgramResult {
        program: conversation.program.clone(),
        end,
        turns,
        took_ms,
        conversation,
    }
}

async fn main_conversation(
    client: &Client,
    conversation: &mut Conversation,
    turns: &mut Vec<CompletedTurn>,
) -> Result<(), ProgramEnd> {
    let plan = conversation.plan.clone();
    for number in 1..=plan.turns {
        turns.push(turn_with_restarts(client, conversation, number).await?);
        if number == plan.turns {
            break;
        }
        match plan.sub_agents.filter(|agents| agents.after_turn == number) {
            Some(agents) => turns.extend(sub_agents(client, conversation, agents).await?),
            None => call_tools(client, conversation).await?,
        }
    }
    Ok(())
}

/// Sends a turn and starts it again where all its attempts have failed.
async fn turn_with_restarts(
    client: &Client,
    conversation: &mut Conversation,
    number: u32,
) -> Result<CompletedTurn, ProgramEnd> {
    let input = input(&conversation.session, number, conversation.plan.input_bytes);
    for restart in 0..=MAX_TURN_RESTARTS {
        let served = conversation.turn(client, &input).await;
        if served.succeeded() {
            let events = served.answer().map_or(0, |answered| answered.events.len());
            let (request, attempts) = (served.request, served.attempts);
            return Ok(CompletedTurn {
                request,
                first_ms: served.first_ms,
                took_ms: served.took_ms,
                events,
                attempts,
            });
        }
        match served.status() {
            Some(402) => return Err(ProgramEnd::Spent),
            Some(status @ (400 | 401 | 403 | 404 | 413)) => {
                return Err(ProgramEnd::Failed {
                    status: Some(status),
                })
            }
            status if restart == MAX_TURN_RESTARTS => return Err(ProgramEnd::Failed { status }),
            _ => {}
        }
        let backoff = RESTART_BACKOFF_MS + client.identities().below(RESTART_JITTER_MS);
        sleep(Duration::from_millis(backoff)).await;
    }
    Err(ProgramEnd::Failed { status: None })
}

async fn call_tools(client: &Client, conversation: &Conversation) -> Result<(), ProgramEnd> {
    let mut calls = JoinSet::new();
    for tool in &conversation.plan.tools {
        let (client, spec) = (client.clone(), conversation.tool_request(tool));
        calls.spawn(async move { client.send(&spec).await });
    }
    while let Some(served) = calls.join_next().await {
        match served {
            Ok(served) if served.succeeded() => {}
            Ok(served) => {
                return Err(ProgramEnd::Failed {
                    status: served.status(),
                })
            }
            Err(_) => return Err(ProgramEnd::Failed { status: None }),
        }
    }
    Ok(())
}

async fn sub_agents(
    client: &Client,
    conversation: &Conversation,
    agents: SubAgents,
) -> Result<Vec<CompletedTurn>, ProgramEnd> {
    let mut conversations = JoinSet::new();
    for _ in 0..agents.count {
        let (client, conversation) = (client.clone(), conversation.branch(client));
        conversations.spawn(async move { sub_agent(&client, conversation, agents.turns).await });
    }
    let mut turns = Vec::new();
    while let Some(ended) = conversations.join_next().await {
        turns.extend(ended.unwrap_or(Err(ProgramEnd::Failed { status: None }))?);
    }
    Ok(turns)
}

async fn sub_agent(
    client: &Client,
    mut conversation: Conversation,
    count: u32,
) -> Result<Vec<CompletedTurn>, ProgramEnd> {
    let mut turns = Vec::new();
    for number in 1..=count {
        turns.push(turn_with_restarts(client, &mut conversation, number).await?);
    }
    Ok(turns)
}

/// The input of a turn; it differs between sessions and between turns.
fn input(session: &str, number: u32, bytes: usize) -> Bytes {
    let unit = format!("{session} says {number}; ");
    let mut text = unit.repeat(bytes / unit.len() + 1);
    text.truncate(bytes.max(1));
    Bytes::from(text)
}
