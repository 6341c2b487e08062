//! Simulates the answers, crashes and restarts of backend servers.

use std::time;

use lentil_policy::{entry, protocol, sidecar};
use lentil_types::{AttemptId, BootId, Fingerprint, WeightsVersion};
use rand::RngExt as _;

use super::{
    FaultKind,
    backend::{self},
    events::Event,
    traffic::RequestKind,
    world::World,
};

impl World {
    pub(super) fn schedule_engine_up(&mut self, runner: usize, delay: time::Duration) {
        let node = &self.sidecars[runner];
        let event = sidecar::Event::EngineUp {
            boot: node.backend.boot,
            weights: node.backend.weights,
        };
        let event = Event::ToSidecar(runner, node.incarnation, Box::new(event));
        self.queue.push(self.now + delay, event);
    }

    pub(super) fn schedule_sidecar_event(
        &mut self,
        runner: usize,
        delay: time::Duration,
        event: sidecar::Event,
    ) {
        let incarnation = self.sidecars[runner].incarnation;
        let event = Event::ToSidecar(runner, incarnation, Box::new(event));
        self.queue.push(self.now + delay, event);
    }

    pub(super) fn on_backend(
        &mut self,
        runner: usize,
        incarnation: u32,
        dispatch: &protocol::Dispatch,
    ) {
        let id = dispatch.offer.id;
        if self.sidecars[runner].incarnation != incarnation {
            return;
        }
        if !self.sidecars[runner].backend.is_up {
            let fault = sidecar::EngineFault::Unreachable;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.schedule_sidecar_event(runner, time::Duration::from_micros(100), event);
            return;
        }
        self.checks.on_run(self.now, dispatch);
        self.trace_line(|| format!("backend {runner} runs {id}"));
        let serial = self.sidecars[runner].backend.start(dispatch);
        let started = sidecar::Event::Started {
            id,
            cached: lentil_types::Pieces(0),
            status: 200,
            headers: Vec::new(),
        };
        let delay = self.random_millis(1, 60);
        self.schedule_sidecar_event(runner, delay, started);
        let delay = delay + self.random_millis(5, 40);
        self.queue
            .push(self.now + delay, Event::Step(runner, id, serial));
    }

    pub(super) fn on_step(&mut self, runner: usize, id: AttemptId, serial: u64) {
        let Some(job) = self.sidecars[runner].backend.job(id, serial) else {
            return;
        };
        let (fingerprint, offset) = (job.fingerprint, job.next_offset);
        job.next_offset += 1;
        if self.is_poison(id) {
            self.poison_crash(runner, id);
            return;
        }
        let no_delay = time::Duration::ZERO;
        if offset >= backend::answer_len(self.content_fingerprint(id, fingerprint)) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let usage = protocol::Usage::default();
            self.schedule_sidecar_event(runner, no_delay, sidecar::Event::Ended { id, usage });
            return;
        }
        if self.inject_fault(FaultKind::AnswerBroken, 0.005) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let fault = sidecar::EngineFault::Disconnected;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.schedule_sidecar_event(runner, no_delay, event);
            return;
        }
        let piece = backend::AnswerPiece {
            fingerprint: self.content_fingerprint(id, fingerprint),
            offset,
            attempt: id.attempt,
        };
        let text = piece.to_string();
        let data = text.clone().into_bytes();
        let piece = sidecar::Event::Piece {
            id,
            offset,
            text,
            data,
        };
        self.schedule_sidecar_event(runner, no_delay, piece);
        let at = self.now + self.random_millis(2, 60);
        self.queue.push(at, Event::Step(runner, id, serial));
    }

    /// The fingerprint that answers are generated from, also where
    /// [`Mutation::NoFingerprints`](super::Mutation) sends another.
    pub(super) fn content_fingerprint(&mut self, id: AttemptId, sent: Fingerprint) -> Fingerprint {
        let tracked = self.checks.find(id.request);
        tracked.map_or(sent, |tracked| tracked.call.fingerprint())
    }

    pub(super) fn is_poison(&mut self, id: AttemptId) -> bool {
        let tracked = self.checks.find(id.request);
        tracked.is_some_and(|tracked| tracked.call.kind == RequestKind::Poison)
    }

    pub(super) fn poison_crash(&mut self, runner: usize, id: AttemptId) {
        self.count_fault(FaultKind::PoisonCrash);
        if let Some(tracked) = self.checks.find(id.request) {
            let fingerprint = tracked.call.fingerprint();
            self.checks.on_poison_crash(self.now, fingerprint);
        }
        self.crash_engine(runner);
    }

    pub(super) fn crash_engine(&mut self, runner: usize) {
        let backend = &mut self.sidecars[runner].backend;
        if !backend.is_up {
            return;
        }
        backend.is_up = false;
        backend.boot = BootId(backend.boot.0 + 1);
        let boot = backend.boot;
        let jobs = std::mem::take(&mut backend.jobs);
        for id in jobs.keys() {
            let fault = sidecar::EngineFault::Disconnected;
            let event = sidecar::Event::EngineFailed { id: *id, fault };
            let delay = self.random_latency();
            self.schedule_sidecar_event(runner, delay, event);
        }
        let down_after = self.random_millis(10, 150);
        // After a quick restart the sidecar sees only a new boot id.
        let is_quick = self.rng.random_bool(0.3);
        if !is_quick {
            self.schedule_sidecar_event(runner, down_after, sidecar::Event::EngineDown);
        }
        let up_after = down_after + self.random_millis(1, if is_quick { 100 } else { 2_000 });
        self.queue
            .push(self.now + up_after, Event::StartEngine(runner, boot));
    }

    pub(super) fn start_engine(&mut self, runner: usize, boot: BootId) {
        if self.sidecars[runner].backend.boot != boot {
            return;
        }
        self.sidecars[runner].backend.is_up = true;
        let is_engine = self.sidecars[runner].backend.is_engine;
        if is_engine && self.inject_fault(FaultKind::WeightsChanged, 0.1) {
            self.sidecars[runner].backend.weights = WeightsVersion(2);
        }
        self.schedule_engine_up(runner, time::Duration::ZERO);
    }

    pub(super) fn publish_crash_counts(&mut self, fingerprint: Fingerprint, crashes: u32) {
        let known = self.crashed.get_or_insert_with(fingerprint, || 0);
        *known = crashes.max(*known);
        let crashes = *known;
        for entry in 0..self.entries.len() {
            let incarnation = self.entries[entry].incarnation;
            let event = entry::Event::Crashed {
                fingerprint,
                crashes,
            };
            self.deliver_entry(entry, incarnation, event);
        }
        for runner in 0..self.sidecars.len() {
            let incarnation = self.sidecars[runner].incarnation;
            let event = sidecar::Event::Crashed {
                fingerprint,
                crashes,
            };
            self.deliver_sidecar(runner, incarnation, event);
        }
    }
}
