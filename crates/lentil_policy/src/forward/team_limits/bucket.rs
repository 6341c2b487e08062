//! The units of one team at one router.

use std::net;

use lentil_types::{Instant, Units};

use crate::forward::{
    routing::TeamLimit,
    team_limits::{Settings, owners::Ownership},
};

/// Fraction of the units of its urgency that large requests are saved for while they are
/// refused. Small and large ones get the same then.
const LARGE_SHARE: f64 = 0.5;
/// How much more than their share is saved for patient requests: some of it goes to others
/// when loans for them are not used.
const PATIENT_MARGIN: f64 = 1.1;
/// Fraction of [`Settings::excess`] by which more is generated than the limit says, for
/// units that are lost on their way or expire.
const EXTRA_SHARE: f64 = 0.25;

/// Kind of a request within its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Class {
    pub(super) is_urgent: bool,
    /// Whether one router's part is too small for it.
    pub(super) is_large: bool,
}

impl Class {
    /// Number of classes.
    pub(super) const COUNT: usize = 4;

    /// Index of the class in tables.
    pub(super) fn index(self) -> usize {
        usize::from(self.is_urgent) + 2 * usize::from(self.is_large)
    }
}

/// One owner's part of a limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part {
    /// Units per second.
    pub(super) rate: f64,
    /// Most units that are kept.
    pub(super) burst: f64,
    /// Units that small requests may use before they are there.
    pub(super) debt: f64,
}

impl Part {
    /// The part of each owner, without what compensates for losses.
    pub(super) fn nominal(limit: &TeamLimit, ownership: &Ownership) -> Self {
        let owners = ownership.owners.len().max(1) as f64;
        Self {
            rate: limit.rate.0 / owners,
            burst: limit.burst.0 as f64 / owners,
            debt: 0.0,
        }
    }

    /// This router's part.
    pub(super) fn of(settings: &Settings, limit: &TeamLimit, ownership: &Ownership) -> Self {
        let Units(burst) = limit.burst;
        let slack = settings.slack.0 as f64 / (2.0 * ownership.count as f64);
        let part = ownership.part;
        // Beyond a part, debts would only delay the refusals of an overloaded team.
        let debt = if part > 0.0 {
            slack.min((burst as f64 * part).max(1.0))
        } else {
            0.0
        };
        Self {
            rate: limit.rate.0 * (1.0 + settings.excess * EXTRA_SHARE) * part,
            burst: burst as f64 * part,
            debt,
        }
    }
}

/// Units that others than the ones they are saved for may not use.
#[derive(Clone, Copy, Debug, Default)]
struct Saving {
    units: f64,
    target: f64,
    until: Instant,
}

impl Saving {
    fn on_shortage(&mut self, now: Instant, settings: &Settings, target: f64) {
        self.target = if self.until <= now {
            target
        } else {
            self.target.max(target)
        };
        self.until = now + settings.window;
    }

    fn accrue(&mut self, now: Instant, units: f64) {
        if self.until <= now {
            *self = Self::default();
        } else {
            self.units = (self.units + units).min(self.target);
        }
    }

    fn restore(&mut self, units: f64) {
        self.units = (self.units + units).min(self.target);
    }

    fn spend(&mut self, units: f64) {
        self.units = (self.units - units).max(0.0);
    }
}

/// Where a loan is from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    pub(super) lender: net::IpAddr,
    /// The ask's.
    pub(super) nonce: u64,
    /// Units of the loan that were not given back.
    pub(super) kept: Units,
}

/// Units borrowed from another router.
#[derive(Clone, Copy, Debug)]
struct Loan {
    units: f64,
    /// `None` if they were refunded.
    source: Option<Source>,
    /// When refunded units were first charged.
    charged_at: Option<Instant>,
    expires_at: Instant,
    /// The request that they were borrowed for, and until when they wait for it.
    holder: Option<(u64, Instant)>,
}

impl Loan {
    fn is_usable(&self, now: Instant, request: Option<u64>) -> bool {
        self.expires_at > now
            && self
                .holder
                .is_none_or(|(holder, until)| request == Some(holder) || until <= now)
    }
}

