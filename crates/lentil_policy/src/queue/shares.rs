//! Tokens served to each team.

use lentil_types::{Table, TeamName};

/// Virtual counters: tokens served to each team, over its weight. The team with
/// the least is served next.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    weights: Table<TeamName, u32>,
    served: Table<TeamName, f64>,
}

impl Shares {
    /// Sets the weights; teams without one have 1. What was served before keeps
    /// counting.
    pub(super) fn set(&mut self, weights: Table<TeamName, u32>) {
        self.weights = weights;
    }

    /// Tokens served to a team, over its weight.
    pub(super) fn of(&self, team: &TeamName) -> f64 {
        self.served.get(team).copied().unwrap_or_default()
    }

    /// Adds tokens to a team's counter, or takes some back.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: f64) {
        let weight = self.weights.get(team).copied().unwrap_or(1).max(1);
        let served = self.served.get_or_insert_with(team.clone(), || 0.0);
        *served += tokens / f64::from(weight);
    }

    /// A team begins to wait beside those that do already. What it did not use
    /// while it was away is not saved up.
    pub(super) fn enter<'a>(
        &mut self,
        team: &TeamName,
        waiting: impl Iterator<Item = &'a TeamName>,
    ) {
        let least = waiting.map(|team| self.of(team)).min_by(f64::total_cmp);
        if let Some(least) = least {
            let served = self.served.get_or_insert_with(team.clone(), || 0.0);
            *served = served.max(least);
        }
    }
}
