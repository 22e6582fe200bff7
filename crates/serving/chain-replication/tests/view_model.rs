//! A model of the agreement on views, of the chain in each view and of membership changes. The model checker explores all
//! interleavings of a few members, proposal numbers, views and writes, with delayed, lost and duplicated messages, members
//! lost for good, and arbitrary plans. The model uses the program's own `next_view::view_after` and `View`. Each safeguard
//! is removed in turn, and the checker has to find a history that violates a property.
//!
//! The model doesn't run the real `Member`, which contains clocks and a random generator: no two histories would reach
//! the same state.

use dunespur_chain_replication::next_view::{view_after, SealedLog};
use dunespur_chain_replication::reconfiguration::Plan;
use dunespur_chain_replication::{DecidedView, MemberId, Peer, Position, View};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// Members of the first view.
const FIRST_MEMBERS: u8 = 3;
const THREADS: usize = 4;

/// Proposal numbers identify the proposer, as each member proposes at most once for a view; 0 stands for none.
type ProposalNumber = u8;

#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The number of machines; those that aren't members of the first view may join.
    machines: u8,
    /// The last view that may be proposed.
    last_view: u8,
    proposers: u8,
    losses: u8,
    writes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Safeguards {
    /// A member accepts no other view with the number of a view that it has installed.
    decide_once: bool,
    /// A member counts as synced only when its log includes its predecessor's.
    catch_up_before_sync: bool,
    /// A machine whose disk was wiped gets another identity.
    distinguish_disks: bool,
}

const ALL: Safeguards = Safeguards {
    decide_once: true,
    catch_up_before_sync: true,
    distinguish_disks: true,
};

/// A decided view, in which numbers stand for members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ModelView {
    number: u8,
    members: Vec<u8>,
    chain: Vec<u8>,
    base: u8,
}

impl ModelView {
    fn has_member(&self, member: u8) -> bool {
        self.members.contains(&member)
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn predecessor(&self, member: u8) -> Option<u8> {
        let index = self.chain.iter().position(|other| *other == member)?;
        Some(self.chain[index.checked_sub(1)?])
    }

    fn to_decided_view(&self) -> DecidedView {
        let members = self.members.iter().map(|member| peer(*member)).collect();
        let chain = self.chain.iter().map(|member| id(*member)).collect();
        DecidedView {
            view: View {
                number: self.number.into(),
                members,
                chain,
            },
            base: self.base.into(),
        }
    }

    fn of(decided: &DecidedView) -> ModelView {
        ModelView {
            number: decided.number() as u8,
            members: decided
                .view
                .members
                .iter()
                .map(|member| member.id.disk as u8)
                .collect(),
            chain: decided.view.chain.iter().map(|id| id.disk as u8).collect(),
            base: decided.base as u8,
        }
    }
}

fn id(member: u8) -> MemberId {
    MemberId {
        node: String::new(),
        disk: member.into(),
    }
}

fn peer(member: u8) -> Peer {
    Peer {
        id: id(member),
        address: ([10, 0, 0, member], 1).into(),
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    lost: bool,
    view: Option<ModelView>,
    promised: ProposalNumber,
    accepted: Option<(ProposalNumber, ModelView)>,
    synced_view: u8,
    /// The view in which each entry was written; index and view identify an entry.
    log: Vec<u8>,
}

impl Member {
    fn number(&self) -> u8 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    fn install(&mut self, decided: &ModelView) {
        self.view = Some(decided.clone());
        self.promised = 0;
        self.accepted = None;
    }
}

/// The content of a promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Promise {
    accepted: Option<(ProposalNumber, ModelView)>,
    synced_view: u8,
    last: (u8, u8),
}

/// All messages sent in the agreement on one view. Each may arrive late, twice or never.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Messages {
    promises: BTreeMap<(ProposalNumber, u8), Promise>,
    accepts: BTreeMap<ProposalNumber, ModelView>,
    votes: Vec<(ProposalNumber, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Member>,
    /// Messages by the number of the view to be decided.
    messages: BTreeMap<u8, Messages>,
    /// All decided views.
    decided: Vec<ModelView>,
    committed: Vec<u8>,
    writes: u8,
    losses: u8,
    two_views: bool,
    lost_commit: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Promise {
        voter: u8,
        number: u8,
        proposal_number: ProposalNumber,
    },
    Propose {
        proposer: u8,
        members: Vec<u8>,
        chain: Vec<u8>,
    },
    Vote {
        voter: u8,
        number: u8,
        proposal_number: ProposalNumber,
    },
    InstallView {
        voter: u8,
        decided: usize,
    },
    Sync {
        member: u8,
    },
    Write {
        head: u8,
    },
    Forward {
        to: u8,
    },
    Learn {
        member: u8,
    },
    Lose {
        member: u8,
    },
    /// The disk is lost, and the machine returns under the same identity.
    Wipe {
        member: u8,
    },
}

struct Core {
    safeguards: Safeguards,
    bounds: Bounds,
}

impl Core {
    /// Whether a member participates in its chain; a promise seals the view at its member.
    fn participates(member: &Member) -> bool {
        !member.lost && member.promised == 0
    }

