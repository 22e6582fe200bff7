//! The command line: its output and exit codes, what a process does whose settings can't be used.

mod running;

use dunespur_emulator::system::{AddressBlock, Ports, TemporaryFolder};
use running::Running;
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Ends of the program.
const DONE: i32 = 0;
const HAS_FINDINGS: i32 = 1;
const UNUSABLE: i32 = 2;

fn dunespur() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunespur"));
    command.env_clear().stdin(Stdio::null());
    command
}

/// What the program says with these arguments, and how it ends.
fn run(arguments: &[&str]) -> Output {
    dunespur().args(arguments).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn out(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn err(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

/// Files of this folder of test data with this extension.
fn data(folder: &str, extension: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(folder);
    let files = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut files: Vec<_> = files
        .filter(|file| file.extension().is_some_and(|end| end == extension))
        .collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// The lines of findings, each behind the file's name.
fn reported(file: &Path, findings: &str) -> String {
    findings
        .lines()
        .map(|line| format!("{}: {line}\n", file.display()))
        .collect()
}

#[test]
fn help_names_each_command_and_option() {
    let overview = run(&["--help"]);
    assert_eq!(code(&overview), DONE);
    let commands = [
        (
            "gateway",
            ["--log", "--log-format", "DUNESPUR_CONFIG"].as_slice(),
        ),
        ("store", &["--log", "--log-format", "DUNESPUR_CONFIG"]),
        (
            "check",
            &["--settings", "--configuration", "--role", "FILE"],
        ),
        ("status", &["--json", "--program", "ADDRESS"]),
        ("explain", &["ID", "FILE", "--log debug"]),
    ];
    for (command, words) in commands {
        assert!(out(&overview).contains(command), "{}", out(&overview));
        let help = run(&[command, "--help"]);
        assert_eq!(code(&help), DONE);
        for word in words {
            assert!(
                out(&help).contains(word),
                "{command} {word}: {}",
                out(&help)
            );
        }
    }
    assert!(out(&run(&["--version"])).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn a_wrong_command_line_ends_with_2_and_its_reason() {
    let wrong: [&[&str]; 9] = [
        &[],
        &["serve"],
        &["check"],
        &["gateway", "--log", "loud"],
        &["store", "--log-format", "xml"],
        &["check", "--settings", "--configuration", "x"],
        &["status"],
        &["explain"],
        &["status", "nowhere"],
    ];
    for arguments in wrong {
        let output = run(arguments);
        assert_eq!(code(&output), UNUSABLE, "{arguments:?}");
        assert!(
            !err(&output).is_empty() && out(&output).is_empty(),
            "{arguments:?}"
        );
    }
}

#[test]
fn check_prints_all_findings_of_settings_with_their_places() {
    for file in data("settings/bad", "json") {
        let findings = std::fs::read_to_string(file.with_extension("findings")).unwrap();
        let output = run(&["check", "--settings", text(&file)]);
        assert_eq!(out(&output), reported(&file, &findings));
        assert_eq!(code(&output), HAS_FINDINGS, "{}", file.display());
        assert!(err(&output).is_empty());
    }
}

#[test]
fn check_takes_settings_with_fields_that_are_unknown_or_empty() {
    for file in data("settings/good", "json") {
        let output = run(&["check", text(&file)]);
        assert_eq!(code(&output), DONE, "{}", out(&output));
        assert!(
            out(&output).contains("settings of front-"),
            "{}",
            out(&output)
        );
    }
}

#[test]
fn check_prints_what_a_role_needs() {
    let file = data("settings/good", "json")
        .into_iter()
        .find(|file| file.ends_with("least.json"))
        .unwrap();
    let output = run(&["check", "--role", "store", text(&file)]);
    assert_eq!(
        out(&output),
        reported(&file, "data_dir: is missing, and a store needs a disk")
    );
    assert_eq!(code(&output), HAS_FINDINGS);
    assert_eq!(
        code(&run(&["check", "--role", "gateway", text(&file)])),
        DONE
    );
}

#[test]
fn check_prints_all_findings_of_a_configuration_with_their_places() {
    let folder = TemporaryFolder::new("dunespur-check").unwrap();
    let file = folder.path().join("configuration.json");
    let configuration = json!({
        "generation": 4,
        "services": [{"name": "a", "health_path": "/healthz", "max_conns": 5}],
        "routes": [
            {"name": "one", "host": "h", "path_prefix": "/a/", "kind": "read_only", "timeout_ms": 0, "backend": "a"},
            {"name": "two", "host": "h", "path_prefix": "/b/", "kind": "read_only", "timeout_ms": 5, "backend": "b"},
        ],
    });
    std::fs::write(&file, configuration.to_string()).unwrap();
    let output = run(&["check", text(&file)]);
    assert_eq!(code(&output), HAS_FINDINGS);
    let locations: Vec<&str> = out(&output)
        .lines()
        .map(|line| line.split(": ").nth(1).unwrap())
        .collect();
    assert_eq!(locations, ["routes[0].timeout_ms", "routes[1]"]);

    let mended = configuration
        .to_string()
        .replace(r#""timeout_ms":0"#, r#""timeout_ms":9"#);
    std::fs::write(
        &file,
        mended.replace(r#""backend":"b""#, r#""backend":"a""#),
    )
    .unwrap();
    let output = run(&["check", text(&file)]);
    assert_eq!(
        out(&output),
        reported(&file, "configuration 4, no findings")
    );
    assert_eq!(code(&output), DONE);
}

#[test]
fn the_example_of_the_operators_page_can_be_used() {
    for file in data("../../../../deploy/example", "json") {
        let output = run(&["check", text(&file)]);
        assert_eq!(code(&output), DONE, "{}", out(&output));
    }
}

#[test]
fn check_ends_with_2_for_what_it_cannot_judge() {
    let folder = TemporaryFolder::new("dunespur-check").unwrap();
    let absent = folder.path().join("absent.json");
    let output = run(&["check", text(&absent)]);
    assert_eq!(code(&output), UNUSABLE);
    assert!(err(&output).starts_with(text(&absent)), "{}", err(&output));

    let other = folder.path().join("other.json");
    std::fs::write(&other, "{}").unwrap();
    assert_eq!(code(&run(&["check", text(&other)])), UNUSABLE);
    assert_eq!(
        code(&run(&["check", "--settings", text(&other)])),
        HAS_FINDINGS
    );
}

#[test]
fn check_reads_standard_input() {
    let mut child = dunespur()
        .args(["check", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(br#"{"node":"a"}"#)
        .unwrap();
    let output = child.wait_with_output().unwrap();
    assert_eq!(code(&output), HAS_FINDINGS);
    assert_eq!(
        out(&output),
        "-: ip: is missing\n-: port_range: is missing\n"
    );
}

#[test]
fn unusable_settings_are_one_line_and_exit_code_2() {
    for role in ["gateway", "store"] {
        let unset = run(&[role]);
        assert_eq!(code(&unset), UNUSABLE);
        assert_eq!(err(&unset).lines().count(), 1, "{}", err(&unset));
        for file in data("settings/bad", "json") {
            let output = dunespur()
                .arg(role)
                .env("DUNESPUR_CONFIG", &file)
                .output()
                .unwrap();
            assert_eq!(code(&output), UNUSABLE, "{role} {}", file.display());
            assert_eq!(err(&output).lines().count(), 1, "{}", err(&output));
            let findings = std::fs::read_to_string(file.with_extension("findings")).unwrap();
            for finding in findings.lines() {
                assert!(
                    err(&output).contains(finding),
                    "{finding}: {}",
                    err(&output)
                );
            }
        }
    }
}

#[test]
fn log_lines_have_time_machine_role_and_level() {
    let folder = TemporaryFolder::new("dunespur-log").unwrap();
    let mut addresses = AddressBlock::reserve(Ports::default()).unwrap();
    let settings = folder.path().join("node.json");
    let mut write = |port: u16| {
        let ip = addresses.next_address().unwrap();
        let file = json!({"node": "front-1", "ip": ip, "port_range": [port, port]});
        std::fs::write(&settings, file.to_string()).unwrap();
    };

    write(Ports::default().first_internal);
    let line = Running::start(&[], &settings).line();
    let (time, rest) = line.split_once(' ').unwrap();
    assert!(
        time.starts_with("20") && time.ends_with('Z') && time.len() == 24,
        "{line}"
    );
    assert_eq!(rest, "front-1 gateway [INFO] front-1 has started\n");

    write(Ports::default().first_internal);
    let line = Running::start(&["--log-format", "json"], &settings).line();
    let reported: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(reported["node"], "front-1");
    assert_eq!(reported["role"], "gateway");
    assert_eq!(reported["level"], "INFO");
    assert_eq!(reported["text"], "front-1 has started");
    assert!(reported["time"].as_str().unwrap().ends_with('Z'));
}
