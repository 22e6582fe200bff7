//! The `store` process: runs the state machine of `dunespur-turn-replication`, which stores turns on a disk.

mod capacity;
mod disk_thread;
mod lease_renewal;
mod process;
mod registration;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::settings::{Role, Settings};
use crate::signals;
use crate::sockets::listen;
use process::StoreProcess;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Runs the process until SIGTERM or SIGINT.
///
/// # Errors
///
/// If its data folder can't be opened, or its address can't be bound.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let clock = Clock::start();
    let directory = Directory::new(clock, settings.seed_addresses());
    let (store, completions) = StoreProcess::open(&settings, directory.clone(), clock)?;
    let listener = listen(settings.internal_address()).await?;
    spawn_local(dunespur_rpc::serve(listener, store.clone()));
    let weak = Rc::downgrade(&store);
    directory.on_change(Box::new(move |changed| {
        if let Some(store) = weak.upgrade().filter(|_| changed.stores) {
            store.stores_changed();
        }
    }));
    spawn_local(process::report_completions(store.clone(), completions));
    spawn_local(process::drive_timers(store.clone()));
    spawn_local(registration::maintain_registration(store.clone()));
    spawn_local(lease_renewal::renew_lease(directory.clone()));
    spawn_local(directory.clone().follow());
    spawn_local(signals::follow_settings(path, Role::Store, directory));
    log::info!("{} has started", settings.node);
    signals::termination_requested().await?;
    log::info!("{} is shutting down", settings.node);
    Ok(())
}
