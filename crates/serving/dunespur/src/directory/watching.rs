//! The watch: follows the control state at one core member, and moves to another one if that member does not answer.

use super::Directory;
use crate::messages::{encode, LeaseRenewals, Reply, Request, StateUpdate, WatchRequest};
use dunespur_rpc::CallError;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Timeout of a watch at one core member, after which another one is tried. A working member answers within 0.4 s.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after the watch has failed at all known members.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// How a watch at one member ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchOutcome {
    /// The member answered: the next watch goes to it too.
    Answered,
    /// The member did not answer or was unavailable: another one has to be tried.
    Failed,
}

impl Directory {
    /// Follows the control state for as long as the task runs.
    pub async fn follow(self: Rc<Self>) {
        loop {
            for address in self.members() {
                while self.watch_once(address).await == WatchOutcome::Answered {}
            }
            self.discover_view().await;
            sleep(WATCH_RETRY_DELAY).await;
        }
    }

    async fn watch_once(&self, address: SocketAddr) -> WatchOutcome {
        let servers = std::mem::take(&mut *self.renewed_servers.borrow_mut());
        let payload = encode(&Request::Watch(self.watch_request(&servers)));
        let started_at = self.clock.now();
        match self.call(address, payload, WATCH_TIMEOUT).await {
            Ok(Reply::StateUpdate(update)) => {
                self.followed_member.set(Some(address));
                self.contact.confirm(started_at);
                self.apply_update(update);
                return WatchOutcome::Answered;
            }
            // Over a partitioned network the connection would stay silent for a long time.
            Err(CallError::TimedOut) => self.links.disconnect(address),
            Ok(_) | Err(_) => {}
        }
        self.links.count_lost_watch();
        // The next watch has to carry these renewals.
        self.renewed_servers.borrow_mut().extend(servers);
        WatchOutcome::Failed
    }

    fn watch_request(&self, renewed_servers: &BTreeSet<String>) -> WatchRequest {
        WatchRequest {
            after: self.known.borrow().index,
            view: self.view.borrow().as_ref().map_or(0, |view| view.number),
            renewals: LeaseRenewals {
                servers: renewed_servers.iter().cloned().collect(),
                nodes: self.own_lease.borrow().iter().cloned().collect(),
            },
        }
    }

    fn apply_update(&self, mut update: StateUpdate) {
        if let Some(view) = update.view.take() {
            self.learn_view(view);
        }
        let changed = self.known.borrow_mut().update(update);
        if !changed.any() {
            return;
        }
        if let Some(handler) = &*self.change_handler.borrow() {
            handler(changed);
        }
        self.changed.notify_waiters();
    }

    /// Queries all seeds at once; returns as soon as a view is learnt, from a seed or announced by a core member.
    async fn discover_view(self: &Rc<Self>) {
        let learnt = self.changed.notified();
        tokio::pin!(learnt);
        learnt.as_mut().enable();
        let mut queries = JoinSet::new();
        for seed in self.seeds.borrow().iter().copied() {
            let directory = self.clone();
            queries.spawn_local(async move {
                if let Some(view) = directory.query_view(seed).await {
                    directory.learn_view(view);
                }
            });
        }
        tokio::select! {
            () = learnt => {}
            () = async { while queries.join_next().await.is_some() {} } => {}
        }
    }
}
