//! Plans for the next view, from chosen and from random observations. Every plan is a sound view.

use dunespur_chain_replication::reconfiguration::{
    plan, JoinRequest, MemberStatus, Observations, Plan,
};
use dunespur_chain_replication::{MemberId, Peer, View};
use fastrand::Rng;

const CASES: u64 = 20_000;

fn peer(node: usize, disk: u64) -> Peer {
    let id = MemberId {
        node: format!("m{node}"),
        disk,
    };
    Peer {
        id,
        address: ([10, 0, 0, node as u8], 7380).into(),
    }
}

struct Case {
    view: View,
    statuses: Vec<MemberStatus>,
    join_requests: Vec<JoinRequest>,
}

impl Case {
    /// Random observations, which may contradict each other.
    fn random(seed: u64) -> Case {
        let mut rng = Rng::with_seed(seed);
        let count = rng.usize(1..=7);
        let members: Vec<Peer> = (0..count).map(|node| peer(node, 1)).collect();
        let mut chain: Vec<MemberId> = members.iter().map(|member| member.id.clone()).collect();
        rng.shuffle(&mut chain);
        chain.truncate(rng.usize(count / 2 + 1..=count));
        let fault = rng.u32(0..4);
        let rare = |rng: &mut Rng| rng.u32(0..8) < fault;
        let statuses = (0..count).map(|index| {
            let connected = (0..count)
                .map(|other| other == index || !rare(&mut rng))
                .collect();
            MemberStatus {
                connected,
                ineligible: rare(&mut rng),
                readmissible: rng.bool(),
                suspected_by: rng.usize(0..=count),
                unreachable: rare(&mut rng),
                reported: !rare(&mut rng),
                replaceable: rare(&mut rng),
                leaving: rare(&mut rng),
                synced: !rare(&mut rng),
            }
        });
        let statuses: Vec<MemberStatus> = statuses.collect();
        let join_requests = (0..rng.usize(0..3)).map(|_| {
            let node = rng.usize(0..10);
            JoinRequest {
                joiner: peer(node, 2),
                may_be_additional: rng.bool(),
            }
        });
        let join_requests = join_requests.collect();
        Case {
            view: View {
                number: 1,
                members,
                chain,
            },
            statuses,
            join_requests,
        }
    }

    /// A view without faults whose members are all in the chain.
    fn healthy(count: usize) -> Case {
        let members: Vec<Peer> = (0..count).map(|node| peer(node, 1)).collect();
        let chain = members.iter().map(|member| member.id.clone()).collect();
        let status = MemberStatus {
            connected: vec![true; count],
            ineligible: false,
            readmissible: false,
            suspected_by: 0,
            unreachable: false,
            reported: true,
            replaceable: false,
            leaving: false,
            synced: true,
        };
        let statuses = vec![status; count];
        Case {
            view: View {
                number: 1,
                members,
                chain,
            },
            statuses,
            join_requests: Vec::new(),
        }
    }

    fn plan(&self) -> Option<Plan> {
        plan(&Observations {
            view: &self.view,
            statuses: &self.statuses,
            join_requests: &self.join_requests,
        })
    }

    fn lose(&mut self, index: usize) {
        for other in (0..self.statuses.len()).filter(|other| *other != index) {
            self.statuses[index].connected[other] = false;
            self.statuses[other].connected[index] = false;
        }
        self.statuses[index].unreachable = true;
        self.statuses[index].suspected_by = self.statuses.len() - 1;
    }

    fn leave(&mut self, index: usize) {
        self.statuses[index].leaving = true;
        self.statuses[index].ineligible = true;
    }

    fn request_to_join(&mut self, joiner: Peer, may_be_additional: bool) {
        self.join_requests.push(JoinRequest {
            joiner,
            may_be_additional,
        });
    }
}

fn nodes(ids: &[MemberId]) -> Vec<&str> {
    ids.iter().map(|id| id.node.as_str()).collect()
}

