//! Parses a configuration text into a [`Config`].

use std::{net, time};

use lentil_types::{
    AdapterName, Class, ModelName, PlaceName, RegionName, RunnerName, ScopeName, ServiceName,
    TeamName, Units, WeightsVersion,
};
use toml::de;

use crate::{
    FaultKind, Faults, check, config,
    reader::{Fields, Located, Report},
    reference,
};

/// One day.
const MAX_DEADLINE_S: u32 = 86_400;
/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000;
/// HTTP methods allowed for calls that may not be repeated.
const METHODS: [&str; 5] = ["POST", "PUT", "PATCH", "DELETE", "GET"];

/// Parses and validates a configuration text.
pub(crate) fn config(text: &str) -> Result<config::Config, Faults> {
    let mut report = Report::new(text);
    let (tree, errors) = de::DeTable::parse_recoverable(text);
    for error in errors {
        let span = error.span().unwrap_or_default();
        report.add(&span, FaultKind::Syntax, error.message(), "a TOML document");
    }
    let span = tree.span();
    let root = Fields::new(&mut report, &reference::ROOT, span, tree.into_inner());
    let mut names = check::Names::default();
    let config = read_config(&mut report, root, &mut names);
    names.check(&mut report);
    match config {
        Some(config) if report.is_empty() => Ok(config),
        _ => Err(report.into_faults()),
    }
}

fn read_config<'t>(
    report: &mut Report<'t>,
    mut root: Fields<'t>,
    names: &mut check::Names,
) -> Option<config::Config> {
    let region: Option<Located<RegionName>> = root.required(report, "region");
    let objective = value(root.optional(report, "objective"));
    let places = root.tables(report, "place", &reference::PLACE);
    let classes = root.tables(report, "class", &reference::CLASS);
    let models = root.tables(report, "model", &reference::MODEL);
    let services = root.tables(report, "service", &reference::SERVICE);
    let teams = root.tables(report, "team", &reference::TEAM);
    let places = read_all(report, names, places, read_place);
    let classes = read_all(report, names, classes, read_class);
    let models = read_all(report, names, models, read_model);
    let services = read_all(report, names, services, read_service);
    let teams = read_all(report, names, teams, read_team);
    let region = region?.value;
    Some(config::Config {
        region,
        objective,
        places,
        classes,
        models,
        services,
        teams,
    })
}

/// Reads tables and skips those with a missing or invalid required value, already
/// reported as a fault.
fn read_all<'t, T>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    tables: Vec<Fields<'t>>,
    read: impl Fn(&mut Report<'t>, &mut check::Names, Fields<'t>) -> Option<T>,
) -> Vec<T> {
    tables
        .into_iter()
        .filter_map(|fields| read(report, names, fields))
        .collect()
}

fn value<T: Default>(item: Option<Located<T>>) -> T {
    item.map(|item| item.value).unwrap_or_default()
}

fn values<T>(items: Vec<Located<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}

// ---------------------------------------------------------------------------
// Tables

fn read_place<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Place> {
    let name: Located<PlaceName> = fields.required(report, "name")?;
    names.define(check::Kind::Place, &name);
    Some(config::Place { name: name.value })
}

fn read_class<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::ClassRule> {
    let name: Option<Located<Class>> = fields.required(report, "name");
    let seconds = fields.number(report, "deadline_s", 1..=MAX_DEADLINE_S);
    let name = name?;
    names.define(check::Kind::Class, &name);
    let deadline = time::Duration::from_secs(u64::from(seconds?.value));
    Some(config::ClassRule {
        name: name.value,
        deadline,
    })
}

fn read_model<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Model> {
    let name: Option<Located<ModelName>> = fields.required(report, "name");
    let service: Option<Located<ServiceName>> = fields.required(report, "service");
    let weights = fields.number(report, "weights", 1..=u32::MAX);
    let adapters: Vec<Located<AdapterName>> = fields.values(report, "adapters");
    if let Some(name) = &name {
        names.define(check::Kind::Model, name);
    }
    if let Some(service) = &service {
        names.require(check::Kind::Engine, service);
    }
    Some(config::Model {
        name: name?.value,
        service: service?.value,
        weights: WeightsVersion(weights?.value),
        adapters: values(adapters),
    })
}

fn read_service<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Service> {
    let name: Option<Located<ServiceName>> = fields.required(report, "name");
    let kind: Option<Located<config::ServiceKind>> = fields.required(report, "kind");
    let depends: Vec<Located<ServiceName>> = fields.values(report, "depends");
    let class = value(fields.optional(report, "class"));
    let reports_load = value(fields.optional(report, "reports_load"));
    let checks_fencing = value(fields.optional(report, "checks_fencing"));
    let floor = fields.optional_number(report, "floor", 0..=u32::MAX);
    let calls = fields.tables(report, "once", &reference::CALL);
    let runners = fields.tables(report, "runners", &reference::RUNNER);
    check_calls(report, kind.as_ref(), &calls);
    let once_calls = read_all(report, names, calls, read_call);
    let runners = read_all(report, names, runners, read_runner);
    check_floor(report, floor.as_ref(), runners.len());
    if let Some(name) = &name {
        names.define_service(name, kind.as_ref().map(|kind| kind.value), &depends);
    }
    Some(config::Service {
        name: name?.value,
        kind: kind?.value,
        depends: values(depends),
        class,
        reports_load,
        checks_fencing,
        floor: value(floor),
        once_calls,
        runners,
    })
}

