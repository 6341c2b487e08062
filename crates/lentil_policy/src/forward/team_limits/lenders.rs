//! What the other owners of one team are believed to have.

use std::{net, time};

use lentil_types::{Instant, Table, Units};

use crate::forward::{
    routing::TeamLimit,
    team_limits::{
        bucket::{Class, Part},
        owners::{self, Ownership},
    },
};

/// Least fraction of a lender's rate that is expected to be free at once.
const MIN_GAIN: f64 = 1.0 / 64.0;
/// Age at which an answer says nothing about what is free now: callers move to other
/// routers within seconds.
const MAX_AGE: time::Duration = time::Duration::from_secs(1);

/// Fraction by which lenders with the same estimate may be reordered at random. Otherwise
/// all routers would ask the same ones at once.
const SPREAD: f64 = 0.5;
/// Weight of one answer in [`Lenders::means`].
const MEAN_WEIGHT: f64 = 0.25;

/// What a lender has for requests of one class.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// By its last answer, less what it was asked for since.
    left: f64,
    at: Instant,
    /// Fraction of its rate that has been free lately.
    gain: f64,
    /// Whether it did not answer the last ask.
    is_silent: bool,
    answered_at: Option<Instant>,
}

impl Estimate {
    /// The most that it may have free.
    fn most(&self, now: Instant, part: Part) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let gain = (self.gain + (age / MAX_AGE.as_secs_f64()).powi(2)).min(1.0);
        (self.left + part.rate * gain * age).min(part.burst)
    }

    /// What it is expected to have free, where lenders have `mean` on average.
    fn expected(&self, now: Instant, part: Part, mean: f64) -> f64 {
        let expected = self.most(now, part).min(mean.max(self.left));
        if self.is_silent {
            expected * MIN_GAIN
        } else {
            expected
        }
    }
}

/// Whom to ask for units.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    pub(super) lenders: Vec<(net::IpAddr, Units)>,
    /// The most that all lenders may have.
    pub(super) most: f64,
    /// What they are expected to have.
    pub(super) expected: f64,
}

/// The other owners of one team.
#[derive(Clone, Debug)]
pub(super) struct Lenders {
    part: Part,
    /// Distinguishes this router from others that ask the same lenders.
    seed: u64,
    /// What lenders had free on average when they were asked, by class. Callers use all
    /// routers alike or few of them, so that one answer says something of the others.
    means: [f64; Class::COUNT],
    /// By class.
    estimates: Table<net::IpAddr, [Estimate; Class::COUNT]>,
}

impl Default for Lenders {
    fn default() -> Self {
        Self {
            part: Part::default(),
            seed: 0,
            means: [f64::MAX; Class::COUNT],
            estimates: Table::new(),
        }
    }
}

impl Lenders {
    /// The owners or the limit have changed.
    pub(super) fn set_owners(&mut self, now: Instant, limit: &TeamLimit, ownership: &Ownership) {
        self.part = Part::nominal(limit, ownership);
        self.seed = ownership.own.map_or(0, |own| owners::score(own, 0));
        self.estimates
            .retain(|lender, _| ownership.owners.binary_search(lender).is_ok());
        let owners = ownership.owners.iter();
        for &owner in owners.filter(|owner| Some(**owner) != ownership.own) {
            // A full part, until the first answer.
            let new = Estimate {
                left: f64::MAX,
                at: now,
                gain: 1.0,
                is_silent: false,
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

    /// Lenders to ask for `wanted` units, those with the most first. `most_each`: the most
    /// that one is asked for; `least`: lenders that are not expected to have as much are not
    /// asked.
    pub(super) fn plan(
        &self,
        now: Instant,
        class: Class,
        wanted: f64,
        most_each: f64,
        least: f64,
    ) -> Plan {
        let mean = self.means[class.index()];
        let mut plan = Plan::default();
        let mut lenders = Vec::with_capacity(self.estimates.len());
        for (lender, by_class) in self.estimates.iter() {
            let estimate = by_class[class.index()];
            let most = estimate.most(now, self.part);
            let expected = estimate.expected(now, self.part, mean);
            plan.most += most;
            plan.expected += expected;
            if most >= 1.0 && expected >= least {
                let order = expected * (1.0 - SPREAD * fraction(now, *lender, self.seed));
                lenders.push((order, expected, most, *lender));
            }
        }
        lenders.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.3.cmp(&b.3)));
        let mut remaining = wanted;
        for (_, expected, most, lender) in lenders {
            if remaining <= 0.0 {
                break;
            }
            let units = most.min(remaining).min(most_each).ceil();
            remaining -= units.min(expected);
            plan.lenders.push((lender, Units(units as u64)));
        }
        plan
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
            estimate.left = (estimate.most(now, part) - units.0 as f64).max(0.0);
            estimate.at = now;
        }
    }

    /// A lender has lent `units` of the `asked` ones.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        lender: net::IpAddr,
        class: Class,
        asked: Units,
        (units, left): (Units, Units),
    ) {
        let mean = &mut self.means[class.index()];
        let free = (units.0 + left.0) as f64;
        *mean = mean.min(self.part.burst) * (1.0 - MEAN_WEIGHT) + free * MEAN_WEIGHT;
        if let Some(estimates) = self.estimates.get_mut(&lender) {
            for estimate in estimates.iter_mut() {
                estimate.is_silent = false;
            }
            let estimate = &mut estimates[class.index()];
            let gain = if units >= asked { 2.0 } else { 0.5 };
            *estimate = Estimate {
                left: left.0 as f64,
                at: now,
                gain: (estimate.gain * gain).clamp(MIN_GAIN, 1.0),
                is_silent: false,
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
                    estimate.gain = MIN_GAIN;
                    estimate.is_silent = true;
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

/// A number from 0 to 1 that differs between lenders, routers and times.
fn fraction(now: Instant, lender: net::IpAddr, seed: u64) -> f64 {
    let hash = owners::score(lender, seed ^ now.0);
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
