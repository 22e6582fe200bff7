//! A submission that is sent to the head again while its entry is uncommitted gets no second entry.

use dunespur_chain_replication::{
    DecidedView, DurableState, Input, Member, MemberConfig, MemberId, Message, Origin, Output,
    Payload, Peer, View, Write,
};

const NOW: u64 = 10_000;

fn id(node: usize) -> MemberId {
    MemberId {
        node: format!("m{node}"),
        disk: 1,
    }
}

fn peer(node: usize) -> Peer {
    Peer {
        id: id(node),
        address: ([10, 0, 0, node as u8], 7380).into(),
    }
}

fn head() -> Member {
    let view = View {
        number: 1,
        members: (0..3).map(peer).collect(),
        chain: (0..3).map(id).collect(),
    };
    let durable = DurableState {
        decided: Some(DecidedView { view, base: 0 }),
        synced_view: 1,
        ..DurableState::default()
    };
    Member::new(
        MemberConfig {
            peer: peer(0),
            may_bootstrap: true,
            seed: 7,
        },
        durable,
        NOW,
    )
}

/// Gives the head a submission of another member. Returns the number of entries that the head writes.
fn entries_written_for(head: &mut Member, ticket: u64) -> usize {
    let origin = Origin {
        incarnation: 5,
        ticket,
    };
    let message = Message::Submit {
        view: 1,
        origin,
        payload: Payload::from(vec![1, 2, 3]),
    };
    give(
        head,
        Input::Received {
            from: id(1),
            message,
        },
    )
}

/// Gives the head an input and reports its batches as persisted. Returns the number of entries that it writes.
fn give(head: &mut Member, input: Input) -> usize {
    let mut inputs = vec![input];
    let mut entries = 0;
    while let Some(input) = inputs.pop() {
        let mut outputs = Vec::new();
        head.step(input, NOW, &mut outputs);
        for output in outputs {
            if let Output::Persist { batch, writes } = output {
                entries += writes
                    .iter()
                    .filter(|write| matches!(write, Write::Entry { .. }))
                    .count();
                inputs.push(Input::Persisted { batch });
            }
        }
    }
    entries
}

#[test]
fn a_resubmission_gets_no_second_entry() {
    let mut head = head();
    assert_eq!(entries_written_for(&mut head, 1), 1);
    assert_eq!(
        entries_written_for(&mut head, 2),
        1,
        "another submission with the same payload gets its own entry"
    );
    assert_eq!(entries_written_for(&mut head, 1), 0);
    assert_eq!(entries_written_for(&mut head, 2), 0);
    let committed = Message::Committed { view: 1, index: 2 };
    give(
        &mut head,
        Input::Received {
            from: id(1),
            message: committed,
        },
    );
    assert_eq!(head.commit_index(), 2);
    assert_eq!(entries_written_for(&mut head, 3), 1);
}