fn check_calls(
    report: &mut Report<'_>,
    kind: Option<&Located<config::ServiceKind>>,
    calls: &[Fields<'_>],
) {
    let Some(kind) = kind.filter(|kind| kind.value != config::ServiceKind::Plain) else {
        return;
    };
    for call in calls {
        let found = format!("once in a service of kind {}", kind.value);
        report.add(
            call.span(),
            FaultKind::BadValue,
            found,
            "only in a service of kind plain",
        );
    }
}

fn check_floor(report: &mut Report<'_>, floor: Option<&Located<u32>>, runners: usize) {
    let Some(floor) = floor.filter(|floor| floor.value as usize > runners) else {
        return;
    };
    let found = format!("floor = {}", floor.value);
    report.add(
        &floor.span,
        FaultKind::BadValue,
        found,
        format!("0 to {runners}, its runners"),
    );
}

fn read_call<'t>(
    report: &mut Report<'t>,
    _names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Call> {
    let method: Option<Located<String>> = fields.required(report, "method");
    let path: Option<Located<String>> = fields.required(report, "path");
    let (method, path) = (method?, path?);
    if !METHODS.contains(&method.value.as_str()) {
        let found = format!("method = {:?}", method.value);
        report.add(&method.span, FaultKind::BadValue, found, METHODS.join(", "));
    }
    if !path.value.starts_with('/') {
        let found = format!("path = {:?}", path.value);
        report.add(
            &path.span,
            FaultKind::BadValue,
            found,
            "a text that begins with /",
        );
    }
    Some(config::Call {
        method: method.value,
        path: path.value,
    })
}

fn read_runner<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Runner> {
    let name: Option<Located<RunnerName>> = fields.required(report, "name");
    let place: Option<Located<PlaceName>> = fields.required(report, "place");
    let address: Option<Located<net::SocketAddr>> = fields.required(report, "address");
    let role = value(fields.optional(report, "role"));
    if let Some(name) = &name {
        names.define(check::Kind::Runner, name);
    }
    if let Some(place) = &place {
        names.require(check::Kind::Place, place);
    }
    if let Some(address) = &address {
        names.define(check::Kind::Address, address);
    }
    Some(config::Runner {
        name: name?.value,
        place: place?.value,
        address: address?.value,
        role,
    })
}

fn read_team<'t>(
    report: &mut Report<'t>,
    names: &mut check::Names,
    mut fields: Fields<'t>,
) -> Option<config::Team> {
    let name: Option<Located<TeamName>> = fields.required(report, "name");
    let weight = fields.optional_number(report, "weight", 1..=MAX_WEIGHT);
    let scope: Option<Located<ScopeName>> = fields.required(report, "scope");
    let keys: Vec<Located<config::KeyHash>> = fields.values(report, "keys");
    let limit = fields.table(report, "limit", &reference::LIMIT);
    let limit = limit.and_then(|limit| read_limit(report, limit));
    if let Some(name) = &name {
        names.define(check::Kind::Team, name);
    }
    for key in &keys {
        names.define(check::Kind::Key, key);
    }
    Some(config::Team {
        name: name?.value,
        weight: weight.map_or(1, |weight| weight.value),
        scope: scope?.value,
        keys: values(keys),
        limit,
    })
}

fn read_limit<'t>(report: &mut Report<'t>, mut fields: Fields<'t>) -> Option<config::TeamLimit> {
    let is_unit_named = fields.contains("unit");
    let unit: Option<Located<config::LimitUnit>> = fields.optional(report, "unit");
    let rate = fields.rate(report, "rate");
    let burst = fields.number(report, "burst", 1..=u32::MAX);
    // A faulty unit says nothing about whether `uncounted` has to be there.
    let unit = match unit {
        Some(unit) => Some(unit.value),
        None if is_unit_named => None,
        None => Some(config::LimitUnit::default()),
    };
    let uncounted = match unit {
        Some(config::LimitUnit::Tokens) => fields.number(report, "uncounted", 1..=u32::MAX),
        _ => fields.optional_number(report, "uncounted", 1..=u32::MAX),
    };
    if let (Some(config::LimitUnit::Requests), Some(uncounted)) = (unit, &uncounted) {
        let found = format!("uncounted = {} with the unit requests", uncounted.value);
        let allowed = "only with the unit tokens";
        report.add(&uncounted.span, FaultKind::BadValue, found, allowed);
    }
    let units = |number: Located<u32>| Units(u64::from(number.value));
    Some(config::TeamLimit {
        unit: unit?,
        rate: rate?.value,
        burst: units(burst?),
        uncounted: uncounted.map(units),
    })
}
