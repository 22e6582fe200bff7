//! Request handlers of the control interface: heartbeats, configurations and retirements.

use super::heartbeat::{self, Heartbeat, MAX_NAME_BYTES};
use super::request::{base_version, Endpoint, RetireBody};
use super::responses::{self, HttpResponse};
use super::ControlApi;
use crate::directory::Unavailable;
use bytes::Bytes;
use dunespur_configuration::check_request_size;
use dunespur_control_state::{
    ConfigurationRequest, ConfigurationRequestKind, Operation, Outcome, RetirementOutcome,
    RetirementState, ServerReport,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of a request. Callers move to another gateway after a second without a response; this is shorter.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);
/// Timeout of a request with a large body, for which callers wait longer.
const LARGE_REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Size from which a body counts as large, in bytes.
const LARGE_BODY: usize = 64 * 1024;

impl ControlApi {
    pub(super) async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        let endpoint = Endpoint::of(request.method(), request.uri().path());
        let base = base_version(&request);
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return responses::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than 8 MiB or broke off",
            );
        };
        let body = body.to_bytes();
        match endpoint {
            Endpoint::Heartbeat(id) => self.heartbeat(id, &body).await,
            Endpoint::Leave(id) => self.leave(id).await,
            Endpoint::Replace => {
                self.configure(ConfigurationRequestKind::Replace, base, body)
                    .await
            }
            Endpoint::Patch => {
                self.configure(ConfigurationRequestKind::Patch, base, body)
                    .await
            }
            Endpoint::GetConfiguration => self.configuration().await,
            Endpoint::RetireStart(node) => self.retire(node, &body).await,
            Endpoint::RetirementState(node) => self.retirement(&node).await,
            Endpoint::Unknown => responses::error(StatusCode::NOT_FOUND, "no such interface"),
        }
    }

    async fn heartbeat(&self, id: String, body: &[u8]) -> HttpResponse {
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return responses::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let report = heartbeat.report(id);
        if !heartbeat::has_allowed_size(&self.directory.known(), &report) {
            return responses::names_too_long();
        }
        if self.directory.has_lost_contact() {
            // No core member would learn of the renewal, so the lease would expire: the server has to call another
            // gateway.
            return responses::unavailable();
        }
        let heartbeat_address = self.heartbeat_address(&report);
        self.directory.renew_server_lease(&report.id);
        if heartbeat::is_known(&self.directory.known(), &report) {
            return responses::heartbeat_acknowledged(heartbeat_address);
        }
        match self
            .directory
            .execute(&Operation::Server(report), REQUEST_TIMEOUT)
            .await
        {
            Ok(_) => responses::heartbeat_acknowledged(heartbeat_address),
            Err(Unavailable) => responses::unavailable(),
        }
    }

    async fn leave(&self, id: String) -> HttpResponse {
        let is_listed = self.directory.known().servers.contains_key(&id);
        if id.len() > MAX_NAME_BYTES && !is_listed {
            return responses::names_too_long();
        }
        self.execute(&Operation::ServerLeft { id }).await
    }

    /// The address for a server's next heartbeats: the control address of the load aggregator of its service and zone.
    fn heartbeat_address(&self, report: &ServerReport) -> Option<SocketAddr> {
        let aggregator = self
            .load_exchange
            .aggregator_address(&report.backend, &report.zone)?;
        Some(SocketAddr::new(aggregator.ip(), self.control_port))
    }

    /// Executes an operation whose outcome carries no rejection.
    async fn execute(&self, operation: &Operation) -> HttpResponse {
        match self.directory.execute(operation, REQUEST_TIMEOUT).await {
            Ok(_) => responses::accepted(),
            Err(Unavailable) => responses::unavailable(),
        }
    }

    /// Executes an operator's operation. If the core answers with a newer fencing token, the operation is repeated with
    /// that token.
    async fn execute_fenced(
        &self,
        operation: impl Fn(u64) -> Operation,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable> {
        let deadline = Instant::now() + timeout;
        let mut token = 0;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.directory.execute(&operation(token), remaining).await? {
                Outcome::Fenced {
                    fencing_token: newer,
                } if newer > token => token = newer,
                outcome => return Ok(outcome),
            }
        }
    }

    async fn configure(
        &self,
        kind: ConfigurationRequestKind,
        base: Option<u64>,
        body: Bytes,
    ) -> HttpResponse {
        let Some(base) = base else {
            return responses::error(
                StatusCode::BAD_REQUEST,
                "X-Dunespur-Base-Version: is missing or no number",
            );
        };
        if let Err(findings) = check_request_size(body.len()) {
            return responses::findings(StatusCode::PAYLOAD_TOO_LARGE, &findings);
        }
        let timeout = if body.len() >= LARGE_BODY {
            LARGE_REQUEST_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let operation = |token| {
            Operation::Configure(ConfigurationRequest {
                kind,
                base,
                body: body.to_vec(),
                fencing_token: token,
            })
        };
        match self.execute_fenced(operation, timeout).await {
            Ok(Outcome::Accepted) => responses::accepted(),
            Ok(Outcome::GenerationConflict { current }) => {
                let body = json!({ "error": "another version is current", "generation": current });
                responses::json_response(StatusCode::PRECONDITION_FAILED, body.to_string())
            }
            Ok(Outcome::Invalid(findings)) => {
                responses::findings(StatusCode::BAD_REQUEST, &findings)
            }
            _ => responses::unavailable(),
        }
    }

    async fn configuration(&self) -> HttpResponse {
        match self.directory.read_configuration(REQUEST_TIMEOUT).await {
            Ok(Some(json)) => responses::json_response(StatusCode::OK, json),
            Ok(None) => responses::error(StatusCode::NOT_FOUND, "no configuration yet"),
            Err(Unavailable) => responses::unavailable(),
        }
    }

    async fn retire(&self, node: String, body: &[u8]) -> HttpResponse {
        if let Err(error) = serde_json::from_slice::<RetireBody>(body) {
            return responses::error(StatusCode::BAD_REQUEST, &error.to_string());
        }
        let tolerated_losses = self.tolerated_losses;
        let operation = |token| Operation::RetireStart {
            node: node.clone(),
            tolerated_losses,
            fencing_token: token,
        };
        match self.execute_fenced(operation, REQUEST_TIMEOUT).await {
            Ok(Outcome::Retire(RetirementOutcome::Accepted)) => responses::accepted(),
            Ok(Outcome::Retire(RetirementOutcome::UnknownNode)) => {
                responses::error(StatusCode::NOT_FOUND, "no such store machine")
            }
            Ok(Outcome::Retire(RetirementOutcome::TooFew)) => {
                let reason = self.too_few_stores_without(&node);
                responses::error(StatusCode::CONFLICT, &reason)
            }
            _ => responses::unavailable(),
        }
    }

    /// The reason why a store can't be retired now, by this gateway's knowledge of the other stores.
    fn too_few_stores_without(&self, node: &str) -> String {
        let known = self.directory.known();
        let others = known.stores.values().filter(|store| store.name != node);
        let remaining = others
            .filter(|store| store.is_reliable() && store.accepts_placement())
            .count();
        let needed = self.tolerated_losses.saturating_add(1);
        format!(
            "too few store machines would be left: {remaining} others are present, complete and in use, {needed} are \
             needed"
        )
    }

    async fn retirement(&self, node: &str) -> HttpResponse {
        match self.directory.read_retirement(node, REQUEST_TIMEOUT).await {
            Ok(Some(RetirementState::Running)) => {
                responses::json_response(StatusCode::OK, json!({ "state": "running" }).to_string())
            }
            Ok(Some(RetirementState::Done)) => {
                responses::json_response(StatusCode::OK, json!({ "state": "done" }).to_string())
            }
            Ok(None) => responses::error(StatusCode::NOT_FOUND, "no retirement of such a machine"),
            Err(Unavailable) => responses::unavailable(),
        }
    }
}
