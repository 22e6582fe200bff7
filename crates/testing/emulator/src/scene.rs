//! A running system with its servers, clients and operator, set up until requests are served.

use crate::client::{Client, Kind, RequestSpec};
use crate::clock::Clock;
use crate::configuration::{ConfigurationPlan, EnginePlan, LimitsPlan, RoutePlan, ServicePlan};
use crate::engine::{EngineServer, EngineSettings};
use crate::heartbeat::{HeartbeatSettings, Registration};
use crate::identity::IdentitySource;
use crate::judge::{judge, JudgeSettings, Span, Violation};
use crate::operator::Operator;
use crate::plain::{PlainServer, PlainSettings};
use crate::program::{ProgramPlan, SharedPrefix};
use crate::record::{Acknowledged, Record};
use crate::server::{Identity, ServerHandle, TestContext};
use crate::system::{MachinePlan, Role, System, SystemPlan};
use anyhow::Context;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// Host of the usual configuration.
pub const HOST: &str = "agents.example";
/// Service of model servers.
pub const MODELS: &str = "models";
/// Service of plain servers.
pub const TOOLS: &str = "tools";
/// Turns that the system stores.
pub const PERSISTED_TURNS: &str = "/kept/";
/// Turns that it does not store.
pub const TURNS: &str = "/turns/";
/// Read-only calls of tools.
pub const LOOKUP: &str = "/lookup/";
/// Mutating calls of tools.
pub const RECORD: &str = "/record/";

/// Time for a system to start, and to apply an order.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Contents of a scene.
#[derive(Clone, Debug)]
pub struct ScenePlan {
    /// Machines of the system.
    pub machines: Vec<MachinePlan>,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
    /// Heartbeat interval of servers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of model servers.
    pub engines: usize,
    /// Requests that a model server runs at once.
    pub engine_slots: u32,
    /// Settings of the model servers.
    pub engine: EngineSettings,
    /// Number of plain servers.
    pub plains: usize,
    /// Requests that a plain server runs at once.
    pub plain_slots: u32,
    /// Settings of the plain servers.
    pub plain: PlainSettings,
    /// First configuration of the operator.
    pub configuration: ConfigurationPlan,
    /// Seed of all ids.
    pub seed: u64,
    /// Whether the record stores the bodies that servers receive.
    pub keep_bodies: bool,
}

impl Default for ScenePlan {
    /// Three core members, one gateway without a disk, three stores, two servers of each service.
    fn default() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let mut machines: Vec<MachinePlan> = zones
            .iter()
            .map(|zone| MachinePlan::new(Role::Core, zone))
            .collect();
        machines.push(MachinePlan::new(Role::Gateway, zones[0]));
        machines.extend(zones.iter().map(|zone| MachinePlan::new(Role::Store, zone)));
        ScenePlan {
            machines,
            tolerated_losses: 1,
            heartbeat_ms: 400,
            engines: 2,
            engine_slots: 8,
            engine: EngineSettings::default(),
            plains: 2,
            plain_slots: 4,
            plain: PlainSettings::default(),
            configuration: usual_configuration(),
            seed: 1,
            keep_bodies: true,
        }
    }
}

/// One service of model servers, one of plain servers, a route for each kind of request.
#[must_use]
pub fn usual_configuration() -> ConfigurationPlan {
    let streaming = Kind::Streaming { resumable: false };
    let mut persisted = RoutePlan::new("kept", HOST, PERSISTED_TURNS, streaming, MODELS);
    persisted.persisted = true;
    let mut lookup = RoutePlan::new("lookup", HOST, LOOKUP, Kind::ReadOnly, TOOLS);
    lookup.retries = 2;
    let engine = EnginePlan {
        slots: 8,
        kv_capacity: 232_000,
        chunk_tokens: 3,
        models: vec!["m".to_owned()],
    };
    ConfigurationPlan {
        generation: 1,
        routes: vec![
            persisted,
            RoutePlan::new("turns", HOST, TURNS, streaming, MODELS),
            lookup,
            RoutePlan::new("record", HOST, RECORD, Kind::Mutating, TOOLS),
        ],
        services: vec![
            ServicePlan {
                name: MODELS.to_owned(),
                max_conns: 220,
                engine: Some(engine),
            },
            ServicePlan {
                name: TOOLS.to_owned(),
                max_conns: 120,
                engine: None,
            },
        ],
        limits: LimitsPlan::default(),
    }
}

/// A program of a few stored turns.
#[must_use]
pub fn usual_program() -> ProgramPlan {
    ProgramPlan {
        host: HOST.to_owned(),
        target: format!("{PERSISTED_TURNS}chat"),
        persisted: true,
        turns: 3,
        shared: SharedPrefix {
            id: "5c1e07a2".to_owned(),
            tokens: 800,
        },
        input_bytes: 400,
        input_tokens: 100,
        max_tokens: 12,
        chunk_tokens: 3,
        budget: 1_000,
        tools: Vec::new(),
        sub_agents: None,
        model: "m".to_owned(),
        deadline_ms: 5_000,
        target_ms: 200,
        max_gap_ms: 300,
        retries: 1,
        finish_ms: 20_000,
    }
}

