//! Runs hand-written transcripts of the simulator's protocol: replies to valid ones, error messages for invalid ones.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = concat!(
    r#"{"classes":[{"deadlineS":2.0,"effect":"free","goalTimeS":0.6,"group":"all","importance":1.0,"#,
    r#""lateShare":0.0,"name":"read","stream":false,"windowS":5.0}],"contracts":[{"beyondCosts":1.0,"#,
    r#""burst":5.0,"name":"small","overWorth":0.0,"rate":1.0,"worthFactor":1.0}],"discovery":"pushed","#,
    r#""domain":{"countWaitS":0.05,"sharedCounter":true},"failureDomains":["a"],"fleetSize":1,"novel":3,"#,
    r#""limits":{"maxRetryAfterS":0.5,"retryAfter":true,"tryLimit":3},"rules":{"coldFrom":0.2,"coldS":10},"#,
    r#""slotNo":0,"zone":"a"}"#
);

fn run(transcript: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunespur-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The process stops at the first invalid line, so writing the rest of the transcript may fail.
    let _ = child.stdin.take().unwrap().write_all(transcript.as_bytes());
    child.wait_with_output().unwrap()
}

fn start_batch() -> String {
    format!(
        "MARK 8.0 1\nNEW_INSTANCE limiter/0 77 {SETTINGS}\nINVENTORY 0 1\n\
         ROW - a live 0 10.0.0.1:80 std 1\nVIEW limiter/0 0 warm_copy 1\nEOF_BATCH\n"
    )
}

const REQUEST_BATCH: &str =
    "MARK 8.5 2\nNEW_REQUEST limiter/0 270b61355d3a91c4 1 small read 0 1 4569 0 10.5\nEOF_BATCH\n";

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn an_invocation_takes_a_lease_is_sent_and_ends() {
    let first_run = run(&(start_batch() + REQUEST_BATCH));
    assert!(first_run.status.success());
    let counter_add = lines(&first_run)
        .into_iter()
        .find(|line| line.starts_with("TALLY limiter/0 60 1."))
        .unwrap();
    let counter_name = counter_add.rsplit(' ').next().unwrap();
    let rest = format!(
        "MARK 8.504 3\nSUM limiter/0 {counter_name} ok 1 0.004\nEOF_BATCH\nMARK 8.6 4\n\
         RESPONSE limiter/0 270b61355d3a91c4 0 10.0.0.1:80 ok 0.09 1 0 0 -\n\
         RESPONSE limiter/0 ffffffffffffffff 0 10.0.0.1:80 ok 0.09 1 0 0 -\n\
         ABORTED limiter/0 270b61355d3a91c4\nTICK_DUE limiter/0 1\nEOF_BATCH\n"
    );
    let whole = run(&(start_batch() + REQUEST_BATCH + &rest));
    assert!(
        whole.status.success(),
        "{}",
        String::from_utf8_lossy(&whole.stderr)
    );
    let tries: Vec<_> = lines(&whole)
        .into_iter()
        .filter(|line| line.starts_with("TRY"))
        .collect();
    assert_eq!(tries.len(), 1);
    assert!(
        tries[0].starts_with("TRY limiter/0 270b61355d3a91c4 10.0.0.1:80 "),
        "{}",
        tries[0]
    );
    assert_eq!(lines(&whole).last().unwrap(), "FINISHED 4");
}

#[test]
fn empty_batches_and_the_end_of_input_are_accepted() {
    let output = run("MARK 8.41225 1\nEOF_BATCH\n\nMARK 8.5 2\nEOF_BATCH\n");
    assert!(output.status.success());
    assert_eq!(lines(&output), ["FINISHED 1", "FINISHED 2"]);
    assert!(run("").status.success());
}

#[test]
fn a_list_number_may_be_reused_within_a_batch() {
    let second_batch = "MARK 9 2\nINVENTORY 0 1\nROW 8.9 a quiescing 0 10.0.0.1:80 std 1\nVIEW limiter/0 0 incr 2\n\
                 INVENTORY 0 0\nVIEW limiter/0 0 total 3\nVIEW limiter/0 0 lost 3\n\
                 STOP limiter/0\nEOF_BATCH\n";
    assert!(run(&(start_batch() + second_batch)).status.success());
}

#[test]
fn invalid_input_is_reported_with_its_line() {
    let invalid = [
        ("EOF_BATCH\n".to_owned(), "line 1:", "outside a batch"),
        ("MARK soon 1\n".to_owned(), "line 1:", "not a number"),
        (
            start_batch() + "MARK 9 2\nWHAT limiter/0\n",
            "line 8:",
            "unknown",
        ),
        (
            start_batch() + "MARK 9 2\nTICK_DUE limiter/9 1\n",
            "line 8:",
            "never started",
        ),
        (
            start_batch() + "MARK 9 2\nTICK_DUE limiter/0\n",
            "line 8:",
            "missing",
        ),
        (
            start_batch() + "MARK 9 2\nSUM limiter/0 5 perhaps 1 0.1\n",
            "line 8:",
            "unknown",
        ),
        (
            start_batch() + "MARK 9 2\nINVENTORY 0 2\nEOF_BATCH\n",
            "line 9:",
            "lacks 2",
        ),
        (
            start_batch() + &REQUEST_BATCH.replace("small", "huge"),
            "line 8:",
            "not in the settings",
        ),
        (
            start_batch().replace("\"free\"", "\"fre\""),
            "line 2:",
            "unknown",
        ),
        (
            start_batch().replace("\"fleetSize\":1", "\"fleetSize\":-1"),
            "line 2:",
            "fleetSize",
        ),
        (
            start_batch().replace("{\"classes\"", "{classes"),
            "line 2:",
            "settings",
        ),
    ];
    for (transcript, line, word) in invalid {
        let output = run(&transcript);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(
            stderr.contains(line) && stderr.contains(word),
            "expected {line} {word}: {stderr}"
        );
    }
}
