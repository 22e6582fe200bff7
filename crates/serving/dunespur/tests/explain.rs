//! `dunespur explain`: the trace of a request, from recorded logs and from the logs of running processes.

mod support;

use dunespur_emulator::client::RequestSpec;
use dunespur_emulator::scene::{Scene, ScenePlan, HOST};
use dunespur_emulator::system::TemporaryFolder;
use std::fs::{self, File};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use support::{continue_conversation, conversation_of, lookup_request, program};

const EXPLAINED: i32 = 0;
const UNKNOWN_REQUEST: i32 = 1;
const UNREADABLE: i32 = 2;

fn explain(request: &str, files: &[PathBuf]) -> Command {
    let mut command = Command::new(program());
    command
        .env_clear()
        .stdin(Stdio::null())
        .arg("explain")
        .arg(request)
        .args(files);
    command
}

fn trace(output: &Output) -> &str {
    assert_eq!(
        output.status.code(),
        Some(EXPLAINED),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    std::str::from_utf8(&output.stdout).unwrap()
}

fn test_data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/explain")
        .join(name)
}

fn logs() -> Vec<PathBuf> {
    ["front-1.log", "front-2.log", "store-1.log"]
        .map(test_data)
        .to_vec()
}

#[test]
fn a_request_is_traced_across_processes_without_lines_of_other_requests() {
    let explained = explain("r-2", &logs()).output().unwrap();
    assert_eq!(
        trace(&explained),
        fs::read_to_string(test_data("trace.txt")).unwrap()
    );
}

#[test]
fn standard_input_gives_the_same_trace_as_files() {
    let folder = TemporaryFolder::new("dunespur-explain").unwrap();
    let all = folder.path().join("all.log");
    let texts = logs()
        .iter()
        .map(|file| fs::read_to_string(file).unwrap())
        .collect::<String>();
    fs::write(
        &all,
        format!("a line of another program\n\u{fffd}\n{texts}"),
    )
    .unwrap();
    let explained = explain("r-2", &[])
        .stdin(File::open(&all).unwrap())
        .output()
        .unwrap();
    assert_eq!(
        trace(&explained),
        fs::read_to_string(test_data("trace.txt")).unwrap()
    );
}

#[test]
fn an_unknown_request_is_exit_code_1_and_an_unreadable_file_2() {
    let unknown = explain("r-404", &logs()).output().unwrap();
    assert_eq!(unknown.status.code(), Some(UNKNOWN_REQUEST));
    assert!(unknown.stdout.is_empty() && !unknown.stderr.is_empty());
    let unreadable = explain("r-2", &[test_data("absent.log")]).output().unwrap();
    assert_eq!(unreadable.status.code(), Some(UNREADABLE));
    assert!(String::from_utf8_lossy(&unreadable.stderr).contains("absent.log"));
}

/// Writes a script that runs the program with debug logging, whatever its arguments.
fn program_that_logs_at_debug(folder: &Path, format: &str) -> PathBuf {
    let script = folder.join("dunespur");
    let text = format!(
        "#!/bin/sh\nexec {} \"$@\" --log debug --log-format {format}\n",
        program().display()
    );
    fs::write(&script, text).unwrap();
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).unwrap();
    script
}

/// Writes the logs of all machines to files.
fn write_logs(scene: &Scene, folder: &Path) -> Vec<PathBuf> {
    let machines = scene.system.machines().iter();
    machines
        .map(|machine| {
            let file = folder.join(format!("{}.log", machine.name()));
            fs::write(&file, machine.log()).unwrap();
            file
        })
        .collect()
}

#[tokio::test]
async fn processes_log_where_a_turn_was_stored_and_looked_up() {
    let folder = TemporaryFolder::new("dunespur-explain").unwrap();
    for format in ["text", "json"] {
        let program = program_that_logs_at_debug(folder.path(), format);
        let scene = Scene::start(&program, ScenePlan::default()).await.unwrap();
        let mut conversation = conversation_of(&scene, 1).await;
        let first = conversation.previous().unwrap().to_string();
        continue_conversation(&scene, &mut conversation, "second").await;
        let second = conversation.previous().unwrap().to_string();
        let explained = explain(&second, &write_logs(&scene, folder.path()))
            .output()
            .unwrap();
        let trace = trace(&explained);
        let required_replicas = scene.plan.tolerated_losses as usize + 1;
        assert!(
            trace
                .matches("request to store it, replied: stored")
                .count()
                >= required_replicas,
            "{trace}"
        );
        assert!(trace.contains("turn persisted"), "{trace}");
        assert!(trace.contains(&first), "{trace}");
    }
}

#[tokio::test]
async fn the_data_plane_logs_where_a_request_went_and_why_it_was_rejected() {
    let folder = TemporaryFolder::new("dunespur-explain").unwrap();
    let program = program_that_logs_at_debug(folder.path(), "text");
    let scene = Scene::start(&program, ScenePlan::default()).await.unwrap();
    let served = scene.client.send(&lookup_request()).await;
    assert!(served.succeeded(), "{served:?}");
    let rejected = scene
        .client
        .send(&RequestSpec::get(HOST, "/nowhere/x"))
        .await;
    assert_eq!(rejected.status(), Some(404));
    let conversation = conversation_of(&scene, 1).await;
    let turn = conversation.previous().unwrap().to_string();
    let files = write_logs(&scene, folder.path());

    let explained = explain(&served.request.to_string(), &files)
        .output()
        .unwrap();
    for words in [
        "route lookup",
        "choice for service tools",
        "goes to",
        "sent to",
        "responded 200",
        "client: 200",
    ] {
        assert!(
            trace(&explained).contains(words),
            "{words}: {}",
            trace(&explained)
        );
    }
    let explained = explain(&rejected.request.to_string(), &files)
        .output()
        .unwrap();
    assert!(
        trace(&explained).contains("rejected with 404: no route"),
        "{}",
        trace(&explained)
    );
    let explained = explain(&turn, &files).output().unwrap();
    for words in [
        "route kept",
        "admitted",
        "the core's counter",
        "the response begins",
        "turn persisted",
        "released",
    ] {
        assert!(
            trace(&explained).contains(words),
            "{words}: {}",
            trace(&explained)
        );
    }
}