    fn votes_on(&self, member: &Member, number: u8) -> bool {
        let Some(view) = &member.view else {
            return false;
        };
        let next = view.number + 1 == number;
        let again = !self.safeguards.decide_once && number <= view.number && number > 1;
        !member.lost && (next || again)
    }

    fn is_synced(member: &Member) -> bool {
        member.number() > 0 && member.synced_view == member.number()
    }

    /// The synced predecessor from which `member` receives entries now, if there is one.
    fn upstream(state: &State, member: u8) -> Option<&Member> {
        let own = &state.members[member as usize];
        let predecessor = own.view.as_ref()?.predecessor(member)?;
        let other = &state.members[predecessor as usize];
        (!other.lost && other.number() == own.number() && Core::is_synced(other)).then_some(other)
    }

    /// All plans that change at most one member (replaced, added or removed), with every chain that is long enough.
    fn plans(&self, state: &State, view: &ModelView) -> Vec<(Vec<u8>, Vec<u8>)> {
        let joiners = (0..self.bounds.machines)
            .filter(|machine| !view.has_member(*machine) && !state.members[*machine as usize].lost);
        let joiners: Vec<u8> = joiners.collect();
        let mut sets = vec![view.members.clone()];
        for joiner in &joiners {
            for departed in &view.members {
                let mut members: Vec<u8> = view
                    .members
                    .iter()
                    .copied()
                    .filter(|member| member != departed)
                    .collect();
                members.push(*joiner);
                members.sort_unstable();
                sets.push(members);
            }
            let mut members = view.members.clone();
            members.push(*joiner);
            members.sort_unstable();
            sets.push(members);
        }
        if view.members.len() == 4 {
            for departed in &view.members {
                sets.push(
                    view.members
                        .iter()
                        .copied()
                        .filter(|member| member != departed)
                        .collect(),
                );
            }
        }
        let mut plans = Vec::new();
        for members in sets {
            let majority = members.len() / 2 + 1;
            // Members of the present chain in their order, then the others.
            let survivors = view
                .chain
                .iter()
                .copied()
                .filter(|member| members.contains(member));
            let others = members
                .iter()
                .copied()
                .filter(|member| !view.chain.contains(member));
            let order: Vec<u8> = survivors.chain(others).collect();
            for bits in 0..1_u8 << order.len() {
                let picked = |index: &usize| bits & 1 << index != 0;
                let chain: Vec<u8> = (0..order.len())
                    .filter(picked)
                    .map(|index| order[index])
                    .collect();
                if chain.len() >= majority {
                    plans.push((members.clone(), chain));
                }
            }
        }
        plans
    }

    fn proposal(state: &State, proposer: u8, members: &[u8], chain: &[u8]) -> Option<ModelView> {
        let view = state.members[proposer as usize].view.as_ref()?;
        let messages = state.messages.get(&(view.number + 1))?;
        let promises: Vec<(u8, &Promise)> = view
            .members
            .iter()
            .copied()
            .filter_map(|voter| {
                messages
                    .promises
                    .get(&(proposer + 1, voter))
                    .map(|promise| (voter, promise))
            })
            .collect();
        if promises.len() < view.majority() {
            return None;
        }
        let accepted = promises
            .iter()
            .filter_map(|(_, promise)| promise.accepted.as_ref());
        if let Some((_, proposal)) = accepted.max_by_key(|(proposal_number, _)| *proposal_number) {
            return Some(proposal.clone());
        }
        let ids: Vec<MemberId> = promises.iter().map(|(voter, _)| id(*voter)).collect();
        let sealed: Vec<SealedLog> = promises
            .iter()
            .zip(&ids)
            .map(|((_, promise), id)| SealedLog {
                member: id,
                synced_view: promise.synced_view.into(),
                last: Position {
                    index: promise.last.0.into(),
                    view: promise.last.1.into(),
                },
            })
            .collect();
        let plan = Plan {
            members: members.iter().map(|member| peer(*member)).collect(),
            chain: chain.iter().map(|member| id(*member)).collect(),
        };
        view_after(&view.to_decided_view(), plan, &sealed).map(|next| ModelView::of(&next))
    }

