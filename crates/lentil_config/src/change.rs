//! Differences between two configurations.

use std::fmt;

use lentil_types::Table;

use crate::Config;

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "change")]
pub enum Change {
    /// Only the newer configuration has it.
    Added {
        /// The property, such as `runner sortmind-3`.
        what: String,
        /// Newer value.
        new: String,
    },
    /// Only the older configuration has it.
    Removed {
        /// The property.
        what: String,
        /// Older value.
        old: String,
    },
    /// Both have it, with different values.
    Altered {
        /// The property.
        what: String,
        /// Older value.
        old: String,
        /// Newer value.
        new: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { what, new } => write!(f, "+ {what}: {new}"),
            Self::Removed { what, old } => write!(f, "- {what}: {old}"),
            Self::Altered { what, old, new } => write!(f, "~ {what}: {old} -> {new}"),
        }
    }
}

/// Compares two configurations. Sorted by property, additions last.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (properties(old), properties(new));
    let mut changes = Vec::new();
    for (what, old_value) in old.iter() {
        let (what, old) = (what.clone(), old_value.clone());
        match new.get(&what) {
            None => changes.push(Change::Removed { what, old }),
            Some(new_value) if new_value != old_value => {
                changes.push(Change::Altered {
                    what,
                    old,
                    new: new_value.clone(),
                });
            }
            Some(_) => {}
        }
    }
    for (what, new_value) in new.iter().filter(|(what, _)| !old.contains(*what)) {
        changes.push(Change::Added {
            what: what.clone(),
            new: new_value.clone(),
        });
    }
    changes
}

/// All properties of a configuration, with their values as text.
fn properties(config: &Config) -> Table<String, String> {
    let mut properties = Table::new();
    let mut add = |what: String, value: String| {
        properties.insert(what, value);
    };
    add("region".to_owned(), config.region.to_string());
    add("objective".to_owned(), config.objective.to_string());
    for place in &config.places {
        add(format!("place {}", place.name), "listed".to_owned());
    }
    for rule in &config.classes {
        add(
            format!("class {} deadline", rule.name),
            format!("{:?}", rule.deadline),
        );
    }
    for model in &config.models {
        add(
            format!("model {} service", model.name),
            model.service.to_string(),
        );
        add(
            format!("model {} weights", model.name),
            model.weights.to_string(),
        );
        add(
            format!("model {} adapters", model.name),
            list(&model.adapters),
        );
    }
    for service in &config.services {
        let name = &service.name;
        add(format!("service {name} kind"), service.kind.to_string());
        add(format!("service {name} class"), service.class.to_string());
        add(format!("service {name} depends"), list(&service.depends));
        add(
            format!("service {name} reports_load"),
            service.reports_load.to_string(),
        );
        add(
            format!("service {name} checks_fencing"),
            service.checks_fencing.to_string(),
        );
        add(format!("service {name} floor"), service.floor.to_string());
        let call = |call: &crate::Call| format!("{} {}", call.method, call.path);
        let calls: Vec<_> = service.once_calls.iter().map(call).collect();
        add(format!("service {name} once"), list(&calls));
        for runner in &service.runners {
            let value = format!("{name} {} {} {}", runner.place, runner.address, runner.role);
            add(format!("runner {}", runner.name), value);
        }
    }
    for team in &config.teams {
        let name = &team.name;
        add(format!("team {name} weight"), team.weight.to_string());
        add(format!("team {name} scope"), team.scope.to_string());
        add(format!("team {name} keys"), list(&team.keys));
        if let Some(limit) = &team.limit {
            add(format!("team {name} limit"), limit.to_string());
        }
    }
    properties
}

fn list(items: &[impl fmt::Display]) -> String {
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    format!("[{}]", items.join(", "))
}
