//! `dunespur status`: asks a process for its status and prints it.

use super::report::Status;
use super::table;
use crate::messages::{decode, encode, Reply, Request};
use anyhow::{bail, Context};
use dunespur_rpc::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that has not answered by then is reported as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// What is to be asked, and how it is to be shown.
#[derive(Clone, Debug)]
pub struct StatusQuery {
    /// Prints JSON instead of tables.
    pub json: bool,
    /// A program whose budget is to be told as well.
    pub program: Option<String>,
    /// Where the process listens for the others of the system.
    pub address: SocketAddr,
}

/// Asks, and prints the answer on standard output.
pub async fn run(asked: StatusQuery) -> anyhow::Result<()> {
    let text = answer(&asked)
        .await
        .with_context(|| asked.address.to_string())?;
    if asked.json {
        println!("{text}");
        return Ok(());
    }
    let status: Status = serde_json::from_str(&text).context("an answer that is no status")?;
    print!("{}", table::of(&status));
    Ok(())
}

async fn answer(asked: &StatusQuery) -> anyhow::Result<String> {
    let request = encode(&Request::Status {
        program: asked.program.clone(),
    });
    let answer = Client::new(asked.address)
        .call(request, ANSWER_TIMEOUT)
        .await?;
    match decode(&answer) {
        Some(Reply::Status(json)) => Ok(json),
        _ => bail!("it does not tell its status: an older version, or no process of this system"),
    }
}
