//! The load: programs and requests start at their classes' rates, independent of how long earlier ones take.

use super::file::{Experiment, ProgramClass, RequestClass, RequestClassKind};
use dunespur_emulator::client::{Client, RequestKind, RequestSpec};
use dunespur_emulator::program::{
    play, Conversation, ProgramEnd, ProgramPlan, SharedPrefix, SubAgents, Tool,
};
use dunespur_emulator::scene::{
    usual_program, Scene, HOST, LOOKUP, PERSISTED_TURNS, RECORD, TURNS,
};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Maximum number of programs or requests of a class under way at once; further ones are skipped and counted as such.
const MAX_UNDER_WAY: usize = 4_000;
/// Where a class states no budget, its programs get this many times the tokens of all turns of the main conversation.
const DEFAULT_BUDGET_FACTOR: u64 = 8;

/// How a program or a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Succeeded within the target time.
    InTime,
    /// Succeeded after the target time.
    Late,
    /// OutcomeKind with a status that guarantees that the request has not run, including 402.
    Refused,
    /// OutcomeKind without success in any other way.
    Failed,
    /// Not started, as too many were under way.
    Skipped,
}

/// Outcome of one program or request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index of its class; the classes of programs come before those of requests.
    pub class: usize,
    pub kind: OutcomeKind,
    pub took_ms: u64,
    /// Times to the first events of a program's turns, or to a request's response.
    pub first_ms: Vec<u64>,
    /// The conversation of a finished program whose turns are stored.
    pub conversation: Option<Conversation>,
}

/// The load of a running experiment.
pub struct Traffic {
    under_way: JoinSet<Vec<Outcome>>,
    outcomes: Vec<Outcome>,
}

impl Traffic {
    /// Starts the load of all classes.
    pub fn start(scene: &Scene, experiment: &Experiment) -> Traffic {
        let mut under_way = JoinSet::new();
        let duration = Duration::from_secs_f64(experiment.traffic_s);
        let programs = experiment
            .programs
            .iter()
            .map(|class| LoadClass::Program(class.clone(), chunk_tokens(experiment)));
        let requests = experiment
            .requests
            .iter()
            .map(|class| LoadClass::Request(class.clone()));
        for (class, load) in programs.chain(requests).enumerate() {
            let random = fastrand::Rng::with_seed(experiment.seed ^ (class as u64 + 1) << 32);
            let generator = LoadGenerator {
                class,
                load,
                client: scene.client.clone(),
                random,
            };
            under_way.spawn(generator.run(duration));
        }
        Traffic {
            under_way,
            outcomes: Vec::new(),
        }
    }

    /// Whether the load of all classes has ended.
    pub fn has_ended(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Collects the outcomes of the classes that have ended.
    pub fn collect_outcomes(&mut self) {
        while let Some(ended) = self.under_way.try_join_next() {
            self.outcomes.extend(ended.unwrap_or_default());
        }
    }

    pub fn into_outcomes(self) -> Vec<Outcome> {
        self.outcomes
    }
}

fn chunk_tokens(experiment: &Experiment) -> u64 {
    experiment.services.models.chunk_tokens
}

/// A class of programs or requests.
#[derive(Clone)]
enum LoadClass {
    /// A class of programs, and the tokens in one event of its turns.
    Program(ProgramClass, u64),
    Request(RequestClass),
}

impl LoadClass {
    fn rate(&self) -> f64 {
        match self {
            LoadClass::Program(class, _) => class.rate,
            LoadClass::Request(class) => class.rate,
        }
    }
}

/// Starts the programs or requests of a class at the class's rate.
struct LoadGenerator {
    class: usize,
    load: LoadClass,
    client: Client,
    random: fastrand::Rng,
}

impl LoadGenerator {
    async fn run(mut self, duration: Duration) -> Vec<Outcome> {
        let started = Instant::now();
        let mut under_way = JoinSet::new();
        let mut outcomes = Vec::new();
        let mut next = started + self.time_to_next();
        while next < started + duration {
            sleep_until(next).await;
            next += self.time_to_next();
            if under_way.len() >= MAX_UNDER_WAY {
                outcomes.push(self.skipped());
                continue;
            }
            let sub_agents = self.random.f64();
            under_way.spawn(run_once(
                self.class,
                self.load.clone(),
                self.client.clone(),
                sub_agents,
            ));
            while let Some(outcome) = under_way.try_join_next() {
                outcomes.extend(outcome);
            }
        }
        while let Some(outcome) = under_way.join_next().await {
            outcomes.extend(outcome);
        }
        outcomes
    }

