//! End-to-end tests of the command line with the built binary.

#![allow(clippy::expect_used)]

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs the binary without daemon settings from the environment, and keeps files in a folder of
/// its own.
struct Fixture {
    folder: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Fixture { folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_teaselcroft"))
            .args(arguments)
            .env_remove("TEASELCROFT_DAEMONS")
            .env_remove("TEASELCROFT_KEY")
            .output()
            .expect("the binary runs")
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_unchanged_template_is_valid() {
    let fixture = Fixture::new("template");
    let template = fixture.run(&["questionnaire", "template", "harvest"]);
    let file = fixture.file("harvest.yaml", &text(&template.stdout));

    let checked = fixture.run(&["questionnaire", "check", &file]);

    assert_eq!(checked.status.code(), Some(0), "{}", text(&checked.stderr));
    assert!(text(&checked.stdout).contains("quick-question"));
}

#[test]
fn an_invalid_answer_is_reported_by_class_and_key() {
    let fixture = Fixture::new("wrong");
    let template = text(&fixture.run(&["questionnaire", "template", "harvest"]).stdout);
    let file = fixture.file("harvest.yaml", &template.replace("patience_ms: 20000", "patience_ms: 20"));

    let checked = fixture.run(&["questionnaire", "check", &file]);

    assert_eq!(checked.status.code(), Some(2));
    assert!(text(&checked.stderr).contains("classes.quick-question.patience_ms"), "{}", text(&checked.stderr));
}

#[test]
fn equal_answers_generate_equal_rules() {
    let fixture = Fixture::new("equal");
    let template = text(&fixture.run(&["questionnaire", "template", "harvest"]).stdout);
    let file = fixture.file("harvest.yaml", &template);

    let once = fixture.run(&["--json", "questionnaire", "check", &file]);
    let again = fixture.run(&["--json", "questionnaire", "check", &file]);

    assert_eq!(text(&once.stdout), text(&again.stdout));
    assert!(text(&once.stdout).contains("\"tier\": 1"));
}

#[test]
fn an_unreachable_daemon_has_its_own_exit_code() {
    let fixture = Fixture::new("unreachable");

    let unreachable = fixture.run(&["--daemons", "127.0.0.1:1", "--key", "operator-key", "team", "list"]);
    let without_daemons = fixture.run(&["status"]);

    assert_eq!(unreachable.status.code(), Some(4));
    assert_eq!(without_daemons.status.code(), Some(2));
    assert!(text(&without_daemons.stderr).contains("--daemons"));
}

#[test]
fn completions_contain_the_commands() {
    let fixture = Fixture::new("completions");

    let completions = fixture.run(&["completions", "bash"]);

    assert!(text(&completions.stdout).contains("questionnaire"));
}

#[test]
fn a_malformed_trace_is_rejected_with_its_line_number() {
    let fixture = Fixture::new("trace");
    let file = fixture.file("bad.jsonl", "{\"site\":\"reservoir\",\"daemons\":6,\"seed\":1}\n{\"at_ms\":0}\n");

    let demo = fixture.run(&["demo", "--trace", &file]);

    assert_eq!(demo.status.code(), Some(2));
    assert!(text(&demo.stderr).contains("line 2"), "{}", text(&demo.stderr));
}
