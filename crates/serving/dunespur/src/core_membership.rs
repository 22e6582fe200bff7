//! How a machine with a disk becomes a member of the core: by the first view, by joining an existing one, or by its
//! disk, on which it is one already.

use crate::core::Coordinator;
use crate::directory::Directory;
use crate::messages::{encode, Candidacy, Reply, Request};
use crate::settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay between two attempts while this machine is in no view.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often a member checks whether it still is one.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Processes that the view is announced to at one check; with more, the others follow at the next.
const MAX_ANNOUNCED: usize = 16;
/// The founder answers a candidate within this time.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes this machine a member of the core, and keeps it one, for as long as the task runs.
pub async fn maintain_core_membership(
    coordinator: Rc<Coordinator>,
    directory: Rc<Directory>,
    settings: Settings,
) {
    let mut next_announced = 0;
    loop {
        if let Some(view) = coordinator.view() {
            directory.learn_view(view);
        }
        let interval = match relation(&coordinator, &directory) {
            ViewRelation::Member => {
                announce(&coordinator, &directory, &mut next_announced);
                MEMBERSHIP_CHECK_INTERVAL
            }
            ViewRelation::Outside(contacts) => {
                coordinator.join(contacts);
                MEMBERSHIP_CHECK_INTERVAL
            }
            ViewRelation::Unknown => {
                find_view(&coordinator, &directory, &settings).await;
                JOIN_RETRY_DELAY
            }
        };
        sleep(interval).await;
    }
}

/// Announces the view to processes that did not renew their lease lately, some at a time.
fn announce(coordinator: &Coordinator, directory: &Directory, next: &mut usize) {
    let unreached_processes = coordinator.unreached_processes(&directory.seeds());
    let count = unreached_processes.len().min(MAX_ANNOUNCED);
    for address in unreached_processes
        .iter()
        .cycle()
        .skip(*next % unreached_processes.len().max(1))
        .take(count)
    {
        directory.announce(*address);
    }
    *next = next.wrapping_add(count);
}

/// How this machine relates to the newest view that it knows.
enum ViewRelation {
    /// It is a member.
    Member,
    /// A view without this machine; addresses of its members.
    Outside(Vec<SocketAddr>),
    /// No view is known.
    Unknown,
}

fn relation(coordinator: &Coordinator, directory: &Directory) -> ViewRelation {
    let Some(view) = directory.view() else {
        return ViewRelation::Unknown;
    };
    let own = coordinator.peer();
    if view.members.iter().any(|peer| peer.id == own.id) && coordinator.view().is_some() {
        return ViewRelation::Member;
    }
    ViewRelation::Outside(view.members.iter().map(|peer| peer.address).collect())
}

/// Queries the seeds for a view; at the first start of the system also applies to the founder as a member of the first
/// one.
async fn find_view(coordinator: &Coordinator, directory: &Directory, settings: &Settings) {
    let own = settings.internal_address();
    let seeds = settings.seed_addresses();
    for seed in seeds.iter().filter(|seed| **seed != own) {
        if let Some(view) = directory.query_view(*seed).await {
            directory.learn_view(view);
            return;
        }
    }
    let Some(founder) = seeds.first().filter(|_| settings.bootstrap) else {
        return;
    };
    let payload = encode(&Request::Candidate {
        peer: coordinator.peer(),
    });
    match directory.call(*founder, payload, CANDIDATE_TIMEOUT).await {
        Ok(Reply::Candidacy(Candidacy::Found(view))) => coordinator.bootstrap(view),
        Ok(Reply::Candidacy(Candidacy::Join(view))) => directory.learn_view(view),
        _ => {}
    }
}
