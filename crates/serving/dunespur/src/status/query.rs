//! `dunespur status`: asks a process for its status and prints it.

use super::report::Status;
use super::table;
use crate::messages::{decode, encode, Reply, Request};
use anyhow::{bail, Context};
use dunespur_rpc::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that has not answered by then is reported as not answering.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Which process is queried, and how its answer is shown.
#[derive(Clone, Debug)]
pub struct StatusQuery {
    /// Prints JSON instead of tables.
    pub json: bool,
    /// A program whose budget is shown as well.
    pub program: Option<String>,
    /// Where the process listens for the others of the system.
    pub address: SocketAddr,
}

/// Queries the process, and prints its answer on standard output.
///
/// # Errors
///
/// If there is no answer, or one that is no status.
pub async fn run(query: StatusQuery) -> anyhow::Result<()> {
    let text = answer(&query)
        .await
        .with_context(|| query.address.to_string())?;
    if query.json {
        println!("{text}");
        return Ok(());
    }
    let status: Status = serde_json::from_str(&text).context("an answer that is no status")?;
    print!("{}", table::of(&status));
    Ok(())
}

async fn answer(query: &StatusQuery) -> anyhow::Result<String> {
    let request = encode(&Request::Status {
        program: query.program.clone(),
    });
    let answer = Client::new(query.address)
        .call(request, ANSWER_TIMEOUT)
        .await?;
    match decode(&answer) {
        Some(Reply::Status(json)) => Ok(json),
        _ => bail!("it does not tell its status: an older version, or no process of this system"),
    }
}