/// A model server with its registration.
#[derive(Debug)]
pub struct Engine {
    /// The server.
    pub server: EngineServer,
    /// Its registration with the gateways.
    pub registration: Registration,
}

impl Engine {
    /// Returns once it has neither running nor waiting requests.
    pub async fn drained(&self) {
        while self.server.load().running + self.server.load().queued > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A plain server with its registration.
#[derive(Debug)]
pub struct Plain {
    /// The server.
    pub server: PlainServer,
    /// Its registration with the gateways.
    pub registration: Registration,
}

/// A running scene. Dropping it stops all processes and servers.
#[derive(Debug)]
pub struct Scene {
    /// The processes under test.
    pub system: System,
    /// The clock of the record.
    pub clock: Clock,
    /// What servers, clients and operator saw.
    pub record: Record,
    /// Source of ids.
    pub identities: IdentitySource,
    /// A client of all gateways.
    pub client: Client,
    /// The operator.
    pub operator: Operator,
    /// Model servers that run.
    pub engines: Vec<Engine>,
    /// Plain servers that run.
    pub plains: Vec<Plain>,
    /// The configuration first sent; tests that send others add them to `configurations`.
    pub plan: ScenePlan,
    /// All configurations sent, for the judge.
    pub configurations: Vec<ConfigurationPlan>,
}

impl Scene {
    /// Starts the processes and the servers without any order of the operator.
    ///
    /// # Errors
    ///
    /// Fails where a process could not be started or an address could not be bound.
    pub async fn begin(program: &Path, plan: ScenePlan) -> anyhow::Result<Scene> {
        let clock = Clock::start();
        let record = if plan.keep_bodies {
            Record::with_bodies()
        } else {
            Record::default()
        };
        let identities = IdentitySource::new(plan.seed);
        let system = System::start(SystemPlan {
            program: program.to_owned(),
            machines: plan.machines.clone(),
            heartbeat_ms: plan.heartbeat_ms,
            tolerated_losses: plan.tolerated_losses,
        })?;
        let client = Client::new(clock, record.clone(), identities.clone(), system.fronts());
        let operator = Operator::new(clock, record.clone(), system.controls());
        let mut scene = Scene {
            system,
            clock,
            record,
            identities,
            client,
            operator,
            engines: Vec::new(),
            plains: Vec::new(),
            plan,
            configurations: Vec::new(),
        };
        for _ in 0..scene.plan.engines {
            scene.add_engine().await?;
        }
        for _ in 0..scene.plan.plains {
            scene.add_plain().await?;
        }
        Ok(scene)
    }

    /// A scene in which the configuration is in force and every gateway serves.
    ///
    /// # Errors
    ///
    /// As [`Self::begin`], and where the system does not serve within [`READY_TIMEOUT`]; the logs are in the error.
    pub async fn start(program: &Path, plan: ScenePlan) -> anyhow::Result<Scene> {
        let mut scene = Scene::begin(program, plan).await?;
        match scene.set_up().await {
            Ok(()) => Ok(scene),
            Err(error) => Err(error.context(scene.system.log_tails())),
        }
    }

    async fn set_up(&mut self) -> anyhow::Result<()> {
        self.configure().await?;
        self.wait_until_serving().await
    }

    /// Sends the plan's configuration until it is acknowledged.
    ///
    /// # Errors
    ///
    /// Fails where the configuration is rejected or no clear response comes within [`READY_TIMEOUT`].
    pub async fn configure(&mut self) -> anyhow::Result<()> {
        let plan = self.plan.configuration.clone();
        let answer = self
            .operator
            .replace(0, &plan.json(), READY_TIMEOUT)
            .await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(
            answer.status == 200,
            "the first configuration: {} {text}",
            answer.status
        );
        self.configurations.push(plan);
        Ok(())
    }

    /// Returns once every running gateway is ready and serves lookups and turns.
    ///
    /// # Errors
    ///
    /// Fails where a gateway is not ready or does not serve within [`READY_TIMEOUT`].
    pub async fn wait_until_serving(&mut self) -> anyhow::Result<()> {
        self.system.ready(READY_TIMEOUT).await?;
        for index in self.system.machine_indices(|plan| plan.role != Role::Store) {
            if self.system.machines()[index].is_running() {
                self.serves(index).await?;
            }
        }
        Ok(())
    }

    /// Returns once this gateway serves lookups and turns.
    ///
    /// # Errors
    ///
    /// Fails where it does not serve within [`READY_TIMEOUT`].
    pub async fn serves(&self, index: usize) -> anyhow::Result<()> {
        let front = self.system.front(index);
        if !self.plains.is_empty() {
            self.answers(front, &RequestSpec::get(HOST, &format!("{LOOKUP}settle")))
                .await?;
        }
        if !self.engines.is_empty() {
            let spec = self.turn_request();
            self.answers(front, &spec).await?;
        }
        Ok(())
    }

    /// Returns once a gateway answers `spec` with success.
    ///
    /// # Errors
    ///
    /// Fails where no attempt succeeds within [`READY_TIMEOUT`].
    pub async fn answers(&self, front: SocketAddr, spec: &RequestSpec) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let served = self.client.send_to(front, spec).await;
            if served.succeeded() {
                return Ok(());
            }
            anyhow::ensure!(
                Instant::now() < until,
                "{front} does not serve {}: {served:?}",
                spec.target
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The first turn of a new program.
    #[must_use]
    pub fn turn_request(&self) -> RequestSpec {
        let line = crate::program::Conversation::new(&self.client, &usual_program());
        line.next_request(&self.client, &"settle".into())
    }

    /// Starts and registers a model server; returns its index.
    ///
    /// # Errors
    ///
    /// Fails where its address could not be bound.
    pub async fn add_engine(&mut self) -> anyhow::Result<usize> {
        let (listener, identity) = self.identity(MODELS, self.plan.engine_slots).await?;
        let settings = self.plan.engine.clone();
        let models = settings.models.clone();
        let server = EngineServer::start(listener, identity, settings, self.context());
        let heartbeat = HeartbeatSettings {
            interval: self.heartbeat_interval(),
            warm_up_left_ms: 0,
            models,
        };
        let registration =
            Registration::start(server.handle.clone(), self.system.controls(), heartbeat);
        self.engines.push(Engine {
            server,
            registration,
        });
        Ok(self.engines.len() - 1)
    }

    /// Starts a plain server of another incarnation, and maybe another service, at an address that was used before.
    ///
    /// # Errors
    ///
    /// Fails where the address could not be bound.
    pub async fn add_plain_at(
        &mut self,
        address: SocketAddr,
        backend: &str,
    ) -> anyhow::Result<usize> {
        let (listener, identity) = self
            .identity_at(address, backend, self.plan.plain_slots)
            .await?;
        Ok(self.start_plain(listener, identity))
    }

    /// Starts and registers a plain server; returns its index.
    ///
    /// # Errors
    ///
    /// Fails where its address could not be bound.
    pub async fn add_plain(&mut self) -> anyhow::Result<usize> {
        let (listener, identity) = self.identity(TOOLS, self.plan.plain_slots).await?;
        Ok(self.start_plain(listener, identity))
    }

    fn start_plain(&mut self, listener: TcpListener, identity: Identity) -> usize {
        let server =
            PlainServer::start(listener, identity, self.plan.plain.clone(), self.context());
        let heartbeat = HeartbeatSettings {
            interval: self.heartbeat_interval(),
            warm_up_left_ms: 0,
            models: Vec::new(),
        };
        let registration =
            Registration::start(server.handle.clone(), self.system.controls(), heartbeat);
        self.plains.push(Plain {
            server,
            registration,
        });
        self.plains.len() - 1
    }

    /// The handles of all running servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerHandle> {
        let engines = self
            .engines
            .iter()
            .map(|engine| engine.server.handle.as_ref());
        engines.chain(self.plains.iter().map(|plain| plain.server.handle.as_ref()))
    }

    /// All rules that the record breaks.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations_except(Vec::new())
    }

    /// All rules that the record breaks, given the times of unplanned faults.
    #[must_use]
    pub fn violations_except(&self, disturbances: Vec<Span>) -> Vec<Violation> {
        let settings = JudgeSettings {
            disturbances,
            ..JudgeSettings::of(self.configurations.clone())
        };
        judge(&self.record, &settings)
    }

    /// Sends SIGTERM to a gateway; clients use the others from now on.
    ///
    /// # Errors
    ///
    /// Fails where its process does not run.
    pub fn terminate(&mut self, index: usize) -> anyhow::Result<()> {
        let front = self.system.front(index);
        let others = self
            .system
            .fronts()
            .into_iter()
            .filter(|other| *other != front)
            .collect();
        self.system.machine(index).terminate()?;
        self.client.set_fronts(others);
        let now = self.clock.now_ms();
        self.record
            .acknowledged(now, now, Acknowledged::Terminated { front });
        Ok(())
    }

    async fn identity(
        &mut self,
        backend: &str,
        slots: u32,
    ) -> anyhow::Result<(TcpListener, Identity)> {
        let address = self.system.server_address()?;
        self.identity_at(address, backend, slots).await
    }

    async fn identity_at(
        &mut self,
        address: SocketAddr,
        backend: &str,
        slots: u32,
    ) -> anyhow::Result<(TcpListener, Identity)> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| address.to_string())?;
        let zone = self.plan.machines[self.engines.len() % self.plan.machines.len()]
            .zone
            .clone();
        let identity = Identity {
            instance: self.identities.instance(),
            backend: backend.to_owned(),
            address,
            zone,
            generation: "v1".to_owned(),
            slots,
        };
        Ok((listener, identity))
    }

    fn context(&self) -> TestContext {
        TestContext {
            clock: self.clock,
            record: self.record.clone(),
        }
    }

    fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.plan.heartbeat_ms)
    }
}
