//! Baseline router: the runner with the fewest requests.

use std::time;

use lentil_types::{Instant, RunnerName, RunnerState, Table};

use crate::{protocol, route};

/// Advice to a caller that no runner could take.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Row {
    info: route::RunnerInfo,
    load: Option<protocol::Load>,
    sent: u32,
}

/// Sends each request to the live runner with the fewest requests, without
/// asking for bids. A baseline to measure other routers against.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    runners: Table<RunnerName, Row>,
}

impl LeastLoaded {
    /// A router that knows no runner yet.
    pub fn new() -> Self {
        Self::default()
    }
}

impl route::Router for LeastLoaded {
    fn set_runners(&mut self, _now: Instant, runners: &[route::RunnerInfo]) {
        let mut old = std::mem::take(&mut self.runners);
        for info in runners {
            let row = old.remove(info.name.as_str());
            let fresh = Row {
                info: info.clone(),
                load: None,
                sent: 0,
            };
            self.runners.insert(info.name.clone(), row.unwrap_or(fresh));
        }
    }

    fn on_load(&mut self, _now: Instant, runner: &RunnerName, load: &protocol::Load) {
        if let Some(row) = self.runners.get_mut(runner) {
            row.load = Some(*load);
        }
    }

    fn plan(
        &mut self,
        _now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        _rng: &mut dyn rand::Rng,
    ) -> route::Plan {
        let takes_work = |row: &Row| row.load.is_none_or(|load| load.state <= RunnerState::Live);
        let best = self
            .runners
            .values()
            .filter(|row| row.info.service == work.service && takes_work(row))
            .filter(|row| !exclude.contains(&row.info.name))
            .min_by_key(|row| row.sent);
        match best {
            Some(row) => route::Plan::Direct {
                name: row.info.name.clone(),
                boot: None,
            },
            None => route::Plan::Refuse { retry: RETRY_AFTER },
        }
    }

    fn choose(
        &mut self,
        _now: Instant,
        _offer: &protocol::Offer,
        _asked: &[RunnerName],
        bids: &[route::RunnerBid],
    ) -> route::Choice {
        match bids.first() {
            Some(route::RunnerBid { runner, bid }) => route::Choice::Runner {
                name: runner.clone(),
                boot: Some(bid.load.boot),
            },
            None => route::Choice::Refuse { retry: RETRY_AFTER },
        }
    }

    fn on_dispatch(&mut self, _now: Instant, runner: &RunnerName, _work: &protocol::Work) {
        if let Some(row) = self.runners.get_mut(runner) {
            row.sent += 1;
        }
    }

    fn on_verdict(
        &mut self,
        _now: Instant,
        runner: &RunnerName,
        _work: &protocol::Work,
        _verdict: route::Verdict,
    ) {
        if let Some(row) = self.runners.get_mut(runner) {
            row.sent = row.sent.saturating_sub(1);
        }
    }

    fn dump(&self) -> Vec<String> {
        let line = |row: &Row| format!("{} sent={}", row.info.name, row.sent);
        self.runners.values().map(line).collect()
    }
}