/// The units of one team at one router.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    part: Part,
    /// Of the part; negative in debt.
    own: f64,
    filled_at: Instant,
    /// Those that expire first come first.
    loans: Vec<Loan>,
    /// For patient requests.
    patient: Saving,
    /// For large requests, by urgency: patient ones first. Those of patient ones are a part
    /// of `patient`.
    large: [Saving; 2],
}

impl Bucket {
    /// A full or empty bucket.
    pub(super) fn new(now: Instant, part: Part, is_full: bool) -> Self {
        Self {
            part,
            own: if is_full { part.burst } else { 0.0 },
            filled_at: now,
            loans: Vec::new(),
            patient: Saving::default(),
            large: [Saving::default(); 2],
        }
    }

    /// The part.
    pub(super) fn part(&self) -> Part {
        self.part
    }

    /// Whether there are borrowed units.
    pub(super) fn has_loans(&self) -> bool {
        !self.loans.is_empty()
    }

    /// When it was last filled.
    pub(super) fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Changes the part; what exceeds the new one is lost.
    pub(super) fn set_part(&mut self, now: Instant, settings: &Settings, part: Part) {
        self.fill(now, settings);
        self.part = part;
        self.own = self.own.min(part.burst);
    }

    /// Generates the units since the last call and drops expired loans.
    pub(super) fn fill(&mut self, now: Instant, settings: &Settings) {
        let generated = self.part.rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.own = (self.own + generated).min(self.part.burst);
        self.save(now, settings, generated);
        if self
            .loans
            .first()
            .is_some_and(|loan| loan.expires_at <= now)
        {
            self.loans.retain(|loan| loan.expires_at > now);
        }
    }

    /// Saves a part of the generated units.
    fn save(&mut self, now: Instant, settings: &Settings, units: f64) {
        let for_patient = units * (settings.patient_share * PATIENT_MARGIN).min(1.0);
        self.patient.accrue(now, for_patient);
        let [patient_large, urgent_large] = &mut self.large;
        patient_large.accrue(now, for_patient * LARGE_SHARE);
        urgent_large.accrue(now, (units - for_patient) * LARGE_SHARE);
    }

    /// Requests of a class are short of units; `target`: what is saved for them.
    pub(super) fn on_shortage(
        &mut self,
        now: Instant,
        settings: &Settings,
        class: Class,
        target: f64,
    ) {
        if !class.is_urgent {
            let share = self.part.burst * settings.patient_share;
            self.patient.on_shortage(now, settings, target.max(share));
        }
        if class.is_large {
            self.large[usize::from(class.is_urgent)].on_shortage(now, settings, target);
        }
    }

    /// Units that `request` may use, without those held for other requests.
    pub(super) fn available(&self, now: Instant, request: Option<u64>) -> f64 {
        let usable = self
            .loans
            .iter()
            .filter(|loan| loan.is_usable(now, request));
        self.own + usable.map(|loan| loan.units).sum::<f64>()
    }

    /// Units saved for other requests than those of a class, and for that class.
    fn saved(&self, class: Class) -> (f64, f64) {
        let [patient_large, urgent_large] = self.large.map(|saving| saving.units);
        let patient = self.patient.units;
        match (class.is_urgent, class.is_large) {
            (true, false) => (patient + urgent_large, 0.0),
            (true, true) => (patient, urgent_large),
            (false, false) => (urgent_large + patient_large, patient - patient_large),
            (false, true) => (urgent_large, patient),
        }
    }

    /// Units that a request of a class may use. `urgent_reserve`: what patient requests
    /// leave for urgent ones.
    pub(super) fn usable(
        &self,
        now: Instant,
        class: Class,
        urgent_reserve: f64,
        request: Option<u64>,
    ) -> f64 {
        let common = self.available(now, None);
        let held = self.available(now, request) - common;
        if common <= 0.0 {
            return common + held;
        }
        let (others, saved) = self.saved(class);
        // Loans are spent before they expire.
        let others = others.min(self.own.max(0.0));
        let reserve = if class.is_urgent { 0.0 } else { urgent_reserve };
        held + (common - others - reserve).max(saved).clamp(0.0, common)
    }

