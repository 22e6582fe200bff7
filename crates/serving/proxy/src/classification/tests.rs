//! Properties of the table: each is checked in every row.

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

fn all_received() -> Vec<ResponseProgress> {
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

/// Every row of the table.
fn rows() -> impl Iterator<Item = (Attempt, Classification)> {
    let response = all_received();
    SendProgress::ALL.into_iter().flat_map(move |request| {
        let response = response.clone();
        response.into_iter().flat_map(move |response| {
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
fn the_table_has_a_row_for_every_attempt() {
    assert_eq!(rows().count(), 4 * (2 + 12 + 24) * 6);
}

#[test]
fn a_request_that_may_have_arrived_counts_as_run_unless_the_endpoint_denies_it() {
    for (attempt, classify) in rows() {
        let denies_run = matches!(
            attempt.response.kind(),
            Some(ResponseKind::NotExecuted | ResponseKind::OtherInstance)
        );
        if attempt.request.may_run() && !denies_run {
            assert_ne!(classify.execution, Execution::NotRun, "{attempt:?}");
        }
        if denies_run {
            assert_eq!(classify.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn only_a_request_that_has_not_run_may_be_retried_unconditionally() {
    for (attempt, classify) in rows() {
        if classify.retry == RetryRule::Allowed {
            assert_eq!(classify.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn a_rejection_promises_only_what_is_true() {
    for (attempt, classify) in rows() {
        if classify.client == ClientResponse::Rejected {
            assert_eq!(classify.execution, Execution::NotRun, "{attempt:?}");
        }
    }
}

#[test]
fn the_client_gets_an_endpoints_response_only_complete_and_only_its_own() {
    for (attempt, classify) in rows() {
        if classify.client == ClientResponse::Forwarded {
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
fn behind_a_forwarded_part_nothing_but_the_rest_may_come() {
    for (attempt, classify) in rows() {
        let forwarded = matches!(
            attempt.response,
            ResponseProgress::Partial {
                forwarded: true,
                ..
            }
        );
        if forwarded && attempt.ended_by != EndedBy::Client {
            assert_eq!(classify.client, ClientResponse::Truncated, "{attempt:?}");
            assert_eq!(classify.retry, RetryRule::IfResumable, "{attempt:?}");
        }
    }
}

#[test]
fn a_connection_is_reused_only_where_both_messages_are_complete() {
    for (attempt, classify) in rows() {
        if classify.connection == ConnectionReuse::Reusable {
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
fn a_disconnected_client_gets_nothing_and_nothing_is_sent_for_it() {
    for (attempt, classify) in rows() {
        if attempt.ended_by == EndedBy::Client {
            assert_eq!(classify.client, ClientResponse::Nothing, "{attempt:?}");
            assert_eq!(classify.retry, RetryRule::Never, "{attempt:?}");
            assert_eq!(classify.connection, ConnectionReuse::Closes, "{attempt:?}");
        }
    }
}

#[test]
fn an_interim_response_says_nothing() {
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
fn a_body_until_close_is_complete_only_where_the_close_is_in_order() {
    for ended_by in EndedBy::ALL {
        assert_eq!(
            close_completes_body(ended_by, Safeguards::default()),
            ended_by == EndedBy::Endpoint,
            "{ended_by:?}"
        );
    }
}
