//! Signals from the platform: SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the settings file.

use crate::directory::Directory;
use crate::settings::{Role, Settings};
use anyhow::Context;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

/// Interval at which a process without contact with the core rereads its settings, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// If a signal handler can't be installed.
pub async fn termination_requested() -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("installing the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("installing the SIGINT handler")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Rereads the settings on SIGHUP, and every [`SETTINGS_POLL_INTERVAL`] while there is no contact with the core. Only
/// the seeds are applied: addresses and the disk of a process don't change while it runs.
pub async fn follow_settings(path: PathBuf, role: Role, directory: Rc<Directory>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    loop {
        let reload_requested = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        if !reload_requested && directory.has_contact() {
            continue;
        }
        match Settings::read(&path, role) {
            Ok(settings) => directory.set_seeds(settings.seed_addresses()),
            Err(error) => log::error!(
                "reloading the settings failed, the previous seeds stay in use: {error}"
            ),
        }
    }
}
