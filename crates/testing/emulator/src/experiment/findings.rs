//! Findings of an experiment, as a table and as JSON.

use super::file::Experiment;
use super::listing::{self, outcome};
use super::measure::{Measurements, ProcessUsage};
use super::traffic::{Outcome, OutcomeKind};
use dunespur_emulator::judge::Violation;
use dunespur_emulator::record::{AttemptRecord, Fate, Observation};
use dunespur_emulator::scene::Scene;
use dunespur_emulator::RequestId;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// Maximum number of violations that the table lists.
const LISTED_VIOLATIONS: usize = 20;

/// Measurements and violations of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    pub seconds: f64,
    pub classes: Vec<ClassFinding>,
    /// Time from a request's arrival at a server to the server's first event.
    pub server_first_ms: Quantiles,
    /// Time that the system adds to the server's time to the first event, as the client sees it.
    pub added_ms: Quantiles,
    pub prompt_tokens: PromptTokens,
    pub answers: BTreeMap<String, usize>,
    pub server_connections: u64,
    pub probes: u64,
    pub processes: Vec<ProcessUsage>,
    pub violations: Vec<String>,
    /// Table of all attempts, written to a file of its own.
    #[serde(skip)]
    pub attempts: String,
}

/// Results of one class of programs or requests.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFinding {
    pub name: String,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    pub skipped: usize,
    /// Time to the first event of a turn, or to the response of a request.
    pub first_ms: Quantiles,
    pub took_ms: Quantiles,
}

/// Quantiles of a list of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Prompt tokens of all model servers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PromptTokens {
    /// Tokens of all admitted prompts.
    #[serde(rename = "asked")]
    pub admitted: u64,
    /// Tokens that servers had to prefill, as they were not cached.
    #[serde(rename = "read")]
    pub prefilled: u64,
}

impl Findings {
    pub fn new(
        scene: &Scene,
        experiment: &Experiment,
        outcomes: &[Outcome],
        measurements: &Measurements,
        violations: &[Violation],
    ) -> Findings {
        let observations = scene.record.observations();
        let attempts = scene.record.attempts();
        let programs = experiment.programs.iter().map(|class| class.name.clone());
        let requests = experiment.requests.iter().map(|class| class.name.clone());
        let names = programs.chain(requests).enumerate();
        let mut violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
        if scene.record.overflowed() {
            violations.push(
                "the record has overflowed: some observations or attempts are missing".to_owned(),
            );
        }
        Findings {
            seconds: measurements.loaded_s(),
            classes: names
                .map(|(class, name)| class_finding(name, class, outcomes))
                .collect(),
            server_first_ms: server_first(&observations),
            added_ms: added(&observations, &attempts),
            prompt_tokens: prompt_tokens(scene),
            answers: answers(&attempts),
            server_connections: scene.servers().map(|handle| handle.accepted()).sum(),
            probes: scene.servers().map(|handle| handle.probes()).sum(),
            processes: measurements.processes(scene),
            violations,
            attempts: listing::attempts(scene),
        }
    }

    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    pub fn table(&self) -> String {
        let mut text = String::new();
        self.write_table(&mut text).expect("writing to a string");
        text
    }

    fn write_table(&self, text: &mut String) -> std::fmt::Result {
        self.write_classes(text)?;
        self.write_totals(text)?;
        self.write_processes(text)?;
        writeln!(text, "broken rules: {}", self.violations.len())?;
        for violation in self.violations.iter().take(LISTED_VIOLATIONS) {
            writeln!(text, "  {violation}")?;
        }
        Ok(())
    }