#[test]
fn every_plan_is_a_sound_view() {
    for seed in 0..CASES {
        let case = Case::random(seed);
        let Some(plan) = case.plan() else { continue };
        let view = View {
            number: 2,
            members: plan.members,
            chain: plan.chain,
        };
        assert!(view.is_sound(), "seed {seed}: {view:?}");
    }
}

#[test]
fn survivors_keep_their_order_and_others_come_after_them() {
    for seed in 0..CASES {
        let case = Case::random(seed);
        let Some(plan) = case.plan() else { continue };
        let survives = |id: &&MemberId| plan.chain.contains(id);
        let survivors: Vec<&MemberId> = case.view.chain.iter().filter(survives).collect();
        let first: Vec<&MemberId> = plan.chain.iter().take(survivors.len()).collect();
        assert_eq!(first, survivors, "seed {seed}");
    }
}

#[test]
fn members_change_by_one_at_most() {
    for seed in 0..CASES {
        let case = Case::random(seed);
        let Some(plan) = case.plan() else { continue };
        let new = plan
            .members
            .iter()
            .filter(|member| !case.view.members.contains(member))
            .count();
        let departed = case
            .view
            .members
            .iter()
            .filter(|member| !plan.members.contains(member))
            .count();
        assert!(
            new <= 1 && departed <= 1,
            "seed {seed}: {new} new, {departed} departed"
        );
        assert!(plan.members.len() <= 7);
    }
}

#[test]
fn a_healthy_view_is_not_changed() {
    for count in 1..=7 {
        let case = Case::healthy(count);
        let plan = case.plan().expect("a plan");
        assert!(plan.is_in_force(&case.view));
    }
}

#[test]
fn a_lost_member_leaves_the_chain_and_stays_a_member() {
    let mut case = Case::healthy(3);
    case.lose(0);
    let plan = case.plan().expect("a plan");
    assert_eq!(nodes(&plan.chain), ["m1", "m2"]);
    assert_eq!(plan.members, case.view.members);
}

#[test]
fn the_chain_does_not_shrink_below_a_majority() {
    let mut case = Case::healthy(5);
    for index in 0..3 {
        case.lose(index);
    }
    assert_eq!(case.plan(), None);
    let mut case = Case::healthy(3);
    case.lose(0);
    case.statuses[2].ineligible = true;
    let plan = case.plan().expect("a plan with an ineligible member");
    assert_eq!(nodes(&plan.chain), ["m1", "m2"]);
}

#[test]
fn a_lost_member_of_an_even_number_is_removed_after_a_while() {
    let mut case = Case::healthy(4);
    case.lose(3);
    assert_eq!(case.plan().expect("a plan").members.len(), 4);
    case.statuses[3].replaceable = true;
    assert_eq!(case.plan().expect("a plan").members.len(), 3);
    let mut case = Case::healthy(3);
    case.lose(2);
    case.statuses[2].replaceable = true;
    assert_eq!(case.plan().expect("a plan").members.len(), 3);
}

#[test]
fn a_joiner_replaces_the_member_with_its_earlier_disk() {
    let mut case = Case::healthy(3);
    case.request_to_join(peer(1, 2), false);
    assert!(
        case.plan().expect("a plan").is_in_force(&case.view),
        "the member with the earlier disk is still reachable"
    );
    case.lose(1);
    let plan = case.plan().expect("a plan");
    assert_eq!(plan.members[1], peer(1, 2));
    assert_eq!(
        nodes(&plan.chain),
        ["m0", "m2"],
        "a joiner is a learner first"
    );
}

#[test]
fn a_joiner_becomes_the_tail_of_a_chain_that_is_too_short_without_it() {
    let mut case = Case::healthy(5);
    for index in [0, 1, 2] {
        case.lose(index);
    }
    assert_eq!(case.plan(), None);
    case.request_to_join(peer(1, 2), false);
    let plan = case.plan().expect("a plan");
    assert_eq!(plan.members[1], peer(1, 2));
    assert_eq!(nodes(&plan.chain), ["m3", "m4", "m1"]);
    assert_eq!(plan.chain.last(), Some(&peer(1, 2).id));
}