    fn skipped(&self) -> Outcome {
        Outcome {
            class: self.class,
            kind: OutcomeKind::Skipped,
            took_ms: 0,
            first_ms: Vec::new(),
            conversation: None,
        }
    }

    /// Draws the time to the next start from an exponential distribution, so that starts are independent of each other.
    fn time_to_next(&mut self) -> Duration {
        let drawn = 1.0 - self.random.f64();
        Duration::from_secs_f64(-drawn.ln() / self.load.rate())
    }
}

async fn run_once(class: usize, load: LoadClass, client: Client, sub_agents: f64) -> Outcome {
    match load {
        LoadClass::Program(program, chunk_tokens) => {
            run_program(class, &program, chunk_tokens, &client, sub_agents).await
        }
        LoadClass::Request(request) => send_request(class, &request, &client).await,
    }
}

async fn run_program(
    class: usize,
    program: &ProgramClass,
    chunk_tokens: u64,
    client: &Client,
    sub_agents: f64,
) -> Outcome {
    let played = play(
        client,
        &plan(program, chunk_tokens, sub_agents < program.sub_agents),
    )
    .await;
    let kind = match played.end {
        ProgramEnd::Finished if played.took_ms <= program.target_ms => OutcomeKind::InTime,
        ProgramEnd::Finished => OutcomeKind::Late,
        ProgramEnd::Spent => OutcomeKind::Refused,
        ProgramEnd::Failed { status } => failure_outcome(status),
    };
    let first_ms = played.turns.iter().map(|turn| turn.first_ms).collect();
    let conversation = Some(played.conversation)
        .filter(|_| program.persisted && played.end == ProgramEnd::Finished);
    Outcome {
        class,
        kind,
        took_ms: played.took_ms,
        first_ms,
        conversation,
    }
}

async fn send_request(class: usize, request: &RequestClass, client: &Client) -> Outcome {
    let mut spec = match request.kind {
        RequestClassKind::ReadOnly => RequestSpec::get(HOST, &format!("{LOOKUP}x")),
        RequestClassKind::Mutating => {
            RequestSpec::post(HOST, &format!("{RECORD}x"), RequestKind::Mutating, "once")
        }
    };
    spec.deadline_ms = request.deadline_ms;
    spec.retries = request.retries;
    let served = client.send(&spec).await;
    let kind = match served.succeeded() {
        true if served.took_ms <= request.target_ms => OutcomeKind::InTime,
        true => OutcomeKind::Late,
        false => failure_outcome(served.status()),
    };
    Outcome {
        class,
        kind,
        took_ms: served.took_ms,
        first_ms: vec![served.first_ms],
        conversation: None,
    }
}

fn failure_outcome(status: Option<u16>) -> OutcomeKind {
    match status {
        Some(402 | 408 | 421 | 429 | 503) => OutcomeKind::Refused,
        _ => OutcomeKind::Failed,
    }
}

fn plan(class: &ProgramClass, chunk_tokens: u64, sub_agents: bool) -> ProgramPlan {
    let path = if class.persisted {
        PERSISTED_TURNS
    } else {
        TURNS
    };
    let lookup = Tool {
        target: format!("{LOOKUP}x"),
        kind: RequestKind::ReadOnly,
        deadline_ms: 1_200,
        retries: 1,
    };
    let record = Tool {
        target: format!("{RECORD}x"),
        kind: RequestKind::Mutating,
        deadline_ms: 3_000,
        retries: 1,
    };
    let lookups = std::iter::repeat_n(lookup, class.lookups);
    let records = std::iter::repeat_n(record, class.records);
    ProgramPlan {
        target: format!("{path}{}", class.name),
        persisted: class.persisted,
        turns: class.turns,
        shared: SharedPrefix {
            id: shared_prefix_id(&class.name),
            tokens: class.shared_tokens,
        },
        input_bytes: class.input_bytes,
        input_tokens: class.input_tokens,
        max_tokens: class.max_tokens,
        chunk_tokens,
        budget: class
            .budget
            .unwrap_or(DEFAULT_BUDGET_FACTOR * u64::from(class.turns) * class.max_tokens),
        tools: lookups.chain(records).collect(),
        sub_agents: sub_agents.then_some(SubAgents {
            after_turn: 1,
            count: 2,
            turns: 2,
        }),
        retries: class.retries,
        finish_ms: class.target_ms,
        ..usual_program()
    }
}

/// Id of the prompt prefix that all programs of a class share.
fn shared_prefix_id(name: &str) -> String {
    format!("{:x}", dunespur_emulator::Digest::of(name.as_bytes()).hash)
}
