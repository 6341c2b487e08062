//! Answers and failures of the backend server.

use lentil_types::{AttemptId, FailReason, Instant, Outcome, Pieces};

use crate::{protocol, sidecar};

use super::{
    SidecarPolicy,
    active_attempt::{ActiveAttempt, AnswerHead, Stage},
    attempt_records::RecordState,
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
        let Some((attempt, boot)) = self.running(id) else {
            return;
        };
        if let Some(answer) = &mut attempt.answer {
            answer.boot = boot;
            answer.head = Some(AnswerHead {
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
        for link in attempt.links.clone() {
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
        let Some((attempt, boot)) = self.running(id) else {
            return;
        };
        if offset < attempt.next_offset {
            return;
        }
        if offset > attempt.next_offset {
            self.commands.push(sidecar::Command::Stop(id));
            self.queue.finish(now, id, &protocol::Usage::default());
            self.fail(now, id, Outcome::Unknown, FailReason::BrokenStream);
            return;
        }
        attempt.next_offset += 1;
        record_piece(attempt, &data);
        let piece = protocol::Piece {
            id,
            boot,
            offset,
            text,
            data,
        };
        for link in attempt.links.clone() {
            self.commands
                .push(sidecar::Command::Piece(link, piece.clone()));
        }
    }

    pub(super) fn on_ended(&mut self, now: Instant, id: AttemptId, usage: protocol::Usage) {
        let Some((_, boot)) = self.running(id) else {
            return;
        };
        self.queue.finish(now, id, &usage);
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if attempt.isolated {
            self.suspects.clear(attempt.fingerprint);
        }
        let load = self.load();
        for link in attempt.links {
            let end = protocol::End {
                id,
                boot,
                offset: attempt.next_offset,
                usage,
                load,
            };
            self.commands.push(sidecar::Command::End(link, end));
        }
        let answer = attempt.answer.map(|mut answer| {
            answer.usage = usage;
            answer
        });
        self.records.insert(now, id, RecordState::Ran(answer));
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
            sidecar::EngineFault::Disconnected => self.on_disconnected(now, id),
        }
    }

    /// Waits for a crash report before failing the attempt.
    fn on_disconnected(&mut self, now: Instant, id: AttemptId) {
        let until = now + self.settings.crash_wait;
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = Stage::Disconnected { until };
        }
    }

    /// Fails disconnected attempts without a crash report in time.
    pub(super) fn expire_disconnected(&mut self, now: Instant) {
        let expired = |(id, attempt): (&AttemptId, &ActiveAttempt)| match attempt.stage {
            Stage::Disconnected { until } if until <= now => Some(*id),
            _ => None,
        };
        let ids: Vec<_> = self.attempts.iter().filter_map(expired).collect();
        for id in ids {
            self.queue.finish(now, id, &protocol::Usage::default());
            self.fail(now, id, Outcome::Unknown, FailReason::Disconnected);
        }
    }

    /// A running attempt and its boot.
    fn running(&mut self, id: AttemptId) -> Option<(&mut ActiveAttempt, lentil_types::BootId)> {
        let attempt = self.attempts.get_mut(&id)?;
        match attempt.stage {
            Stage::Running(boot) => Some((attempt, boot)),
            Stage::Queued(_) | Stage::Disconnected { .. } => None,
        }
    }
}

fn record_piece(attempt: &mut ActiveAttempt, data: &[u8]) {
    let Some(answer) = &mut attempt.answer else {
        return;
    };
    if answer.has_room(data.len()) {
        answer.pieces.push(data.to_vec());
    } else {
        attempt.answer = None;
    }
}
