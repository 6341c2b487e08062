//! Tests of the commands that use the platform, run as processes.

use std::{net, path, process};

use lentil_fakes::{Platform, PlatformSettings};
use lentil_policy::{config_sync::Doc, store::ObjectVersion};
use lentil_types::RegionName;

const TEXT: &str = "region = \"nw-georgia\"\n\n[[place]]\nname = \"hall-intake\"\n";
const OTHER: &str = "region = \"nw-georgia\"\n\n[[place]]\nname = \"hall-baling\"\n";

struct Answer {
    code: Option<i32>,
    value: serde_json::Value,
}

/// A fake platform and a folder for an operator's files, removed on drop.
struct Fixture {
    platform: Platform,
    folder: path::PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder is made");
        let platform = Platform::start(PlatformSettings::default()).expect("it listens");
        Self { platform, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }

    fn run(&self, words: &[&str]) -> Answer {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_lentilctl"));
        let address = self.platform.address().to_string();
        let output = command
            .args(words)
            .args(["--platform", &address, "--json"])
            .output();
        let output = output.expect("lentilctl runs");
        let value = serde_json::from_slice(&output.stdout);
        Answer {
            code: output.status.code(),
            value: value.expect("the output is JSON"),
        }
    }

    fn accepted(&self) -> (u64, String) {
        let region = RegionName::new("nw-georgia").expect("a name");
        let object = self.platform.store().get(&Doc::Config.key(&region));
        (
            object.version.0,
            String::from_utf8(object.value).expect("UTF-8"),
        )
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // If that fails, the folder stays until the build folder is removed.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn a_configuration_is_applied_shown_edited_and_applied_again() {
    let fixture = Fixture::new("again");
    let first = fixture.run(&["apply", &fixture.file("text.toml", TEXT), "--from", "0"]);
    assert_eq!((first.code, &first.value["version"]), (Some(0), &1.into()));
    let file = fixture.folder.join("shown.toml").display().to_string();
    let shown = fixture.run(&["show", "--region", "nw-georgia", "--file", &file]);
    assert_eq!((shown.code, &shown.value["version"]), (Some(0), &1.into()));
    assert_eq!(std::fs::read_to_string(&file).expect("written"), TEXT);
    let second = fixture.run(&["apply", &fixture.file("text.toml", OTHER), "--from", "1"]);
    assert_eq!(
        (second.code, &second.value["version"]),
        (Some(0), &2.into())
    );
    assert_eq!(fixture.accepted(), (2, OTHER.to_owned()));
}

#[test]
fn a_version_conflict_shows_the_diff_and_keeps_the_file() {
    let fixture = Fixture::new("race");
    let (mine, theirs) = (
        fixture.file("mine.toml", TEXT),
        fixture.file("theirs.toml", OTHER),
    );
    assert_eq!(
        fixture.run(&["apply", &theirs, "--from", "0"]).code,
        Some(0)
    );
    let refused = fixture.run(&["apply", &mine, "--from", "0"]);
    assert_eq!(refused.code, Some(4), "{}", refused.value);
    let diff = refused.value["diff"].as_str().expect("a diff");
    assert!(diff.contains("-name = \"hall-baling\""), "{diff}");
    assert!(diff.contains("+name = \"hall-intake\""), "{diff}");
    assert_eq!(refused.value["accepted"], 1);
    assert_eq!(std::fs::read_to_string(&mine).expect("there"), TEXT);
    assert_eq!(fixture.accepted(), (1, OTHER.to_owned()));
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let fixture = Fixture::new("lost");
    fixture.platform.faults().lose_answers(1);
    let applied = fixture.run(&["apply", &fixture.file("text.toml", TEXT), "--from", "0"]);
    assert_eq!(
        (applied.code, &applied.value["version"]),
        (Some(0), &1.into())
    );
    assert_eq!(fixture.accepted(), (1, TEXT.to_owned()));
}

#[test]
fn an_invalid_configuration_is_never_applied() {
    let fixture = Fixture::new("faulty");
    let file = fixture.file("text.toml", "region = 1\nunknown = 2\n");
    assert_eq!(fixture.run(&["apply", &file, "--from", "0"]).code, Some(1));
    assert_eq!(fixture.accepted().0, 0);
}

#[test]
fn a_platform_that_is_down_gives_exit_code_3() {
    let fixture = Fixture::new("down");
    fixture.platform.faults().set_down(true);
    let refused = fixture.run(&["apply", &fixture.file("text.toml", TEXT), "--from", "0"]);
    assert_eq!(refused.code, Some(3), "{}", refused.value);
    let shown = fixture.run(&["show", "--region", "nw-georgia"]);
    assert_eq!(shown.code, Some(3), "{}", shown.value);
}

#[test]
fn status_shows_each_process_version_and_silent_processes() {
    let fixture = Fixture::new("status");
    let region = RegionName::new("nw-georgia").expect("a name");
    let put = |expect, text: &str| {
        let key = Doc::Config.key(&region);
        let value = text.as_bytes().to_vec();
        fixture
            .platform
            .store()
            .put(&key, ObjectVersion(expect), value)
            .expect("written");
    };
    put(0, TEXT);
    let agent = smol::block_on(agent(&fixture, &region));
    fixture
        .platform
        .set_instances(vec![listed("entry-1", agent.address())]);
    let key = fixture.file("key", "the key of a test on loopback\n");
    let words = ["status", "--region", "nw-georgia", "--fleet-key-file", &key];
    let status = fixture.run(&words);
    assert_eq!(status.code, Some(0), "{}", status.value);
    let row = &status.value["processes"][0];
    assert_eq!((&row["version"], &row["behind"]), (&1.into(), &0.into()));
    // An instance at whose address nothing listens.
    let closed: net::SocketAddr = ([127, 0, 0, 1], 1).into();
    let two = vec![
        listed("entry-1", agent.address()),
        listed("entry-2", closed),
    ];
    fixture.platform.set_instances(two);
    let status = fixture.run(&words);
    assert_eq!(status.code, Some(1), "{}", status.value);
    assert_eq!(status.value["processes"][1]["state"], "silent");
}

#[test]
fn status_shows_how_far_a_process_lags() {
    // The process follows another platform, which has only the first version.
    let (fixture, old) = (Fixture::new("behind"), Fixture::new("behind-old"));
    let text = fixture.file("text.toml", TEXT);
    let later = fixture.file("later.toml", OTHER);
    assert_eq!(old.run(&["apply", &text, "--from", "0"]).code, Some(0));
    assert_eq!(fixture.run(&["apply", &text, "--from", "0"]).code, Some(0));
    assert_eq!(fixture.run(&["apply", &later, "--from", "1"]).code, Some(0));
    let region = RegionName::new("nw-georgia").expect("a name");
    let agent = smol::block_on(agent(&old, &region));
    fixture
        .platform
        .set_instances(vec![listed("entry-1", agent.address())]);
    let key = fixture.file("key", "the key of a test on loopback\n");
    let status = fixture.run(&["status", "--region", "nw-georgia", "--fleet-key-file", &key]);
    assert_eq!(status.code, Some(1), "{}", status.value);
    let row = &status.value["processes"][0];
    assert_eq!((&row["version"], &row["behind"]), (&1.into(), &1.into()));
}

fn listed(node: &str, address: net::SocketAddr) -> lentil_platform::Instance {
    lentil_platform::Instance {
        node: lentil_types::NodeName::new(node).expect("a name"),
        role: lentil_platform::InstanceRole::Entry,
        place: lentil_types::PlaceName::new("hall-intake").expect("a name"),
        address,
        state: lentil_types::RunnerState::Live,
    }
}

/// Starts an agent and waits until it has applied version 1.
async fn agent(fixture: &Fixture, region: &RegionName) -> lentil_control::Agent {
    let client = std::sync::Arc::new(lentil_platform::Platform::new(lentil_platform::Settings {
        address: fixture.platform.address(),
        ..lentil_platform::Settings::default()
    }));
    let agent = lentil_control::Agent::start(lentil_control::Settings {
        listen: ([127, 0, 0, 1], 0).into(),
        identity: lentil_wire::Identity {
            node: lentil_types::NodeName::new("entry-1").expect("a name"),
            key: "the key of a test on loopback"
                .parse()
                .expect("long enough"),
        },
        place: lentil_types::PlaceName::new("hall-intake").expect("a name"),
        region: region.clone(),
        seeds: Vec::new(),
        store: client.clone(),
        instances: client,
        budget: lentil_policy::store_budget::Settings::default(),
    });
    let agent = agent.await.expect("it listens");
    let applied = agent
        .applied()
        .recv()
        .await
        .expect("a configuration is applied");
    assert_eq!(applied.version, ObjectVersion(1));
    agent
}
