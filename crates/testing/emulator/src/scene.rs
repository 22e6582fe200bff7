//! A whole scene: a running system with its servers, clients and operator, set up until requests are served.

use crate::client::{Ask, Client, Kind};
use crate::clock::Clock;
use crate::configuration::{ConfigurationPlan, EnginePlan, LimitsPlan, RoutePlan, ServicePlan};
use crate::engine::{EngineServer, EngineSettings};
use crate::heartbeat::{Beat, Registration};
use crate::identity::IdentitySource;
use crate::judge::{judge, Span, Terms, Violation};
use crate::operator::Operator;
use crate::plain::{PlainServer, PlainSettings};
use crate::program::{ProgramPlan, SharedPart};
use crate::record::{Acknowledged, Record};
use crate::server::{Door, Identity, Surroundings};
use crate::system::{MachinePlan, Role, System, SystemPlan};
use anyhow::Context;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// Host, services and routes of the usual configuration.
pub const HOST: &str = "agents.example";
/// Service of the model servers.
pub const MODELS: &str = "models";
/// Service of the plain servers.
pub const TOOLS: &str = "tools";
/// Turns that the system keeps.
pub const KEPT_TURNS: &str = "/kept/";
/// Turns that it does not keep.
pub const TURNS: &str = "/turns/";
/// Calls that change nothing.
pub const LOOKUP: &str = "/lookup/";
/// Calls that change something.
pub const RECORD: &str = "/record/";

/// A system has so long to come up, and to take what it is told.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at what is to become so.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// What a scene is set up with.
#[derive(Clone, Debug)]
pub struct ScenePlan {
    /// The system's machines.
    pub machines: Vec<MachinePlan>,
    /// Machines that may be lost at one time.
    pub tolerated_losses: u32,
    /// Time between the servers' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// How many model servers there are.
    pub engines: usize,
    /// Requests that each runs side by side.
    pub engine_slots: u32,
    /// How they behave.
    pub engine: EngineSettings,
    /// How many plain servers there are.
    pub plains: usize,
    /// Requests that each runs side by side.
    pub plain_slots: u32,
    /// How they behave.
    pub plain: PlainSettings,
    /// The configuration that is sent first.
    pub configuration: ConfigurationPlan,
    /// What all random draws follow from.
    pub seed: u64,
    /// Whether the record keeps the bodies that servers got.
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
    let mut kept = RoutePlan::new("kept", HOST, KEPT_TURNS, streaming, MODELS);
    kept.persisted = true;
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
            kept,
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

/// A program of a few kept turns.
#[must_use]
pub fn usual_program() -> ProgramPlan {
    ProgramPlan {
        host: HOST.to_owned(),
        target: format!("{KEPT_TURNS}chat"),
        persisted: true,
        turns: 3,
        shared: SharedPart {
            id: "5c1e07a2".to_owned(),
            tokens: 800,
        },
        input_bytes: 400,
        input_tokens: 100,
        most: 12,
        chunk_tokens: 3,
        budget: 1_000,
        tools: Vec::new(),
        sub_agents: None,
        model: "m".to_owned(),
        deadline_ms: 5_000,
        target_ms: 200,
        pause_ms: 300,
        retries: 1,
        finish_ms: 20_000,
    }
}

/// A model server with its registration.
#[derive(Debug)]
pub struct Engine {
    /// The server.
    pub server: EngineServer,
    /// Its heartbeats.
    pub registration: Registration,
}

impl Engine {
    /// Ends once it has neither running nor waiting requests.
    pub async fn drained(&self) {
        while self.server.load().running + self.server.load().queued > 0 {
            sleep(LOOK_PAUSE).await;
        }
    }
}

/// A plain server with its registration.
#[derive(Debug)]
pub struct Plain {
    /// The server.
    pub server: PlainServer,
    /// Its heartbeats.
    pub registration: Registration,
}

/// A scene that plays. All ends with it.
#[derive(Debug)]
pub struct Scene {
    /// The processes under test.
    pub system: System,
    /// The shared clock.
    pub clock: Clock,
    /// What clients and servers saw.
    pub record: Record,
    /// Where request ids come from.
    pub identities: IdentitySource,
    /// A client of all fronts.
    pub client: Client,
    /// The operator.
    pub operator: Operator,
    /// The model servers.
    pub engines: Vec<Engine>,
    /// The plain servers.
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
    /// A process or a server did not start.
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
    /// A process or a server did not start, or the system did not serve in time; the tails of the logs are in it.
    pub async fn start(program: &Path, plan: ScenePlan) -> anyhow::Result<Scene> {
        let mut scene = Scene::begin(program, plan).await?;
        match scene.set_up().await {
            Ok(()) => Ok(scene),
            Err(error) => Err(error.context(scene.system.log_tails())),
        }
    }

    async fn set_up(&mut self) -> anyhow::Result<()> {
        self.configure().await?;
        self.settle().await
    }

