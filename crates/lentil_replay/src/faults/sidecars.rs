//! Sidecar processes of a run.

use std::time;

use lentil_policy::{entry, protocol, route, sidecar};
use lentil_types::{BootId, Instant, RunnerName, RunnerState, Table, WeightsVersion};

use super::{
    FaultKind, Promise, Sabotage,
    network::What,
    world::{World, new_sidecar},
};

impl World {
    pub(super) fn deliver_sidecar(&mut self, runner: usize, life: u32, event: sidecar::Event) {
        if self.sidecars[runner].life != life {
            self.refuse_dead(&event);
            return;
        }
        if self.traced {
            self.trace
                .push(format!("{} sidecar {runner} <- {event:?}", self.now));
        }
        let node = &mut self.sidecars[runner];
        if let sidecar::Event::Dispatch(_, dispatch) = &event
            && node.left
        {
            node.came_late.push(dispatch.offer.id);
        }
        if event == sidecar::Event::Leave && self.settings.sabotage == Some(Sabotage::NoLeaving) {
            return;
        }
        node.policy.on_event(self.now, event);
        self.tick_sidecar(runner, life);
    }

    /// A dispatch to a sidecar that has died since: the connection tells.
    pub(super) fn refuse_dead(&mut self, event: &sidecar::Event) {
        if let sidecar::Event::Dispatch(link, _) = event {
            self.break_link(link.0);
        }
    }

    pub(super) fn tick_sidecar(&mut self, runner: usize, life: u32) {
        let now = self.now;
        let node = &mut self.sidecars[runner];
        if node.life != life {
            return;
        }
        let commands = node.policy.tick(now);
        let wake = node
            .policy
            .next_wake()
            .max(now + time::Duration::from_micros(1));
        if wake < node.wake {
            node.wake = wake;
            self.agenda.push(wake, What::WakeSidecar(runner, life));
        }
        for command in commands {
            self.carry_out_sidecar(runner, command);
        }
    }

    pub(super) fn carry_out_sidecar(&mut self, runner: usize, command: sidecar::Command) {
        use sidecar::Command;
        if self.traced {
            self.trace
                .push(format!("{} sidecar {runner} -> {command:?}", self.now));
        }
        let name = self.sidecars[runner].name.clone();
        match command {
            Command::Bid(link, bid) => {
                let bid = route::RunnerBid { runner: name, bid };
                self.up(link.0, &entry::Event::Bid(bid));
            }
            Command::Run(dispatch) => self.send_run(runner, dispatch),
            Command::Stop(id) => drop(self.sidecars[runner].backend.jobs.remove(&id)),
            Command::Started(link, started) => {
                self.up(link.0, &entry::Event::Started(name, started));
            }
            Command::Piece(link, piece) => self.send_piece(link.0, name, piece),
            Command::End(link, end) => self.up(link.0, &entry::Event::Ended(name, end)),
            Command::Fail(link, failed) => self.up(link.0, &entry::Event::Failed(name, failed)),
            Command::Withdrawn(link, withdrawn) => {
                self.up(link.0, &entry::Event::Withdrawn(name, withdrawn));
            }
            Command::ListCache => {}
            Command::Crashed {
                fingerprint,
                crashes,
            } => {
                let at = self.now + self.millis(100, 1_500);
                self.agenda.push(at, What::Crashed(fingerprint, crashes));
            }
        }
    }

    pub(super) fn send_piece(&mut self, number: u64, name: RunnerName, mut piece: protocol::Piece) {
        if self.strikes(FaultKind::PieceCrossed, 0.002) {
            piece.boot = BootId(piece.boot.0.wrapping_sub(1));
            piece.data = b"crossed".to_vec();
        }
        self.up(number, &entry::Event::Piece(name, piece));
    }

    pub(super) fn send_run(&mut self, runner: usize, dispatch: Box<protocol::Dispatch>) {
        let node = &self.sidecars[runner];
        let load = node.policy.load();
        let id = dispatch.offer.id;
        let weights = dispatch.offer.work.weights;
        let right_boot = dispatch.boot.is_none_or(|boot| boot == load.boot);
        let right_weights = weights == WeightsVersion(0) || weights == load.weights;
        let late = node.came_late.contains(&id);
        let leaving = node.left && late;
        let state = load.state;
        self.checks.check(
            self.now,
            Promise::NoStaleEngine,
            right_boot && right_weights,
            || format!("{id} runs at another engine than it was meant for"),
        );
        self.checks
            .check(self.now, Promise::NothingNewWhenLeaving, !leaving, || {
                format!("{id} runs at a leaving sidecar, which says {state}")
            });
        let at = self.now + self.latency();
        let life = self.sidecars[runner].life;
        self.agenda
            .push(at, What::ToBackend(runner, life, dispatch));
    }

    pub(super) fn crash_sidecar(&mut self, runner: usize) {
        self.note_fault(FaultKind::SidecarCrashed);
        self.note(|| format!("sidecar {runner} starts again"));
        let node = &mut self.sidecars[runner];
        node.life += 1;
        node.policy = new_sidecar(self.now, &self.crashed);
        node.wake = Instant::NEVER;
        node.left = false;
        node.came_late.clear();
        // The engine stops what nobody reads; a plain service has run it.
        node.backend.jobs = Table::new();
        self.break_links(|link| link.runner == runner);
        let wait = self.millis(1, 300);
        if self.sidecars[runner].backend.up {
            self.tell_engine_up(runner, wait);
        }
    }

    pub(super) fn on_leave(&mut self, runner: usize) {
        self.note_fault(FaultKind::SidecarLeft);
        self.sidecars[runner].left = true;
        let life = self.sidecars[runner].life;
        self.deliver_sidecar(runner, life, sidecar::Event::Leave);
    }

    /// A new instance takes the place of one that left, whose work has ended.
    pub(super) fn on_rejoin(&mut self, runner: usize) {
        let left = self.sidecars[runner].left;
        let leaving = self.sidecars[runner].policy.load().state == RunnerState::Leaving;
        if !left && !leaving {
            return;
        }
        if self.sidecars[runner].policy.in_flight() > 0 {
            let at = self.now + time::Duration::from_secs(1);
            self.agenda.push(at, What::Rejoin(runner));
            return;
        }
        let node = &mut self.sidecars[runner];
        node.life += 1;
        node.policy = new_sidecar(self.now, &self.crashed);
        node.wake = Instant::NEVER;
        node.left = false;
        node.came_late.clear();
        self.break_links(|link| link.runner == runner);
        if self.sidecars[runner].backend.up {
            self.tell_engine_up(runner, time::Duration::ZERO);
        }
    }
}
