//! One attempt at a request: an exchange with a sidecar.

use std::sync::Arc;

use lentil_policy::{entry, protocol};
use lentil_types::{AttemptId, RunnerName, TeamName};
use lentil_wire::{Exchange, Message, WireError};
use smol::channel::{Receiver, Sender};

use crate::{backpressure::Backpressure, driver::Input, links};

/// Instruction to an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Cancel it at the sidecar.
    Cancel,
    /// Ask for proof that it never started.
    Withdraw,
}

/// Sends one attempt to a runner's sidecar and reports the answer.
pub(crate) struct AttemptTask {
    pub(crate) links: Arc<links::Links>,
    pub(crate) answers: Sender<Input>,
    pub(crate) runner: RunnerName,
    /// Team of the request, for log lines; `None` when the caller is gone.
    pub(crate) team: Option<TeamName>,
    pub(crate) backpressure: Backpressure,
}

/// Next event of an exchange.
enum Next {
    Message(Result<Option<Message>, WireError>),
    Signal(Signal),
    /// The driver is gone or has given the attempt up.
    Dropped,
}

impl AttemptTask {
    /// Dispatches and reports the answer up to its end. Returns early only when
    /// the attempt was cancelled or the driver is gone.
    pub(crate) async fn run(self, dispatch: Box<protocol::Dispatch>, signals: Receiver<Signal>) {
        let id = dispatch.offer.id;
        let open = async { Ok(self.links.open(&self.runner).await) };
        match smol::future::or(open, next_signal(&signals)).await {
            Ok(Ok(exchange)) => self.run_exchange(exchange, dispatch, &signals).await,
            Ok(Err(error)) => {
                self.warn(id, "cannot reach the sidecar", &error);
                self.report_lost(id, false).await;
            }
            // Nothing of the request has left this process, and nothing will.
            Err(Some(Signal::Withdraw)) => {
                let withdrawn = protocol::Withdrawn { id, started: false };
                self.report(entry::Event::Withdrawn(self.runner.clone(), withdrawn))
                    .await;
            }
            Err(Some(Signal::Cancel) | None) => {}
        }
    }

    async fn run_exchange(
        &self,
        mut exchange: Exchange,
        dispatch: Box<protocol::Dispatch>,
        signals: &Receiver<Signal>,
    ) {
        let id = dispatch.offer.id;
        let message = Message::Dispatch(dispatch);
        let send = async { Ok(exchange.sender.send(message).await) };
        let outcome = match smol::future::or(send, next_signal(signals)).await {
            Ok(Ok(())) => self.forward_answer(&mut exchange, id, signals).await,
            Ok(Err(error)) => Err(error),
            Err(Some(Signal::Withdraw)) => Err(WireError::Truncated),
            Err(Some(Signal::Cancel) | None) => Ok(()),
        };
        if let Err(error) = outcome {
            self.warn(id, "the exchange with the sidecar failed", &error);
            self.report_lost(id, true).await;
        }
    }

    /// Reports the sidecar's messages up to the end of the answer.
    async fn forward_answer(
        &self,
        exchange: &mut Exchange,
        id: AttemptId,
        signals: &Receiver<Signal>,
    ) -> Result<(), WireError> {
        loop {
            let message = async {
                self.backpressure.wait_for_room().await;
                Next::Message(exchange.receiver.recv().await)
            };
            let signal = async { signals.recv().await.map_or(Next::Dropped, Next::Signal) };
            match smol::future::or(signal, message).await {
                Next::Message(message) => {
                    let message = message?.ok_or(WireError::StreamEnded("end"))?;
                    let is_last = matches!(message, Message::End(_) | Message::Failed(_));
                    self.report(to_event(&self.runner, message)?).await;
                    if is_last {
                        // The sidecar may have closed the stream already.
                        exchange.sender.finish();
                        return Ok(());
                    }
                }
                Next::Signal(Signal::Withdraw) => {
                    exchange.sender.send(Message::Withdraw(id)).await?;
                }
                Next::Signal(Signal::Cancel) => {
                    // A closed stream has cancelled the attempt already.
                    let _ = exchange.sender.send(Message::Cancel(id)).await;
                    exchange.sender.finish();
                    return Ok(());
                }
                Next::Dropped => return Ok(()),
            }
        }
    }

