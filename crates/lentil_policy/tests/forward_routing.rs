//! The route, team and service of a request.

use std::time;

use lentil_policy::forward::routing::{self, Repeat, Route, Routing, Target, Team, UnknownKey};
use lentil_types::ConfigVersion;
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
