//! Order, fairness and bounds of the requests that wait for a runner.

use std::time;

use lentil_policy::forward::{
    admission,
    demand::Demand,
    refused_callers::RefusedCallers,
    scheduler::{Ahead, Full, Order, Scheduler, Settings, Ticket, Waiting},
};
use lentil_types::{Fingerprint, Instant, ServiceName, TeamName, Tokens};
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn request(rank: u8, team: &str, arrived: u64) -> Waiting {
    Waiting {
        service: "sort".parse().unwrap(),
        rank,
        team: Some(team.parse().unwrap()),
        tokens: Tokens(1_000),
        arrived: at(arrived),
        due: at(arrived + 900),
        expires: at(arrived + 4_000),
        returns: false,
    }
}

fn fair() -> Scheduler {
    Scheduler::new(Settings {
        order: Order::Fair,
        ..Settings::default()
    })
}

/// Sends the first request; returns its index in `tickets`.
fn send(queue: &mut Scheduler, now: Instant, tickets: &[Ticket]) -> usize {
    let first = tickets
        .iter()
        .position(|ticket| queue.is_first(now, *ticket));
    let first = first.expect("one request is the first");
    queue.remove(tickets[first], true);
    first
}

fn send_all(queue: &mut Scheduler, now: Instant, tickets: &[Ticket]) -> Vec<usize> {
    (0..tickets.len())
        .map(|_| send(queue, now, tickets))
        .collect()
}

/// Guards against a change of the order for deployments that do not ask for another one.
#[test]
fn by_default_the_order_is_by_rank_then_by_arrival() {
    let (sort, desk) = ("sort".parse().unwrap(), "desk".parse().unwrap());
    let mut queue = Scheduler::new(Settings::default());
    let enqueue = |queue: &mut Scheduler, service: &ServiceName, rank, arrived| {
        let waiting = Waiting {
            service: service.clone(),
            due: at(900),
            ..request(rank, "a", arrived)
        };
        queue.enqueue(at(arrived), waiting).unwrap()
    };
    let late = enqueue(&mut queue, &sort, 4, 2);
    let early = enqueue(&mut queue, &sort, 4, 1);
    let urgent = enqueue(&mut queue, &sort, 1, 3);
    let other = enqueue(&mut queue, &desk, 0, 0);
    let positions = |queue: &mut Scheduler| {
        [urgent, early, late, other].map(|ticket| queue.ahead(at(9), ticket).requests)
    };
    assert_eq!(positions(&mut queue), [0, 1, 2, 0]);
    let of_new = |queue: &mut Scheduler, rank| {
        let ahead = queue.ahead_of_new(at(9), &request(rank, "a", 9));
        ahead.requests
    };
    assert_eq!(of_new(&mut queue, 4), 3);
    assert_eq!(of_new(&mut queue, 0), 0);
    queue.remove(urgent, true);
    assert_eq!(positions(&mut queue), [0, 0, 1, 0]);
}

/// For ten seconds long prompts arrive 1.5 times as fast as they are computed;
/// callers give up after three. Counts those that get a runner in time and late. Guards
/// against an order in which requests that are late already make others late.
#[rstest]
#[case(Order::Arrival)]
#[case(Order::Fair)]
fn under_overload_nearly_all_served_requests_are_in_time(#[case] order: Order) {
    const ARRIVAL_INTERVAL_MS: u64 = 40;
    const PREFILL_MS: u64 = 60;
    const SLACK_MS: u64 = 400;
    let mut queue = Scheduler::new(Settings {
        order,
        ..Settings::default()
    });
    let mut waiting = Vec::new();
    let (mut in_time, mut late, mut free) = (0, 0, 0);
    for now in 0..10_000 {
        if now % ARRIVAL_INTERVAL_MS == 0 {
            let new = Waiting {
                due: at(now + SLACK_MS),
                expires: at(now + 3_000),
                ..request(1, "a", now)
            };
            waiting.push((now, queue.enqueue(at(now), new).unwrap()));
        }
        for (_, ticket) in waiting.extract_if(.., |(arrived, _)| now - *arrived > 3_000) {
            queue.remove(ticket, false);
        }
        if now < free {
            continue;
        }
        let first = |(_, ticket): &(u64, _)| queue.is_first(at(now), *ticket);
        let Some(first) = waiting.iter().position(first) else {
            continue;
        };
        let (arrived, ticket) = waiting.swap_remove(first);
        queue.remove(ticket, true);
        free = now + PREFILL_MS;
        if now - arrived <= SLACK_MS {
            in_time += 1;
        } else {
            late += 1;
        }
    }
    let served = 10_000 / PREFILL_MS;
    assert!(in_time + late >= served - 2, "the runner never idles");
    assert!(
        in_time * 10 >= served * 9,
        "{in_time} in time, {late} late, {served} can be served"
    );
}

