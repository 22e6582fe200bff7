//! Core membership of a machine with a disk: it takes part in the first view, joins an existing view, or is already a
//! member according to its disk.

use crate::core::Coordinator;
use crate::directory::Directory;
use crate::messages::{encode, Candidacy, Reply, Request};
use crate::settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Delay between two attempts to find a view while none is known.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between two checks whether this machine is a member of the newest view.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of processes to which the view is announced per check; the next check continues with the others.
const MAX_ANNOUNCED: usize = 16;
/// Timeout of a candidate's call to the founder.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes this machine a member of the core and keeps it one for as long as the task runs.
pub async fn maintain_core_membership(
    coordinator: Rc<Coordinator>,
    directory: Rc<Directory>,
    settings: Settings,
) {
    let mut next_position = 0;
    loop {
        if let Some(view) = coordinator.view() {
            directory.learn_view(view);
        }
        let interval = match view_relation(&coordinator, &directory) {
            ViewRelation::Member => {
                announce_view(&coordinator, &directory, &mut next_position);
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

/// Announces the view to processes that have not renewed their lease recently, [`MAX_ANNOUNCED`] at a time.
fn announce_view(coordinator: &Coordinator, directory: &Directory, next_position: &mut usize) {
    let unreached_processes = coordinator.unreached_processes(&directory.seeds());
    let count = unreached_processes.len().min(MAX_ANNOUNCED);
    for address in unreached_processes
        .iter()
        .cycle()
        .skip(*next_position % unreached_processes.len().max(1))
        .take(count)
    {
        directory.announce(*address);
    }
    *next_position = next_position.wrapping_add(count);
}

/// The relation of this machine to the newest view that it knows.
enum ViewRelation {
    /// The machine is a member of the view.
    Member,
    /// The machine is not in the view; addresses of the view's members.
    Outside(Vec<SocketAddr>),
    /// This machine knows no view yet.
    Unknown,
}

fn view_relation(coordinator: &Coordinator, directory: &Directory) -> ViewRelation {
    let Some(view) = directory.view() else {
        return ViewRelation::Unknown;
    };
    let own_peer = coordinator.peer();
    if view.members.iter().any(|peer| peer.id == own_peer.id) && coordinator.view().is_some() {
        return ViewRelation::Member;
    }
    ViewRelation::Outside(view.members.iter().map(|peer| peer.address).collect())
}

/// Queries the seeds for a view. If none knows a view and this is the first start of the system, applies to the founder
/// for membership of the first view.
async fn find_view(coordinator: &Coordinator, directory: &Directory, settings: &Settings) {
    let own_address = settings.internal_address();
    let seeds = settings.seed_addresses();
    for seed in seeds.iter().filter(|seed| **seed != own_address) {
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
