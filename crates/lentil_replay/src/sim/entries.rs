//! Simulated callers and entries.

use std::{sync, time};

use lentil_policy::{entry, protocol, sidecar};
use lentil_trace::Record;
use lentil_types::{Fingerprint, RequestId, RunnerName, Table, WeightsVersion};
use rand::RngExt as _;

use crate::report::WARM_UP;

use super::{Event, Link, PendingCall, Sim};

impl Sim<'_> {
    pub(super) fn on_arrival(&mut self, record: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let class = self.setup.records[record].class;
        self.report.requests[class as usize] += 1;
        self.start_call(record, entry);
    }

    pub(super) fn start_call(&mut self, record: usize, entry: usize) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let arrival = self.arrival(request, &self.setup.records[record]);
        let call = PendingCall {
            record,
            arrived_at: self.now,
            entry,
            has_token: false,
        };
        self.calls.insert(request, call);
        let event = entry::Event::Arrived(Box::new(arrival));
        self.entries[entry].policy.on_event(self.now, event);
        self.tick_entry(entry);
    }

    /// A recorded request as an entry's shell would report it. Non-repeatable
    /// calls are replayed as repeatable: the replay has no store.
    pub(super) fn arrival(&self, request: RequestId, record: &Record) -> entry::Arrival {
        let model = record.model.as_ref();
        let weights = model.and_then(|model| self.setup.config.model(model));
        let work = protocol::Work {
            service: record.service.clone(),
            model: record.model.clone(),
            team: record.team.clone(),
            class: record.class,
            weights: weights.map_or(WeightsVersion(0), |model| model.weights),
            pieces: sync::Arc::from(record.pieces.as_slice()),
            prompt: record.prompt,
            output: record.output,
        };
        entry::Arrival {
            request,
            work,
            call: protocol::HttpCall::default(),
            deadline: self.now + self.setup.model.budget(record.class),
            once: false,
            key: None,
            fingerprint: Fingerprint(request.0 as u64),
        }
    }

    pub(super) fn finish(&mut self, request: RequestId, ending: entry::Ending) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let class = self.setup.records[call.record].class;
        if matches!(ending, entry::Ending::Failed { .. }) {
            self.report.refused[class as usize] += 1;
        }
    }

    pub(super) fn on_piece(&mut self, request: RequestId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !std::mem::replace(&mut call.has_token, true) && call.arrived_at >= WARM_UP {
            let micros = now.since(call.arrived_at).as_micros() as u64;
            let class = self.setup.records[call.record].class;
            self.report.on_first_token(class, micros);
        }
    }

    pub(super) fn tick_entry(&mut self, entry: usize) {
        let commands = self.entries[entry].policy.tick(self.now, &mut self.rng);
        for command in commands {
            self.carry_out_entry(entry, command);
        }
        let wake = self.entries[entry].policy.next_wake();
        if wake < self.entries[entry].wake {
            self.entries[entry].wake = wake;
            self.schedule_at(wake, Event::Wake(entry));
        }
    }

    pub(super) fn carry_out_entry(&mut self, entry: usize, command: entry::Command) {
        match command {
            entry::Command::Offer(runner, offer) => {
                let link = self.open_link(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Offer(link, offer));
            }
            entry::Command::Dispatch(runner, dispatch) => {
                let link = self.open_link(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Dispatch(link, dispatch));
            }
            entry::Command::Cancel(runner, id) => {
                let link = self.open_link(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Cancel(id));
            }
            entry::Command::Withdraw(runner, id) => {
                let link = self.open_link(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Withdraw(link, id));
            }
            entry::Command::Emit { request, .. } => self.on_piece(request),
            entry::Command::Finish { request, ending } => self.finish(request, ending),
            _ => {}
        }
    }

    pub(super) fn restart_entries(&mut self) {
        for i in 0..self.entries.len() {
            let incarnation = self.entries[i].incarnation + 1;
            self.entries[i] = self.new_entry(self.entries[i].place.clone(), incarnation);
        }
        for runner in 0..self.runners.len() {
            let links = self.links.iter().enumerate();
            let of_runner = links.filter(|(_, link)| link.runner == runner);
            let link_lost = |(i, _)| sidecar::Event::LinkLost(sidecar::LinkId(i as u64));
            let events = of_runner.map(link_lost).collect();
            self.deliver_sidecar_events(runner, events);
        }
        self.waiting = Table::new();
        let calls: Vec<_> = self
            .calls
            .iter()
            .map(|(id, call)| (*id, call.record, call.entry))
            .collect();
        for (request, record, entry) in calls {
            self.calls.remove(&request);
            self.start_call(record, entry);
        }
    }

    pub(super) fn open_link(&mut self, entry: usize, runner: &RunnerName) -> sidecar::LinkId {
        let incarnation = self.entries[entry].incarnation;
        let runner = self.by_name.get(runner).copied().unwrap_or_default();
        self.links.push(Link {
            entry,
            incarnation,
            runner,
        });
        sidecar::LinkId(self.links.len() as u64 - 1)
    }

    pub(super) fn link_delay(&self, link: &Link) -> time::Duration {
        let is_near = self.entries[link.entry].place == self.runners[link.runner].info.place;
        let model = &self.setup.model;
        if is_near { model.near } else { model.far }
    }

    pub(super) fn send_sidecar(&mut self, link: sidecar::LinkId, event: sidecar::Event) {
        self.report.messages += 1;
        let link = self.links[link.0 as usize];
        let event = Event::ToSidecar(link.runner, Box::new(event));
        self.schedule_after(self.link_delay(&link), event);
    }

    pub(super) fn send_entry(
        &mut self,
        link: sidecar::LinkId,
        event: impl FnOnce(RunnerName) -> entry::Event,
    ) {
        let link = self.links[link.0 as usize];
        if self.entries[link.entry].incarnation != link.incarnation {
            return;
        }
        let name = self.runners[link.runner].info.name.clone();
        let event = Event::ToEntry(link.entry, Box::new(event(name)));
        self.schedule_after(self.link_delay(&link), event);
    }
}