#[test]
fn the_demand_is_the_recent_mean_of_long_prompts() {
    let mut demand = Demand::default();
    assert_eq!(demand.mean_long(), 0.0);
    demand.on_sent(Instant::from_millis(1), Tokens(90_000));
    assert!((demand.mean_long() - 90_000.0).abs() < 1.0);
    for _ in 0..10 {
        demand.on_sent(Instant::from_millis(60_000), Tokens(9_000));
    }
    assert!(demand.mean_long() < 9_100.0, "old demand has decayed");
}

/// Guards against a team that gets more the more it asks for.
#[test]
fn a_team_with_many_requests_gets_its_share_in_tokens() {
    let mut queue = fair();
    let mut tickets = Vec::new();
    let mut teams = Vec::new();
    for i in 0..35 {
        let team = if i < 28 { "flood" } else { "small" };
        let tokens = Tokens(if team == "small" { 1_000 } else { 500 });
        let waiting = Waiting {
            tokens,
            ..request(1, team, i)
        };
        tickets.push(queue.enqueue(at(i), waiting).unwrap());
        teams.push(team);
    }
    let order = send_all(&mut queue, at(50), &tickets);
    let small = order[..21].iter().filter(|i| teams[**i] == "small").count();
    assert_eq!(small, 7, "both get as many tokens: {order:?}");
}

/// Guards against credit for idle time: a team that returns would push aside the others
/// until it has caught up.
#[test]
fn a_team_that_was_idle_gets_no_credit_for_it() {
    let mut queue = fair();
    let busy: Vec<_> = (0..60)
        .map(|i| queue.enqueue(at(i), request(1, "busy", i)).unwrap())
        .collect();
    (0..40).for_each(|_| {
        send(&mut queue, at(100), &busy);
    });
    let new: Vec<_> = (0..20)
        .map(|i| queue.enqueue(at(100), request(1, "new", 100 + i)).unwrap())
        .collect();
    let all: Vec<_> = busy.into_iter().chain(new).collect();
    let order: Vec<_> = (0..20).map(|_| send(&mut queue, at(100), &all)).collect();
    let share = order.iter().filter(|i| **i >= 60).count();
    assert!(
        (9..=11).contains(&share),
        "{share} of 20 went to the new team"
    );
}

/// Guards against a loss of the order within a team.
#[test]
fn returning_callers_go_before_deadlines_and_late_requests_last() {
    let mut queue = fair();
    let requests = [
        ("late, expires later", 100, 9_000, false),
        ("late", 100, 5_000, false),
        ("loose", 3_000, 5_000, false),
        ("tight", 2_000, 5_000, false),
        ("returning", 4_000, 5_000, true),
    ];
    let tickets = requests.map(|(_, due, expires, returns)| {
        let waiting = Waiting {
            due: at(due),
            expires: at(expires),
            returns,
            ..request(1, "a", 0)
        };
        queue.enqueue(at(0), waiting).unwrap()
    });
    assert_eq!(send_all(&mut queue, at(500), &tickets), [4, 3, 2, 1, 0]);
}

