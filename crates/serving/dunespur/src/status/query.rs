//! `dunespur status`: queries the status of a process and prints it.

use super::report::Status;
use super::table;
use crate::messages::{decode, encode, Reply, Request};
use anyhow::{bail, Context};
use dunespur_rpc::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the query, after which the process counts as not answering.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `dunespur status`.
#[derive(Clone, Debug)]
pub struct StatusQuery {
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// An agent program whose budget is included.
    pub program: Option<String>,
    /// Internal address of the process.
    pub address: SocketAddr,
}

/// Queries the process and prints its status on standard output.
///
/// # Errors
///
/// If there is no answer, or the answer is not a status.
pub async fn run(query: StatusQuery) -> anyhow::Result<()> {
    let json = query_status(&query)
        .await
        .with_context(|| query.address.to_string())?;
    if query.json {
        println!("{json}");
        return Ok(());
    }
    let status: Status = serde_json::from_str(&json).context("the answer is not a valid status")?;
    print!("{}", table::render(&status));
    Ok(())
}

async fn query_status(query: &StatusQuery) -> anyhow::Result<String> {
    let request = encode(&Request::Status {
        program: query.program.clone(),
    });
    let answer = Client::new(query.address)
        .call(request, ANSWER_TIMEOUT)
        .await?;
    match decode(&answer) {
        Some(Reply::Status(json)) => Ok(json),
        _ => bail!("the process did not answer with a status: it is an older version, or not a dunespur process"),
    }
}
