//! Simulated runners and their faults.

use lentil_policy::{protocol, queue, sidecar};
use lentil_types::{BootId, PieceHash, ServiceName, WeightsVersion};
use rand::RngExt as _;

use crate::engine::{Action, Engine, plain_output};

use super::{Event, Runner, Sim, Waiting};

impl Sim<'_> {
    pub(super) fn start_request(&mut self, runner: usize, dispatch: &protocol::Dispatch) {
        let id = dispatch.offer.id;
        let work = &dispatch.offer.work;
        if let Some(waiting) = self.waiting.remove(&id) {
            self.on_wait_end(&waiting);
        }
        if !self.runners[runner].is_up {
            let fault = sidecar::EngineFault::Unreachable;
            self.deliver_sidecar(runner, sidecar::Event::EngineFailed { id, fault });
            return;
        }
        let is_engine = self.runners[runner].is_engine;
        let output = if is_engine {
            work.output
        } else {
            plain_output(&self.setup.model)
        };
        let node = &mut self.runners[runner];
        if dispatch.boot.is_some_and(|boot| boot != node.engine.boot) {
            self.report.stale += 1;
        }
        let counts = node
            .engine
            .start(self.now, id, work, output, &mut self.keeper);
        let computed = &work.pieces[(counts.cached + counts.imported) as usize..];
        let wasted = computed.iter().filter(|piece| self.is_held(piece)).count();
        self.report.on_pieces(self.now, counts, wasted as u64);
        self.schedule_step(runner);
    }

    pub(super) fn on_wait_end(&mut self, waiting: &Waiting) {
        let now = self.now;
        let waited = now.since(waiting.since);
        self.report
            .on_wait(waiting.class, waited.as_micros() as u64);
        let overdue = waiting.since + queue::FairSettings::default().ageing * 2;
        let start_times = &mut self.runners[waiting.runner].start_times;
        start_times.push(now);
        let overtaken = start_times
            .iter()
            .filter(|start| **start > overdue && **start < now)
            .count();
        // Every second start is an overdue one, and teams alternate in those.
        let allowed = 2 * self.setup.config.teams.len() * (waiting.queued_before + 1);
        self.report.starved += u64::from(overtaken > allowed);
    }

    pub(super) fn is_held(&self, piece: &PieceHash) -> bool {
        let at_runner = |runner: &Runner| runner.is_up && runner.engine.has(piece);
        self.keeper.has(piece) || self.runners.iter().any(at_runner)
    }

    pub(super) fn schedule_step(&mut self, runner: usize) {
        if !std::mem::replace(&mut self.runners[runner].is_stepping, true) {
            self.schedule_after(self.setup.model.step, Event::Step(runner));
        }
    }

    pub(super) fn step(&mut self, runner: usize) {
        let node = &mut self.runners[runner];
        node.is_stepping = false;
        let actions = node.engine.step(self.now, &mut self.keeper);
        if node.engine.running() > 0 {
            self.schedule_step(runner);
        }
        for action in actions {
            self.on_action(runner, action);
        }
    }

    pub(super) fn on_action(&mut self, runner: usize, action: Action) {
        match action {
            Action::Started(id, cached) => {
                let started = sidecar::Event::Started {
                    id,
                    cached,
                    status: 200,
                    headers: Vec::new(),
                };
                self.deliver_sidecar(runner, started);
                let piece = sidecar::Event::Piece {
                    id,
                    offset: 0,
                    text: String::new(),
                    data: Vec::new(),
                };
                self.deliver_sidecar(runner, piece);
            }
            Action::Ended(id, [prompt, cached, output]) => {
                let usage = protocol::Usage {
                    prompt,
                    cached,
                    output,
                };
                self.deliver_sidecar(runner, sidecar::Event::Ended { id, usage });
            }
            Action::Stored(pieces) => {
                self.cache_event(runner, sidecar::CacheChange::Stored(pieces));
            }
            Action::Evicted(pieces) => {
                self.cache_event(runner, sidecar::CacheChange::Evicted(pieces));
            }
        }
    }

    pub(super) fn cache_event(&mut self, runner: usize, change: sidecar::CacheChange) {
        let model = self.setup.model;
        let node = &mut self.runners[runner];
        let event = sidecar::CacheEvent {
            boot: node.engine.boot,
            number: node.next_event,
            change,
        };
        node.next_event += 1;
        if self.rng.random_bool(model.event_loss) {
            return;
        }
        let [least, most] = model.event_lag;
        let lag = least + (most - least).mul_f64(self.rng.random());
        let at = (self.now + lag).max(self.runners[runner].last_delivery);
        self.runners[runner].last_delivery = at;
        let event = Event::ToSidecar(runner, Box::new(sidecar::Event::Cache(event)));
        self.schedule_at(at, event);
    }

    pub(super) fn report_load(&mut self, runner: usize) {
        let model = self.setup.model;
        let engine = &self.runners[runner].engine;
        let load = sidecar::Event::EngineLoad {
            running: engine.running() as u32,
            backlog: engine.backlog(),
        };
        self.schedule_after(model.load_lag, Event::ToSidecar(runner, Box::new(load)));
        self.schedule_after(model.load_period, Event::Report(runner));
    }

    pub(super) fn engine_up(&mut self, runner: usize) {
        let boot = BootId(self.next_boot);
        self.next_boot += 1;
        let node = &mut self.runners[runner];
        node.engine = Engine::new(self.setup.model, boot);
        node.next_event = 1;
        node.is_up = true;
        let weights = if node.is_engine {
            self.weights_of(runner)
        } else {
            WeightsVersion(0)
        };
        self.deliver_sidecar(runner, sidecar::Event::EngineUp { boot, weights });
    }

    pub(super) fn weights_of(&self, runner: usize) -> WeightsVersion {
        let service: &ServiceName = &self.runners[runner].info.service;
        let mut models = self.setup.config.models.iter();
        let model = models.find(|model| model.service == *service);
        model.map_or(WeightsVersion(1), |model| model.weights)
    }

    /// Crashes the engine with the most running requests.
    pub(super) fn crash_engine(&mut self) {
        let engines = self
            .runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| runner.is_engine);
        let Some((runner, _)) = engines.max_by_key(|(_, runner)| runner.engine.running()) else {
            return;
        };
        let node = &mut self.runners[runner];
        node.is_up = false;
        let cut = node.engine.crash(BootId(0));
        self.deliver_sidecar(runner, sidecar::Event::EngineDown);
        for id in cut {
            let fault = sidecar::EngineFault::Disconnected;
            self.deliver_sidecar(runner, sidecar::Event::EngineFailed { id, fault });
        }
        self.schedule_after(self.setup.model.restart, Event::EngineUp(runner));
    }
}