/// Guards against streams that broke off and are refused because new requests, which have all
/// their time left, fill the queue first.
#[test]
fn callers_that_take_a_stream_up_go_before_new_requests() {
    let mut queue = Scheduler::new(Settings::default());
    for number in 0..20 {
        queue.enqueue(at(number), request(1, "a", number)).unwrap();
    }
    let take_up = Waiting {
        returns: true,
        ..request(1, "a", 30)
    };
    assert_eq!(queue.ahead_of_new(at(30), &take_up).requests, 0);
    let ticket = queue.enqueue(at(30), take_up).unwrap();
    assert!(queue.is_first(at(30), ticket));
    let urgent = queue.enqueue(at(31), request(0, "a", 31)).unwrap();
    assert!(queue.is_first(at(31), urgent), "rank comes first");
}

/// Guards against starvation: requests that are late from the start, of lower ranks and
/// of any size are passed over only a bounded number of times, and ageing costs others
/// no more than one turn in sixteen.
#[test]
fn aged_requests_get_a_bounded_part_of_the_turns() {
    let mut queue = fair();
    let mut tickets = Vec::new();
    let mut kinds = Vec::new();
    let mut sent = Vec::new();
    for now in 0..400u64 {
        let ms = now * 50;
        for (kind, rank, slack) in [("urgent", 0, 900), ("late", 0, 0), ("patient", 3, 900)] {
            let waiting = Waiting {
                due: at(ms + slack),
                expires: at(ms + 60_000),
                ..request(rank, "a", ms)
            };
            tickets.push(queue.enqueue(at(ms), waiting).unwrap());
            kinds.push(kind);
        }
        sent.push(kinds[send(&mut queue, at(ms + 1), &tickets)]);
    }
    let count = |kind| sent.iter().filter(|sent| **sent == kind).count();
    assert!(count("urgent") >= 370, "{} urgent of 400", count("urgent"));
    assert!(count("late") >= 3, "{} late", count("late"));
    assert!(count("patient") >= 8, "{} patient", count("patient"));
}

/// Guards against ageing that gives a team with many requests more than its share: most
/// aged requests are its own.
#[test]
fn ageing_gives_no_team_more_than_its_share() {
    let mut queue = Scheduler::new(Settings {
        order: Order::Fair,
        max_waiting: 2_000,
        ..Settings::default()
    });
    let mut tickets = Vec::new();
    let mut teams = Vec::new();
    let mut sent = Vec::new();
    for now in 0..1_600u64 {
        let ms = now * 10;
        let team = format!("team-{}", if now % 8 < 7 { 0 } else { 1 + now / 8 % 15 });
        tickets.push(queue.enqueue(at(ms), request(1, &team, ms)).unwrap());
        teams.push(team);
        if now >= 800 && now % 4 == 0 {
            sent.push(teams[send(&mut queue, at(ms), &tickets)].clone());
        }
    }
    let flood = sent.iter().filter(|team| *team == "team-0").count();
    // The others ask for a half of the turns, and get it.
    assert!(flood <= sent.len() * 11 / 20, "{flood} of {}", sent.len());
}

/// Guards against a place that stays taken after its caller has left.
#[test]
fn callers_that_leave_free_their_place_at_once_and_are_not_charged() {
    let mut queue = fair();
    let gone = queue.enqueue(at(0), request(1, "a", 0)).unwrap();
    let next = queue.enqueue(at(1), request(1, "a", 1)).unwrap();
    let other = queue.enqueue(at(2), request(1, "b", 2)).unwrap();
    queue.remove(gone, false);
    assert!(!queue.contains(gone));
    assert!(queue.is_first(at(3), next), "its team has not been charged");
    assert_eq!(queue.ahead(at(3), next).requests, 0);
    assert_eq!(queue.ahead(at(3), other).tokens, Tokens(1_000));
    queue.remove(next, false);
    assert!(queue.is_first(at(3), other));
}

