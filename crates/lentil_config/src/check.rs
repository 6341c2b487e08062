//! Checks that names are unique, that used names are defined, and that no service
//! depends on itself, directly or through others.

use std::fmt;

use lentil_types::{ServiceName, Table};

use crate::{
    FaultKind, config,
    reader::{Located, Report, Span},
};

/// What a name identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Kind {
    Place,
    Class,
    Model,
    Service,
    #[strum(serialize = "service of kind engine")]
    Engine,
    Runner,
    Address,
    Team,
    Key,
}

#[derive(Debug)]
struct Occurrence {
    kind: Kind,
    name: String,
    span: Span,
}

/// Names that a text defines or uses, and the dependencies between services.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: Vec<Occurrence>,
    used: Vec<Occurrence>,
    depends: Table<String, Vec<Located<String>>>,
}

impl Names {
    /// Records the definition of a name.
    pub(crate) fn define(&mut self, kind: Kind, name: &Located<impl fmt::Display>) {
        self.defined.push(occurrence(kind, name));
    }

    /// Records the use of a name that the text must define.
    pub(crate) fn require(&mut self, kind: Kind, name: &Located<impl fmt::Display>) {
        self.used.push(occurrence(kind, name));
    }

    /// Records a service and its dependencies.
    pub(crate) fn define_service(
        &mut self,
        name: &Located<ServiceName>,
        kind: Option<config::ServiceKind>,
        depends: &[Located<ServiceName>],
    ) {
        self.define(Kind::Service, name);
        if kind == Some(config::ServiceKind::Engine) {
            self.define(Kind::Engine, name);
        }
        for service in depends {
            self.require(Kind::Service, service);
        }
        let to_text = |service: &Located<ServiceName>| Located {
            value: service.value.to_string(),
            span: service.span.clone(),
        };
        self.depends.insert(
            name.value.to_string(),
            depends.iter().map(to_text).collect(),
        );
    }

    /// Adds every fault to the report.
    pub(crate) fn check(&self, report: &mut Report<'_>) {
        self.check_unique(report);
        self.check_defined(report);
        self.check_cycles(report);
    }

    fn check_unique(&self, report: &mut Report<'_>) {
        let mut seen = Table::new();
        for Occurrence { kind, name, span } in &self.defined {
            // Engine names are also defined, and checked, as services.
            if *kind == Kind::Engine {
                continue;
            }
            if seen.contains(&(*kind, name.as_str())) {
                let allowed = format!("one {kind} of this name");
                report.add(
                    span,
                    FaultKind::Duplicate,
                    format!("{kind} {name}"),
                    allowed,
                );
            } else {
                seen.insert((*kind, name.as_str()), ());
            }
        }
    }

    fn check_defined(&self, report: &mut Report<'_>) {
        let mut defined: Table<Kind, Vec<&str>> = Table::new();
        for Occurrence { kind, name, .. } in &self.defined {
            defined.get_or_insert_with(*kind, Vec::new).push(name);
        }
        for (_, names) in defined.iter_mut() {
            names.sort_unstable();
            names.dedup();
        }
        for Occurrence { kind, name, span } in &self.used {
            let names = defined.get(kind).map(Vec::as_slice).unwrap_or_default();
            if names.binary_search(&name.as_str()).is_err() {
                let allowed = match names {
                    [] => format!("the text defines no {kind}"),
                    names => names.join(", "),
                };
                report.add(span, FaultKind::Dangling, format!("{kind} {name}"), allowed);
            }
        }
    }

    /// Reports a cycle at each dependency in it.
    fn check_cycles(&self, report: &mut Report<'_>) {
        for (start, dependencies) in self.depends.iter() {
            for dependency in dependencies {
                if let Some(path) = self.find_path(&dependency.value, start) {
                    let found = format!("{start} -> {}", path.join(" -> "));
                    let allowed = "services that do not depend on themselves";
                    report.add(&dependency.span, FaultKind::Cycle, found, allowed);
                }
            }
        }
    }

    /// A dependency path from one service to another, both included.
    fn find_path<'n>(&'n self, from: &'n str, to: &str) -> Option<Vec<&'n str>> {
        let mut seen = vec![from];
        let mut paths = vec![vec![from]];
        while let Some(path) = paths.pop() {
            let last = *path.last()?;
            if last == to {
                return Some(path);
            }
            for dependency in self.depends.get(last).into_iter().flatten() {
                if !seen.contains(&dependency.value.as_str()) {
                    seen.push(&dependency.value);
                    paths.push([path.as_slice(), &[dependency.value.as_str()]].concat());
                }
            }
        }
        None
    }
}

fn occurrence(kind: Kind, name: &Located<impl fmt::Display>) -> Occurrence {
    Occurrence {
        kind,
        name: name.value.to_string(),
        span: name.span.clone(),
    }
}
