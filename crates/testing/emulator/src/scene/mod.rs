//! Scenes: a running system with its servers, client and operator.

mod error;
mod plan;

pub use error::SceneError;
pub use plan::{
    usual_configuration, usual_program, ScenePlan, HOST, LOOKUP, MODELS, PERSISTED_TURNS, RECORD,
    TOOLS, TURNS,
};

use crate::client::{Client, RequestSpec};
use crate::clock::Clock;
use crate::configuration::ConfigurationPlan;
use crate::engine::EngineServer;
use crate::heartbeat::{HeartbeatSettings, Registration};
use crate::identity::IdentitySource;
use crate::judge::{judge, JudgeSettings, Span, Violation};
use crate::operator::Operator;
use crate::plain::PlainServer;
use crate::record::{Acknowledged, Record};
use crate::server::{Identity, ServerHandle, TestContext};
use crate::system::{Role, System, SystemPlan};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// Time limit for a system to start to serve, and to acknowledge an order.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running model server with its registration.
#[derive(Debug)]
pub struct Engine {
    /// The server.
    pub server: EngineServer,
    /// Its registration with the gateways.
    pub registration: Registration,
}

impl Engine {
    /// Returns once the server has neither running nor waiting requests.
    pub async fn drained(&self) {
        while self.server.load().running + self.server.load().queued > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A running plain server with its registration.
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
    /// What servers, clients and operator observed.
    pub record: Record,
    /// Source of all ids of the scene.
    pub identities: IdentitySource,
    /// A client that sends to all gateways.
    pub client: Client,
    /// The operator, who configures the system.
    pub operator: Operator,
    /// Running model servers.
    pub engines: Vec<Engine>,
    /// Running plain servers.
    pub plains: Vec<Plain>,
    /// Plan of the scene, with the first configuration; tests that send further ones add them to `configurations`.
    pub plan: ScenePlan,
    /// All configurations sent so far, for the judge.
    pub configurations: Vec<ConfigurationPlan>,
}

impl Scene {
    /// Starts the processes and the servers, without sending a configuration.
    ///
    /// # Errors
    ///
    /// Fails where a process could not be started or an address could not be bound.
    pub async fn begin(program: &Path, plan: ScenePlan) -> Result<Scene, SceneError> {
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

    /// Starts a scene, sends its configuration and waits until every gateway serves.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::begin`] does, and where the system does not serve within [`READY_TIMEOUT`]; the error then shows
    /// the ends of the logs.
    pub async fn start(program: &Path, plan: ScenePlan) -> Result<Scene, SceneError> {
        let mut scene = Scene::begin(program, plan).await?;
        match scene.set_up().await {
            Ok(()) => Ok(scene),
            Err(error) => Err(SceneError::SetUp {
                logs: scene.system.log_tails(),
                source: Box::new(error),
            }),
        }
    }

    async fn set_up(&mut self) -> Result<(), SceneError> {
        self.configure().await?;
        self.wait_until_serving().await
    }

    /// Sends the plan's configuration; returns once it is acknowledged.
    ///
    /// # Errors
    ///
    /// Fails where the configuration is rejected or no clear response comes within [`READY_TIMEOUT`].
    pub async fn configure(&mut self) -> Result<(), SceneError> {
        let plan = self.plan.configuration.clone();
        let answer = self
            .operator
            .replace(0, &plan.json(), READY_TIMEOUT)
            .await?;
        if answer.status != 200 {
            return Err(SceneError::ConfigurationRejected {
                status: answer.status,
                text: String::from_utf8_lossy(&answer.body).into_owned(),
            });
        }
        self.configurations.push(plan);
        Ok(())
    }

    /// Returns once every running gateway is ready and serves lookups and turns.
    ///
    /// # Errors
    ///
    /// Fails where a gateway is not ready or does not serve within [`READY_TIMEOUT`].
    pub async fn wait_until_serving(&mut self) -> Result<(), SceneError> {
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
    /// Fails where the gateway does not serve within [`READY_TIMEOUT`].
    pub async fn serves(&self, index: usize) -> Result<(), SceneError> {
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

    /// Sends `spec` to the gateway at `front` until a response has a 2xx status.
    ///
    /// # Errors
    ///
    /// Fails where no attempt succeeds within [`READY_TIMEOUT`].
    pub async fn answers(&self, front: SocketAddr, spec: &RequestSpec) -> Result<(), SceneError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let served = self.client.send_to(front, spec).await;
            if served.succeeded() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(SceneError::NotServing {
                    front,
                    target: spec.target.clone(),
                    last: Box::new(served),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The request of a new program's first turn.
    #[must_use]
    pub fn turn_request(&self) -> RequestSpec {
        let conversation = crate::program::Conversation::new(&self.client, &usual_program());
        conversation.next_request(&self.client, &"settle".into())
    }

    /// Starts and registers a model server; returns its index.
    ///
    /// # Errors
    ///
    /// Fails where its address could not be bound.
    pub async fn add_engine(&mut self) -> Result<usize, SceneError> {
        let (listener, identity) = self.new_identity(MODELS, self.plan.engine_slots).await?;
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

    /// Starts and registers a plain server of the service `backend` at an address that an earlier server used; returns
    /// its index.
    ///
    /// # Errors
    ///
    /// Fails where the address could not be bound.
    pub async fn add_plain_at(
        &mut self,
        address: SocketAddr,
        backend: &str,
    ) -> Result<usize, SceneError> {
        let (listener, identity) = self
            .new_identity_at(address, backend, self.plan.plain_slots)
            .await?;
        Ok(self.start_plain(listener, identity))
    }

    /// Starts and registers a plain server; returns its index.
    ///
    /// # Errors
    ///
    /// Fails where its address could not be bound.
    pub async fn add_plain(&mut self) -> Result<usize, SceneError> {
        let (listener, identity) = self.new_identity(TOOLS, self.plan.plain_slots).await?;
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

    /// All violations of the rules in the record.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations_except(Vec::new())
    }

    /// All violations of the rules in the record; rules with a time bound are not checked during `disturbances`.
    #[must_use]
    pub fn violations_except(&self, disturbances: Vec<Span>) -> Vec<Violation> {
        let settings = JudgeSettings {
            disturbances,
            ..JudgeSettings::of(self.configurations.clone())
        };
        judge(&self.record, &settings)
    }

    /// Sends SIGTERM to a gateway and removes it from the gateways that the client uses.
    ///
    /// # Errors
    ///
    /// Fails where its process does not run.
    pub fn terminate(&mut self, index: usize) -> Result<(), SceneError> {
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

    async fn new_identity(
        &mut self,
        backend: &str,
        slots: u32,
    ) -> Result<(TcpListener, Identity), SceneError> {
        let address = self.system.server_address()?;
        self.new_identity_at(address, backend, slots).await
    }

    async fn new_identity_at(
        &mut self,
        address: SocketAddr,
        backend: &str,
        slots: u32,
    ) -> Result<(TcpListener, Identity), SceneError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| SceneError::Bind { address, source })?;
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