    /// Asks for proof that an attempt never started, after its exchange ended.
    pub(crate) async fn withdraw(self, id: AttemptId) {
        match self.send_withdraw(id).await {
            Ok(withdrawn) => {
                self.report(entry::Event::Withdrawn(self.runner.clone(), withdrawn))
                    .await;
            }
            Err(error) => {
                self.warn(id, "no reply to a withdrawal", &error);
                self.report_lost(id, true).await;
            }
        }
    }

    async fn send_withdraw(&self, id: AttemptId) -> Result<protocol::Withdrawn, WireError> {
        let mut exchange = self.links.open(&self.runner).await?;
        exchange.sender.send(Message::Withdraw(id)).await?;
        exchange.sender.finish();
        match exchange.receiver.recv().await? {
            Some(Message::Withdrawn(withdrawn)) => Ok(withdrawn),
            other => Err(unexpected("withdrawn", other)),
        }
    }

    /// Requests a bid. A missing bid is not reported: the policy waits for a
    /// bounded time.
    pub(crate) async fn request_bid(self, offer: protocol::Offer) {
        let id = offer.id;
        match self.send_offer(offer).await {
            Ok(bid) => {
                let bid = lentil_policy::route::RunnerBid {
                    runner: self.runner.clone(),
                    bid,
                };
                self.report(entry::Event::Bid(bid)).await;
            }
            Err(error) => {
                let team = self.team.as_deref().unwrap_or_default();
                log::debug!(request:% = id.request, team, runner:% = self.runner; "no bid: {error}");
            }
        }
    }

    async fn send_offer(&self, offer: protocol::Offer) -> Result<protocol::Bid, WireError> {
        let mut exchange = self.links.open(&self.runner).await?;
        exchange.sender.send(Message::Offer(offer)).await?;
        exchange.sender.finish();
        match exchange.receiver.recv().await? {
            Some(Message::Bid(bid)) => Ok(bid),
            other => Err(unexpected("bid", other)),
        }
    }

    async fn report_lost(&self, id: AttemptId, sent: bool) {
        let runner = self.runner.clone();
        self.report(entry::Event::Disconnected { runner, id, sent })
            .await;
    }

    async fn report(&self, event: entry::Event) {
        // Fails only when the process stops and the driver is gone.
        let _ = self.answers.send(Input::Event(event)).await;
    }

    fn warn(&self, id: AttemptId, what: &str, error: &WireError) {
        let team = self.team.as_deref().unwrap_or_default();
        log::warn!(request:% = id.request, attempt:% = id.attempt, team, runner:% = self.runner; "{what}: {error}");
    }
}

/// Waits for a signal; `None` when the driver has given the attempt up.
async fn next_signal<T>(signals: &Receiver<Signal>) -> Result<T, Option<Signal>> {
    Err(signals.recv().await.ok())
}

fn to_event(runner: &RunnerName, message: Message) -> Result<entry::Event, WireError> {
    let runner = runner.clone();
    Ok(match message {
        Message::Started(started) => entry::Event::Started(runner, started),
        Message::Piece(piece) => entry::Event::Piece(runner, piece),
        Message::End(end) => entry::Event::Ended(runner, end),
        Message::Failed(failed) => entry::Event::Failed(runner, failed),
        Message::Withdrawn(withdrawn) => entry::Event::Withdrawn(runner, withdrawn),
        other => return Err(unexpected("an answer", Some(other))),
    })
}

fn unexpected(expected: &'static str, message: Option<Message>) -> WireError {
    match message {
        Some(message) => WireError::Unexpected {
            expected,
            got: message.name(),
        },
        None => WireError::StreamEnded(expected),
    }
}