    /// A disk may be lost; without the safeguard the machine returns under the same identity.
    fn loss(&self, state: &State, member: u8, actions: &mut Vec<Action>) {
        if state.losses >= self.bounds.losses {
            return;
        }
        actions.push(if self.safeguards.distinguish_disks {
            Action::Lose { member }
        } else {
            Action::Wipe { member }
        });
    }

    /// Adds promises, acceptances and installations of decided views. A `Prepare` message may arrive at any time.
    fn votes(&self, state: &State, voter: u8, actions: &mut Vec<Action>) {
        let member = &state.members[voter as usize];
        let later = |(_, view): &(usize, &ModelView)| view.number > member.number();
        let unknown = state.decided.iter().enumerate().filter(later);
        actions.extend(unknown.map(|(decided, _)| Action::InstallView { voter, decided }));
        for number in 2..=self.bounds.last_view {
            let is_voter = |view: &ModelView| view.number + 1 == number && view.has_member(voter);
            if !self.votes_on(member, number) || !state.decided.iter().any(is_voter) {
                continue;
            }
            let no_messages = Messages::default();
            let messages = state.messages.get(&number).unwrap_or(&no_messages);
            for proposal_number in 1..=self.bounds.proposers {
                if member.promised < proposal_number
                    && !messages.promises.contains_key(&(proposal_number, voter))
                {
                    actions.push(Action::Promise {
                        voter,
                        number,
                        proposal_number,
                    });
                }
            }
            for proposal_number in messages.accepts.keys().copied() {
                if member.promised <= proposal_number
                    && !messages.votes.contains(&(proposal_number, voter))
                {
                    actions.push(Action::Vote {
                        voter,
                        number,
                        proposal_number,
                    });
                }
            }
        }
    }

    /// Adds, once a majority has promised, the proposal of every possible plan.
    fn proposals(&self, state: &State, proposer: u8, actions: &mut Vec<Action>) {
        let Some(view) = &state.members[proposer as usize].view else {
            return;
        };
        let Some(messages) = state.messages.get(&(view.number + 1)) else {
            return;
        };
        let own = proposer + 1;
        if proposer >= self.bounds.proposers || messages.accepts.contains_key(&own) {
            return;
        }
        let promised = view
            .members
            .iter()
            .filter(|voter| messages.promises.contains_key(&(own, **voter)))
            .count();
        if promised < view.majority() {
            return;
        }
        let mut seen = Vec::new();
        for (members, chain) in self.plans(state, view) {
            let proposal = Core::proposal(state, proposer, &members, &chain);
            if let Some(proposal) = proposal.filter(|proposal| !seen.contains(proposal)) {
                seen.push(proposal);
                actions.push(Action::Propose {
                    proposer,
                    members,
                    chain,
                });
            }
        }
    }

    fn chain_steps(&self, state: &State, member: u8, actions: &mut Vec<Action>) {
        let own = &state.members[member as usize];
        let Some(view) = own.view.as_ref().filter(|view| view.has_member(member)) else {
            return;
        };
        if !Core::participates(own) {
            return;
        }
        let is_head = view.chain.first() == Some(&member);
        let upstream = Core::upstream(state, member);
        if !view.chain.contains(&member) {
            actions.push(Action::Learn { member });
        } else if !Core::is_synced(own) {
            if is_head || upstream.is_some() || !self.safeguards.catch_up_before_sync {
                actions.push(Action::Sync { member });
            }
        } else if is_head && state.writes < self.bounds.writes {
            actions.push(Action::Write { head: member });
        } else if upstream.is_some_and(|other| other.log.len() > own.log.len()) {
            actions.push(Action::Forward { to: member });
        }
    }

    /// Decides a view once a majority has accepted it; members learn of it later.
    fn decide(state: &mut State, number: u8, proposal_number: ProposalNumber) {
        let messages = &state.messages[&number];
        let proposal = messages.accepts[&proposal_number].clone();
        let by_majority = |view: &&ModelView| {
            let votes = messages.votes.iter().filter(|(accepted, voter)| {
                *accepted == proposal_number && view.has_member(*voter)
            });
            view.number + 1 == number && votes.count() >= view.majority()
        };
        let decided = state.decided.iter().any(|view| by_majority(&view));
        if decided && !state.decided.contains(&proposal) {
            state.two_views |= state.decided.iter().any(|other| other.number == number);
            state.decided.push(proposal);
            state.decided.sort();
        }
    }

