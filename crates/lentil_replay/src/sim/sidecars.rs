//! Simulated sidecars.

use std::sync;

use lentil_policy::{entry, protocol, route, sidecar};
use lentil_types::{RunnerName, Table};

use super::{Sim, Waiting};

impl Sim<'_> {
    pub(super) fn with_sidecars<T>(
        &self,
        work: impl FnOnce(&mut Table<RunnerName, sidecar::SidecarPolicy>) -> T,
    ) -> T {
        let mut sidecars = self
            .sidecars
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        work(&mut sidecars)
    }

    pub(super) fn deliver_sidecar(&mut self, runner: usize, event: sidecar::Event) {
        if let sidecar::Event::Dispatch(_, dispatch) = &event {
            self.on_dispatch(runner, dispatch);
        }
        self.deliver_sidecar_events(runner, vec![event]);
    }

    /// Delivers several events before the next tick.
    pub(super) fn deliver_sidecar_events(&mut self, runner: usize, events: Vec<sidecar::Event>) {
        let now = self.now;
        let name = self.runners[runner].info.name.clone();
        let commands = self.with_sidecars(|sidecars| {
            let policy = sidecars.get_mut(&name)?;
            for event in events {
                policy.on_event(now, event);
            }
            Some(policy.tick(now))
        });
        for command in commands.unwrap_or_default() {
            self.carry_out_sidecar(runner, command);
        }
    }

    pub(super) fn on_dispatch(&mut self, runner: usize, dispatch: &protocol::Dispatch) {
        let work = &dispatch.offer.work;
        let same = |wait: &&Waiting| wait.runner == runner && wait.team == work.team;
        let waiting = Waiting {
            runner,
            team: work.team.clone(),
            class: work.class,
            since: self.now,
            queued_before: self.waiting.values().filter(same).count(),
        };
        self.waiting.insert(dispatch.offer.id, waiting);
    }

    pub(super) fn carry_out_sidecar(&mut self, runner: usize, command: sidecar::Command) {
        use sidecar::Command;
        match command {
            Command::Bid(link, bid) => {
                self.report.messages += 1;
                self.send_entry(link, |runner| {
                    entry::Event::Bid(route::RunnerBid { runner, bid })
                });
            }
            Command::Run(dispatch) => self.start_request(runner, &dispatch),
            Command::Stop(id) => self.runners[runner].engine.stop(id),
            Command::Started(link, started) => {
                self.send_entry(link, |runner| entry::Event::Started(runner, started));
            }
            Command::Piece(link, piece) => {
                self.send_entry(link, |runner| entry::Event::Piece(runner, piece));
            }
            Command::End(link, end) => {
                self.report.messages += 1;
                self.send_entry(link, |runner| entry::Event::Ended(runner, end));
            }
            Command::Fail(link, failed) => {
                self.report.messages += 1;
                self.waiting.remove(&failed.id);
                self.send_entry(link, |runner| entry::Event::Failed(runner, failed));
            }
            Command::Withdrawn(link, withdrawn) => {
                self.waiting.remove(&withdrawn.id);
                self.send_entry(link, |runner| entry::Event::Withdrawn(runner, withdrawn));
            }
            Command::ListCache => {
                let pieces = self.runners[runner].engine.list();
                self.cache_event(runner, sidecar::CacheChange::Listed(pieces));
            }
            _ => {}
        }
    }
}
