//! Properties of the classification table, each checked in every row.

use super::{
    close_completes_body, Attempt, Classification, ClientResponse, ConnectionReuse, EndedBy,
    Execution, Framing, ResponseKind, ResponseProgress, RetryRule, SendProgress,
};
use crate::safeguards::Safeguards;

fn kinds_and_framings() -> impl Iterator<Item = (ResponseKind, Framing)> {
    let framings = [Framing::Delimited, Framing::UntilClose];
    ResponseKind::ALL
        .into_iter()
        .flat_map(move |kind| framings.map(|framing| (kind, framing)))
}

fn all_response_states() -> Vec<ResponseProgress> {
    let mut all = vec![ResponseProgress::Nothing, ResponseProgress::Interim];
    for (kind, framing) in kinds_and_framings() {
        all.push(ResponseProgress::Complete { kind, framing });
        for forwarded in [false, true] {
            all.push(ResponseProgress::Partial {
                kind,
                framing,
                forwarded,
            });
        }
    }
    all
}

/// Returns every row of the table.
fn rows() -> impl Iterator<Item = (Attempt, Classification)> {
    let response_states = all_response_states();
    SendProgress::ALL.into_iter().flat_map(move |request| {
        let response_states = response_states.clone();
        response_states.into_iter().flat_map(move |response| {
            EndedBy::ALL.into_iter().map(move |ended_by| {
                let attempt = Attempt {
                    request,
                    response,
                    ended_by,
                };
                (attempt, attempt.classify())
            })
        })
    })
}

#[test]
fn the_table_has_a_row_for_every_state_of_an_attempt() {
    assert_eq!(rows().count(), 4 * (2 + 12 + 24) * 6);
}

#[test]
fn a_request_that_may_have_arrived_counts_as_run_unless_the_endpoint_denies_running_it() {
    for (attempt, classification) in rows() {
        let denies_run = matches!(
            attempt.response.kind(),
            Some(ResponseKind::NotExecuted | ResponseKind::OtherInstance)
        );
        if attempt.request.may_run() && !denies_run {
            assert_ne!(classification.execution, Execution::NotRun, "{attempt:?}");
        }
        if denies_run {
            assert_eq!(classification.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn only_a_request_that_has_not_run_may_be_retried_unconditionally() {
    for (attempt, classification) in rows() {
        if classification.retry == RetryRule::Allowed {
            assert_eq!(classification.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn a_rejected_request_has_not_run() {
    for (attempt, classification) in rows() {
        if classification.client == ClientResponse::Rejected {
            assert_eq!(classification.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn only_complete_responses_to_the_request_itself_are_forwarded() {
    for (attempt, classification) in rows() {
        if classification.client == ClientResponse::Forwarded {
            let kind = attempt.response.kind();
            assert!(
                matches!(attempt.response, ResponseProgress::Complete { .. }),
                "{attempt:?}"
            );
            assert!(
                matches!(kind, Some(ResponseKind::Final | ResponseKind::Failure)),
                "{attempt:?}"
            );
        }
    }
}

#[test]
fn after_a_forwarded_part_the_response_is_resumed_or_truncated() {
    for (attempt, classification) in rows() {
        let forwarded = matches!(
            attempt.response,
            ResponseProgress::Partial {
                forwarded: true,
                ..
            }
        );
        if forwarded && attempt.ended_by != EndedBy::Client {
            assert_eq!(
                classification.client,
                ClientResponse::Truncated,
                "{attempt:?}"
            );
            assert_eq!(classification.retry, RetryRule::IfResumable, "{attempt:?}");
        }
    }
}

#[test]
fn a_connection_is_reused_only_where_both_messages_are_complete() {
    for (attempt, classification) in rows() {
        if classification.connection == ConnectionReuse::Reusable {
            assert_eq!(
                (attempt.request, attempt.ended_by),
                (SendProgress::Complete, EndedBy::Nobody),
                "{attempt:?}"
            );
            let is_complete = matches!(
                attempt.response,
                ResponseProgress::Complete {
                    framing: Framing::Delimited,
                    ..
                }
            );
            assert!(is_complete, "{attempt:?}");
        }
    }
}

#[test]
fn after_a_client_disconnects_nothing_is_sent_or_retried() {
    for (attempt, classification) in rows() {
        if attempt.ended_by == EndedBy::Client {
            assert_eq!(
                classification.client,
                ClientResponse::Nothing,
                "{attempt:?}"
            );
            assert_eq!(classification.retry, RetryRule::Never, "{attempt:?}");
            assert_eq!(
                classification.connection,
                ConnectionReuse::Closes,
                "{attempt:?}"
            );
        }
    }
}

#[test]
fn an_interim_response_is_classified_like_no_response() {
    for request in SendProgress::ALL {
        for ended_by in EndedBy::ALL {
            let interim = Attempt {
                request,
                response: ResponseProgress::Interim,
                ended_by,
            };
            assert_eq!(
                interim.classify(),
                Attempt::unanswered(request, ended_by).classify()
            );
        }
    }
}

#[test]
fn a_body_until_close_is_complete_only_after_an_orderly_close() {
    for ended_by in EndedBy::ALL {
        assert_eq!(
            close_completes_body(ended_by, Safeguards::default()),
            ended_by == EndedBy::Endpoint,
            "{ended_by:?}"
        );
    }
}