    /// Commits the log of a synced tail, and detects lost commits.
    fn commit(state: &mut State) {
        for index in 0..state.members.len() {
            let member = &state.members[index];
            let is_tail = member
                .view
                .as_ref()
                .is_some_and(|view| view.chain.last() == Some(&(index as u8)));
            if !is_tail || !Core::participates(member) || !Core::is_synced(member) {
                continue;
            }
            let log = member.log.clone();
            let common = log.len().min(state.committed.len());
            let newest = state
                .decided
                .iter()
                .all(|view| view.number <= member.number());
            // A tail that was removed may lack later commits, but its log must not differ from them.
            let lacks = newest && log.len() < state.committed.len();
            if lacks || log[..common] != state.committed[..common] {
                state.lost_commit = true;
            } else if log.len() > state.committed.len() {
                state.committed = log;
            }
        }
    }
}

impl State {
    fn promise(&mut self, voter: u8, number: u8, proposal_number: ProposalNumber) {
        let member = &mut self.members[voter as usize];
        member.promised = proposal_number;
        let promise = Promise {
            accepted: member.accepted.clone(),
            synced_view: member.synced_view,
            last: (
                member.log.len() as u8,
                member.log.last().copied().unwrap_or(0),
            ),
        };
        let messages = self.messages.entry(number).or_default();
        messages.promises.insert((proposal_number, voter), promise);
    }

    /// Accepts a proposal; none if there is no proposal of this number.
    fn accept(&mut self, voter: u8, number: u8, proposal_number: ProposalNumber) -> Option<()> {
        let messages = self.messages.entry(number).or_default();
        let proposal = messages.accepts.get(&proposal_number)?.clone();
        messages.votes.push((proposal_number, voter));
        messages.votes.sort_unstable();
        let member = &mut self.members[voter as usize];
        member.promised = proposal_number;
        member.accepted = Some((proposal_number, proposal));
        Some(())
    }

    /// Syncs a member: it takes over its predecessor's log.
    fn sync(&mut self, member: u8) {
        let log = Core::upstream(self, member).map(|other| other.log.clone());
        let own = &mut self.members[member as usize];
        own.synced_view = own.number();
        if let Some(log) = log {
            own.log = log;
        }
    }

    /// A learner takes over the tail's log; none if the learner has that log already.
    fn learn(&mut self, member: u8) -> Option<()> {
        let own = &self.members[member as usize];
        let tail = *own.view.as_ref()?.chain.last()?;
        let tail = &self.members[tail as usize];
        let serves = !tail.lost && tail.number() == own.number() && Core::is_synced(tail);
        if !serves || own.log.starts_with(&tail.log) {
            return None;
        }
        let log = tail.log.clone();
        self.members[member as usize].log = log;
        Some(())
    }

    fn lose(&mut self, member: u8, for_good: bool) {
        self.members[member as usize] = Member {
            lost: for_good,
            ..Member::default()
        };
        self.losses += 1;
    }
}

impl Model for Core {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let first_members: Vec<u8> = (0..FIRST_MEMBERS).collect();
        let first = ModelView {
            number: 1,
            members: first_members.clone(),
            chain: first_members,
            base: 0,
        };
        let member = |machine: u8| Member {
            view: (machine < FIRST_MEMBERS).then(|| first.clone()),
            synced_view: u8::from(machine < FIRST_MEMBERS),
            ..Member::default()
        };
        vec![State {
            members: (0..self.bounds.machines).map(member).collect(),
            messages: BTreeMap::new(),
            decided: vec![first.clone()],
            committed: Vec::new(),
            writes: 0,
            losses: 0,
            two_views: false,
            lost_commit: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for index in 0..self.bounds.machines {
            if !state.members[index as usize].lost {
                self.loss(state, index, actions);
                self.votes(state, index, actions);
                self.proposals(state, index, actions);
                self.chain_steps(state, index, actions);
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Promise {
                voter,
                number,
                proposal_number,
            } => state.promise(voter, number, proposal_number),
            Action::Propose {
                proposer,
                members,
                chain,
            } => {
                let proposal = Core::proposal(&state, proposer, &members, &chain)?;
                let messages = state.messages.entry(proposal.number).or_default();
                messages.accepts.insert(proposer + 1, proposal);
            }
            Action::Vote {
                voter,
                number,
                proposal_number,
            } => {
                state.accept(voter, number, proposal_number)?;
                Core::decide(&mut state, number, proposal_number);
            }
            Action::InstallView { voter, decided } => {
                let decided = state.decided[decided].clone();
                state.members[voter as usize].install(&decided);
            }
            Action::Sync { member } => state.sync(member),
            Action::Write { head } => {
                let own = &mut state.members[head as usize];
                let number = own.number();
                own.log.push(number);
                state.writes += 1;
            }
            Action::Forward { to } => {
                let own = state.members[to as usize].log.len();
                let entry = Core::upstream(&state, to)?.log[own];
                state.members[to as usize].log.push(entry);
            }
            Action::Learn { member } => state.learn(member)?,
            Action::Lose { member } => state.lose(member, true),
            Action::Wipe { member } => state.lose(member, false),
        }
        Core::commit(&mut state);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one view per number", |_, state: &State| {
                !state.two_views
            }),
            Property::always("commits are never lost", |_, state: &State| {
                !state.lost_commit
            }),
            Property::sometimes(
                "a write is committed after a joiner became a member",
                |_, state: &State| {
                    let changed = |view: &ModelView| {
                        view.has_member(FIRST_MEMBERS) && view.chain.contains(&FIRST_MEMBERS)
                    };
                    state.committed.iter().any(|number| *number > 1)
                        && state.decided.iter().any(changed)
                },
            ),
        ]
    }
}

