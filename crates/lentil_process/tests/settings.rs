//! Tests of settings from a file, the environment and flags.

use lentil_process::settings::{BackendKind, Loader, SettingsError};

const FILE: &str = r#"
node = "sidecar-7"
place = "hall-intake"
fleet_key = "sixteen bytes or more"

[sidecar]
runner = "sortmind-7"
listen = "127.0.0.1:7107"
backend = "127.0.0.1:9107"
"#;

#[test]
fn a_file_alone_is_enough() {
    let settings = Loader::new().text(FILE).load().expect("the file is valid");
    let sidecar = settings.sidecar().expect("the file has a sidecar");
    assert_eq!(sidecar.runner.as_str(), "sortmind-7");
    assert_eq!(sidecar.kind, BackendKind::Engine);
    assert!(matches!(
        settings.entry(),
        Err(SettingsError::MissingTable("entry"))
    ));
}

#[test]
fn environment_overrides_the_file_and_flags_override_both() {
    let variables = [
        ("LENTIL_SIDECAR__LISTEN", "127.0.0.1:1"),
        ("LENTIL_SIDECAR__BACKEND", "127.0.0.1:2"),
        ("LENTIL_PEERS", "[\"127.0.0.1:3\", \"127.0.0.1:4\"]"),
        ("HOME", "/root"),
    ];
    let variables = variables.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let settings = Loader::new()
        .text(FILE)
        .environment(variables)
        .set("sidecar.backend=127.0.0.1:5")
        .and_then(Loader::load)
        .expect("all layers are valid");
    let sidecar = settings.sidecar().expect("the file has a sidecar");
    assert_eq!(sidecar.listen.port(), 1);
    assert_eq!(sidecar.backend.port(), 5);
    assert_eq!(settings.peers.len(), 2);
}

#[rstest::rstest]
#[case::unknown_key("unknown = 1", "unknown")]
#[case::wrong_type("admin = \"nowhere\"", "admin")]
#[case::bad_name("place = \"a hall\"", "place")]
fn an_error_names_its_key(#[case] line: &str, #[case] key: &str) {
    let base = FILE.replace("place = \"hall-intake\"\n", "");
    let place = if line.starts_with("place") {
        ""
    } else {
        "place = \"hall-intake\"\n"
    };
    let text = format!("{line}\n{place}{base}");
    let error = Loader::new()
        .text(&text)
        .load()
        .expect_err("the line is invalid");
    assert!(error.to_string().contains(key), "{error}");
}

#[test]
fn a_short_fleet_key_is_refused() {
    let text = FILE.replace("sixteen bytes or more", "short");
    let error = Loader::new()
        .text(&text)
        .load()
        .expect_err("the key is short");
    assert!(matches!(error, SettingsError::ShortFleetKey(5)), "{error}");
}

#[test]
fn secrets_are_not_printed() {
    let settings = Loader::new().text(FILE).load().expect("the file is valid");
    let json = serde_json::to_string(&settings).expect("settings are JSON");
    for shown in [format!("{settings:?}"), json] {
        assert!(!shown.contains("sixteen bytes"), "{shown}");
    }
}
