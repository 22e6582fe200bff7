//! Bounds of experiments: processes, servers, time and requests are few enough for one machine.

use super::file::{Experiment, Fault, FaultKind};
use dunespur_emulator::system::Role;

const MAX_MACHINES: usize = 40;
const MAX_CORE: usize = 7;
const MAX_SERVERS: usize = 64;
const MAX_TRAFFIC_S: f64 = 300.0;
const MAX_IDLE_S: f64 = 60.0;
const MAX_RATE: f64 = 2_000.0;

/// Findings that keep an experiment from being played, each with its field.
pub fn check(experiment: &Experiment) -> Vec<String> {
    let mut findings = Findings::default();
    let machines = &experiment.machines;
    let count = machines.core + machines.gateways + machines.stores;
    findings.expect(!machines.zones.is_empty(), "machines.zones: is empty");
    findings.expect(
        (1..=MAX_CORE).contains(&machines.core),
        "machines.core: is not 1 to 7",
    );
    findings.expect(count <= MAX_MACHINES, "machines: are more than 40");
    let services = &experiment.services;
    let servers = services.models.servers + services.tools.servers;
    findings.expect(servers <= MAX_SERVERS, "service: servers are more than 64");
    findings.expect(
        services.models.chunk_tokens > 0,
        "service.models.chunk_tokens: is 0",
    );
    findings.expect(
        services.models.read_per_ms > 0.0,
        "service.models.read_per_ms: is not above 0",
    );
    findings.expect(
        within(experiment.traffic_s, MAX_TRAFFIC_S),
        "traffic_s: is not above 0 and at most 300",
    );
    let idle = experiment.idle_s;
    findings.expect(
        idle == 0.0 || within(idle, MAX_IDLE_S),
        "idle_s: is not 0 to 60",
    );
    let programs = experiment
        .programs
        .iter()
        .map(|class| (&class.name, class.rate));
    let requests = experiment
        .requests
        .iter()
        .map(|class| (&class.name, class.rate));
    for (name, rate) in programs.chain(requests) {
        findings.expect(
            within(rate, MAX_RATE),
            &format!("{name}.rate: is not above 0 and at most 2000"),
        );
    }
    for (index, fault) in experiment.faults.iter().enumerate() {
        let known = fault.number < targets(experiment, fault);
        findings.expect(
            known,
            &format!("fault {index}: there is no number {}", fault.number),
        );
        findings.expect(
            fault.lasts_s >= 0.0,
            &format!("fault {index}.lasts_s: is below 0"),
        );
    }
    findings.0
}

/// How many there are of what a fault names by a number.
fn targets(experiment: &Experiment, fault: &Fault) -> usize {
    let machines = &experiment.machines;
    match (fault.kind.role(), fault.kind) {
        (Some(Role::Core), _) => machines.core,
        (Some(Role::Gateway), _) => machines.gateways,
        (Some(Role::Store), _) => machines.stores,
        (None, FaultKind::LoseAnswers) => experiment.services.tools.servers,
        (None, FaultKind::ReplaceModel | FaultKind::CrashModel) => {
            experiment.services.models.servers
        }
        (None, _) => usize::MAX,
    }
}

fn within(value: f64, maximum: f64) -> bool {
    value > 0.0 && value <= maximum
}

#[derive(Default)]
struct Findings(Vec<String>);

impl Findings {
    fn expect(&mut self, condition: bool, problem: &str) {
        if !condition {
            self.0.push(problem.to_owned());
        }
    }
}
