//! The load: programs and requests that begin at their rates, whatever becomes of those before.

use super::file::{Experiment, ProgramClass, RequestClass, RequestKind};
use dunespur_emulator::client::{Client, Kind, RequestSpec};
use dunespur_emulator::program::{
    play, Conversation, End, ProgramPlan, SharedPrefix, SubAgents, Tool,
};
use dunespur_emulator::scene::{
    usual_program, Scene, HOST, LOOKUP, PERSISTED_TURNS, RECORD, TURNS,
};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Programs and requests under way at once; more are not begun and counted so.
const MAX_UNDER_WAY: usize = 4_000;
/// Where a budget is left out, it is enough for so many times the turns.
const AMPLE_BUDGET: u64 = 8;

/// How a program or a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    InTime,
    Late,
    /// By a promise that it has not run, 402 included.
    Refused,
    Failed,
    /// Not begun: too many were under way.
    Skipped,
}

/// What became of one program or request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Place of its class: programs first, then requests.
    pub class: usize,
    pub ended: Ended,
    pub took_ms: u64,
    /// Times to the first event of its turns, or to its answer.
    pub first_ms: Vec<u64>,
    /// The conversation of a finished program whose turns are stored.
    pub conversation: Option<Conversation>,
}

/// The load while it runs.
pub struct Traffic {
    under_way: JoinSet<Vec<Outcome>>,
    outcomes: Vec<Outcome>,
}

impl Traffic {
    /// Starts all classes.
    pub fn start(scene: &Scene, experiment: &Experiment) -> Traffic {
        let mut under_way = JoinSet::new();
        let length = Duration::from_secs_f64(experiment.traffic_s);
        let programs = experiment
            .programs
            .iter()
            .map(|class| Work::Program(class.clone(), chunk(experiment)));
        let requests = experiment
            .requests
            .iter()
            .map(|class| Work::Request(class.clone()));
        for (class, work) in programs.chain(requests).enumerate() {
            let random = fastrand::Rng::with_seed(experiment.seed ^ (class as u64 + 1) << 32);
            let source = Source {
                class,
                work,
                client: scene.client.clone(),
                random,
            };
            under_way.spawn(source.run(length));
        }
        Traffic {
            under_way,
            outcomes: Vec::new(),
        }
    }

    /// Whether all that began has ended.
    pub fn ended(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Takes in what has ended.
    pub fn take_ended(&mut self) {
        while let Some(ended) = self.under_way.try_join_next() {
            self.outcomes.extend(ended.unwrap_or_default());
        }
    }

    pub fn into_outcomes(self) -> Vec<Outcome> {
        self.outcomes
    }
}

fn chunk(experiment: &Experiment) -> u64 {
    experiment.services.models.chunk_tokens
}

/// What a class does once.
#[derive(Clone)]
enum Work {
    Program(ProgramClass, u64),
    Request(RequestClass),
}

impl Work {
    fn rate(&self) -> f64 {
        match self {
            Work::Program(class, _) => class.rate,
            Work::Request(class) => class.rate,
        }
    }
}

/// Begins what a class does, at its rate.
struct Source {
    class: usize,
    work: Work,
    client: Client,
    random: fastrand::Rng,
}

impl Source {
    async fn run(mut self, length: Duration) -> Vec<Outcome> {
        let started = Instant::now();
        let mut under_way = JoinSet::new();
        let mut outcomes = Vec::new();
        let mut next = started + self.time_to_next();
        while next < started + length {
            sleep_until(next).await;
            next += self.time_to_next();
            if under_way.len() >= MAX_UNDER_WAY {
                outcomes.push(self.skipped());
                continue;
            }
            let sub_agents = self.random.f64();
            under_way.spawn(once(
                self.class,
                self.work.clone(),
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
            ended: Ended::Skipped,
            took_ms: 0,
            first_ms: Vec::new(),
            conversation: None,
        }
    }

    /// Time to the next beginning: independent of all others.
    fn time_to_next(&mut self) -> Duration {
        let drawn = 1.0 - self.random.f64();
        Duration::from_secs_f64(-drawn.ln() / self.work.rate())
    }
}

async fn once(class: usize, work: Work, client: Client, sub_agents: f64) -> Outcome {
    match work {
        Work::Program(program, chunk) => {
            once_program(class, &program, chunk, &client, sub_agents).await
        }
        Work::Request(request) => once_request(class, &request, &client).await,
    }
}

async fn once_program(
    class: usize,
    program: &ProgramClass,
    chunk: u64,
    client: &Client,
    sub_agents: f64,
) -> Outcome {
    let played = play(
        client,
        &plan(program, chunk, sub_agents < program.sub_agents),
    )
    .await;
    let ended = match played.end {
        End::Finished if played.took_ms <= program.target_ms => Ended::InTime,
        End::Finished => Ended::Late,
        End::Spent => Ended::Refused,
        End::Failed { status } => without_success(status),
    };
    let first_ms = played.turns.iter().map(|turn| turn.first_ms).collect();
    let conversation =
        Some(played.conversation).filter(|_| program.persisted && played.end == End::Finished);
    Outcome {
        class,
        ended,
        took_ms: played.took_ms,
        first_ms,
        conversation,
    }
}

async fn once_request(class: usize, request: &RequestClass, client: &Client) -> Outcome {
    let mut spec = match request.kind {
        RequestKind::ReadOnly => RequestSpec::get(HOST, &format!("{LOOKUP}x")),
        RequestKind::Mutating => {
            RequestSpec::post(HOST, &format!("{RECORD}x"), Kind::Mutating, "once")
        }
    };
    spec.deadline_ms = request.deadline_ms;
    spec.retries = request.retries;
    let served = client.send(&spec).await;
    let ended = match served.succeeded() {
        true if served.took_ms <= request.target_ms => Ended::InTime,
        true => Ended::Late,
        false => without_success(served.status()),
    };
    Outcome {
        class,
        ended,
        took_ms: served.took_ms,
        first_ms: vec![served.first_ms],
        conversation: None,
    }
}

fn without_success(status: Option<u16>) -> Ended {
    match status {
        Some(402 | 408 | 421 | 429 | 503) => Ended::Refused,
        _ => Ended::Failed,
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
        kind: Kind::ReadOnly,
        deadline_ms: 1_200,
        retries: 1,
    };
    let record = Tool {
        target: format!("{RECORD}x"),
        kind: Kind::Mutating,
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
            id: shared_id(&class.name),
            tokens: class.shared_tokens,
        },
        input_bytes: class.input_bytes,
        input_tokens: class.input_tokens,
        max_tokens: class.max_tokens,
        chunk_tokens,
        budget: class
            .budget
            .unwrap_or(AMPLE_BUDGET * u64::from(class.turns) * class.max_tokens),
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

/// The same for all programs of a class.
fn shared_id(name: &str) -> String {
    format!("{:x}", dunespur_emulator::Digest::of(name.as_bytes()).hash)
}
