//! The platform's load balancer: checks the readiness of each gateway every second and directs clients to the ready
//! gateways.

use crate::client::call::{call, Call};
use crate::client::Client;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Interval of the readiness checks.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time-out of a readiness check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A gateway that fails this many checks in a row receives no new connections.
const MAX_FAILED_PROBES: u32 = 2;

/// The addresses of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for clients.
    pub front: SocketAddr,
}

/// Sets a client's gateway addresses by readiness checks until this is dropped.
#[derive(Debug)]
pub struct Ingress {
    listed_gateways: Arc<Mutex<Vec<GatewayAddresses>>>,
    task: JoinHandle<()>,
}

impl Ingress {
    /// Starts to check the gateways of `listed_gateways` and to update the addresses of `client`.
    #[must_use]
    pub fn start(client: Client, listed_gateways: Vec<GatewayAddresses>) -> Ingress {
        let listed_gateways = Arc::new(Mutex::new(listed_gateways));
        let task = tokio::spawn(run_checks(client, listed_gateways.clone()));
        Ingress {
            listed_gateways,
            task,
        }
    }

    /// Replaces the gateways.
    pub fn set_gateways(&self, listed_gateways: Vec<GatewayAddresses>) {
        *self
            .listed_gateways
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = listed_gateways;
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A gateway and the number of readiness checks that it has failed in a row.
struct CheckedGateway {
    addresses: GatewayAddresses,
    failed_probes: u32,
}

/// Checks all gateways at each interval and updates the client's addresses, until the task is aborted.
async fn run_checks(client: Client, listed_gateways: Arc<Mutex<Vec<GatewayAddresses>>>) {
    let mut gateways: Vec<CheckedGateway> = Vec::new();
    loop {
        let listed = listed_gateways
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        gateways.retain(|gateway| listed.contains(&gateway.addresses));
        for addresses in listed {
            if !gateways
                .iter()
                .any(|gateway| gateway.addresses == addresses)
            {
                gateways.push(CheckedGateway {
                    addresses,
                    failed_probes: MAX_FAILED_PROBES,
                });
            }
        }
        let mut answers = JoinSet::new();
        for (index, gateway) in gateways.iter().enumerate() {
            let ready = gateway.addresses.ready;
            answers.spawn(async move { (index, is_ready(ready).await) });
        }
        while let Some(Ok((index, ready))) = answers.join_next().await {
            let failed_probes = &mut gateways[index].failed_probes;
            *failed_probes = if ready { 0 } else { *failed_probes + 1 };
        }
        client.set_fronts(fronts_for_new_connections(&gateways));
        sleep(PROBE_INTERVAL).await;
    }
}

/// Addresses for new connections: those of the ready gateways, or of all gateways where fewer than half are ready.
fn fronts_for_new_connections(gateways: &[CheckedGateway]) -> Vec<SocketAddr> {
    let ready: Vec<SocketAddr> = gateways
        .iter()
        .filter(|gateway| gateway.failed_probes < MAX_FAILED_PROBES)
        .map(|gateway| gateway.addresses.front)
        .collect();
    if ready.len() * 2 < gateways.len() {
        return gateways
            .iter()
            .map(|gateway| gateway.addresses.front)
            .collect();
    }
    ready
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = call(address, &Call::get("/api/readyz"), PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
