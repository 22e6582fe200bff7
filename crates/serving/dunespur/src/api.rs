//! The `control` address: heartbeats of servers, the operator's configurations and retirements, as HTTP/1.1 with
//! JSON bodies.

use crate::directory::{Directory, Unavailable};
use crate::heartbeat::{self, Heartbeat};
use crate::load_exchange::LoadExchange;
use bytes::Bytes;
use dunespur_control_state::{
    Operation, Order, OrderKind, Outcome, RetireOutcome, RetireState, ServerReport,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Bytes of a configuration or heartbeat.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The caller goes on to another limiter after a second of silence; we answer before that.
const ORDER_TIMEOUT: Duration = Duration::from_millis(850);
/// An order with a large body is given longer by its caller.
const LARGE_ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes from which a body is large.
const LARGE_BODY: usize = 64 * 1024;
/// A caller that sends its head slower than this is cut.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// When to come back after a 503, in seconds.
const RETRY_SECONDS: &str = "0.3";
/// The header with the version that an order builds on.
const BASE_VERSION: &str = "x-dunespur-base-version";
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What the interface needs to know and to ask.
pub struct ControlApi {
    pub directory: Rc<Directory>,
    pub load_exchange: Rc<LoadExchange>,
    /// The port of this interface, the same on all machines.
    pub control_port: u16,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
}

type Answer = Response<Full<Bytes>>;

/// Serves the control address for as long as the task lives.
pub async fn serve(api: Rc<ControlApi>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(api.clone(), stream));
            }
            Err(error) => {
                log::warn!("control: accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(api: Rc<ControlApi>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.answer(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("control: a connection ended: {error}");
    }
}

/// What a path asks for.
enum Target {
    Heartbeat(String),
    Leave(String),
    Replace,
    Patch,
    GetConfiguration,
    RetireStart(String),
    RetireState(String),
    Unknown,
}

fn target(method: &Method, path: &str) -> Target {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let post = method == Method::POST;
    let get = method == Method::GET;
    match parts.as_slice() {
        ["api", "instances", id, "heartbeat"] if post => Target::Heartbeat((*id).to_owned()),
        ["api", "instances", id, "leave"] if post => Target::Leave((*id).to_owned()),
        ["api", "config", "replace"] if post => Target::Replace,
        ["api", "config", "patch"] if post => Target::Patch,
        ["api", "config", "get"] if get => Target::GetConfiguration,
        ["api", "retire", node, "start"] if post => Target::RetireStart((*node).to_owned()),
        ["api", "retire", node, "get"] if get => Target::RetireState((*node).to_owned()),
        _ => Target::Unknown,
    }
}

/// The body of an order to empty a machine.
#[derive(Deserialize)]
struct RetireBody {
    #[allow(dead_code)]
    deadline_s: f64,
}

