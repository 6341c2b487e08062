//! Answers of runners.

use lentil_types::{FailReason, Instant, Outcome, RequestId, RunnerName};

use crate::{claim, entry, protocol, route};

use super::{EntryPolicy, attempts::AttemptEnd, stream::Continuation};

/// Lowest HTTP status of an answer that says that the backend server failed.
const FIRST_ERROR: u16 = 400;

impl EntryPolicy {
    pub(super) fn on_started(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        started: protocol::Started,
    ) {
        self.router.on_load(now, runner, &started.load);
        let Some(request) = self.current(runner, started.id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !call.stream.is_from(started.load.boot) {
            self.counters.boot_changes += 1;
            self.break_stream(now, runner, request);
            return;
        }
        call.heard = true;
        if call.stream.next() > 0 && started.status >= FIRST_ERROR {
            self.break_stream(now, runner, request);
            return;
        }
        let (status, headers) = (started.status, started.headers);
        if let Some(held) = &mut call.held {
            (held.status, held.headers) = (status, headers);
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
            Continuation::Next => self.pass_on(request, piece),
            Continuation::Double => self.counters.duplicate_pieces += 1,
            Continuation::Gap => {
                self.counters.gaps += 1;
                self.break_stream(now, runner, request);
            }
            Continuation::Crossed => {
                self.counters.boot_changes += 1;
                self.break_stream(now, runner, request);
            }
        }
    }

    /// Gives the caller a piece, or holds it.
    fn pass_on(&mut self, request: RequestId, piece: protocol::Piece) {
        let limit = self.settings.buffer_bytes;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        call.heard = true;
        call.stream.push(&piece.text);
        let (offset, data) = (piece.offset, piece.data);
        let Some(held) = &mut call.held else {
            self.commands.push(entry::Command::Emit {
                request,
                offset,
                data,
            });
            return;
        };
        held.push(data);
        if held.bytes > limit {
            // Too long to hold: from here on it cannot start again.
            let commands = held.release(request);
            call.held = None;
            call.head_sent = true;
            self.commands.extend(commands);
        }
    }

    pub(super) fn on_ended(&mut self, now: Instant, runner: &RunnerName, end: &protocol::End) {
        self.router.on_load(now, runner, &end.load);
        let Some(request) = self.current(runner, end.id) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if end.offset != call.stream.next() || !call.stream.is_from(end.boot) {
            self.counters.early_ends += 1;
            self.break_stream(now, runner, request);
            return;
        }
        let work = call.arrival.work.clone();
        let (id, claim_request) = (call.id(), call.claim_request(runner));
        if call.isolated {
            self.suspects.clear(call.arrival.fingerprint);
        }
        if let Some(held) = &mut call.held {
            let answer = held.answer();
            self.commands.extend(held.release(request));
            if let Some(claim_request) = claim_request {
                let done = claim::Settled::Done(Some(answer));
                self.ledger.settle(now, &claim_request, id, done);
            }
        } else if let Some(claim_request) = claim_request {
            // Too long to be recorded: the claim says that it ran, not what it
            // answered.
            self.ledger
                .settle(now, &claim_request, id, claim::Settled::Done(None));
        }
        self.router
            .on_verdict(now, runner, &work, route::AttemptVerdict::Good);
        self.finish(request, entry::Ending::Whole(end.usage));
    }

    pub(super) fn on_failed(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        failed: &protocol::Failed,
    ) {
        self.router.on_load(now, runner, &failed.load);
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

    /// Stops an attempt whose stream cannot be right.
    fn break_stream(&mut self, now: Instant, runner: &RunnerName, request: RequestId) {
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
