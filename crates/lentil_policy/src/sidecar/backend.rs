//! What the backend server answers.

use lentil_types::{AttemptId, FailReason, Instant, Outcome, Pieces};

use crate::{protocol, sidecar};

use super::{
    SidecarPolicy,
    memory::Mark,
    run::{Head, Run, Stage},
};

impl SidecarPolicy {
    pub(super) fn on_started(
        &mut self,
        id: AttemptId,
        cached: Pieces,
        status: u16,
        headers: Vec<protocol::Header>,
    ) {
        let load = self.load();
        let Some((run, boot)) = self.running(id) else {
            return;
        };
        if let Some(answer) = &mut run.answer {
            answer.boot = boot;
            answer.head = Some(Head {
                cached,
                status,
                headers: headers.clone(),
            });
        }
        let started = protocol::Started {
            id,
            cached,
            status,
            headers,
            load: protocol::Load { boot, ..load },
        };
        for link in run.links.clone() {
            let started = started.clone();
            self.commands.push(sidecar::Command::Started(link, started));
        }
    }

    pub(super) fn on_piece(
        &mut self,
        now: Instant,
        id: AttemptId,
        offset: u64,
        text: String,
        data: Vec<u8>,
    ) {
        let Some((run, boot)) = self.running(id) else {
            return;
        };
        if offset < run.next_offset {
            return;
        }
        if offset > run.next_offset {
            self.commands.push(sidecar::Command::Stop(id));
            self.queue.finish(now, id, &protocol::Usage::default());
            self.fail(now, id, Outcome::Unknown, FailReason::BrokenStream);
            return;
        }
        run.next_offset += 1;
        record(run, &data);
        let piece = protocol::Piece {
            id,
            boot,
            offset,
            text,
            data,
        };
        for link in run.links.clone() {
            self.commands
                .push(sidecar::Command::Piece(link, piece.clone()));
        }
    }

    pub(super) fn on_ended(&mut self, now: Instant, id: AttemptId, usage: protocol::Usage) {
        let Some((_, boot)) = self.running(id) else {
            return;
        };
        self.queue.finish(now, id, &usage);
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if run.isolated {
            self.suspects.clear(run.fingerprint);
        }
        let load = self.load();
        for link in run.links {
            let end = protocol::End {
                id,
                boot,
                offset: run.next_offset,
                usage,
                load,
            };
            self.commands.push(sidecar::Command::End(link, end));
        }
        let answer = run.answer.map(|mut answer| {
            answer.usage = usage;
            answer
        });
        self.memory.insert(now, id, Mark::Ran(answer));
    }

    pub(super) fn on_engine_failed(
        &mut self,
        now: Instant,
        id: AttemptId,
        fault: sidecar::EngineFault,
    ) {
        if self.running(id).is_none() {
            return;
        }
        match fault {
            sidecar::EngineFault::Unreachable | sidecar::EngineFault::Refused => {
                self.queue.finish(now, id, &protocol::Usage::default());
                self.fail(now, id, Outcome::NotRun, FailReason::Backend);
            }
            sidecar::EngineFault::Protocol => {
                self.queue.finish(now, id, &protocol::Usage::default());
                self.fail(now, id, Outcome::Unknown, FailReason::Backend);
            }
            sidecar::EngineFault::Disconnected => self.on_broke_off(now, id),
        }
    }

    /// Waits for whether the backend server died.
    fn on_broke_off(&mut self, now: Instant, id: AttemptId) {
        let until = now + self.settings.crash_wait;
        if let Some(run) = self.runs.get_mut(&id) {
            run.stage = Stage::Broken { until };
        }
    }

    /// Ends attempts whose backend server broke off and did not die.
    pub(super) fn give_up_broken(&mut self, now: Instant) {
        let is_over = |(id, run): (&AttemptId, &Run)| match run.stage {
            Stage::Broken { until } if until <= now => Some(*id),
            _ => None,
        };
        let ids: Vec<_> = self.runs.iter().filter_map(is_over).collect();
        for id in ids {
            self.queue.finish(now, id, &protocol::Usage::default());
            self.fail(now, id, Outcome::Unknown, FailReason::Disconnected);
        }
    }

    /// An attempt at the backend server, and the life of it that it runs in.
    fn running(&mut self, id: AttemptId) -> Option<(&mut Run, lentil_types::BootId)> {
        let run = self.runs.get_mut(&id)?;
        match run.stage {
            Stage::Running(boot) => Some((run, boot)),
            Stage::Queued(_) | Stage::Broken { .. } => None,
        }
    }
}

fn record(run: &mut Run, data: &[u8]) {
    let Some(answer) = &mut run.answer else {
        return;
    };
    if answer.has_room(data.len()) {
        answer.pieces.push(data.to_vec());
    } else {
        run.answer = None;
    }
}
