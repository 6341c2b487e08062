//! Simulated sidecar processes.

use std::time;

use lentil_policy::{entry, protocol, route, sidecar};
use lentil_types::{BootId, Instant, RunnerName, RunnerState, Table, WeightsVersion};

use super::{
    FaultKind, Invariant, Mutation,
    events::Event,
    world::{World, new_sidecar},
};

impl World {
    pub(super) fn deliver_sidecar(
        &mut self,
        runner: usize,
        incarnation: u32,
        event: sidecar::Event,
    ) {
        if self.sidecars[runner].incarnation != incarnation {
            self.reject_stale_dispatch(&event);
            return;
        }
        if self.is_traced {
            self.trace
                .push(format!("{} sidecar {runner} <- {event:?}", self.now));
        }
        let node = &mut self.sidecars[runner];
        if let sidecar::Event::Dispatch(_, dispatch) = &event
            && node.leave_requested
        {
            node.late_dispatches.push(dispatch.offer.id);
        }
        if event == sidecar::Event::Leave && self.settings.mutation == Some(Mutation::NoLeaving) {
            return;
        }
        node.policy.on_event(self.now, event);
        self.tick_sidecar(runner, incarnation);
    }

    /// Breaks the link of a dispatch to a sidecar that has restarted.
    pub(super) fn reject_stale_dispatch(&mut self, event: &sidecar::Event) {
        if let sidecar::Event::Dispatch(link, _) = event {
            self.break_link(link.0);
        }
    }

    pub(super) fn tick_sidecar(&mut self, runner: usize, incarnation: u32) {
        let now = self.now;
        let node = &mut self.sidecars[runner];
        if node.incarnation != incarnation {
            return;
        }
        let commands = node.policy.tick(now);
        let wake = node
            .policy
            .next_wake()
            .max(now + time::Duration::from_micros(1));
        if wake < node.wake {
            node.wake = wake;
            self.queue
                .push(wake, Event::WakeSidecar(runner, incarnation));
        }
        for command in commands {
            self.carry_out_sidecar(runner, command);
        }
    }

    pub(super) fn carry_out_sidecar(&mut self, runner: usize, command: sidecar::Command) {
        use sidecar::Command;
        if self.is_traced {
            self.trace
                .push(format!("{} sidecar {runner} -> {command:?}", self.now));
        }
        let name = self.sidecars[runner].name.clone();
        match command {
            Command::Bid(link, bid) => {
                let bid = route::RunnerBid { runner: name, bid };
                self.send_to_entry(link.0, &entry::Event::Bid(bid));
            }
            Command::Run(dispatch) => self.send_to_backend(runner, dispatch),
            Command::Stop(id) => drop(self.sidecars[runner].backend.jobs.remove(&id)),
            Command::Started(link, started) => {
                self.send_to_entry(link.0, &entry::Event::Started(name, started));
            }
            Command::Piece(link, piece) => self.send_piece(link.0, name, piece),
            Command::End(link, end) => self.send_to_entry(link.0, &entry::Event::Ended(name, end)),
            Command::Fail(link, failed) => {
                self.send_to_entry(link.0, &entry::Event::Failed(name, failed));
            }
            Command::Withdrawn(link, withdrawn) => {
                self.send_to_entry(link.0, &entry::Event::Withdrawn(name, withdrawn));
            }
            Command::ListCache => {}
            Command::Crashed {
                fingerprint,
                crashes,
            } => {
                let at = self.now + self.random_millis(100, 1_500);
                self.queue.push(at, Event::Crashed(fingerprint, crashes));
            }
        }
    }

    pub(super) fn send_piece(&mut self, number: u64, name: RunnerName, mut piece: protocol::Piece) {
        if self.inject_fault(FaultKind::PieceCrossed, 0.002) {
            piece.boot = BootId(piece.boot.0.wrapping_sub(1));
            piece.data = b"crossed".to_vec();
        }
        self.send_to_entry(number, &entry::Event::Piece(name, piece));
    }

    pub(super) fn send_to_backend(&mut self, runner: usize, dispatch: Box<protocol::Dispatch>) {
        let node = &self.sidecars[runner];
        let load = node.policy.load();
        let id = dispatch.offer.id;
        let weights = dispatch.offer.work.weights;
        let boot_matches = dispatch.boot.is_none_or(|boot| boot == load.boot);
        let weights_match = weights == WeightsVersion(0) || weights == load.weights;
        let is_late = node.late_dispatches.contains(&id);
        let leaving = node.leave_requested && is_late;
        let state = load.state;
        self.checks.check(
            self.now,
            Invariant::NoStaleEngine,
            boot_matches && weights_match,
            || format!("{id} runs at another engine than it was meant for"),
        );
        self.checks
            .check(self.now, Invariant::NothingNewWhenLeaving, !leaving, || {
                format!("{id} runs at a leaving sidecar, which says {state}")
            });
        let at = self.now + self.random_latency();
        let incarnation = self.sidecars[runner].incarnation;
        self.queue
            .push(at, Event::ToBackend(runner, incarnation, dispatch));
    }

    pub(super) fn crash_sidecar(&mut self, runner: usize) {
        self.count_fault(FaultKind::SidecarCrashed);
        self.trace_line(|| format!("sidecar {runner} starts again"));
        let node = &mut self.sidecars[runner];
        node.incarnation += 1;
        node.policy = new_sidecar(self.now, &self.crashed);
        node.wake = Instant::NEVER;
        node.leave_requested = false;
        node.late_dispatches.clear();
        // An engine stops an unread answer; a plain service has run the call.
        node.backend.jobs = Table::new();
        self.break_links(|link| link.runner == runner);
        let wait = self.random_millis(1, 300);
        if self.sidecars[runner].backend.is_up {
            self.schedule_engine_up(runner, wait);
        }
    }

    pub(super) fn on_leave(&mut self, runner: usize) {
        self.count_fault(FaultKind::SidecarLeft);
        self.sidecars[runner].leave_requested = true;
        let incarnation = self.sidecars[runner].incarnation;
        self.deliver_sidecar(runner, incarnation, sidecar::Event::Leave);
    }

    /// Replaces an instance that left, once it has nothing in flight.
    pub(super) fn replace_sidecar(&mut self, runner: usize) {
        let leave_requested = self.sidecars[runner].leave_requested;
        let leaving = self.sidecars[runner].policy.load().state == RunnerState::Leaving;
        if !leave_requested && !leaving {
            return;
        }
        if self.sidecars[runner].policy.in_flight() > 0 {
            let at = self.now + time::Duration::from_secs(1);
            self.queue.push(at, Event::ReplaceSidecar(runner));
            return;
        }
        let node = &mut self.sidecars[runner];
        node.incarnation += 1;
        node.policy = new_sidecar(self.now, &self.crashed);
        node.wake = Instant::NEVER;
        node.leave_requested = false;
        node.late_dispatches.clear();
        self.break_links(|link| link.runner == runner);
        if self.sidecars[runner].backend.is_up {
            self.schedule_engine_up(runner, time::Duration::ZERO);
        }
    }
}
