//! The load of a trial: invocations at a constant rate, whatever becomes of the earlier ones, and single requests.

use super::link_proxy::LinkFaults;
use super::Limiter;
use crate::history::Line;
use crate::trial::Quota;
use bytes::Bytes;
use dunespur_gateway::clock;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Customers that take turns in a trial without quotas.
const CUSTOMERS_WITHOUT_QUOTA: u64 = 7;
/// Distance between the first limiters of two successive customers.
const FIRST_LIMITER_STEP: usize = 7;
/// Timeout of an invocation as its client states it, in milliseconds.
const INVOCATION_TIMEOUT_MS: u64 = 2_000;
/// Time after which a client gives up an invocation, in seconds.
const CLIENT_TIMEOUT_S: f64 = 3.0;
/// An answer is in time within this many seconds.
const IN_TIME_S: f64 = 2.5;

/// Sends a request on a connection of its own. Returns the status if a complete response came within `time_limit_s`.
pub(super) async fn request(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    time_limit_s: f64,
) -> Option<u16> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream))
                .await
                .ok()?;
        let driver = tokio::task::spawn_local(connection);
        let mut request = hyper::Request::get(path).header("host", "trial");
        for (key, value) in headers {
            request = request.header(*key, value);
        }
        let request = request.body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let is_complete = response.into_body().collect().await.is_ok();
        driver.abort();
        is_complete.then_some(status)
    };
    timeout(Duration::from_secs_f64(time_limit_s), exchange)
        .await
        .ok()?
}

/// Who invokes, and at which limiter.
struct Invocation {
    customer: u64,
    limiter: usize,
    /// Number of limiters that the customer uses.
    spread: usize,
    /// The first one of them.
    first: usize,
}

impl Invocation {
    /// The customer and limiter of an invocation: drawn at random with quotas, in turn without.
    fn choose(
        number: u64,
        quota: Option<&Quota>,
        limiters: usize,
        faults: &LinkFaults,
    ) -> Invocation {
        let Some(quota) = quota else {
            return Invocation {
                customer: number % CUSTOMERS_WITHOUT_QUOTA,
                limiter: number as usize % limiters,
                spread: limiters,
                first: 0,
            };
        };
        let customer = (faults.chance() * quota.customers as f64) as usize;
        let spread = quota.spread.min(limiters);
        let first = customer * FIRST_LIMITER_STEP % limiters;
        // With an uneven spread the first limiter gets 25 times as much as each other one.
        let at_first = quota.thin && faults.chance() < 25.0 / (24.0 + spread as f64);
        let offset = if at_first {
            0
        } else {
            (faults.chance() * spread as f64) as usize
        };
        Invocation {
            customer: customer as u64,
            limiter: (first + offset) % limiters,
            spread,
            first,
        }
    }

    fn headers(&self, number: u64) -> [(&'static str, String); 6] {
        let Invocation { spread, first, .. } = self;
        [
            ("x-request-id", format!("{:016x}", number + 1)),
            ("x-priority-class", "read".to_owned()),
            ("x-tariff", "small".to_owned()),
            ("x-timeout-ms", INVOCATION_TIMEOUT_MS.to_string()),
            ("x-weight", format!("units=1,spread={spread},first={first}")),
            ("cookie", format!("account={:016x}", self.customer + 1)),
        ]
    }
}

/// What all invocations of a trial share.
#[derive(Clone)]
pub(super) struct Load {
    pub(super) limiters: Rc<Vec<Limiter>>,
    pub(super) faults: Rc<LinkFaults>,
    /// The history that answers are added to.
    pub(super) lines: Rc<RefCell<Vec<Line>>>,
}

impl Load {
    /// Sends invocations at a rate per second, or at the rate of the quotas, for as long as the task runs.
    pub(super) async fn run(self, rate: f64, quota: Option<Quota>) {
        let rate = quota.as_ref().map_or(rate, |quota| {
            quota.rate * quota.times * quota.customers as f64
        });
        if rate <= 0.0 {
            return;
        }
        let started_at = clock();
        for number in 0.. {
            let wait_s = started_at + number as f64 / rate - clock();
            if wait_s > 0.0 {
                sleep(Duration::from_secs_f64(wait_s)).await;
            }
            let limiters = self.limiters.len();
            let invocation = Invocation::choose(number, quota.as_ref(), limiters, &self.faults);
            tokio::task::spawn_local(self.clone().invoke(number, invocation));
        }
    }

    /// Sends one invocation and records its answer.
    async fn invoke(self, number: u64, invocation: Invocation) {
        let limiter = &self.limiters[invocation.limiter];
        let sent = clock() - self.faults.start.get();
        let excused_before = limiter.excused.get();
        let headers = invocation.headers(number);
        let status = request(limiter.client, "/api", &headers, CLIENT_TIMEOUT_S).await;
        let t = clock() - self.faults.start.get();
        // A limiter that was killed, stopped or restarted meanwhile loses its requests in flight, as the clients know.
        let earliest = sent - CLIENT_TIMEOUT_S;
        let is_excused = excused_before > earliest || limiter.excused.get() > earliest;
        if is_excused && status.is_none() {
            return;
        }
        self.lines.borrow_mut().push(Line::Answer {
            sent,
            t,
            status: status.unwrap_or(0),
            answers: u32::from(status.is_some()),
            in_time: t - sent < IN_TIME_S || is_excused,
            customer: invocation.customer,
            limiter: invocation.limiter,
        });
    }
}
