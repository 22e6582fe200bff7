//! What `.ci/known-red` passes over, and what it refuses.

use std::process::Command;

/// Whether it passes with this file beside these tests, and the arguments that it prints.
fn known_red(lines: &str, tests: &[&str]) -> (bool, String) {
    let file = std::env::temp_dir().join(format!(
        "dunespur-red-{}-{}",
        std::process::id(),
        lines.len()
    ));
    std::fs::write(&file, lines).unwrap();
    let listed: Vec<_> = tests.iter().map(|t| format!("{t}: test\n")).collect();
    let mut command = Command::new("bash");
    command
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../../.ci/known-red"
        ))
        .arg(&file);
    // Stands for the test command: prints its list whatever it is asked.
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
fn listed_tests_are_passed_over_and_a_wrong_list_fails() {
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
