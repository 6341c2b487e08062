//! Feeds the policy and carries out its commands.

use std::{collections::HashMap, sync::Arc};

use lentil_policy::{entry, protocol, route};
use lentil_process::Clock;
use lentil_types::{AttemptId, Instant, RequestId, RunnerName};
use lentil_wire::{Exchange, Message, WireError};
use rand::SeedableRng as _;
use smol::channel::{Receiver, Sender};

use crate::{links, reply::Reply};

/// What reaches the driver.
pub(crate) enum Input {
    /// An event for the policy.
    Event(entry::Event),
    /// A new request; its reply goes out through the sender.
    Arrived(Box<entry::Arrival>, Sender<Reply>),
}

struct Driver {
    links: Arc<links::Links>,
    inputs: Sender<Input>,
    callers: HashMap<RequestId, Sender<Reply>>,
    attempts: HashMap<AttemptId, smol::Task<()>>,
}

/// Runs until every sender of inputs is gone.
pub(crate) async fn run(
    links: Arc<links::Links>,
    inbox: Receiver<Input>,
    inputs: Sender<Input>,
    clock: Clock,
) {
    let mut rng = rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng());
    let router = Box::new(route::LeastLoaded::new());
    let mut policy = entry::EntryPolicy::new(entry::Settings::default(), router);
    let mut driver = Driver {
        links,
        inputs,
        callers: HashMap::new(),
        attempts: HashMap::new(),
    };
    loop {
        match next_input(&inbox, &clock, policy.next_wake()).await {
            Some(Ok(Input::Event(event))) => policy.on_event(clock.now(), event),
            Some(Ok(Input::Arrived(arrival, caller))) => {
                driver.callers.insert(arrival.request, caller);
                policy.on_event(clock.now(), entry::Event::Arrived(arrival));
            }
            Some(Err(_)) => return,
            None => {}
        }
        for command in policy.tick(clock.now(), &mut rng) {
            driver.carry_out(command);
        }
    }
}

async fn next_input(
    inbox: &Receiver<Input>,
    clock: &Clock,
    wake: Instant,
) -> Option<Result<Input, smol::channel::RecvError>> {
    let input = async { Some(inbox.recv().await) };
    let timer = async {
        if wake == Instant::NEVER {
            smol::future::pending::<()>().await;
        }
        smol::Timer::after(clock.until(wake)).await;
        None
    };
    smol::future::or(input, timer).await
}

impl Driver {
    fn carry_out(&mut self, command: entry::Command) {
        use entry::Command;
        match command {
            Command::Offer(runner, offer) => {
                smol::spawn(ask(self.links.clone(), self.inputs.clone(), runner, offer)).detach();
            }
            Command::Dispatch(runner, dispatch) => self.dispatch(runner, dispatch),
            Command::Cancel(_, id) => drop(self.attempts.remove(&id)),
            Command::Withdraw(..) | Command::Store(_) => {}
            Command::Head {
                request,
                status,
                headers,
            } => {
                self.reply(request, Reply::Head { status, headers });
            }
            Command::Emit {
                request,
                offset,
                data,
            } => {
                self.reply(request, Reply::Piece { offset, data });
            }
            Command::Finish { request, ending } => {
                self.reply(request, Reply::End(ending));
                self.callers.remove(&request);
                self.attempts.retain(|_, task| !task.is_finished());
            }
        }
    }

    fn dispatch(&mut self, runner: RunnerName, dispatch: Box<protocol::Dispatch>) {
        let id = dispatch.offer.id;
        let attempt = attempt(self.links.clone(), self.inputs.clone(), runner, dispatch);
        self.attempts.insert(id, smol::spawn(attempt));
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        if let Some(caller) = self.callers.get(&request) {
            // A caller that is gone says so itself.
            let _ = caller.try_send(reply);
        }
    }
}

async fn ask(
    links: Arc<links::Links>,
    inputs: Sender<Input>,
    runner: RunnerName,
    offer: protocol::Offer,
) {
    match ask_inner(&links, &runner, offer).await {
        Ok(bid) => {
            let bid = route::RunnerBid { runner, bid };
            let _ = inputs.send(Input::Event(entry::Event::Bid(bid))).await;
        }
        Err(error) => log::debug!(runner:% = runner; "no bid: {error}"),
    }
}

async fn ask_inner(
    links: &links::Links,
    runner: &RunnerName,
    offer: protocol::Offer,
) -> Result<protocol::Bid, WireError> {
    let mut exchange = links.open(runner).await?;
    exchange.sender.send(&Message::Offer(offer)).await?;
    exchange.sender.finish()?;
    match exchange.receiver.recv().await? {
        Some(Message::Bid(bid)) => Ok(bid),
        Some(other) => Err(WireError::Unexpected {
            expected: "bid",
            got: other.name(),
        }),
        None => Err(WireError::Ended("bid")),
    }
}

async fn attempt(
    links: Arc<links::Links>,
    inputs: Sender<Input>,
    runner: RunnerName,
    dispatch: Box<protocol::Dispatch>,
) {
    let id = dispatch.offer.id;
    let exchange = match links.open(&runner).await {
        Ok(exchange) => exchange,
        Err(error) => {
            log::warn!(request:% = id.request, runner:% = runner; "not reached: {error}");
            let lost = entry::Event::Lost {
                runner,
                id,
                sent: false,
            };
            let _ = inputs.send(Input::Event(lost)).await;
            return;
        }
    };
    if let Err(error) = follow(exchange, &inputs, &runner, dispatch).await {
        log::warn!(request:% = id.request, runner:% = runner; "broke off: {error}");
        let lost = entry::Event::Lost {
            runner,
            id,
            sent: true,
        };
        let _ = inputs.send(Input::Event(lost)).await;
    }
}

/// Sends a dispatch and reports the answer up to its end.
async fn follow(
    mut exchange: Exchange,
    inputs: &Sender<Input>,
    runner: &RunnerName,
    dispatch: Box<protocol::Dispatch>,
) -> Result<(), WireError> {
    exchange.sender.send(&Message::Dispatch(dispatch)).await?;
    loop {
        let message = exchange
            .receiver
            .recv()
            .await?
            .ok_or(WireError::Ended("end"))?;
        let last = matches!(message, Message::End(_) | Message::Failed(_));
        let event = event_of(runner, message)?;
        let _ = inputs.send(Input::Event(event)).await;
        if last {
            // The sidecar may have closed the stream already.
            let _ = exchange.sender.finish();
            return Ok(());
        }
    }
}

fn event_of(runner: &RunnerName, message: Message) -> Result<entry::Event, WireError> {
    let runner = runner.clone();
    Ok(match message {
        Message::Started(started) => entry::Event::Started(runner, started),
        Message::Piece(piece) => entry::Event::Piece(runner, piece),
        Message::End(end) => entry::Event::Ended(runner, end),
        Message::Failed(failed) => entry::Event::Failed(runner, failed),
        other => {
            return Err(WireError::Unexpected {
                expected: "an answer",
                got: other.name(),
            });
        }
    })
}
