//! Checks that names are unique, that what is used is defined, and that no
//! service depends on itself.

use std::fmt;

use lentil_types::{ServiceName, Table};

use crate::{
    FaultKind, config,
    reader::{At, Report, Span},
};

/// What a name stands for.
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
struct Use {
    kind: Kind,
    name: String,
    span: Span,
}

/// Every name that a text defines or uses.
#[derive(Debug, Default)]
pub(crate) struct Names {
    defined: Vec<Use>,
    used: Vec<Use>,
    depends: Table<String, Vec<At<String>>>,
}

impl Names {
    /// A name is defined here.
    pub(crate) fn define(&mut self, kind: Kind, name: &At<impl fmt::Display>) {
        self.defined.push(entry(kind, name));
    }

    /// A name is used here and must be defined somewhere.
    pub(crate) fn require(&mut self, kind: Kind, name: &At<impl fmt::Display>) {
        self.used.push(entry(kind, name));
    }

    /// A service is defined here.
    pub(crate) fn define_service(
        &mut self,
        name: &At<ServiceName>,
        kind: Option<config::ServiceKind>,
        depends: &[At<ServiceName>],
    ) {
        self.define(Kind::Service, name);
        if kind == Some(config::ServiceKind::Engine) {
            self.define(Kind::Engine, name);
        }
        for service in depends {
            self.require(Kind::Service, service);
        }
        let needs = |at: &At<ServiceName>| At {
            value: at.value.to_string(),
            span: at.span.clone(),
        };
        self.depends
            .insert(name.value.to_string(), depends.iter().map(needs).collect());
    }

    /// Reports every fault.
    pub(crate) fn check(&self, report: &mut Report<'_>) {
        self.check_unique(report);
        self.check_defined(report);
        self.check_cycles(report);
    }

    fn check_unique(&self, report: &mut Report<'_>) {
        let mut first = Table::new();
        for Use { kind, name, span } in &self.defined {
            // An engine is defined as a service, too.
            if *kind == Kind::Engine {
                continue;
            }
            if first.contains(&(*kind, name.as_str())) {
                let allowed = format!("one {kind} of this name");
                report.add(
                    span,
                    FaultKind::Duplicate,
                    format!("{kind} {name}"),
                    allowed,
                );
            } else {
                first.insert((*kind, name.as_str()), ());
            }
        }
    }

    fn check_defined(&self, report: &mut Report<'_>) {
        let mut known: Table<Kind, Vec<&str>> = Table::new();
        for Use { kind, name, .. } in &self.defined {
            known.get_or_insert_with(*kind, Vec::new).push(name);
        }
        for (_, names) in known.iter_mut() {
            names.sort_unstable();
            names.dedup();
        }
        for Use { kind, name, span } in &self.used {
            let names = known.get(kind).map(Vec::as_slice).unwrap_or_default();
            if names.binary_search(&name.as_str()).is_err() {
                let allowed = match names {
                    [] => format!("the text defines no {kind}"),
                    names => names.join(", "),
                };
                report.add(span, FaultKind::Dangling, format!("{kind} {name}"), allowed);
            }
        }
    }

    fn check_cycles(&self, report: &mut Report<'_>) {
        for (start, needs) in self.depends.iter() {
            for need in needs {
                if let Some(path) = self.path(&need.value, start) {
                    let found = format!("{start} -> {}", path.join(" -> "));
                    let allowed = "services that do not depend on themselves";
                    report.add(&need.span, FaultKind::Cycle, found, allowed);
                }
            }
        }
    }

    /// The services on a way from one to another, both included.
    fn path<'n>(&'n self, from: &'n str, to: &str) -> Option<Vec<&'n str>> {
        let mut seen = vec![from];
        let mut ways = vec![vec![from]];
        while let Some(way) = ways.pop() {
            let last = *way.last()?;
            if last == to {
                return Some(way);
            }
            for need in self.depends.get(last).into_iter().flatten() {
                if !seen.contains(&need.value.as_str()) {
                    seen.push(&need.value);
                    ways.push([way.as_slice(), &[need.value.as_str()]].concat());
                }
            }
        }
        None
    }
}

fn entry(kind: Kind, name: &At<impl fmt::Display>) -> Use {
    Use {
        kind,
        name: name.value.to_string(),
        span: name.span.clone(),
    }
}