    fn write_classes(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "{:<22}{:>8}{:>7}{:>9}{:>8}{:>9}   first ms p50/p95/p99   total ms p50/p95/p99",
            "class", "in time", "late", "refused", "failed", "skipped"
        )?;
        for class in &self.classes {
            writeln!(
                text,
                "{:<22}{:>8}{:>7}{:>9}{:>8}{:>9}   {:<22} {}",
                class.name,
                class.in_time,
                class.late,
                class.refused,
                class.failed,
                class.skipped,
                class.first_ms.text(),
                class.took_ms.text()
            )?;
        }
        Ok(())
    }

    fn write_totals(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "first event at the server, ms p50/p95/p99: {}",
            self.server_first_ms.text()
        )?;
        writeln!(
            text,
            "added ms to the first event p50/p95/p99: {}",
            self.added_ms.text()
        )?;
        let tokens = self.prompt_tokens;
        writeln!(
            text,
            "prompt tokens: {} admitted, {} prefilled",
            tokens.admitted, tokens.prefilled
        )?;
        writeln!(
            text,
            "connections to servers: {}, health checks: {}",
            self.server_connections, self.probes
        )?;
        writeln!(text, "attempts by outcome: {:?}", self.answers)?;
        Ok(())
    }

    fn write_processes(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "{:<26}{:>9}{:>7}{:>10}{:>12}{:>14}{:>12}",
            "process", "role", "starts", "start ms", "idle mcore", "loaded mcore", "peak MB"
        )?;
        for process in &self.processes {
            writeln!(
                text,
                "{:<26}{:>9}{:>7}{:>10}{:>12}{:>14}{:>12.1}",
                process.name,
                process.role,
                process.starts,
                process.start_ms,
                process.idle_millicores,
                process.loaded_millicores,
                process.peak_memory_kb as f64 / 1024.0
            )?;
        }
        Ok(())
    }
}

impl Quantiles {
    fn of(mut times: Vec<f64>) -> Quantiles {
        times.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let index = (times.len() as f64 * quantile).ceil() as usize;
            times
                .get(index.saturating_sub(1))
                .copied()
                .unwrap_or_default()
        };
        Quantiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }

    fn text(&self) -> String {
        format!("{:.1}/{:.1}/{:.1}", self.p50, self.p95, self.p99)
    }
}

fn class_finding(name: String, class: usize, outcomes: &[Outcome]) -> ClassFinding {
    let of_class: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.class == class)
        .collect();
    let count = |kind| {
        of_class
            .iter()
            .filter(|outcome| outcome.kind == kind)
            .count()
    };
    let served = of_class
        .iter()
        .filter(|outcome| matches!(outcome.kind, OutcomeKind::InTime | OutcomeKind::Late));
    ClassFinding {
        name,
        in_time: count(OutcomeKind::InTime),
        late: count(OutcomeKind::Late),
        refused: count(OutcomeKind::Refused),
        failed: count(OutcomeKind::Failed),
        skipped: count(OutcomeKind::Skipped),
        first_ms: Quantiles::of(
            of_class
                .iter()
                .flat_map(|outcome| &outcome.first_ms)
                .map(|ms| *ms as f64)
                .collect(),
        ),
        took_ms: Quantiles::of(served.map(|outcome| outcome.took_ms as f64).collect()),
    }
}

/// Time to the first event at the server, over all requests that ran.
fn server_first(observations: &[Observation]) -> Quantiles {
    let ran = observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run);
    Quantiles::of(
        ran.filter_map(|observation| Some(observation.timings.to_first_us()? as f64 / 1_000.0))
            .collect(),
    )
}

/// Difference between the client's and the server's time to the first event, over all attempts that ran.
fn added(observations: &[Observation], attempts: &[AttemptRecord]) -> Quantiles {
    let mut at_server: HashMap<RequestId, u64> = HashMap::new();
    for observation in observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
    {
        if let (Some(request), Some(us)) = (observation.request, observation.timings.to_first_us())
        {
            at_server.insert(request, us);
        }
    }
    let added = attempts.iter().filter_map(|attempt| {
        let server_us = at_server.get(&attempt.request)?;
        let client_us = attempt.timings.to_first_us()?;
        Some(client_us.saturating_sub(*server_us) as f64 / 1_000.0)
    });
    Quantiles::of(added.collect())
}

fn prompt_tokens(scene: &Scene) -> PromptTokens {
    let engines = scene.engines.iter().map(|engine| &engine.server);
    engines.fold(PromptTokens::default(), |sum, engine| PromptTokens {
        admitted: sum.admitted + engine.prompt_tokens_admitted(),
        prefilled: sum.prefilled + engine.prompt_tokens_prefilled(),
    })
}

fn answers(attempts: &[AttemptRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for attempt in attempts {
        let name = outcome(&attempt.outcome);
        *counts.entry(name).or_default() += 1;
    }
    counts
}