    /// Sends the plan's configuration until it is taken.
    ///
    /// # Errors
    /// The configuration was not taken within [`SETTLE_LIMIT`].
    pub async fn configure(&mut self) -> anyhow::Result<()> {
        let plan = self.plan.configuration.clone();
        let answer = self.operator.replace(0, &plan.json(), SETTLE_LIMIT).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(
            answer.status == 200,
            "the first configuration: {} {text}",
            answer.status
        );
        self.configurations.push(plan);
        Ok(())
    }

    /// Ends once every running gateway is ready and serves a lookup.
    ///
    /// # Errors
    /// A gateway does not serve within [`SETTLE_LIMIT`].
    pub async fn settle(&mut self) -> anyhow::Result<()> {
        self.system.ready(SETTLE_LIMIT).await?;
        for index in self.system.places(|plan| plan.role != Role::Store) {
            if self.system.machines()[index].is_running() {
                self.serves(index).await?;
            }
        }
        Ok(())
    }

    /// Ends once this gateway serves lookups and turns.
    ///
    /// # Errors
    /// It does not within [`SETTLE_LIMIT`].
    pub async fn serves(&self, index: usize) -> anyhow::Result<()> {
        let front = self.system.front(index);
        if !self.plains.is_empty() {
            self.answers(front, &Ask::get(HOST, &format!("{LOOKUP}settle")))
                .await?;
        }
        if !self.engines.is_empty() {
            let ask = self.turn_ask();
            self.answers(front, &ask).await?;
        }
        Ok(())
    }

    /// Ends once a limiter answers `ask` with success.
    ///
    /// # Errors
    /// It does not within [`SETTLE_LIMIT`].
    pub async fn answers(&self, front: SocketAddr, ask: &Ask) -> anyhow::Result<()> {
        let until = Instant::now() + SETTLE_LIMIT;
        loop {
            let served = self.client.send_to(front, ask).await;
            if served.succeeded() {
                return Ok(());
            }
            anyhow::ensure!(
                Instant::now() < until,
                "{front} does not serve {}: {served:?}",
                ask.target
            );
            sleep(LOOK_PAUSE).await;
        }
    }

    /// A turn of a program of its own.
    #[must_use]
    pub fn turn_ask(&self) -> Ask {
        let line = crate::program::Line::new(&self.client, &usual_program());
        line.ask(&self.client, &"settle".into())
    }

    /// Starts a model server and has it known.
    ///
    /// # Errors
    /// No address, or the system does not take its registration in time.
    pub async fn add_engine(&mut self) -> anyhow::Result<usize> {
        let (listener, identity) = self.identity(MODELS, self.plan.engine_slots).await?;
        let settings = self.plan.engine.clone();
        let models = settings.models.clone();
        let server = EngineServer::start(listener, identity, settings, self.surroundings());
        let beat = Beat {
            pause: self.beat_pause(),
            cold_left_ms: 0,
            models,
        };
        let registration = Registration::start(server.door.clone(), self.system.controls(), beat);
        self.engines.push(Engine {
            server,
            registration,
        });
        Ok(self.engines.len() - 1)
    }

    /// Starts a plain server of another incarnation, and maybe another service, at an address that was used before.
    ///
    /// # Errors
    /// The address is taken, or the system does not take its registration in time.
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

    /// Starts a plain server and has it known.
    ///
    /// # Errors
    /// No address, or the system does not take its registration in time.
    pub async fn add_plain(&mut self) -> anyhow::Result<usize> {
        let (listener, identity) = self.identity(TOOLS, self.plan.plain_slots).await?;
        Ok(self.start_plain(listener, identity))
    }

    fn start_plain(&mut self, listener: TcpListener, identity: Identity) -> usize {
        let server = PlainServer::start(
            listener,
            identity,
            self.plan.plain.clone(),
            self.surroundings(),
        );
        let beat = Beat {
            pause: self.beat_pause(),
            cold_left_ms: 0,
            models: Vec::new(),
        };
        let registration = Registration::start(server.door.clone(), self.system.controls(), beat);
        self.plains.push(Plain {
            server,
            registration,
        });
        self.plains.len() - 1
    }

    /// The doors of all servers that run.
    pub fn servers(&self) -> impl Iterator<Item = &Door> {
        let engines = self
            .engines
            .iter()
            .map(|engine| engine.server.door.as_ref());
        engines.chain(self.plains.iter().map(|plain| plain.server.door.as_ref()))
    }

    /// All rules that the record breaks.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations_except(Vec::new())
    }

    /// All rules that the record breaks, where machines were out of touch at times.
    #[must_use]
    pub fn violations_except(&self, unrest: Vec<Span>) -> Vec<Violation> {
        let terms = Terms {
            unrest,
            ..Terms::of(self.configurations.clone())
        };
        judge(&self.record, &terms)
    }

    /// Asks a gateway to leave; clients go to the others from now on.
    ///
    /// # Errors
    /// Its process does not run.
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

    fn surroundings(&self) -> Surroundings {
        Surroundings {
            clock: self.clock,
            record: self.record.clone(),
        }
    }

    fn beat_pause(&self) -> Duration {
        Duration::from_millis(self.plan.heartbeat_ms)
    }
}