/// Guards against unbounded memory, and against a full queue in which an urgent request
/// finds no place.
#[test]
fn a_full_queue_refuses_the_least_urgent_and_most_recent_request() {
    let mut queue = Scheduler::new(Settings {
        order: Order::Fair,
        max_waiting: 3,
        ..Settings::default()
    });
    let urgent = queue.enqueue(at(0), request(0, "a", 0)).unwrap();
    let old = queue.enqueue(at(1), request(2, "a", 1)).unwrap();
    let recent = queue.enqueue(at(2), request(2, "b", 2)).unwrap();
    assert_eq!(queue.enqueue(at(3), request(2, "c", 3)), Err(Full));
    let newer = queue.enqueue(at(4), request(1, "c", 4)).unwrap();
    assert!(!queue.contains(recent), "it made room");
    for ticket in [urgent, old, newer] {
        assert!(queue.contains(ticket));
    }
}

/// Guards against short prompts that wait behind a long one for which no runner has room.
#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    let mut queue = fair();
    let long = Waiting {
        tokens: Tokens(17_000),
        ..request(0, "a", 0)
    };
    let long = queue.enqueue(at(0), long).unwrap();
    let short = queue.enqueue(at(1), request(3, "a", 1)).unwrap();
    assert!(queue.is_first(at(2), long));
    assert!(queue.is_first(at(2), short));
    assert_eq!(queue.ahead(at(2), short).requests, 0);
}

/// Guards against a view that leaves out what waits.
#[test]
fn the_views_show_requests_by_service_rank_and_team() {
    let mut queue = fair();
    for (rank, team, arrived) in [(1, "b", 7), (1, "a", 5), (1, "a", 6), (0, "a", 8)] {
        queue.enqueue(at(9), request(rank, team, arrived)).unwrap();
    }
    let views = queue.views().into_iter().map(|view| {
        let team = view.team.map(|team| team.to_string());
        (
            view.rank,
            team.unwrap(),
            view.requests,
            view.tokens.0,
            view.oldest,
        )
    });
    let expected = [
        (0, "a".to_owned(), 1, 1_000, at(8)),
        (1, "a".to_owned(), 2, 2_000, at(5)),
        (1, "b".to_owned(), 1, 1_000, at(7)),
    ];
    assert_eq!(views.collect::<Vec<_>>(), expected);
}

/// Straightforward statement of the order in quadratic time.
struct Reference {
    settings: Settings,
    rows: Vec<(Ticket, Waiting)>,
    /// Requests that count as late.
    late: Vec<Ticket>,
    /// Virtual start times of services, ranks and teams.
    starts: Vec<(Group, Option<TeamName>, u64)>,
    virtual_times: Vec<(Group, u64)>,
    /// Requests sent at the last turn by age of a rank.
    last_aged: Vec<(Group, u64)>,
    /// Requests sent, and those since the last aged one.
    sent: Vec<(ServiceName, u64, u32)>,
}

/// Service, rank and whether the requests are late.
type Group = (ServiceName, u8, bool);

impl Reference {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            rows: Vec::new(),
            late: Vec::new(),
            starts: Vec::new(),
            virtual_times: Vec::new(),
            last_aged: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn group(&self, (ticket, row): &(Ticket, Waiting)) -> Group {
        let is_late = self.late.contains(ticket) && !row.returns;
        (row.service.clone(), row.rank, is_late)
    }