#[test]
fn a_joiner_replaces_a_long_unreachable_member_or_is_additional() {
    let mut case = Case::healthy(3);
    case.request_to_join(peer(8, 2), true);
    assert_eq!(case.plan().expect("a plan").members.len(), 4);
    case.lose(0);
    let plan = case.plan().expect("a plan");
    assert_eq!(
        plan.members, case.view.members,
        "the lost member may return soon"
    );
    case.statuses[0].replaceable = true;
    let plan = case.plan().expect("a plan");
    assert_eq!(plan.members[0], peer(8, 2));
}

#[test]
fn a_leaver_of_an_even_number_is_removed_at_once() {
    let mut case = Case::healthy(4);
    case.leave(1);
    let plan = case.plan().expect("a plan");
    assert_eq!(plan.members.len(), 3);
    assert_eq!(nodes(&plan.chain), ["m0", "m2", "m3"]);
    let mut case = Case::healthy(6);
    case.leave(0);
    assert_eq!(case.plan().expect("a plan").members.len(), 5);
}

#[test]
fn a_leaver_of_an_odd_number_stays_a_member_until_it_is_replaced() {
    for count in [3, 5] {
        let mut case = Case::healthy(count);
        case.leave(0);
        let plan = case.plan().expect("a plan");
        assert_eq!(plan.members, case.view.members);
        assert_eq!(plan.chain.len(), count - 1);
    }
}

#[test]
fn a_joiner_replaces_a_leaver_at_once() {
    for count in 3..=6 {
        let mut case = Case::healthy(count);
        case.leave(1);
        case.request_to_join(peer(8, 2), false);
        let plan = case.plan().expect("a plan");
        assert_eq!(plan.members[1], peer(8, 2));
        assert_eq!(plan.members.len(), count);
        assert_eq!(plan.chain.len(), count - 1, "a joiner is a learner first");
    }
}

#[test]
fn a_leaver_stays_while_too_few_others_are_synced() {
    let mut case = Case::healthy(4);
    case.leave(0);
    case.statuses[1].synced = false;
    case.statuses[2].synced = false;
    assert_eq!(case.plan().expect("a plan").members, case.view.members);
    case.statuses[1].synced = true;
    assert_eq!(case.plan().expect("a plan").members.len(), 3);
    case.lose(1);
    assert_eq!(
        case.plan().expect("a plan").members,
        case.view.members,
        "a lost member doesn't count as synced"
    );
    let mut case = Case::healthy(3);
    case.leave(0);
    case.statuses[1].synced = false;
    case.request_to_join(peer(8, 2), false);
    assert_eq!(case.plan().expect("a plan").members, case.view.members);
}

/// When a leaving member is removed, every majority that decides the next view has a member that is synced in the present
/// view and stays.
#[test]
fn every_deciding_majority_has_a_complete_member_that_stays() {
    for seed in 0..CASES {
        let case = Case::random(seed);
        let Some(plan) = case.plan() else { continue };
        let stays = |index: &usize| plan.members.contains(&case.view.members[*index]);
        let count = case.view.members.len();
        let removed = (0..count).filter(|index| !stays(index));
        let removed_leavers = removed.filter(|index| {
            !case.statuses[*index].unreachable && !case.statuses[*index].replaceable
        });
        if removed_leavers.count() == 0 {
            continue;
        }
        let complete = (0..count)
            .filter(stays)
            .filter(|index| case.statuses[*index].synced)
            .count();
        assert!(
            complete + case.view.majority() > count,
            "seed {seed}: {complete} of {count}"
        );
    }
}

#[test]
fn the_member_that_more_have_lost_is_removed_first() {
    // m0 plans and still receives pings from m1; m2 reports that it has lost m1.
    let mut case = Case::healthy(3);
    case.statuses[1].connected[2] = false;
    case.statuses[2].connected[1] = false;
    case.statuses[1].suspected_by = 1;
    assert_eq!(nodes(&case.plan().expect("a plan").chain), ["m0", "m2"]);
}
