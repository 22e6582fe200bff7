use super::*;

fn kinds_and_framings() -> impl Iterator<Item = (AnswerKind, Framing)> {
    let framings = [Framing::Delimited, Framing::UntilClose];
    AnswerKind::ALL
        .into_iter()
        .flat_map(move |kind| framings.map(|framing| (kind, framing)))
}

fn all_received() -> Vec<Received> {
    let mut all = vec![Received::Nothing, Received::Interim];
    for (kind, framing) in kinds_and_framings() {
        all.push(Received::WholeAnswer { kind, framing });
        for passed_on in [false, true] {
            all.push(Received::PartOfAnswer {
                kind,
                framing,
                passed_on,
            });
        }
    }
    all
}

/// Every row of the table.
fn rows() -> impl Iterator<Item = (Attempt, Disposition)> {
    let received = all_received();
    Sent::ALL.into_iter().flat_map(move |sent| {
        let received = received.clone();
        received.into_iter().flat_map(move |received| {
            EndedBy::ALL.into_iter().map(move |ended_by| {
                let attempt = Attempt {
                    sent,
                    received,
                    ended_by,
                };
                (attempt, attempt.disposition())
            })
        })
    })
}

#[test]
fn the_table_has_a_row_for_every_attempt() {
    assert_eq!(rows().count(), 4 * (2 + 12 + 24) * 6);
}

#[test]
fn what_the_server_may_have_counts_as_run_unless_the_server_says_no() {
    for (attempt, disposition) in rows() {
        let says_no = matches!(
            attempt.received.kind(),
            Some(AnswerKind::NotExecuted | AnswerKind::OtherInstance)
        );
        if attempt.sent.may_run() && !says_no {
            assert_ne!(disposition.execution, Execution::NotRun, "{attempt:?}");
        }
        if says_no {
            assert_eq!(disposition.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn only_what_has_not_run_may_be_sent_again_without_condition() {
    for (attempt, disposition) in rows() {
        if disposition.repeat == Repeat::Allowed {
            assert_eq!(disposition.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn a_refusal_promises_only_what_holds() {
    for (attempt, disposition) in rows() {
        if disposition.client == ClientAnswer::Refused {
            assert_eq!(disposition.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn the_client_gets_the_servers_answer_only_whole_and_only_its_own() {
    for (attempt, disposition) in rows() {
        if disposition.client == ClientAnswer::Servers {
            let kind = attempt.received.kind();
            assert!(
                matches!(attempt.received, Received::WholeAnswer { .. }),
                "{attempt:?}"
            );
            assert!(
                matches!(kind, Some(AnswerKind::Final | AnswerKind::Failure)),
                "{attempt:?}"
            );
        }
    }
}

#[test]
fn behind_a_part_that_was_passed_on_nothing_but_the_rest_may_come() {
    for (attempt, disposition) in rows() {
        let passed_on = matches!(
            attempt.received,
            Received::PartOfAnswer {
                passed_on: true,
                ..
            }
        );
        if passed_on && attempt.ended_by != EndedBy::Client {
            assert_eq!(disposition.client, ClientAnswer::Broken, "{attempt:?}");
            assert_eq!(disposition.repeat, Repeat::IfResumable, "{attempt:?}");
        }
    }
}

#[test]
fn a_connection_is_kept_only_where_both_messages_are_over() {
    for (attempt, disposition) in rows() {
        if disposition.connection == ConnectionUse::Kept {
            assert_eq!(
                (attempt.sent, attempt.ended_by),
                (Sent::Whole, EndedBy::Nobody),
                "{attempt:?}"
            );
            let is_over = matches!(
                attempt.received,
                Received::WholeAnswer {
                    framing: Framing::Delimited,
                    ..
                }
            );
            assert!(is_over, "{attempt:?}");
        }
    }
}

#[test]
fn a_client_that_has_left_gets_nothing_and_nothing_is_sent_for_it() {
    for (attempt, disposition) in rows() {
        if attempt.ended_by == EndedBy::Client {
            assert_eq!(disposition.client, ClientAnswer::Nothing, "{attempt:?}");
            assert_eq!(disposition.repeat, Repeat::No, "{attempt:?}");
            assert_eq!(disposition.connection, ConnectionUse::Ended, "{attempt:?}");
        }
    }
}

#[test]
fn an_interim_answer_says_nothing() {
    for sent in Sent::ALL {
        for ended_by in EndedBy::ALL {
            let interim = Attempt {
                sent,
                received: Received::Interim,
                ended_by,
            };
            assert_eq!(
                interim.disposition(),
                Attempt::unanswered(sent, ended_by).disposition()
            );
        }
    }
}

#[test]
fn a_body_until_the_end_of_its_connection_is_whole_only_where_that_end_is_in_order() {
    for ended_by in EndedBy::ALL {
        assert_eq!(
            is_whole_at(ended_by, Guards::default()),
            ended_by == EndedBy::Server,
            "{ended_by:?}"
        );
    }
}
