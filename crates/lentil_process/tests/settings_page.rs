//! Compares the settings with docs/settings.md.

use lentil_process::settings::Loader;

/// Settings with every key that the page lists.
const ALL_SETTINGS: &str = r#"
node = "entry-1"
place = "hall-intake"
admin = "127.0.0.1:9001"
admin_key = "for operators only"
platform = "127.0.0.1:9000"
fleet_key = "sixteen bytes or more"
peers = ["127.0.0.1:9002"]
text = "examples/dalton.toml"

[log]
format = "json"
level = "debug"

[metrics]
statsd = "127.0.0.1:8125"
prefix = "lentilglade"

[entry]
listen = "127.0.0.1:8080"
peer = "127.0.0.1:8081"

[sidecar]
runner = "sortmind-1"
listen = "127.0.0.1:7100"
backend = "127.0.0.1:9100"
kind = "engine"
"#;

#[test]
fn the_page_lists_every_key_that_settings_have() {
    let settings = Loader::new()
        .text(ALL_SETTINGS)
        .load()
        .expect("the settings are valid");
    let json = serde_json::to_value(&settings).expect("settings are JSON");
    let page = include_str!("../../../docs/settings.md");
    for key in keys("", &json) {
        assert!(
            page.contains(&format!("| `{key}` |")),
            "{key} is not in docs/settings.md"
        );
    }
}

#[test]
fn settings_have_every_key_that_the_page_lists() {
    let settings = Loader::new()
        .text(ALL_SETTINGS)
        .load()
        .expect("the settings are valid");
    let json = serde_json::to_value(&settings).expect("settings are JSON");
    let known = keys("", &json);
    let page = include_str!("../../../docs/settings.md");
    let listed = page.lines().filter_map(|line| line.strip_prefix("| `"));
    for key in listed.filter_map(|line| line.split('`').next()) {
        assert!(
            known.iter().any(|name| name == key),
            "{key} is in the page only"
        );
    }
}

fn keys(prefix: &str, value: &serde_json::Value) -> Vec<String> {
    let Some(table) = value.as_object() else {
        return vec![prefix.to_owned()];
    };
    let child_keys = |(name, value): (&String, &serde_json::Value)| {
        let key = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        keys(&key, value)
    };
    table.iter().flat_map(child_keys).collect()
}