    /// Moves requests that became late, earliest deadline first.
    fn advance(&mut self, now: Instant) {
        let is_due =
            |(ticket, row): &&(Ticket, Waiting)| now > row.due && !self.late.contains(ticket);
        let due = self.rows.iter().filter(is_due).cloned();
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(ticket, row)| (row.due, *ticket));
        for row in due {
            let old = self.group(&row);
            self.rows.retain(|(other, _)| *other != row.0);
            self.forget_if_empty(&old);
            self.late.push(row.0);
            self.add(row);
        }
    }

    fn forget_if_empty(&mut self, group: &Group) {
        if !self.rows.iter().any(|row| self.group(row) == *group) {
            self.starts.retain(|row| row.0 != *group);
            self.virtual_times.retain(|row| row.0 != *group);
            self.last_aged.retain(|row| row.0 != *group);
        }
    }

    fn virtual_time(&self, group: &Group) -> u64 {
        let found = self.virtual_times.iter().find(|row| row.0 == *group);
        found.map_or(0, |row| row.1)
    }

    fn start(&self, row: &(Ticket, Waiting)) -> u64 {
        let group = self.group(row);
        let mut starts = self.starts.iter();
        let found = starts.find(|start| start.0 == group && start.1 == row.1.team);
        found.map_or(0, |start| start.2)
    }

    fn set_start(&mut self, row: &(Ticket, Waiting), start: u64) {
        let group = self.group(row);
        let team = row.1.team.clone();
        self.starts.retain(|old| old.0 != group || old.1 != team);
        self.starts.push((group, team, start));
    }

    fn enqueue(&mut self, now: Instant, ticket: Ticket, waiting: Waiting) {
        if now > waiting.due {
            self.late.push(ticket);
        }
        self.add((ticket, waiting));
    }

    fn add(&mut self, row: (Ticket, Waiting)) {
        let group = self.group(&row);
        let is_waiting = self
            .rows
            .iter()
            .any(|other| self.group(other) == group && other.1.team == row.1.team);
        if !is_waiting {
            let start = self.start(&row).max(self.virtual_time(&group));
            self.set_start(&row, start);
        }
        self.rows.push(row);
    }

    fn own_key(now: Instant, (ticket, row): &(Ticket, Waiting)) -> (u8, Instant, Ticket) {
        match (row.returns, now > row.due) {
            (true, _) => (0, row.arrived, *ticket),
            (false, false) => (1, row.due, *ticket),
            (false, true) => (2, row.expires, *ticket),
        }
    }

    /// All requests of a service in order, without regard to age.
    fn order(&self, now: Instant, service: &ServiceName) -> Vec<Ticket> {
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| row.service == *service)
            .collect();
        if self.settings.order == Order::Arrival {
            let class = |row: &Waiting| match (row.returns, now > row.due) {
                (true, _) => 0,
                (false, false) => 1,
                (false, true) => 2,
            };
            rows.sort_by_key(|(ticket, row)| (row.rank, class(row), row.arrived, *ticket));
            return rows.into_iter().map(|(ticket, _)| *ticket).collect();
        }
        rows.sort_by_key(|row| Self::own_key(now, row));
        let tags = rows.iter().enumerate().map(|(i, row)| {
            let of_team = |other: &&&(Ticket, Waiting)| {
                self.group(other) == self.group(row) && other.1.team == row.1.team
            };
            let before = rows[..i].iter().filter(of_team);
            let before: u64 = before.map(|(_, other)| other.tokens.0.max(1)).sum();
            let (_, rank, is_late) = self.group(row);
            (rank, is_late, self.start(row) + before, row.1.team.clone())
        });
        let mut tagged: Vec<_> = tags.zip(rows.iter().map(|(ticket, _)| *ticket)).collect();
        tagged.sort_by(|(a, _), (b, _)| a.cmp(b));
        tagged.into_iter().map(|(_, ticket)| ticket).collect()
    }

    fn row(&self, ticket: Ticket) -> &(Ticket, Waiting) {
        self.rows
            .iter()
            .find(|(other, _)| *other == ticket)
            .unwrap()
    }

    fn aged_first(&self, now: Instant, service: &ServiceName) -> Option<Ticket> {
        let since_aged = self.sent.iter().find(|row| row.0 == *service);
        if self.settings.order == Order::Arrival || since_aged.is_none_or(|row| row.2 < 15) {
            return None;
        }
        let is_aged = |(_, row): &&(Ticket, Waiting)| {
            row.service == *service && now.since(row.arrived) > self.settings.ageing
        };
        let last_aged = |group: &Group| {
            let found = self.last_aged.iter().find(|row| row.0 == *group);
            found.map_or(0, |row| row.1)
        };
        let aged = self.rows.iter().filter(is_aged);
        let groups = aged.map(|row| self.group(row));
        let group = groups.min_by_key(|group| (last_aged(group), group.1, group.2))?;
        let order = self.order(now, service);
        let head = order
            .into_iter()
            .find(|ticket| self.group(self.row(*ticket)) == group)?;
        let team = &self.row(head).1.team;
        let aged = self.rows.iter().filter(is_aged);
        let aged = aged.filter(|row| self.group(row) == group && row.1.team == *team);
        let oldest = aged.min_by_key(|(ticket, row)| (row.expires, *ticket));
        Some(oldest.map_or(head, |(ticket, _)| *ticket))
    }

    fn first(&self, now: Instant, service: &ServiceName) -> Option<Ticket> {
        let aged = self.aged_first(now, service);
        aged.or_else(|| self.order(now, service).first().copied())
    }

    fn remove(&mut self, now: Instant, ticket: Ticket, was_sent: bool) {
        let own = self.row(ticket).clone();
        let group = self.group(&own);
        let row = &own.1;
        if was_sent {
            let is_aged_turn = self.aged_first(now, &row.service) == Some(ticket);
            let of_group = self.rows.iter().filter(|other| self.group(other) == group);
            let least = of_group.map(|other| self.start(other)).min().unwrap();
            let virtual_time = self.virtual_time(&group).max(least);
            self.virtual_times.retain(|row| row.0 != group);
            self.virtual_times.push((group.clone(), virtual_time));
            self.set_start(&own, self.start(&own) + row.tokens.0.max(1));
            let counts = self.sent.iter_mut().find(|counts| counts.0 == row.service);
            let counts = match counts {
                Some(counts) => counts,
                None => {
                    self.sent.push((row.service.clone(), 0, 0));
                    self.sent.last_mut().unwrap()
                }
            };
            counts.1 += 1;
            counts.2 = if is_aged_turn { 0 } else { counts.2 + 1 };
            let sent = counts.1;
            if is_aged_turn {
                self.last_aged.retain(|row| row.0 != group);
                self.last_aged.push((group.clone(), sent));
            }
        }
        self.rows.retain(|(other, _)| *other != ticket);
        self.forget_if_empty(&group);
        if !self
            .rows
            .iter()
            .any(|(_, other)| other.service == row.service)
        {
            self.sent.retain(|counts| counts.0 != row.service);
        }
    }

    /// Requests before this one, and by how many tokens an estimate may be off: the
    /// largest request of each other team.
    fn ahead(&self, now: Instant, ticket: Ticket) -> (Ahead, u64) {
        let row = &self.row(ticket).1;
        let order = self.order(now, &row.service);
        let position = order.iter().position(|other| *other == ticket).unwrap();
        let before = order[..position].iter().map(|other| &self.row(*other).1);
        let tokens: u64 = before.map(|row| row.tokens.0.max(1)).sum();
        let mut largest: Vec<(Option<&TeamName>, u64)> = Vec::new();
        let group = self.group(self.row(ticket));
        let others = self.rows.iter().filter(|other| self.group(other) == group);
        for (_, other) in others.filter(|other| other.1.team != row.team) {
            let team = other.team.as_ref();
            match largest.iter_mut().find(|(name, _)| *name == team) {
                Some((_, tokens)) => *tokens = (*tokens).max(other.tokens.0),
                None => largest.push((team, other.tokens.0)),
            }
        }
        let ahead = Ahead {
            requests: position,
            tokens: Tokens(tokens),
        };
        (ahead, largest.iter().map(|(_, tokens)| tokens + 1).sum())
    }
}

