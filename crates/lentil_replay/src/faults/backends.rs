//! How backend servers answer and crash.

use std::time;

use lentil_policy::{entry, protocol, sidecar};
use lentil_types::{AttemptId, BootId, Fingerprint, WeightsVersion};
use rand::RngExt as _;

use super::{
    FaultKind,
    backend::{self},
    network::What,
    traffic::Kind,
    world::World,
};

impl World {
    pub(super) fn tell_engine_up(&mut self, runner: usize, wait: time::Duration) {
        let node = &self.sidecars[runner];
        let up = sidecar::Event::EngineUp {
            boot: node.backend.boot,
            weights: node.backend.weights,
        };
        let what = What::ToSidecar(runner, node.life, Box::new(up));
        self.agenda.push(self.now + wait, what);
    }

    pub(super) fn tell_sidecar(
        &mut self,
        runner: usize,
        wait: time::Duration,
        event: sidecar::Event,
    ) {
        let life = self.sidecars[runner].life;
        let what = What::ToSidecar(runner, life, Box::new(event));
        self.agenda.push(self.now + wait, what);
    }

    pub(super) fn on_backend(&mut self, runner: usize, life: u32, dispatch: &protocol::Dispatch) {
        let id = dispatch.offer.id;
        if self.sidecars[runner].life != life {
            return;
        }
        if !self.sidecars[runner].backend.up {
            let fault = sidecar::EngineFault::Unreachable;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.tell_sidecar(runner, time::Duration::from_micros(100), event);
            return;
        }
        self.checks.on_run(self.now, dispatch);
        self.note(|| format!("backend {runner} runs {id}"));
        let serial = self.sidecars[runner].backend.begin(dispatch);
        let started = sidecar::Event::Started {
            id,
            cached: lentil_types::Pieces(0),
            status: 200,
            headers: Vec::new(),
        };
        let wait = self.millis(1, 60);
        self.tell_sidecar(runner, wait, started);
        let wait = wait + self.millis(5, 40);
        self.agenda
            .push(self.now + wait, What::Step(runner, id, serial));
    }

    /// The next piece of an answer, or its end.
    pub(super) fn on_step(&mut self, runner: usize, id: AttemptId, serial: u64) {
        let Some(job) = self.sidecars[runner].backend.job(id, serial) else {
            return;
        };
        let (fingerprint, offset) = (job.fingerprint, job.next);
        job.next += 1;
        if self.is_poison(id) {
            self.poison_crash(runner, id);
            return;
        }
        let none = time::Duration::ZERO;
        if offset >= backend::answer_len(self.plain_fingerprint(id, fingerprint)) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let usage = protocol::Usage::default();
            self.tell_sidecar(runner, none, sidecar::Event::Ended { id, usage });
            return;
        }
        if self.strikes(FaultKind::AnswerBroken, 0.005) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let fault = sidecar::EngineFault::Disconnected;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.tell_sidecar(runner, none, event);
            return;
        }
        let piece = backend::AnswerPiece {
            fingerprint: self.plain_fingerprint(id, fingerprint),
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
        self.tell_sidecar(runner, none, piece);
        let at = self.now + self.millis(2, 60);
        self.agenda.push(at, What::Step(runner, id, serial));
    }

    /// What the answer is made from: the content, also where fingerprints are
    /// sabotaged.
    pub(super) fn plain_fingerprint(&mut self, id: AttemptId, sent: Fingerprint) -> Fingerprint {
        let tracked = self.checks.of(id.request);
        tracked.map_or(sent, |tracked| tracked.sending.fingerprint())
    }

    pub(super) fn is_poison(&mut self, id: AttemptId) -> bool {
        let tracked = self.checks.of(id.request);
        tracked.is_some_and(|tracked| tracked.sending.kind == Kind::Poison)
    }

    pub(super) fn poison_crash(&mut self, runner: usize, id: AttemptId) {
        self.note_fault(FaultKind::PoisonCrash);
        if let Some(tracked) = self.checks.of(id.request) {
            let fingerprint = tracked.sending.fingerprint();
            self.checks.on_poison_crash(self.now, fingerprint);
        }
        self.crash_engine(runner);
    }

    pub(super) fn crash_engine(&mut self, runner: usize) {
        let backend = &mut self.sidecars[runner].backend;
        if !backend.up {
            return;
        }
        backend.up = false;
        backend.boot = BootId(backend.boot.0 + 1);
        let boot = backend.boot;
        let jobs = std::mem::take(&mut backend.jobs);
        for id in jobs.keys() {
            let fault = sidecar::EngineFault::Disconnected;
            let event = sidecar::Event::EngineFailed { id: *id, fault };
            let wait = self.latency();
            self.tell_sidecar(runner, wait, event);
        }
        let down = self.millis(10, 150);
        // A quick restart is seen only by its boot id.
        let quick = self.rng.random_bool(0.3);
        if !quick {
            self.tell_sidecar(runner, down, sidecar::Event::EngineDown);
        }
        let back = down + self.millis(1, if quick { 100 } else { 2_000 });
        self.agenda
            .push(self.now + back, What::StartEngine(runner, boot));
    }

    pub(super) fn start_engine(&mut self, runner: usize, boot: BootId) {
        if self.sidecars[runner].backend.boot != boot {
            return;
        }
        self.sidecars[runner].backend.up = true;
        let is_engine = self.sidecars[runner].backend.is_engine;
        if is_engine && self.strikes(FaultKind::WeightsChanged, 0.1) {
            self.sidecars[runner].backend.weights = WeightsVersion(2);
        }
        self.tell_engine_up(runner, time::Duration::ZERO);
    }

    pub(super) fn spread_crashed(&mut self, fingerprint: Fingerprint, crashes: u32) {
        let known = self.crashed.get_or_insert_with(fingerprint, || 0);
        *known = crashes.max(*known);
        let crashes = *known;
        for entry in 0..self.entries.len() {
            let life = self.entries[entry].life;
            let event = entry::Event::Crashed {
                fingerprint,
                crashes,
            };
            self.deliver_entry(entry, life, event);
        }
        for runner in 0..self.sidecars.len() {
            let life = self.sidecars[runner].life;
            let event = sidecar::Event::Crashed {
                fingerprint,
                crashes,
            };
            self.deliver_sidecar(runner, life, event);
        }
    }
}
