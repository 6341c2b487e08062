//! The route, team and service of a request.

use std::time;

use lentil_policy::forward::{
    routing::{self, Repeat, Route, Routing, Target, Team, UnknownKey},
    runners,
};
use lentil_types::{ConfigVersion, TeamName, WeightsVersion};
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![target("desk", 1)],
        repeat: Repeat::Idempotent,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(300),
        max_gap: time::Duration::from_millis(250),
        patience: None,
        attempts: 2,
        priority: 0,
        public: false,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.parse().unwrap(),
        weight,
    }
}

fn team(name: &str, priority: Option<u8>) -> Team {
    Team {
        name: name.parse().unwrap(),
        priority,
        isolated: false,
        limit: None,
    }
}

fn routing(routes: Vec<Route>) -> Routing {
    let teams = vec![
        (team("red", None), vec!["key-1".into(), "key-2".into()]),
        (team("blue", None), vec!["key-3".into()]),
    ];
    Routing::new(ConfigVersion(1), routes, teams)
}

#[rstest]
#[case("a.example", "/x/y/z", Some("/x/y/"))]
#[case("a.example", "/x/z", Some("/x/"))]
#[case("A.Example", "/x/", Some("/x/"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/xy/", None)]
#[case("b.example", "/x/", Some("/"))]
#[case("c.example", "/x/", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] prefix: Option<&str>,
) {
    let routing = routing(vec![
        route("b.example", "/"),
        route("a.example", "/x/y/"),
        route("a.example", "/x/"),
    ]);
    let found = routing.route(host, path);
    assert_eq!(found.map(|route| route.prefix.as_str()), prefix);
}

#[test]
fn a_key_belongs_to_its_team_and_to_no_other() {
    let routing = routing(vec![route("a.example", "/")]);
    let own = &routing.routes()[0];
    let name = |key| {
        let team = routing.team(own, key)?;
        Ok(team.map(|team| team.name.to_string()))
    };
    assert_eq!(name(Some("key-2")), Ok(Some("red".to_owned())));
    assert_eq!(name(Some("key-3")), Ok(Some("blue".to_owned())));
    assert_eq!(name(Some("key-4")), Err(UnknownKey));
    assert_eq!(name(Some("key")), Err(UnknownKey));
    assert_eq!(name(None), Err(UnknownKey));
}

#[test]
fn a_public_route_needs_no_key() {
    let public = Route {
        public: true,
        ..route("a.example", "/")
    };
    let routing = routing(vec![public]);
    let own = &routing.routes()[0];
    assert_eq!(routing.team(own, None), Ok(None));
    assert_eq!(routing.team(own, Some("stranger")), Ok(None));
    let held = routing.team(own, Some("key-1")).unwrap();
    assert_eq!(held.map(|team| team.name.as_str()), Some("red"));
}

#[rstest]
#[case(0.0, "old")]
#[case(0.89, "old")]
#[case(0.91, "new")]
#[case(1.0, "new")]
fn a_split_follows_its_weights(#[case] point: f64, #[case] service: &str) {
    let split = Route {
        targets: vec![target("old", 90), target("new", 10)],
        ..route("a.example", "/")
    };
    let routing = routing(vec![split]);
    let found = routing.target(&routing.routes()[0], point);
    assert_eq!(found.as_str(), service);
}

#[test]
fn the_team_rank_takes_precedence_over_the_route_rank() {
    let of = |own: Option<u8>, priority: u8| {
        let route = Route {
            priority,
            ..route("a.example", "/")
        };
        routing::rank(&route, Some(&team("red", own)))
    };
    assert!(of(Some(0), 1) < of(Some(1), 0), "the team takes precedence");
    assert!(
        of(Some(1), 0) < of(Some(1), 1),
        "the route decides within a team rank"
    );
    assert!(
        of(None, 0) < of(None, 1),
        "the route decides without a team rank"
    );
    assert_eq!(of(Some(200), 200), routing::MAX_RANK);
}

/// A configuration version with these teams, each with whether it is isolated.
fn sharing(version: u64, teams: &[(TeamName, bool)]) -> Routing {
    let teams = teams.iter().map(|(name, isolated)| {
        let team = Team {
            isolated: *isolated,
            ..team(name, None)
        };
        (team, Vec::new())
    });
    Routing::new(ConfigVersion(version), Vec::new(), teams.collect())
}

// A team that became isolated had left its cache entries to the others (review 7).
#[rstest]
fn no_team_finds_entries_of_another_one_that_is_isolated(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let names: [TeamName; 5] = ["a", "b", "c", "d", "e"].map(|name| name.parse().unwrap());
    let mut makers: Vec<(String, TeamName)> = Vec::new();
    for version in 0..200 {
        let present = names.iter().filter(|_| rng.random_bool(0.8));
        let present: Vec<_> = present.cloned().collect();
        let teams = present.into_iter().map(|name| (name, rng.random_bool(0.4)));
        let teams: Vec<_> = teams.collect();
        let routing = sharing(version, &teams);
        let is_isolated = |name: &TeamName| teams.contains(&(name.clone(), true));
        for (name, _) in &teams {
            let salt = runners::salt(WeightsVersion(1), &routing.cache_group(Some(name)));
            let mut found = makers.iter().filter(|(other, _)| *other == salt);
            let has_foreign =
                found.any(|(_, maker)| maker != name && (is_isolated(maker) || is_isolated(name)));
            assert!(!has_foreign, "{name} under {teams:?}");
            makers.push((salt, name.clone()));
        }
    }
}

#[test]
fn teams_that_are_not_isolated_share_entries_whatever_else_changes() {
    let name = |name: &str| -> TeamName { name.parse().unwrap() };
    let teams = |isolated: &str| {
        vec![
            (name("a"), false),
            (name("b"), false),
            (name(isolated), true),
        ]
    };
    let before = sharing(1, &teams("c"));
    let mut more = teams("c");
    more.insert(0, (name("d"), false));
    let after = sharing(2, &more);
    let group = |routing: &Routing, team: &str| routing.cache_group(Some(&name(team)));
    assert_eq!(group(&before, "a"), group(&before, "b"));
    assert_eq!(group(&before, "a"), before.cache_group(None), "no team");
    assert_eq!(
        group(&before, "a"),
        group(&after, "d"),
        "a new team shares them"
    );
    assert_ne!(group(&before, "a"), group(&sharing(3, &teams("d")), "a"));
    assert_ne!(
        group(&before, "a"),
        group(&before, "gone"),
        "a removed team shares none"
    );
}