/// Compares the order after each of many random operations with the reference. Guards
/// against an index that disagrees with the requests it indexes.
#[rstest]
#[case(Order::Arrival)]
#[case(Order::Fair)]
fn the_order_is_that_of_a_simple_reference(#[case] order: Order) {
    let settings = Settings {
        order,
        ageing: time::Duration::from_millis(300),
        ..Settings::default()
    };
    for seed in 0..12 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut queue = Scheduler::new(settings);
        let mut reference = Reference::new(settings);
        let mut now = 0;
        for _ in 0..250 {
            now += rng.random_range(0..30);
            reference.advance(at(now));
            let is_growing = reference.rows.len() < 25;
            if reference.rows.is_empty() || rng.random_bool(if is_growing { 0.6 } else { 0.4 }) {
                let arrived = now - rng.random_range(0..=now.min(20));
                let team: Option<u32> = rng.random_bool(0.9).then(|| rng.random_range(0..5));
                // Long and short prompts of one service wait apart.
                let (service, min) = [("sort", 0), ("desk", 1_024)][rng.random_range(0..2)];
                let waiting = Waiting {
                    service: service.parse().unwrap(),
                    rank: rng.random_range(0..3),
                    team: team.map(|team| format!("team-{team}").parse().unwrap()),
                    tokens: Tokens(min + rng.random_range(0..1_000)),
                    arrived: at(arrived),
                    due: at(arrived + rng.random_range(0..600)),
                    expires: at(arrived + rng.random_range(500..2_000)),
                    returns: rng.random_bool(0.1),
                };
                let ticket = queue.enqueue(at(now), waiting.clone()).unwrap();
                reference.enqueue(at(now), ticket, waiting);
            } else if rng.random_bool(0.7) {
                let service = reference.rows[0].1.service.clone();
                let first = reference.first(at(now), &service).unwrap();
                assert!(queue.is_first(at(now), first), "seed {seed}");
                queue.remove(first, true);
                reference.remove(at(now), first, true);
            } else {
                let index = rng.random_range(0..reference.rows.len());
                let ticket = reference.rows[index].0;
                let was_sent = rng.random_bool(0.3);
                assert!(queue.contains(ticket));
                queue.is_first(at(now), ticket);
                queue.remove(ticket, was_sent);
                reference.remove(at(now), ticket, was_sent);
            }
            for (ticket, row) in &reference.rows {
                let is_first = reference.first(at(now), &row.service) == Some(*ticket);
                assert_eq!(queue.is_first(at(now), *ticket), is_first, "seed {seed}");
                let ahead = queue.ahead(at(now), *ticket);
                let (expected, margin) = reference.ahead(at(now), *ticket);
                if order == Order::Arrival {
                    assert_eq!(ahead, expected, "seed {seed}");
                }
                let error = ahead.tokens.0.abs_diff(expected.tokens.0);
                assert!(
                    error <= margin,
                    "seed {seed}: {} tokens instead of {}, margin {margin}",
                    ahead.tokens,
                    expected.tokens
                );
            }
        }
    }
}