const REACHED: &str = "a write is committed after a joiner became a member";

/// The properties that are violated without some safeguards.
fn violated(safeguards: Safeguards, bounds: Bounds) -> Vec<&'static str> {
    let checker = Core { safeguards, bounds }.checker().threads(THREADS);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{safeguards:?}: {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker
        .discoveries()
        .into_keys()
        .filter(|name| *name != REACHED)
        .collect()
}

/// Checks all states within the bounds.
fn verify(bounds: Bounds) {
    let core = Core {
        safeguards: ALL,
        bounds,
    };
    let checker = core
        .checker()
        .threads(THREADS)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{bounds:?}: {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    let found = checker.discoveries();
    let reached = found.contains_key(REACHED);
    let failed = found.into_iter().find(|(name, _)| *name != REACHED);
    let failed = failed.map(|(name, path)| (name, path.into_actions()));
    assert!(failed.is_none(), "{failed:#?}");
    let may_reach = bounds.machines > FIRST_MEMBERS && bounds.writes > 0;
    assert_eq!(
        reached, may_reach,
        "whether a write was committed after a change of members"
    );
}

#[test]
fn two_proposers_and_a_lost_member_decide_on_one_view() {
    verify(Bounds {
        machines: 3,
        last_view: 2,
        proposers: 2,
        losses: 1,
        writes: 0,
    });
}

#[test]
fn a_write_survives_two_proposers_of_the_next_view() {
    verify(Bounds {
        machines: 3,
        last_view: 2,
        proposers: 2,
        losses: 0,
        writes: 1,
    });
}

#[test]
fn a_write_survives_a_joiner_and_a_lost_member() {
    verify(Bounds {
        machines: 4,
        last_view: 2,
        proposers: 1,
        losses: 1,
        writes: 1,
    });
}

#[test]
#[ignore = "two million states: run it when the agreement or the chain is changed"]
fn a_write_survives_two_changes_of_the_view() {
    verify(Bounds {
        machines: 3,
        last_view: 3,
        proposers: 1,
        losses: 0,
        writes: 1,
    });
}

#[test]
fn each_safeguard_removed_gives_a_counterexample() {
    let joiner = Bounds {
        machines: 4,
        last_view: 2,
        proposers: 1,
        losses: 0,
        writes: 1,
    };
    let loss = Bounds {
        machines: 3,
        last_view: 2,
        proposers: 2,
        losses: 1,
        writes: 0,
    };
    let calm = Bounds { losses: 0, ..loss };
    let lost_commits = ["commits are never lost"];
    let two_views_of_a_number = ["at most one view per number"];
    assert_eq!(
        violated(
            Safeguards {
                catch_up_before_sync: false,
                ..ALL
            },
            joiner
        ),
        lost_commits
    );
    assert_eq!(
        violated(
            Safeguards {
                distinguish_disks: false,
                ..ALL
            },
            loss
        ),
        two_views_of_a_number
    );
    assert_eq!(
        violated(
            Safeguards {
                decide_once: false,
                ..ALL
            },
            calm
        ),
        two_views_of_a_number
    );
}
