//! Admission of requests under the limits of their teams.

use std::{cell, fmt::Write as _, net, rc};

use lentil_policy::forward::{attempt_log, team_limits};
use lentil_process::metrics::Counter;
use lentil_types::{Table, TeamName, Tokens};

use super::{
    Router,
    plan::{Plan, Request},
};
use crate::{
    datagram::{Datagram, MAX_LIMIT_ENTRIES},
    h1, names,
    peers::Recipient,
};

/// Units charged for a request. Refunded on drop unless the request may have run.
pub(super) struct ChargeGuard {
    router: rc::Rc<Router>,
    charge: Option<team_limits::Charge>,
    attempts: rc::Rc<cell::RefCell<attempt_log::AttemptLog>>,
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let has_not_run =
            self.attempts.borrow().execution_state() == attempt_log::ExecutionState::NotRun;
        if let Some(charge) = self.charge.take().filter(|_| has_not_run) {
            let now = self.router.now();
            self.router.state().limits.refund(now, charge);
        }
    }
}

/// Charges a request to its team, if that has a limit; asks other routers for units where
/// this one has too few.
pub(super) async fn admit(
    router: &rc::Rc<Router>,
    plan: &Plan,
    request: &Request,
) -> Result<Option<ChargeGuard>, team_limits::Refusal> {
    let Some((team, limit)) = plan
        .team
        .as_ref()
        .and_then(|team| Some((team, team.limit.as_ref()?)))
    else {
        return Ok(None);
    };
    let cost = limit.cost(token_count(&request.head.headers, &router.names));
    let now = router.now();
    let mut verdict = router.state().limits.request(
        now,
        &team.name,
        cost,
        plan.priority,
        &mut *router.rng.borrow_mut(),
    );
    loop {
        match verdict {
            team_limits::Verdict::Admitted(charge) => {
                router.metrics.count(Counter::LimitAdmitted);
                return Ok(Some(ChargeGuard {
                    router: router.clone(),
                    charge: Some(charge),
                    attempts: plan.attempt_log.clone(),
                }));
            }
            team_limits::Verdict::Refused(refusal) => return Err(refusal),
            team_limits::Verdict::Ask { pending, asks } => {
                router.send_asks(asks);
                wait_for_grants(router, &pending).await;
                let now = router.now();
                let rng = &mut *router.rng.borrow_mut();
                verdict = router.state().limits.resume(now, pending, rng);
            }
        }
    }
}

/// Returns when the routers that were asked have answered, or the time for it is over.
async fn wait_for_grants(router: &Router, pending: &team_limits::Pending) {
    let answered = async {
        loop {
            let received = router.units_received.listen();
            if router.state().limits.is_answered(pending) {
                return;
            }
            received.await;
        }
    };
    let timeout = async {
        smol::Timer::after(router.settings.limits.ask_timeout).await;
    };
    futures_lite::future::or(answered, timeout).await;
}

/// Tokens of a request's prompt and of its longest output. A malformed field counts as
/// absent.
fn token_count(headers: &h1::Headers, names: &names::HeaderNames) -> Option<Tokens> {
    let (prompt, output) = headers.text(names.tokens)?.split_once(',')?;
    let prompt: u64 = prompt.trim().parse().ok()?;
    let output: u64 = output.trim().parse().ok()?;
    prompt.checked_add(output).map(Tokens)
}

/// The first four digits, for operators.
fn rounded_part(part: f64) -> f64 {
    (part * 1e4).round() / 1e4
}

impl Router {
    /// Asks for the units that will be needed soon, and gives those back that will not.
    pub(super) fn ask_in_advance(&self) {
        let now = self.now();
        let rng = &mut *self.rng.borrow_mut();
        let asks = self.state().limits.tick(now, rng);
        self.send_asks(asks);
        // Not counted by answer: an ask that is repeated to give units back is answered with
        // the units that were lent for it.
        let views = self.team_views();
        let lent = views.iter().map(|view| view.lent.0).sum();
        let known = self.units_lent.replace(lent);
        if lent > known {
            self.metrics.add(Counter::UnitsLent, lent - known);
        }
    }

    /// Sends questions for units; those to the same router share datagrams.
    fn send_asks(&self, asks: Vec<(net::IpAddr, team_limits::Ask)>) {
        let mut by_router: Table<net::IpAddr, Vec<team_limits::Ask>> = Table::new();
        for (router, ask) in asks {
            by_router.get_or_insert_with(router, Vec::new).push(ask);
        }
        for (router, asks) in by_router.iter() {
            self.metrics.add(Counter::LimitAsks, asks.len() as u64);
            for asks in asks.chunks(MAX_LIMIT_ENTRIES) {
                let datagram = Datagram::LimitAsk(asks.to_vec());
                self.outbox.put(Recipient::Router(*router), datagram);
            }
        }
    }

    /// Another router asks for units.
    pub(crate) fn on_limit_ask(&self, from: net::IpAddr, asks: &[team_limits::Ask]) {
        let now = self.now();
        let grants: Vec<_> = {
            let limits = &mut self.state().limits;
            let grants = asks.iter().map(|ask| limits.on_ask(now, from, ask));
            grants.collect()
        };
        for grants in grants.chunks(MAX_LIMIT_ENTRIES) {
            let datagram = Datagram::LimitGrant(grants.to_vec());
            self.outbox.put(Recipient::Router(from), datagram);
        }
    }

    /// Another router answers a question for units.
    pub(crate) fn on_limit_grant(&self, from: net::IpAddr, grants: &[team_limits::Grant]) {
        let now = self.now();
        let borrowed = {
            let limits = &mut self.state().limits;
            let valid = grants
                .iter()
                .filter(|grant| limits.on_grant(now, from, grant));
            valid
                .map(|grant| grant.units.0)
                .fold(0, u64::saturating_add)
        };
        self.metrics.add(Counter::UnitsBorrowed, borrowed);
        self.units_received.notify(usize::MAX);
    }

    /// Fraction of a team's limit that this router owns.
    pub(super) fn team_part(&self, team: &TeamName) -> Option<f64> {
        let views = self.team_views();
        let view = views.iter().find(|view| view.team == *team);
        view.map(|view| rounded_part(view.part))
    }

    fn team_views(&self) -> Vec<team_limits::TeamView> {
        let now = self.now();
        self.state().limits.views(now)
    }

    /// What is known of each team's limit, as lines of name and value.
    pub fn limits_text(&self) -> String {
        let mut text = String::new();
        for view in self.team_views() {
            let lines: [(&str, f64); 8] = [
                ("limit_units_per_second", view.limit.rate.0),
                ("burst_units", view.limit.burst.0 as f64),
                ("part", rounded_part(view.part)),
                ("balance_units", view.balance.round() + 0.0),
                ("window_units", view.used.0 as f64),
                ("units_lent_total", view.lent.0 as f64),
                ("units_borrowed_total", view.borrowed.0 as f64),
                ("refused_total", view.refused as f64),
            ];
            for (name, value) in lines {
                // Writing into memory cannot fail.
                let _ = writeln!(
                    text,
                    "lentilglade_team_{name}{{team=\"{}\"}} {value}",
                    view.team
                );
            }
        }
        text
    }
}
