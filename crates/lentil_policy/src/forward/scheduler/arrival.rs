//! Order by rank, returning callers, lateness and arrival.

use std::collections;

use lentil_types::Instant;

use super::{Ahead, Entries, Ticket, Waiting, sum_tree::SumTree};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Returning,
    OnTime,
    Late,
}

type Key = (u8, Class, Instant, Ticket);

fn key(ticket: Ticket, waiting: &Waiting, is_late: bool) -> Key {
    let class = match (waiting.returns, is_late) {
        (true, _) => Class::Returning,
        (false, false) => Class::OnTime,
        (false, true) => Class::Late,
    };
    (waiting.rank, class, waiting.arrived, ticket)
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    order: SumTree<Key>,
    /// Requests that are not late yet.
    due: collections::BTreeSet<(Instant, Ticket)>,
}

impl Line {
    /// Reorders the requests that became late.
    pub(super) fn advance(&mut self, now: Instant, entries: &Entries) {
        while let Some(&(due, ticket)) = self.due.first()
            && now > due
        {
            self.due.pop_first();
            let waiting = &entries[&ticket];
            self.order.remove(&key(ticket, waiting, false));
            let cost = waiting.cost();
            self.order.insert(key(ticket, waiting, true), cost);
        }
    }

    pub(super) fn insert(&mut self, now: Instant, ticket: Ticket, waiting: &Waiting) {
        let is_late = now > waiting.due;
        if !is_late {
            self.due.insert((waiting.due, ticket));
        }
        self.order
            .insert(key(ticket, waiting, is_late), waiting.cost());
    }

    pub(super) fn remove(&mut self, ticket: Ticket, waiting: &Waiting) {
        let is_late = !self.due.remove(&(waiting.due, ticket));
        self.order.remove(&key(ticket, waiting, is_late));
    }

    pub(super) fn first(&self) -> Option<Ticket> {
        let ((_, _, _, ticket), _) = self.order.first()?;
        Some(*ticket)
    }

    pub(super) fn ahead(&self, ticket: Ticket, waiting: &Waiting) -> Ahead {
        let is_late = !self.due.contains(&(waiting.due, ticket));
        self.order.before(&key(ticket, waiting, is_late)).into()
    }

    /// Requests ahead of one that would arrive now and is not late.
    pub(super) fn ahead_of_new(&self, now: Instant, ticket: Ticket, waiting: &Waiting) -> Ahead {
        let new = Waiting {
            arrived: now,
            ..waiting.clone()
        };
        self.order.before(&key(ticket, &new, false)).into()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.total().count == 0
    }
}
