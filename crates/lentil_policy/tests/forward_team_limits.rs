//! Limits of teams: what one router admits, borrows, lends and forgets.

use std::{net, time};

use lentil_policy::forward::{
    routing::{LimitUnit, Team, TeamLimit},
    team_limits::{Ask, Charge, Refusal, Settings, TeamLimits, Verdict},
};
use lentil_types::{Instant, TeamName, UnitRate, Units};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

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

    /// With full buckets that are not filled any more.
    fn filled(settings: Settings, routers: usize, burst: u64) -> Self {
        let mut fleet = Self::full(settings, routers, limit(burst as f64, burst));
        for router in &mut fleet.routers {
            router.set_teams(at(FULL), &[team(Some(limit(0.001, burst)))]);
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

    fn charge(&mut self, ms: u64, router: usize, cost: u64) -> Charge {
        match self.request(ms, router, cost, 0) {
            Verdict::Admitted(charge) => charge,
            verdict => panic!("not admitted: {verdict:?}"),
        }
    }

    fn refusal(&mut self, ms: u64, router: usize, cost: u64) -> Refusal {
        match self.request(ms, router, cost, 0) {
            Verdict::Refused(refusal) => refusal,
            verdict => panic!("not refused: {verdict:?}"),
        }
    }

    fn balance(&self, ms: u64, router: usize) -> f64 {
        self.routers[router].views(at(ms))[0].balance
    }

    /// An ask of a router that has no units itself, to the other of two.
    fn ask(&mut self, ms: u64, router: usize, cost: u64) -> (net::IpAddr, Ask) {
        let limits = &mut self.routers[router];
        match limits.request(at(ms), &name(), Units(cost), 0, &mut self.rng) {
            Verdict::Ask { asks, .. } => asks[0],
            verdict => panic!("did not ask: {verdict:?}"),
        }
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
    let (lender, ask) = fleet.ask(FULL, 0, 1_500);
    let grant = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    let again = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    assert_eq!(grant.units, again.units);
    assert!(fleet.routers[0].on_grant(at(FULL), lender, &grant));
    assert!(!fleet.routers[0].on_grant(at(FULL), lender, &grant));
    assert!(!fleet.routers[0].on_grant(at(FULL), lender, &again));
}

// Guards against refusals of a team without a limit, and against work done for it.
#[rstest]
#[case(None)]
#[case(Some(limit(0.0, 0)))]
fn a_team_without_limit_is_admitted(#[case] limit: Option<TeamLimit>) {
    let mut limits = TeamLimits::new(exact(), at(START));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    limits.set_routers(at(START), address(0), &[address(0), address(1)], 2);
    limits.set_teams(at(START), &[team(limit)]);
    for _ in 0..1_000 {
        let verdict = limits.request(at(FULL), &name(), Units(60_000), 0, &mut rng);
        assert!(matches!(verdict, Verdict::Admitted(_)));
    }
    assert!(limits.tick(at(FULL), &mut rng).is_empty());
    assert!(limits.views(at(FULL)).is_empty());
}

// Guards against a limit that grows with the time that callers are idle.
#[test]
fn no_more_than_the_burst_is_kept() {
    let mut fleet = Fleet::full(exact(), 4, limit(1_000.0, 4_000));
    assert_eq!(fleet.drain(FULL + 60_000, 0, 100), 4_000);
}

// Guards against a limit that holds for the burst only.
#[test]
fn routers_together_admit_the_rate() {
    let mut fleet = Fleet::full(exact(), 8, limit(10_000.0, 10_000));
    let mut used = 0;
    for ms in (FULL..FULL + 10_000).step_by(10) {
        if ms % 50 == 0 {
            fleet.tick(ms);
        }
        for router in 0..8 {
            used += 100 * u64::from(fleet.admits(ms, router, 100, 0));
        }
    }
    assert!((107_000..=110_100).contains(&used), "{used} of 110000");
}

// Guards against a process that forgets what ran in the window before it restarted.
#[test]
fn a_process_starts_with_an_empty_bucket() {
    let mut fleet = Fleet::new(exact(), 1, limit(1_000.0, 10_000));
    assert_eq!(fleet.drain(START, 0, 100), 0);
    assert!(fleet.drain(START + 1_000, 0, 100) <= 1_000);
}

// Guards against refusals below the limit in a deployment with one router.
#[test]
fn the_only_router_takes_the_whole_limit() {
    let mut limits = TeamLimits::new(exact(), at(START));
    limits.set_routers(at(START), address(0), &[address(0)], 44);
    limits.set_teams(at(START), &[team(Some(limit(44_000.0, 44_000)))]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for ms in (START..FULL).step_by(100) {
        limits.tick(at(ms), &mut rng);
    }
    let part = limits.views(at(FULL))[0].part;
    assert!((part - 1.0).abs() < 1e-9, "{part}");
}

// Guards against routers that each take the whole limit while they don't know the others.
#[test]
fn a_router_alone_takes_one_part_of_the_runners() {
    let mut limits = TeamLimits::new(exact(), at(START));
    limits.set_routers(at(START), address(0), &[], 44);
    limits.set_teams(at(START), &[team(Some(limit(44_000.0, 44_000)))]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for ms in (START..FULL).step_by(100) {
        limits.tick(at(ms), &mut rng);
    }
    let part = limits.views(at(FULL))[0].part;
    assert!((part - 1.0 / 44.0).abs() < 1e-9, "{part}");
}

// Guards against more owners than one where their parts together would exceed the limit.
#[rstest]
#[case(24, 24)]
#[case(100, 32)]
fn the_parts_add_up_to_the_limit(#[case] routers: usize, #[case] owners: usize) {
    let fleet = Fleet::full(exact(), routers, limit(24_000.0, 48_000));
    let parts = fleet
        .routers
        .iter()
        .map(|router| router.views(at(FULL))[0].part);
    let parts: Vec<f64> = parts.filter(|part| *part > 0.0).collect();
    assert_eq!(parts.len(), owners);
    assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
}

// Guards against parts of less than one request, which no owner could admit or lend.
#[test]
fn a_small_limit_of_requests_has_few_owners() {
    let requests = TeamLimit {
        unit: LimitUnit::Requests,
        ..limit(5.0, 10)
    };
    let mut fleet = Fleet::full(exact(), 24, requests);
    assert_eq!(fleet.drain(FULL, 0, 1), 10);
}

// Guards against a part that is used twice, by the router that was removed and by others.
#[test]
fn a_missing_router_counts_until_its_time_is_over() {
    let mut fleet = Fleet::full(exact(), 4, limit(1_000.0, 4_000));
    let part = |fleet: &Fleet, ms| fleet.routers[0].views(at(ms))[0].part;
    let others = [address(0), address(1), address(2)];
    fleet.routers[0].set_routers(at(FULL), address(0), &others, 4);
    fleet.routers[0].set_routers(at(FULL + 119_000), address(0), &others, 4);
    assert!((part(&fleet, FULL + 119_000) - 0.25).abs() < 1e-9);
    fleet.routers[0].set_routers(at(FULL + 121_000), address(0), &others, 4);
    assert!((part(&fleet, FULL + 121_000) - 1.0 / 3.0).abs() < 1e-9);
}

// Guards against a new router that is not counted, so that the parts exceed the limit.
#[test]
fn a_joining_router_takes_from_the_others_at_once() {
    let mut fleet = Fleet::full(exact(), 2, limit(1_000.0, 3_000));
    let routers = [address(0), address(1), address(2)];
    fleet.routers[0].set_routers(at(FULL), address(0), &routers, 4);
    assert!(fleet.balance(FULL, 0) <= 1_000.0);
}

// Guards against use of a lowered limit's old units after it is in force.
#[test]
fn a_lowered_limit_takes_units_away() {
    let mut fleet = Fleet::full(exact(), 2, limit(10_000.0, 20_000));
    for router in &mut fleet.routers {
        router.set_teams(at(FULL), &[team(Some(limit(1_000.0, 2_000)))]);
    }
    assert_eq!(fleet.drain(FULL, 0, 100), 2_000);
}

// Guards against a raised limit that is not used until buckets have been made anew.
#[test]
fn a_raised_limit_is_usable_within_a_second() {
    let mut fleet = Fleet::full(exact(), 2, limit(1_000.0, 1_000));
    fleet.drain(FULL, 0, 100);
    for router in &mut fleet.routers {
        router.set_teams(at(FULL), &[team(Some(limit(10_000.0, 10_000)))]);
    }
    fleet.tick(FULL + 1_000);
    assert!(fleet.drain(FULL + 1_000, 0, 100) >= 9_000);
}

// Guards against a burst that is granted again by removing a team and adding it.
#[test]
fn a_removed_team_keeps_its_bucket_for_a_window() {
    let mut fleet = Fleet::full(exact(), 1, limit(1_000.0, 20_000));
    fleet.drain(FULL, 0, 100);
    fleet.routers[0].set_teams(at(FULL), &[]);
    assert!(fleet.admits(FULL, 0, 60_000, 0), "it has no limit");
    fleet.routers[0].set_teams(at(FULL + 1_000), &[team(Some(limit(1_000.0, 20_000)))]);
    assert!(fleet.drain(FULL + 1_000, 0, 100) <= 1_000);
}

// Guards against refusals of a team that was added to a running fleet.
#[test]
fn a_new_team_starts_with_its_burst() {
    let mut fleet = Fleet::full(exact(), 2, limit(1_000.0, 2_000));
    let other = Team {
        name: "writer".parse().unwrap(),
        ..team(Some(limit(1_000.0, 2_000)))
    };
    fleet.routers[0].set_teams(at(FULL), &[other]);
    let views = fleet.routers[0].views(at(FULL));
    assert!((views[0].balance - 1_000.0).abs() < 1e-6);
}

// Guards against units that are there twice, at the lender and at the borrower.
#[test]
fn a_lender_has_less_by_what_it_lends() {
    let mut fleet = Fleet::full(exact(), 2, limit(1_000.0, 2_000));
    let (_, ask) = fleet.ask(FULL, 0, 1_500);
    let grant = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    assert!(grant.units > Units(0));
    let left = 1_000.0 - grant.units.0 as f64;
    assert!((fleet.balance(FULL, 1) - left).abs() < 1e-6);
}

// Guards against units of a grant that another router sends, or that nobody asked for.
#[test]
fn a_grant_counts_from_the_router_that_was_asked_only() {
    let mut fleet = Fleet::full(exact(), 3, limit(1_000.0, 3_000));
    let (lender, ask) = fleet.ask(FULL, 0, 1_500);
    let index = if lender == address(1) { 1 } else { 2 };
    let grant = fleet.routers[index].on_ask(at(FULL), address(0), &ask);
    let limits = &mut fleet.routers[0];
    assert!(!limits.on_grant(at(FULL), address(3 - index), &grant));
    let mut unknown = grant;
    unknown.nonce += 1;
    assert!(!limits.on_grant(at(FULL), lender, &unknown));
    let mut larger = grant;
    larger.units = Units(1_000_000);
    assert!(limits.on_grant(at(FULL), lender, &larger));
    assert!(fleet.balance(FULL, 0) <= 2_500.0, "more than was asked for");
}

// Guards against units that outlive their loan: a late grant, and one that is not used.
#[test]
fn borrowed_units_expire() {
    let settings = Settings {
        loan_life: time::Duration::from_millis(500),
        ..exact()
    };
    let mut fleet = Fleet::filled(settings, 2, 2_000);
    let before = fleet.balance(FULL, 0);
    let (lender, ask) = fleet.ask(FULL, 0, 1_500);
    let grant = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    let mut late = fleet.routers[0].clone();
    assert!(!late.on_grant(at(FULL + 501), lender, &grant));
    fleet.routers[0].on_grant(at(FULL + 400), lender, &grant);
    assert!(fleet.balance(FULL + 400, 0) > before + 400.0);
    // Nothing is delivered, so that nothing is given back.
    fleet.routers[0].tick(at(FULL + 501), &mut fleet.rng);
    assert!(fleet.balance(FULL + 501, 0) < before + 1.0);
}

// Guards against borrowed units that are lost although the lender could use them, and
// against a repeated return that counts twice.
#[test]
fn units_that_are_not_needed_are_given_back_once() {
    let mut fleet = Fleet::filled(exact(), 2, 2_000);
    let (lender, ask) = fleet.ask(FULL, 0, 1_500);
    let grant = fleet.routers[1].on_ask(at(FULL), address(0), &ask);
    fleet.routers[0].on_grant(at(FULL), lender, &grant);
    let returned = fleet.routers[0].tick(at(FULL + 100), &mut fleet.rng);
    assert_eq!(returned.len(), 1);
    for _ in 0..3 {
        fleet.routers[1].on_ask(at(FULL + 101), address(0), &returned[0].1);
        let sum = fleet.balance(FULL + 101, 0) + fleet.balance(FULL + 101, 1);
        assert!((sum - 2_000.0).abs() < 2.0, "{sum}");
    }
}

// Guards against charges for requests that did not run.
#[test]
fn a_refund_makes_units_usable_again() {
    let mut fleet = Fleet::filled(exact(), 2, 2_000);
    let charge = fleet.charge(FULL, 0, 1_800);
    assert!(!fleet.admits(FULL, 0, 1_000, 0));
    fleet.routers[0].refund(at(FULL + 10), charge);
    assert!(fleet.admits(FULL + 10, 0, 1_800, 0));
    let used = fleet.routers[0].views(at(FULL + 10))[0].used;
    assert_eq!(used, Units(1_800));
}

// Guards against more units than the burst after refunds of requests from long ago.
#[test]
fn a_late_refund_fills_the_part_only() {
    let mut fleet = Fleet::filled(exact(), 2, 2_000);
    let charge = fleet.charge(FULL, 0, 1_800);
    fleet.routers[0].refund(at(FULL + 5_000), charge);
    assert!(fleet.balance(FULL + 5_000, 0) <= 1_000.0);
}

// Guards against a Retry-After at which the units are not there yet, also for large requests.
#[rstest]
#[case(1_000)]
#[case(30_000)]
fn units_are_there_after_the_retry_after(#[case] cost: u64) {
    let mut fleet = Fleet::full(exact(), 8, limit(10_000.0, 40_000));
    fleet.drain(FULL, 0, 1_000);
    let refusal = fleet.refusal(FULL, 0, cost);
    let exact = cost as f64 / 10_000.0;
    let wait = refusal.retry_after.as_secs_f64();
    assert!(
        (exact * 0.9..exact * 1.6).contains(&wait),
        "{wait} for {exact}"
    );
    assert!(fleet.admits(
        FULL + refusal.retry_after.as_millis() as u64 + 200,
        0,
        cost,
        0
    ));
}

// Guards against a caller that comes back in a busy loop, and callers that all come at once.
#[test]
fn retry_after_has_a_least_time_and_jitter() {
    let mut fleet = Fleet::full(exact(), 1, limit(1_000_000.0, 1_000));
    fleet.drain(FULL, 0, 100);
    let times: Vec<_> = (0..10)
        .map(|_| fleet.refusal(FULL, 0, 100).retry_after)
        .collect();
    assert!(
        times
            .iter()
            .all(|time| *time >= time::Duration::from_millis(50))
    );
    assert!(times.iter().any(|time| *time != times[0]));
}

// Guards against asks for units that are not there: the request is to be refused at once.
#[test]
fn a_request_is_refused_without_asks_if_all_are_empty() {
    let mut fleet = Fleet::filled(exact(), 8, 8_000);
    fleet.drain(FULL, 0, 100);
    let asked = fleet.asked;
    for _ in 0..100 {
        assert!(!fleet.admits(FULL, 0, 100, 0));
    }
    assert_eq!(fleet.asked, asked);
}

// Guards against a request larger than the burst that is never admitted, and one that is
// not paid for.
#[test]
fn a_request_larger_than_the_burst_leaves_a_debt() {
    let mut fleet = Fleet::full(exact(), 4, limit(1_000.0, 4_000));
    assert!(fleet.admits(FULL, 0, 10_000, 0));
    let mut used = 0;
    for ms in (FULL..FULL + 10_000).step_by(50) {
        fleet.tick(ms);
        used += 100 * u64::from(fleet.admits(ms, 0, 100, 0));
    }
    // 6,000 to 6,400 of the 10,000 units pay the debt.
    assert!(used <= 4_400, "{used}");
}

// Guards against small requests that wait for loans although slack is there for them.
#[test]
fn a_small_request_may_use_a_small_debt() {
    let settings = Settings {
        slack: Units(1_600),
        ..exact()
    };
    let mut fleet = Fleet::filled(settings, 4, 4_000);
    let asked = fleet.asked;
    // The part, and a quarter of the slack as debt of all four: 1,600 / (4 x 4) units.
    for _ in 0..11 {
        assert!(fleet.admits(FULL, 0, 100, 0));
    }
    assert_eq!(fleet.asked, asked);
    assert!((fleet.balance(FULL, 0) + 100.0).abs() < 1.0);
}

/// Callers of an overloaded team: small requests of rank 0 at each router every 20 ms, and
/// others of `cost` and `rank` at `routers` routers. Those at a single router come back after
/// their Retry-After. Returns the units of both that were admitted in 60 s.
fn compete(cost: u64, rank: u8, routers: usize) -> (u64, u64) {
    let mut fleet = Fleet::full(exact(), 8, limit(20_000.0, 40_000));
    fleet.drain(FULL, 0, 500);
    let (mut used, mut next) = ((0, 0), FULL);
    for ms in (FULL..FULL + 60_000).step_by(20) {
        if ms % 60 == 0 {
            fleet.tick(ms);
        }
        for router in 0..8 {
            used.0 += 200 * u64::from(fleet.admits(ms, router, 200, 0));
        }
        for router in 0..routers {
            if ms < next {
                continue;
            }
            match fleet.request(ms, router, cost, rank) {
                Verdict::Refused(refusal) if routers == 1 => {
                    next = ms + refusal.retry_after.as_millis() as u64;
                }
                Verdict::Admitted(_) => used.1 += cost,
                _ => {}
            }
        }
    }
    used
}

// Guards against large requests that are starved by small ones of the same rank.
#[test]
fn large_requests_are_not_starved() {
    let (small, large) = compete(15_000, 0, 1);
    assert!(large >= 180_000, "{large} of {}", small + large);
    assert!(small >= 180_000, "{small} of {}", small + large);
}

// Guards against patient requests that get less than a quarter, and against urgent ones
// that don't go first.
#[rstest]
#[case(200, 8)]
#[case(15_000, 1)]
fn patient_requests_keep_a_quarter(#[case] cost: u64, #[case] routers: usize) {
    let (urgent, patient) = compete(cost, 5, routers);
    let share = patient as f64 / (urgent + patient) as f64;
    assert!((0.24..0.5).contains(&share), "{share}");
}
