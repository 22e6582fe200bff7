//! The operator: orders sent again, unchanged and to any limiter, until there is a clear answer.

use crate::client::call::{call, Call, CallAnswer};
use crate::clock::Clock;
use crate::record::{Acknowledged, Record};
use crate::wire::name;
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A limiter that is silent longer is left for the next.
const SILENCE: Duration = Duration::from_secs(1);
/// Redirections followed.
const MOST_REDIRECTIONS: u32 = 2;
/// The first pause after a failure; it grows.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Other 4xx end an order at this try.
const MOST_UNCLEAR_REFUSALS: u32 = 3;

/// An operator with its list of limiters.
#[derive(Clone, Debug)]
pub struct Operator {
    clock: Clock,
    record: Record,
    controls: Vec<SocketAddr>,
    next: usize,
}

/// The clear answer to an order.
#[derive(Clone, Debug)]
pub struct OrderAnswer {
    /// The status.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
    /// From the first attempt to the answer, in milliseconds.
    pub took_ms: u64,
    /// How many attempts were made.
    pub tries: u32,
}

/// No clear answer came in time; the last one, if any.
#[derive(Clone, Debug)]
pub struct Unclear {
    /// The status of the last answer, if there was one.
    pub last: Option<u16>,
    /// How many attempts were made.
    pub tries: u32,
}

impl std::fmt::Display for Unclear {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "no clear answer in {} tries, the last one {:?}",
            self.tries, self.last
        )
    }
}

impl std::error::Error for Unclear {}

impl Operator {
    /// An operator of these control addresses.
    #[must_use]
    pub fn new(clock: Clock, record: Record, controls: Vec<SocketAddr>) -> Operator {
        Operator {
            clock,
            record,
            controls,
            next: 0,
        }
    }

    /// The limiters called from now on.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.controls = controls;
    }

    /// Brings a whole configuration on top of version `base`.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn replace(
        &mut self,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        self.configure("/api/config/replace", base, body, limit)
            .await
    }

    /// Changes named items on top of version `base`.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn patch(
        &mut self,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        self.configure("/api/config/patch", base, body, limit).await
    }

    /// Sends a body as it is, valid or not.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn send_raw(
        &mut self,
        target: &str,
        base: u64,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        let mut order = Call::post(target, body);
        order.headers.push(name::BASE_VERSION, base.to_string());
        self.order(&order, limit).await
    }

    /// The newest configuration, whole.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn get(&mut self, limit: Duration) -> Result<OrderAnswer, Unclear> {
        self.order(&Call::get("/api/config/get"), limit).await
    }

    /// Asks for a storage machine to be emptied.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn retire(
        &mut self,
        node: &str,
        deadline_s: u64,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        let body = serde_json::json!({ "deadline_s": deadline_s }).to_string();
        self.order(
            &Call::post(format!("/api/retire/{node}/start"), body),
            limit,
        )
        .await
    }

    /// How far the emptying is.
    ///
    /// # Errors
    /// No clear answer within `limit`.
    pub async fn retirement(
        &mut self,
        node: &str,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        self.order(&Call::get(format!("/api/retire/{node}/get")), limit)
            .await
    }

    async fn configure(
        &mut self,
        target: &str,
        base: u64,
        body: &Value,
        limit: Duration,
    ) -> Result<OrderAnswer, Unclear> {
        let asked_ms = self.clock.now_ms();
        let answer = self.send_raw(target, base, body.to_string(), limit).await?;
        if answer.status == 200 {
            let generation = body
                .get("generation")
                .and_then(Value::as_u64)
                .unwrap_or_default();
            let what = Acknowledged::Configuration { generation };
            self.record
                .acknowledged(self.clock.now_ms(), asked_ms, what);
        }
        Ok(answer)
    }

    async fn order(&mut self, order: &Call, limit: Duration) -> Result<OrderAnswer, Unclear> {
        let started = Instant::now();
        let mut unclear = Unclear {
            last: None,
            tries: 0,
        };
        let mut refusals = 0;
        let mut pause = FIRST_PAUSE;
        while started.elapsed() < limit {
            let address = self.controls[self.next % self.controls.len()];
            unclear.tries += 1;
            if let Some(answer) = follow(address, order).await {
                unclear.last = Some(answer.status);
                refusals += u32::from((400..500).contains(&answer.status));
                if is_clear(answer.status, refusals) {
                    let took_ms = started.elapsed().as_millis() as u64;
                    let tries = unclear.tries;
                    return Ok(OrderAnswer {
                        status: answer.status,
                        body: answer.body,
                        took_ms,
                        tries,
                    });
                }
            }
            self.next += 1;
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        Err(unclear)
    }
}

/// One call, with redirections followed.
async fn follow(mut address: SocketAddr, order: &Call) -> Option<CallAnswer> {
    let mut order = order.clone();
    for _ in 0..=MOST_REDIRECTIONS {
        let answer = call(address, &order, SILENCE).await.ok()?;
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

fn is_clear(status: u16, refusals: u32) -> bool {
    match status {
        200..300 | 400 | 409 | 412 | 413 | 422 => true,
        408 | 429 => false,
        400..500 => refusals >= MOST_UNCLEAR_REFUSALS,
        _ => false,
    }
}
