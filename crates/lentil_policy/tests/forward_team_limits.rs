//! Limits of teams: what one router admits, borrows, lends and forgets.

use std::net;

use lentil_policy::forward::{
    routing::{LimitUnit, Team, TeamLimit},
    team_limits::{Ask, Settings, TeamLimits, Verdict},
};
use lentil_types::{Instant, TeamName, UnitRate, Units};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// Start of the processes.
const START: u64 = 1_000;
/// Time after it at which the routers are known and the buckets are full.
const FULL: u64 = START + 60_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn name() -> TeamName {
    "reader".parse().unwrap()
}

fn limit(rate: f64, burst: u64) -> TeamLimit {
    TeamLimit {
        unit: LimitUnit::Tokens,
        rate: UnitRate(rate),
        burst: Units(burst),
        uncounted: Units(500),
    }
}

fn team(limit: Option<TeamLimit>) -> Team {
    Team {
        name: name(),
        priority: None,
        isolated: false,
        limit,
    }
}

fn address(index: usize) -> net::IpAddr {
    net::IpAddr::from([10, 0, 0, index as u8])
}

/// Routers whose datagrams arrive at once.
struct Fleet {
    routers: Vec<TeamLimits>,
    rng: Pcg64Mcg,
    /// Asks that were sent.
    asked: usize,
}

impl Fleet {
    fn new(settings: Settings, routers: usize, limit: TeamLimit) -> Self {
        let addresses: Vec<_> = (0..routers).map(address).collect();
        let router = |index: usize| {
            let mut router = TeamLimits::new(settings, at(START));
            router.set_routers(at(START), address(index), &addresses, routers);
            router.set_teams(at(START), &[team(Some(limit))]);
            router
        };
        Self {
            routers: (0..routers).map(router).collect(),
            rng: Pcg64Mcg::seed_from_u64(1),
            asked: 0,
        }
    }

    /// Ticks until the buckets are full.
    fn full(settings: Settings, routers: usize, limit: TeamLimit) -> Self {
        let mut fleet = Self::new(settings, routers, limit);
        for ms in (START..=FULL).step_by(500) {
            fleet.tick(ms);
        }
        fleet
    }

    fn tick(&mut self, ms: u64) {
        for router in 0..self.routers.len() {
            let asks = self.routers[router].tick(at(ms), &mut self.rng);
            self.deliver(ms, router, &asks);
        }
    }

    fn deliver(&mut self, ms: u64, router: usize, asks: &[(net::IpAddr, Ask)]) {
        self.asked += asks.len();
        for (lender, ask) in asks {
            let index = (0..self.routers.len()).find(|index| address(*index) == *lender);
            let Some(index) = index else { continue };
            let grant = self.routers[index].on_ask(at(ms), address(router), ask);
            self.routers[router].on_grant(at(ms), *lender, &grant);
        }
    }

    /// Requests units, and delivers the asks and their answers.
    fn request(&mut self, ms: u64, router: usize, cost: u64, rank: u8) -> Verdict {
        let limits = &mut self.routers[router];
        let mut verdict = limits.request(at(ms), &name(), Units(cost), rank, &mut self.rng);
        while let Verdict::Ask { pending, asks } = verdict {
            self.deliver(ms, router, &asks);
            verdict = self.routers[router].resume(at(ms), pending, &mut self.rng);
        }
        verdict
    }

    fn admits(&mut self, ms: u64, router: usize, cost: u64, rank: u8) -> bool {
        matches!(self.request(ms, router, cost, rank), Verdict::Admitted(_))
    }

    /// Units of requests of `cost` that are admitted in a row.
    fn drain(&mut self, ms: u64, router: usize, cost: u64) -> u64 {
        let mut used = 0;
        while self.admits(ms, router, cost, 0) {
            used += cost;
        }
        used
    }
}

/// Without excess, so that the figures are round.
fn exact() -> Settings {
    Settings {
        excess: 0.0,
        ..Settings::default()
    }
}

// Guards against refusals below the limit where callers use few of the routers.
#[test]
fn one_router_can_use_the_whole_limit() {
    let mut fleet = Fleet::full(exact(), 24, limit(24_000.0, 48_000));
    assert_eq!(fleet.drain(FULL, 3, 1_000), 48_000);
}

// Guards against a large request that no router's part can cover.
#[test]
fn a_request_larger_than_a_part_is_admitted() {
    let mut fleet = Fleet::full(exact(), 24, limit(60_000.0, 120_000));
    assert!(fleet.admits(FULL, 0, 60_000, 0));
}

// Guards against units that count twice when a datagram is duplicated.
#[test]
fn a_duplicated_grant_counts_once() {
    let mut fleet = Fleet::full(exact(), 2, limit(1_000.0, 2_000));
    let verdict = fleet.routers[0].request(at(FULL), &name(), Units(1_500), 0, &mut fleet.rng);
    let Verdict::Ask { asks, .. } = verdict else {
        panic!("admitted without units");
    };
    let (lender, ask) = asks[0];
    let grant = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    let again = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    assert_eq!(grant.units, again.units);
    assert!(fleet.routers[0].on_grant(at(FULL), lender, &grant));
    assert!(!fleet.routers[0].on_grant(at(FULL), lender, &grant));
    assert!(!fleet.routers[0].on_grant(at(FULL), lender, &again));
}
