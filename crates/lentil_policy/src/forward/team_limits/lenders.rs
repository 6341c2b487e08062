//! What the other owners of one team are believed to have.

use std::{net, time};

use lentil_types::{Instant, Table, Units};

use crate::forward::{
    routing::TeamLimit,
    team_limits::{
        bucket::{Class, Part},
        owners::Ownership,
    },
};

/// Least fraction of its part that a lender is expected to have free. It is asked again now
/// and then, in case its own callers have left.
const MIN_GAIN: f64 = 1.0 / 32.0;

/// What a lender has for requests of one class.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    left: f64,
    at: Instant,
    /// Fraction of its part that it is expected to have free.
    gain: f64,
    answered_at: Option<Instant>,
}

impl Estimate {
    fn value(&self, now: Instant, part: Part) -> f64 {
        let accrued = part.rate * self.gain * now.since(self.at).as_secs_f64();
        (self.left + accrued).min(part.burst)
    }
}

/// The other owners of one team.
#[derive(Clone, Debug, Default)]
pub(super) struct Lenders {
    part: Part,
    /// By class.
    estimates: Table<net::IpAddr, [Estimate; Class::COUNT]>,
}

impl Lenders {
    /// The owners or the limit have changed.
    pub(super) fn set_owners(&mut self, now: Instant, limit: &TeamLimit, ownership: &Ownership) {
        self.part = Part::nominal(limit, ownership);
        self.estimates
            .retain(|lender, _| ownership.owners.binary_search(lender).is_ok());
        let owners = ownership.owners.iter();
        for &owner in owners.filter(|owner| Some(**owner) != ownership.own) {
            // A full part, until the first answer.
            let new = Estimate {
                left: f64::MAX,
                at: now,
                gain: 1.0,
                answered_at: None,
            };
            self.estimates
                .get_or_insert_with(owner, || [new; Class::COUNT]);
        }
    }

    /// Addresses of all.
    pub(super) fn all(&self) -> impl Iterator<Item = net::IpAddr> + '_ {
        self.estimates.keys().copied()
    }

    /// Lenders to ask for `lack` units, those with the most first, and what all of them are
    /// believed to have.
    pub(super) fn plan(
        &self,
        now: Instant,
        class: Class,
        lack: f64,
    ) -> (Vec<(net::IpAddr, Units)>, f64) {
        let estimates = self.estimates.iter();
        let mut lenders: Vec<_> = estimates
            .map(|(lender, by_class)| (by_class[class.index()].value(now, self.part), *lender))
            .filter(|(value, _)| *value >= 1.0)
            .collect();
        let total = lenders.iter().map(|(value, _)| value).sum();
        lenders.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut remaining = lack.ceil();
        let mut plan = Vec::new();
        for (value, lender) in lenders {
            if remaining < 1.0 {
                break;
            }
            let units = value.min(remaining).ceil();
            remaining -= units;
            plan.push((lender, Units(units as u64)));
        }
        (plan, total)
    }

    /// A lender is asked for units.
    pub(super) fn on_asked(
        &mut self,
        now: Instant,
        lender: net::IpAddr,
        class: Class,
        units: Units,
    ) {
        let part = self.part;
        if let Some(estimates) = self.estimates.get_mut(&lender) {
            let estimate = &mut estimates[class.index()];
            estimate.left = (estimate.value(now, part) - units.0 as f64).max(0.0);
            estimate.at = now;
        }
    }

    /// A lender has answered. `is_met`: whether it lent all that was asked.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        lender: net::IpAddr,
        class: Class,
        left: Units,
        is_met: bool,
    ) {
        if let Some(estimates) = self.estimates.get_mut(&lender) {
            let estimate = &mut estimates[class.index()];
            let gain = if is_met { 2.0 } else { 0.5 };
            *estimate = Estimate {
                left: left.0 as f64,
                at: now,
                gain: (estimate.gain * gain).clamp(MIN_GAIN, 1.0),
                answered_at: Some(now),
            };
        }
    }

    /// A lender that was asked at `asked_at` has not answered in time.
    pub(super) fn on_silence(&mut self, now: Instant, lender: net::IpAddr, asked_at: Instant) {
        if let Some(estimates) = self.estimates.get_mut(&lender) {
            for estimate in estimates {
                if estimate.at <= asked_at {
                    estimate.left = 0.0;
                    estimate.at = now;
                    estimate.gain = (estimate.gain / 2.0).max(MIN_GAIN);
                }
            }
        }
    }

    /// Age of the oldest answer; `None` if there is none.
    pub(super) fn age(&self, now: Instant) -> Option<time::Duration> {
        let estimates = self.estimates.values().flatten();
        let answers = estimates.filter_map(|estimate| estimate.answered_at);
        answers.min().map(|oldest| now.since(oldest))
    }
}
