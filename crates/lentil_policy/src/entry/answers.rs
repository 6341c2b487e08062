//! Handles the answers of runners.

use lentil_types::{FailReason, Instant, Outcome, RequestId, RunnerName};

use crate::{claim, entry, protocol, route};

use super::{EntryPolicy, attempts::AttemptEnd, stream::Continuation};

/// Lowest HTTP status that says that the backend server failed.
const FIRST_ERROR_STATUS: u16 = 400;

impl EntryPolicy {
    pub(super) fn on_started(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        started: protocol::Started,
    ) {
        self.routing.on_load(now, runner, &started.load);
        let Some(request) = self.current(runner, started.id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !call.stream.is_from_boot(started.load.boot) {
            self.counters.boot_changes += 1;
            self.abort_stream(now, runner, request);
            return;
        }
        call.answer_began = true;
        if call.stream.next_offset() > 0 && started.status >= FIRST_ERROR_STATUS {
            self.abort_stream(now, runner, request);
            return;
        }
        let (status, headers) = (started.status, started.headers);
        if let Some(buffered) = &mut call.buffered {
            (buffered.status, buffered.headers) = (status, headers);
        } else if !call.head_sent {
            call.head_sent = true;
            self.commands.push(entry::Command::Head {
                request,
                status,
                headers,
            });
        }
    }

    pub(super) fn on_piece(&mut self, now: Instant, runner: &RunnerName, piece: protocol::Piece) {
        let Some(request) = self.current(runner, piece.id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        match call.stream.check(piece.boot, piece.offset) {
            Continuation::Next => self.forward_piece(request, piece),
            Continuation::Duplicate => self.counters.duplicate_pieces += 1,
            Continuation::Gap => {
                self.counters.gaps += 1;
                self.abort_stream(now, runner, request);
            }
            Continuation::OtherBoot => {
                self.counters.boot_changes += 1;
                self.abort_stream(now, runner, request);
            }
        }
    }

    /// Sends a piece to the caller, or buffers it.
    fn forward_piece(&mut self, request: RequestId, piece: protocol::Piece) {
        let limit = self.settings.buffer_bytes;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.answer_began = true;
        call.stream.push(&piece.text);
        let (offset, data) = (piece.offset, piece.data);
        let Some(buffered) = &mut call.buffered else {
            self.commands.push(entry::Command::Emit {
                request,
                offset,
                data,
            });
            return;
        };
        buffered.push(data);
        if buffered.bytes > limit {
            // Too long to buffer: from here on no attempt can start over.
            let commands = buffered.release(request);
            call.buffered = None;
            call.head_sent = true;
            self.commands.extend(commands);
        }
    }

    pub(super) fn on_ended(&mut self, now: Instant, runner: &RunnerName, end: &protocol::End) {
        self.routing.on_load(now, runner, &end.load);
        let Some(request) = self.current(runner, end.id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if end.offset != call.stream.next_offset() || !call.stream.is_from_boot(end.boot) {
            self.counters.early_ends += 1;
            self.abort_stream(now, runner, request);
            return;
        }
        let work = call.arrival.work.clone();
        let (id, claim_request) = (call.id(), call.claim_request(runner));
        if call.isolated {
            self.suspects.clear(call.arrival.fingerprint);
        }
        if let Some(buffered) = &mut call.buffered {
            let answer = buffered.answer();
            self.commands.extend(buffered.release(request));
            if let Some(claim_request) = claim_request {
                let done = claim::Settled::Done(Some(answer));
                self.ledger.settle(now, &claim_request, id, done);
            }
        } else if let Some(claim_request) = claim_request {
            // Too long to be recorded: the claim says only that the call ran.
            self.ledger
                .settle(now, &claim_request, id, claim::Settled::Done(None));
        }
        self.routing
            .on_verdict(now, runner, &work, route::AttemptVerdict::Good);
        self.finish(request, entry::Ending::Whole(end.usage));
    }

    pub(super) fn on_failed(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        failed: &protocol::Failed,
    ) {
        self.routing.on_load(now, runner, &failed.load);
        let Some(request) = self.current(runner, failed.id) else {
            return;
        };
        let end = AttemptEnd {
            outcome: failed.outcome,
            reason: failed.reason,
            retry: failed.retry,
        };
        self.end_attempt(now, runner, request, end);
    }

    /// Cancels an attempt whose stream is inconsistent.
    fn abort_stream(&mut self, now: Instant, runner: &RunnerName, request: RequestId) {
        if let Some(call) = self.calls.get(&request) {
            let cancel = entry::Command::Cancel(runner.clone(), call.id());
            self.commands.push(cancel);
        }
        let end = AttemptEnd {
            outcome: Outcome::Unknown,
            reason: FailReason::BrokenStream,
            retry: None,
        };
        self.end_attempt(now, runner, request, end);
    }
}