    /// Units that may be lent for a request of a class. `need`: what this router's own
    /// requests are expected to need.
    pub(super) fn lendable(&self, class: Class, need: f64) -> f64 {
        let (others, saved) = self.saved(class);
        let own = self.own.max(0.0);
        (self.own - others - need).max(saved).clamp(0.0, own)
    }

    /// Lends units of the part.
    pub(super) fn lend(&mut self, class: Class, units: f64) {
        self.own -= units;
        self.spend(class, units);
    }

    fn spend(&mut self, class: Class, units: f64) {
        if !class.is_urgent {
            self.patient.spend(units);
        }
        if class.is_large {
            self.large[usize::from(class.is_urgent)].spend(units);
        }
    }

    /// Another router lent units; they pay the debt first.
    pub(super) fn borrow(
        &mut self,
        source: Source,
        expires_at: Instant,
        holder: Option<(u64, Instant)>,
    ) {
        let units = source.kept.0 as f64;
        let paid = units.min((-self.own).max(0.0));
        self.own += paid;
        let units = units - paid;
        self.add_loan(Loan {
            units,
            source: Some(source),
            charged_at: None,
            expires_at,
            holder,
        });
    }

    fn add_loan(&mut self, loan: Loan) {
        if loan.units <= 0.0 {
            return;
        }
        let index = self
            .loans
            .partition_point(|other| other.expires_at <= loan.expires_at);
        self.loans.insert(index, loan);
    }

    /// Gives up borrowed units that are not needed. Returns the loans that they are from.
    /// `need`: what is kept; `least`: fewer units aren't worth a datagram.
    pub(super) fn give_back(&mut self, now: Instant, need: f64, least: f64) -> Vec<Source> {
        let mut excess = self.available(now, None) - need.max(0.0);
        let mut sources = Vec::new();
        for loan in &mut self.loans {
            if excess < least {
                break;
            }
            let units = loan.units.min(excess).floor();
            if let Some(source) = &mut loan.source
                && units >= least
                && loan.holder.is_none_or(|(_, until)| until <= now)
            {
                loan.units -= units;
                excess -= units;
                source.kept = source.kept.saturating_sub(Units(units as u64));
                sources.push(*source);
            }
        }
        self.loans.retain(|loan| loan.units > 0.0);
        sources
    }

    /// A router gives back units that this one lent. They are saved again for the class that
    /// they were lent to.
    pub(super) fn on_given_back(&mut self, class: Class, units: f64) {
        self.own = (self.own + units).min(self.part.burst);
        if !class.is_urgent {
            self.patient.restore(units);
        }
        if class.is_large {
            self.large[usize::from(class.is_urgent)].restore(units);
        }
    }

    /// Units held for a request are for all now.
    pub(super) fn release(&mut self, request: u64) {
        for loan in &mut self.loans {
            if loan.holder.is_some_and(|(holder, _)| holder == request) {
                loan.holder = None;
            }
        }
    }

    /// Takes units for a request, those that expire first. Returns when the oldest of them
    /// were first charged.
    pub(super) fn take(
        &mut self,
        now: Instant,
        class: Class,
        units: f64,
        request: Option<u64>,
    ) -> Instant {
        let mut charged_at = now;
        let mut remaining = units;
        for loan in &mut self.loans {
            if remaining <= 0.0 {
                break;
            }
            if loan.is_usable(now, request) {
                let taken = loan.units.min(remaining);
                loan.units -= taken;
                remaining -= taken;
                charged_at = charged_at.min(loan.charged_at.unwrap_or(now));
            }
        }
        self.loans.retain(|loan| loan.units > 0.0);
        self.own -= remaining;
        self.spend(class, remaining);
        charged_at
    }

    /// Gives units back that were first charged at `charged_at`: to the part, and what
    /// exceeds it as a loan.
    pub(super) fn refund(
        &mut self,
        now: Instant,
        settings: &Settings,
        units: f64,
        charged_at: Instant,
    ) {
        let to_part = units.min((self.part.burst - self.own).max(0.0));
        self.own += to_part;
        // Units that were charged long ago belong to another window.
        let last = charged_at + settings.loan_life * 2;
        self.add_loan(Loan {
            units: units - to_part,
            source: None,
            charged_at: Some(charged_at),
            expires_at: last.min(now + settings.loan_life),
            holder: None,
        });
    }
}
