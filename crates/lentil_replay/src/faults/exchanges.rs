//! What goes between entries and sidecars, and how it fails.

use lentil_policy::{entry, protocol, sidecar};
use lentil_types::{AttemptId, Instant, RunnerName};

use super::{
    FaultKind,
    network::{Link, What},
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
            entry_life: self.entries[entry].life,
            runner,
            runner_life: self.sidecars[runner].life,
            id,
            open: true,
            last_up: Instant::ZERO,
            last_down: Instant::ZERO,
        };
        self.links.insert(number, link);
        number
    }

    pub(super) fn send_offer(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        offer: protocol::Offer,
    ) {
        if self.strikes(FaultKind::BidLost, 0.03) {
            return;
        }
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, offer.id);
        self.down(
            number,
            out,
            sidecar::Event::Offer(sidecar::LinkId(number), offer),
        );
    }

    pub(super) fn send_dispatch(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        dispatch: Box<protocol::Dispatch>,
    ) {
        let runner = self.runner(name);
        let id = dispatch.offer.id;
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Dispatch(sidecar::LinkId(number), dispatch);
        if self.strikes(FaultKind::MessageLost, 0.01) {
            self.break_link(number);
        } else if self.strikes(FaultKind::MessageLate, 0.02) {
            self.break_link(number);
            let at = out + self.millis(10, 20_000);
            let life = self.sidecars[runner].life;
            self.agenda
                .push(at, What::ToSidecar(runner, life, Box::new(event)));
        } else {
            if self.strikes(FaultKind::MessageDoubled, 0.01) {
                self.down(number, out, event.clone());
            }
            self.down(number, out, event);
        }
        if self.strikes(FaultKind::LinkBroken, 0.04) {
            let at = out + self.millis(1, 400);
            self.break_link_at(number, at);
        }
    }

    pub(super) fn send_cancel(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        id: AttemptId,
    ) {
        let runner = self.runner(name);
        let is_its = |(number, link): (&u64, &Link)| {
            let ours = link.entry == entry && link.runner == runner && link.id == id;
            (ours && link.open).then_some(*number)
        };
        let numbers: Vec<_> = self.links.iter().filter_map(is_its).collect();
        for number in numbers {
            self.down(number, out, sidecar::Event::Cancel(id));
            let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
            self.down(number, out, lost);
        }
    }

    pub(super) fn send_withdraw(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        id: AttemptId,
    ) {
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Withdraw(sidecar::LinkId(number), id);
        self.down(number, out, event);
    }

    /// Sends a message down a link.
    pub(super) fn down(&mut self, number: u64, out: Instant, event: sidecar::Event) {
        let at = out + self.latency();
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        let at = link.down(at);
        let (runner, life) = (link.runner, link.runner_life);
        self.agenda
            .push(at, What::ToSidecar(runner, life, Box::new(event)));
    }

    /// Sends a message up a link.
    pub(super) fn up(&mut self, number: u64, event: &entry::Event) {
        if self.strikes(FaultKind::MessageLost, 0.003) {
            return;
        }
        let crossed = self.strikes(FaultKind::MessageCrossed, 0.003);
        let doubled = self.strikes(FaultKind::MessageDoubled, 0.003);
        let mut at = self.now + self.latency();
        if crossed {
            at = at + self.millis(5, 60);
        }
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        let at = if crossed { at } else { link.up(at) };
        let (entry, life) = (link.entry, link.entry_life);
        for _ in 0..=u32::from(doubled) {
            let what = What::ToEntry(entry, life, Box::new(event.clone()));
            self.agenda.push(at, what);
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
        let what = What::ToEntry(link.entry, link.entry_life, Box::new(lost));
        self.agenda.push(at, what);
        let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
        let what = What::ToSidecar(link.runner, link.runner_life, Box::new(lost));
        self.agenda.push(at, what);
    }

    /// Breaks a link: either side hears of it, each in its own time.
    pub(super) fn break_link(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        link.open = false;
        let at = self.now + self.latency();
        self.break_link_at(number, at);
    }

    pub(super) fn break_links(&mut self, of: impl Fn(&Link) -> bool) {
        let open = |(number, link): (&u64, &Link)| (link.open && of(link)).then_some(*number);
        let numbers: Vec<_> = self.links.iter().filter_map(open).collect();
        for number in numbers {
            self.break_link(number);
        }
    }
}