/// Guards against a caller that gains from coming back before the time that it was told,
/// or counts as refused for ever.
#[test]
fn a_caller_returns_only_in_the_time_that_it_was_told() {
    let wait = time::Duration::from_secs(2);
    let (early, punctual, never) = (Fingerprint(1), Fingerprint(2), Fingerprint(3));
    let mut refused = RefusedCallers::default();
    for fingerprint in [early, punctual, never] {
        refused.on_refused(at(0), fingerprint, wait);
    }
    assert!(!refused.on_request(at(1_900), early));
    assert!(refused.on_request(at(2_800), punctual));
    assert!(!refused.on_request(at(2_900), punctual), "it counts once");
    assert!(!refused.on_request(at(6_100), never));
    assert!(!refused.on_request(at(2_800), Fingerprint(4)));
    for number in 0..10_000 {
        refused.on_refused(at(7_000), Fingerprint(100 + number), wait);
    }
    assert!(!refused.on_request(at(9_000), Fingerprint(100)), "bounded");
    assert!(refused.on_request(at(9_000), Fingerprint(10_099)));
}

/// Guards against a request that is kept although it cannot be answered before its caller
/// leaves, and against a refusal of one that can.
#[rstest]
#[case(900, 500, true)]
#[case(1_100, 500, false)]
#[case(900, 1_200, false)]
fn a_request_waits_only_while_it_can_be_answered(
    #[case] wait: u64,
    #[case] first_byte: u64,
    #[case] may_wait: bool,
) {
    let limits = admission::Limits {
        queue_until: at(1_000),
        start_by: at(2_000),
    };
    let wait = time::Duration::from_millis(wait);
    let prediction = admission::Prediction {
        wait,
        first_byte: time::Duration::from_millis(first_byte),
    };
    let expected = may_wait.then_some(()).ok_or(admission::TooLate { wait });
    assert_eq!(admission::check(at(0), &limits, &prediction), expected);
}
