//! The tests that `.ci/known-red` skips, and the lists that it rejects.

use std::process::Command;

/// Runs the script with this list and these test names; returns whether it succeeded and the arguments it printed.
fn known_red(lines: &str, tests: &[&str]) -> (bool, String) {
    let file = std::env::temp_dir().join(format!(
        "dunespur-red-{}-{}",
        std::process::id(),
        lines.len()
    ));
    std::fs::write(&file, lines).unwrap();
    let listed: Vec<_> = tests.iter().map(|test| format!("{test}: test\n")).collect();
    let mut command = Command::new("bash");
    command
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../../.ci/known-red"
        ))
        .arg(&file);
    // Replaces the test command: prints the list of tests for any arguments.
    command.args(["printf", "%.0s%.0s%.0s%.0s%b", "", "", "", ""]);
    command.arg(listed.concat());
    let output = command.output().unwrap();
    _ = std::fs::remove_file(&file);
    (
        output.status.success(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

#[test]
fn listed_tests_are_skipped_and_an_invalid_list_fails() {
    let tests = ["a::b", "c", "d", "d", "e", "f"];
    let line = |name: &str| format!("{name}; the cause; 0.1\n");
    assert_eq!(known_red("", &tests), (true, String::new()));
    assert_eq!(
        known_red(&line("a::b"), &tests),
        (true, "--skip a::b ".into())
    );
    let three = [line("a::b"), line("c"), line("e")].concat();
    assert_eq!(
        known_red(&three, &tests),
        (true, "--skip a::b --skip c --skip e ".into())
    );
    let fourth = three + &line("f");
    let wrong = [
        fourth,
        line("d"),
        line("none"),
        "c\n".into(),
        "c; ; 1\n".into(),
        "\n".into(),
    ];
    for lines in wrong {
        assert!(!known_red(&lines, &tests).0, "{lines:?}");
    }
}
