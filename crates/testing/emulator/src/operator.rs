//! The operator: sends orders to the gateways. An order is repeated unchanged at one gateway after the other until a
//! response says clearly whether the order was accepted.

use crate::client::call::{call, Call, CallResponse};
use crate::clock::Clock;
use crate::record::{Acknowledged, Record};
use crate::wire::name;
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time limit of a call, after which the next gateway is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of redirections that are followed.
const MAX_REDIRECTIONS: u32 = 2;
/// Backoff after the first failure; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Number of 4xx responses to an order after which a status that may be temporary ends the order; 408 and 429 never do.
const MAX_REJECTIONS: u32 = 3;

/// An operator who sends orders to the gateways at `controls`.
#[derive(Clone, Debug)]
pub struct Operator {
    clock: Clock,
    record: Record,
    controls: Vec<SocketAddr>,
    /// Index of the gateway to call next.
    next: usize,
}

/// The clear response to an order.
#[derive(Clone, Debug)]
pub struct OrderResponse {
    /// HTTP status.
    pub status: u16,
    /// Body of the response.
    pub body: Bytes,
    /// Time from the first attempt to the response, in milliseconds.
    pub took_ms: u64,
    /// Number of attempts.
    pub attempts: u32,
}

/// Error of an order that received no clear response within its time limit.
#[derive(Clone, Debug)]
pub struct NoClearResponse {
    /// Status of the last response, if any came.
    pub last: Option<u16>,
    /// Number of attempts.
    pub attempts: u32,
}

impl std::fmt::Display for NoClearResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "no clear response after {} attempts; status of the last response: {:?}",
            self.attempts, self.last
        )
    }
}

impl std::error::Error for NoClearResponse {}

impl Operator {
    /// An operator that sends to the gateways at `controls`.
    #[must_use]
    pub fn new(clock: Clock, record: Record, controls: Vec<SocketAddr>) -> Operator {
        Operator {
            clock,
            record,
            controls,
            next: 0,
        }
    }

    /// Replaces the gateways' addresses.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.controls = controls;
    }

    /// Replaces the whole configuration, which must have version `base`.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn replace(
        &mut self,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        self.configure("/api/config/replace", base, body, limit)
            .await
    }

    /// Applies a patch to the configuration, which must have version `base`.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn patch(
        &mut self,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        self.configure("/api/config/patch", base, body, limit).await
    }

    /// Sends an order with an arbitrary body, which need not be valid.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn send_raw(
        &mut self,
        target: &str,
        base: u64,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        let mut order = Call::post(target, body);
        order.headers.push(name::BASE_VERSION, base.to_string());
        self.order(&order, limit).await
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn get(&mut self, limit: Duration) -> Result<OrderResponse, NoClearResponse> {
        self.order(&Call::get("/api/config/get"), limit).await
    }

    /// Starts the retirement of a storage machine, whose data then moves to other machines.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn retire(
        &mut self,
        node: &str,
        deadline_s: u64,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        let body = serde_json::json!({ "deadline_s": deadline_s }).to_string();
        self.order(
            &Call::post(format!("/api/retire/{node}/start"), body),
            limit,
        )
        .await
    }

    /// Reads the progress of a retirement.
    ///
    /// # Errors
    ///
    /// [`NoClearResponse`] where no clear response came within `limit`.
    pub async fn retirement(
        &mut self,
        node: &str,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        self.order(&Call::get(format!("/api/retire/{node}/get")), limit)
            .await
    }

    async fn configure(
        &mut self,
        target: &str,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        let requested_ms = self.clock.now_ms();
        let answer = self.send_raw(target, base, body.to_string(), limit).await?;
        if answer.status == 200 {
            let generation = body
                .get("generation")
                .and_then(Value::as_u64)
                .unwrap_or_default();
            let event = Acknowledged::Configuration { generation };
            self.record
                .acknowledged(self.clock.now_ms(), requested_ms, event);
        }
        Ok(answer)
    }

    async fn order(
        &mut self,
        order: &Call,
        limit: Duration,
    ) -> Result<OrderResponse, NoClearResponse> {
        let started = Instant::now();
        let mut failure = NoClearResponse {
            last: None,
            attempts: 0,
        };
        let mut rejections = 0;
        let mut backoff = MIN_BACKOFF;
        while started.elapsed() < limit {
            let address = self.controls[self.next % self.controls.len()];
            failure.attempts += 1;
            if let Some(answer) = call_with_redirections(address, order).await {
                failure.last = Some(answer.status);
                rejections += u32::from((400..500).contains(&answer.status));
                if is_clear(answer.status, rejections) {
                    let took_ms = started.elapsed().as_millis() as u64;
                    let attempts = failure.attempts;
                    return Ok(OrderResponse {
                        status: answer.status,
                        body: answer.body,
                        took_ms,
                        attempts,
                    });
                }
            }
            self.next += 1;
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(failure)
    }
}

/// Calls the gateway at `address` and follows redirections; `None` where no usable response came.
async fn call_with_redirections(mut address: SocketAddr, order: &Call) -> Option<CallResponse> {
    let mut order = order.clone();
    for _ in 0..=MAX_REDIRECTIONS {
        let answer = call(address, &order, CALL_TIMEOUT).await.ok()?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer
            .headers
            .get(name::LOCATION)?
            .strip_prefix("http://")?
            .to_owned();
        let (host, path) = location.split_once('/')?;
        address = host.parse().ok()?;
        order.target = format!("/{path}");
    }
    None
}

/// Whether a response with this status ends an order, after this many 4xx responses in all.
fn is_clear(status: u16, rejections: u32) -> bool {
    match status {
        200..300 | 400 | 409 | 412 | 413 | 422 => true,
        408 | 429 => false,
        400..500 => rejections >= MAX_REJECTIONS,
        _ => false,
    }
}