impl ControlApi {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let target = target(request.method(), request.uri().path());
        let base = base_version(&request);
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return plain(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large or broke off",
            );
        };
        let body = body.to_bytes();
        match target {
            Target::Heartbeat(id) => self.heartbeat(id, &body).await,
            Target::Leave(id) => self.acknowledged(&Operation::ServerLeft { id }).await,
            Target::Replace => self.configure(OrderKind::Replace, base, body).await,
            Target::Patch => self.configure(OrderKind::Patch, base, body).await,
            Target::GetConfiguration => self.configuration().await,
            Target::RetireStart(node) => self.retire(node, &body).await,
            Target::RetireState(node) => self.retirement(&node).await,
            Target::Unknown => plain(StatusCode::NOT_FOUND, "no such interface"),
        }
    }

    async fn heartbeat(&self, id: String, body: &[u8]) -> Answer {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return plain(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let report = heartbeat.report(id);
        if self.directory.has_lost_contact() {
            // Told here it would reach nobody, and the server's lease would lapse: it is to call another one.
            return unavailable();
        }
        let heartbeat_address = self.heartbeat_address(&report);
        self.directory.renew_server_lease(&report.id);
        if heartbeat::is_known(&self.directory.known(), &report) {
            return heard(heartbeat_address);
        }
        match self
            .directory
            .execute(&Operation::Server(report), ORDER_TIMEOUT)
            .await
        {
            Ok(_) => heard(heartbeat_address),
            Err(Unavailable) => unavailable(),
        }
    }

    /// Where a server's later heartbeats are wanted: at the home of its service in its zone.
    fn heartbeat_address(&self, report: &ServerReport) -> Option<SocketAddr> {
        let home = self
            .load_exchange
            .aggregator_address(&report.backend, &report.zone)?;
        Some(SocketAddr::new(home.ip(), self.control_port))
    }

    /// Carries out an operation that can only succeed.
    async fn acknowledged(&self, operation: &Operation) -> Answer {
        match self.directory.execute(operation, ORDER_TIMEOUT).await {
            Ok(_) => accepted(),
            Err(Unavailable) => unavailable(),
        }
    }

    /// Has an order decided on. If others were refused before, it counts only with the fence that this call is told.
    async fn decide(
        &self,
        order: impl Fn(u64) -> Operation,
        limit: Duration,
    ) -> Result<Outcome, Unavailable> {
        let end = Instant::now() + limit;
        let mut fence = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.directory.execute(&order(fence), left).await? {
                Outcome::Fenced { fence: newer } if newer > fence => fence = newer,
                outcome => return Ok(outcome),
            }
        }
    }

    async fn configure(&self, kind: OrderKind, base: Option<u64>, body: Bytes) -> Answer {
        let Some(base) = base else {
            return plain(
                StatusCode::BAD_REQUEST,
                "X-Dunespur-Base-Version: is missing or no number",
            );
        };
        let limit = if body.len() >= LARGE_BODY {
            LARGE_ORDER_TIMEOUT
        } else {
            ORDER_TIMEOUT
        };
        let order = |fence| {
            Operation::Configure(Order {
                kind,
                base,
                body: body.to_vec(),
                fence,
            })
        };
        match self.decide(order, limit).await {
            Ok(Outcome::Accepted) => accepted(),
            Ok(Outcome::Current { generation }) => {
                let text =
                    json!({ "error": "another version is current", "generation": generation });
                json_answer(StatusCode::PRECONDITION_FAILED, text.to_string())
            }
            Ok(Outcome::Invalid(findings)) => {
                let list: Vec<_> = findings
                    .0
                    .iter()
                    .map(|finding| json!({ "place": finding.place, "problem": finding.problem }))
                    .collect();
                let text = json!({ "error": "the configuration is invalid", "findings": list });
                json_answer(StatusCode::BAD_REQUEST, text.to_string())
            }
            _ => unavailable(),
        }
    }

    async fn configuration(&self) -> Answer {
        match self.directory.read_configuration(ORDER_TIMEOUT).await {
            Ok(Some(json)) => json_answer(StatusCode::OK, json),
            Ok(None) => plain(StatusCode::NOT_FOUND, "no configuration yet"),
            Err(Unavailable) => unavailable(),
        }
    }

    async fn retire(&self, node: String, body: &[u8]) -> Answer {
        if let Err(error) = serde_json::from_slice::<RetireBody>(body) {
            return plain(StatusCode::BAD_REQUEST, &error.to_string());
        }
        let tolerated_losses = self.tolerated_losses;
        let order = |fence| Operation::RetireStart {
            node: node.clone(),
            tolerated_losses,
            fence,
        };
        match self.decide(order, ORDER_TIMEOUT).await {
            Ok(Outcome::Retire(RetireOutcome::Taken)) => accepted(),
            Ok(Outcome::Retire(RetireOutcome::UnknownNode)) => {
                plain(StatusCode::NOT_FOUND, "no such store machine")
            }
            Ok(Outcome::Retire(RetireOutcome::TooFew)) => {
                plain(StatusCode::CONFLICT, "too few store machines would be left")
            }
            _ => unavailable(),
        }
    }

    async fn retirement(&self, node: &str) -> Answer {
        match self.directory.read_retirement(node, ORDER_TIMEOUT).await {
            Ok(Some(RetireState::Running)) => {
                json_answer(StatusCode::OK, json!({ "state": "running" }).to_string())
            }
            Ok(Some(RetireState::Done)) => {
                json_answer(StatusCode::OK, json!({ "state": "done" }).to_string())
            }
            Ok(None) => plain(StatusCode::NOT_FOUND, "no retirement of such a machine"),
            Err(Unavailable) => unavailable(),
        }
    }
}

fn base_version(request: &Request<Incoming>) -> Option<u64> {
    request
        .headers()
        .get(BASE_VERSION)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

fn accepted() -> Answer {
    json_answer(StatusCode::OK, "{}".to_owned())
}

/// A heartbeat was taken; later ones go to the address, if there is one.
fn heard(heartbeat_address: Option<SocketAddr>) -> Answer {
    match heartbeat_address {
        Some(address) => json_answer(
            StatusCode::OK,
            json!({ "beat_addr": address.to_string() }).to_string(),
        ),
        None => accepted(),
    }
}

fn unavailable() -> Answer {
    let mut answer = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "the core did not answer in time",
    );
    answer.headers_mut().insert(
        RETRY_AFTER,
        hyper::header::HeaderValue::from_static(RETRY_SECONDS),
    );
    answer
}

fn plain(status: StatusCode, problem: &str) -> Answer {
    json_answer(status, json!({ "error": problem }).to_string())
}

fn json_answer(status: StatusCode, text: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
