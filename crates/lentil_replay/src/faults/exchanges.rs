//! Messages between entries and sidecars, and their faults.

use lentil_policy::{entry, protocol, sidecar};
use lentil_types::{AttemptId, Instant, RunnerName};

use super::{
    FaultKind,
    events::{Event, Link},
    world::World,
};

impl World {
    pub(super) fn runner(&self, name: &RunnerName) -> usize {
        let found = self.sidecars.iter().position(|node| node.name == *name);
        found.expect("a known runner")
    }

    pub(super) fn open_link(&mut self, entry: usize, runner: usize, id: AttemptId) -> u64 {
        let number = self.links.len() as u64 + 1;
        let link = Link {
            entry,
            entry_incarnation: self.entries[entry].incarnation,
            runner,
            runner_incarnation: self.sidecars[runner].incarnation,
            id,
            is_open: true,
            last_to_entry: Instant::ZERO,
            last_to_sidecar: Instant::ZERO,
        };
        self.links.insert(number, link);
        number
    }

    pub(super) fn send_offer(
        &mut self,
        entry: usize,
        sent_at: Instant,
        name: &RunnerName,
        offer: protocol::Offer,
    ) {
        if self.inject_fault(FaultKind::BidLost, 0.03) {
            return;
        }
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, offer.id);
        self.send_to_sidecar(
            number,
            sent_at,
            sidecar::Event::Offer(sidecar::LinkId(number), offer),
        );
    }

    pub(super) fn send_dispatch(
        &mut self,
        entry: usize,
        sent_at: Instant,
        name: &RunnerName,
        dispatch: Box<protocol::Dispatch>,
    ) {
        let runner = self.runner(name);
        let id = dispatch.offer.id;
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Dispatch(sidecar::LinkId(number), dispatch);
        if self.inject_fault(FaultKind::MessageLost, 0.01) {
            self.break_link(number);
        } else if self.inject_fault(FaultKind::MessageLate, 0.02) {
            self.break_link(number);
            let at = sent_at + self.random_millis(10, 20_000);
            let incarnation = self.sidecars[runner].incarnation;
            self.queue
                .push(at, Event::ToSidecar(runner, incarnation, Box::new(event)));
        } else {
            if self.inject_fault(FaultKind::MessageDoubled, 0.01) {
                self.send_to_sidecar(number, sent_at, event.clone());
            }
            self.send_to_sidecar(number, sent_at, event);
        }
        if self.inject_fault(FaultKind::LinkBroken, 0.04) {
            let at = sent_at + self.random_millis(1, 400);
            self.break_link_at(number, at);
        }
    }

    pub(super) fn send_cancel(
        &mut self,
        entry: usize,
        sent_at: Instant,
        name: &RunnerName,
        id: AttemptId,
    ) {
        let runner = self.runner(name);
        let matching = |(number, link): (&u64, &Link)| {
            let is_match = link.entry == entry && link.runner == runner && link.id == id;
            (is_match && link.is_open).then_some(*number)
        };
        let numbers: Vec<_> = self.links.iter().filter_map(matching).collect();
        for number in numbers {
            self.send_to_sidecar(number, sent_at, sidecar::Event::Cancel(id));
            let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
            self.send_to_sidecar(number, sent_at, lost);
        }
    }

    pub(super) fn send_withdraw(
        &mut self,
        entry: usize,
        sent_at: Instant,
        name: &RunnerName,
        id: AttemptId,
    ) {
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Withdraw(sidecar::LinkId(number), id);
        self.send_to_sidecar(number, sent_at, event);
    }

    pub(super) fn send_to_sidecar(&mut self, number: u64, sent_at: Instant, event: sidecar::Event) {
        let at = sent_at + self.random_latency();
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.is_open {
            return;
        }
        let at = link.next_to_sidecar(at);
        let (runner, incarnation) = (link.runner, link.runner_incarnation);
        self.queue
            .push(at, Event::ToSidecar(runner, incarnation, Box::new(event)));
    }

    pub(super) fn send_to_entry(&mut self, number: u64, event: &entry::Event) {
        if self.inject_fault(FaultKind::MessageLost, 0.003) {
            return;
        }
        let crossed = self.inject_fault(FaultKind::MessageCrossed, 0.003);
        let doubled = self.inject_fault(FaultKind::MessageDoubled, 0.003);
        let mut at = self.now + self.random_latency();
        if crossed {
            at = at + self.random_millis(5, 60);
        }
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.is_open {
            return;
        }
        let at = if crossed { at } else { link.next_to_entry(at) };
        let (entry, incarnation) = (link.entry, link.entry_incarnation);
        for _ in 0..=u32::from(doubled) {
            let event = Event::ToEntry(entry, incarnation, Box::new(event.clone()));
            self.queue.push(at, event);
        }
    }

    pub(super) fn break_link_at(&mut self, number: u64, at: Instant) {
        let Some(link) = self.links.get(&number).copied() else {
            return;
        };
        let name = self.sidecars[link.runner].name.clone();
        let lost = entry::Event::Disconnected {
            runner: name,
            id: link.id,
            sent: true,
        };
        let event = Event::ToEntry(link.entry, link.entry_incarnation, Box::new(lost));
        self.queue.push(at, event);
        let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
        let event = Event::ToSidecar(link.runner, link.runner_incarnation, Box::new(lost));
        self.queue.push(at, event);
    }

    /// Breaks a link and notifies both sides.
    pub(super) fn break_link(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.is_open {
            return;
        }
        link.is_open = false;
        let at = self.now + self.random_latency();
        self.break_link_at(number, at);
    }

    pub(super) fn break_links(&mut self, selects: impl Fn(&Link) -> bool) {
        let matching =
            |(number, link): (&u64, &Link)| (link.is_open && selects(link)).then_some(*number);
        let numbers: Vec<_> = self.links.iter().filter_map(matching).collect();
        for number in numbers {
            self.break_link(number);
        }
    }
}
