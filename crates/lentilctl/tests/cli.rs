//! Tests of the commands that need no platform, run as processes.

use std::process;

const DALTON: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/dalton.toml");
const LOMBARDY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lombardy.toml");
const FAULTY: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../lentil_config/tests/faulty/many.toml"
);

struct Answer {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn lentilctl(words: &[&str]) -> Answer {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_lentilctl"));
    let output = command.args(words).output().expect("lentilctl runs");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    Answer {
        code: output.status.code(),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

#[rstest::rstest]
#[case::valid(&["check", DALTON], 0)]
#[case::faulty(&["check", FAULTY], 1)]
#[case::no_file(&["check", "no-such-file.toml"], 2)]
#[case::same(&["diff", DALTON, DALTON], 0)]
#[case::other(&["diff", DALTON, LOMBARDY], 1)]
#[case::unknown_command(&["frobnicate"], 2)]
#[case::help(&["--help"], 0)]
#[case::nobody_listens(&["dump", "127.0.0.1:1"], 3)]
fn the_exit_code_is_as_documented(#[case] words: &[&str], #[case] code: i32) {
    let plain = lentilctl(words);
    assert_eq!(plain.code, Some(code), "{}{}", plain.stdout, plain.stderr);
    let json = lentilctl(&[words, &["--json"]].concat());
    assert_eq!(json.code, Some(code), "{}{}", json.stdout, json.stderr);
}

#[test]
fn an_error_says_what_to_do_next() {
    let answer = lentilctl(&["dump", "127.0.0.1:1"]);
    assert!(
        answer
            .stderr
            .contains("next: see whether a process listens"),
        "{}",
        answer.stderr
    );
}

#[test]
fn json_output_lists_the_faults() {
    let answer = lentilctl(&["--json", "check", FAULTY]);
    let value: serde_json::Value = serde_json::from_str(&answer.stdout).expect("JSON");
    assert_eq!(value["exit"], 1);
    assert_eq!(value["faults"][2]["kind"], "unknown-key");
    assert_eq!(value["faults"][2]["line"], 3);
}

#[test]
fn the_reference_equals_its_docs_page() {
    let answer = lentilctl(&["reference"]);
    assert_eq!(
        answer.stdout,
        include_str!("../../../docs/text-reference.md")
    );
}
