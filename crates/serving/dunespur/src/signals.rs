//! Signals of the platform: SIGTERM requests a graceful shutdown, SIGHUP a reload of the settings file.

use crate::directory::Directory;
use crate::settings::{Role, Settings};
use anyhow::Context;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// The settings file may change without a signal; a process that has lost contact with the core reads it this often.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// If their handlers can't be installed.
pub async fn termination_requested() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reads the settings anew on SIGHUP, and from time to time while no core member answers. Only the seeds are taken:
/// addresses and the disk of a process don't change while it runs.
pub async fn follow_settings(path: PathBuf, role: Role, directory: Rc<Directory>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    loop {
        let is_requested = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        if !is_requested && directory.has_contact() {
            continue;
        }
        match Settings::read(&path, role) {
            Ok(settings) => directory.set_seeds(settings.seed_addresses()),
            Err(error) => log::error!("the settings can't be used: {error}"),
        }
    }
}
