//! What differs between two texts.

use std::fmt;

use lentil_types::Table;

use crate::Config;

/// One difference between two texts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "change")]
pub enum Change {
    /// Only the newer text has it.
    Added {
        /// What it is, such as `runner sortmind-3`.
        what: String,
        /// What the newer text says of it.
        new: String,
    },
    /// Only the older text has it.
    Removed {
        /// What it is.
        what: String,
        /// What the older text says of it.
        old: String,
    },
    /// Both have it and say different things.
    Altered {
        /// What it is.
        what: String,
        /// What the older text says of it.
        old: String,
        /// What the newer text says of it.
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

/// What differs between two texts, sorted by what it is.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (facts(old), facts(new));
    let mut changes = Vec::new();
    for (what, before) in old.iter() {
        let (what, old) = (what.clone(), before.clone());
        match new.get(&what) {
            None => changes.push(Change::Removed { what, old }),
            Some(after) if after != before => {
                changes.push(Change::Altered {
                    what,
                    old,
                    new: after.clone(),
                });
            }
            Some(_) => {}
        }
    }
    for (what, after) in new.iter().filter(|(what, _)| !old.contains(*what)) {
        changes.push(Change::Added {
            what: what.clone(),
            new: after.clone(),
        });
    }
    changes
}

/// Everything that a text says, by what it says it of.
fn facts(config: &Config) -> Table<String, String> {
    let mut facts = Table::new();
    let mut say = |what: String, said: String| {
        facts.insert(what, said);
    };
    say("region".to_owned(), config.region.to_string());
    say("objective".to_owned(), config.objective.to_string());
    for place in &config.places {
        say(format!("place {}", place.name), "listed".to_owned());
    }
    for rule in &config.classes {
        say(
            format!("class {} deadline", rule.name),
            format!("{:?}", rule.deadline),
        );
    }
    for model in &config.models {
        say(
            format!("model {} service", model.name),
            model.service.to_string(),
        );
        say(
            format!("model {} weights", model.name),
            model.weights.to_string(),
        );
        say(
            format!("model {} adapters", model.name),
            list(&model.adapters),
        );
    }
    for service in &config.services {
        let name = &service.name;
        say(format!("service {name} kind"), service.kind.to_string());
        say(format!("service {name} class"), service.class.to_string());
        say(format!("service {name} depends"), list(&service.depends));
        say(
            format!("service {name} reports_load"),
            service.reports_load.to_string(),
        );
        say(
            format!("service {name} checks_fencing"),
            service.checks_fencing.to_string(),
        );
        say(format!("service {name} floor"), service.floor.to_string());
        let call = |call: &crate::Call| format!("{} {}", call.method, call.path);
        let calls: Vec<_> = service.once_calls.iter().map(call).collect();
        say(format!("service {name} once"), list(&calls));
        for runner in &service.runners {
            let said = format!("{name} {} {} {}", runner.place, runner.address, runner.role);
            say(format!("runner {}", runner.name), said);
        }
    }
    for team in &config.teams {
        let name = &team.name;
        say(format!("team {name} weight"), team.weight.to_string());
        say(format!("team {name} scope"), team.scope.to_string());
        say(format!("team {name} keys"), list(&team.keys));
    }
    facts
}

fn list(items: &[impl fmt::Display]) -> String {
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    format!("[{}]", items.join(", "))
}
