//! Fair sharing between teams.

use lentil_types::{Table, TeamName};

/// Virtual token counters: tokens served to each team, divided by its weight.
/// The team with the lowest counter is served next.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    weights: Table<TeamName, u32>,
    served: Table<TeamName, f64>,
}

impl Shares {
    /// Sets the weights; a team without one has 1. Tokens served before keep
    /// counting.
    pub(super) fn set(&mut self, weights: Table<TeamName, u32>) {
        self.weights = weights;
    }

    /// Tokens served to a team, divided by its weight.
    pub(super) fn served(&self, team: &TeamName) -> f64 {
        self.served.get(team).copied().unwrap_or_default()
    }

    /// Adds tokens to a team's counter; a negative number gives some back.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: f64) {
        let weight = self.weights.get(team).copied().unwrap_or(1).max(1);
        let served = self.served.get_or_insert_with(team.clone(), || 0.0);
        *served += tokens / f64::from(weight);
    }

    /// A team gets its first waiting job. Raises its counter to the minimum of
    /// the teams in `waiting`, so that idling earns no credit.
    pub(super) fn activate<'a>(
        &mut self,
        team: &TeamName,
        waiting: impl Iterator<Item = &'a TeamName>,
    ) {
        let least = waiting.map(|team| self.served(team)).min_by(f64::total_cmp);
        if let Some(least) = least {
            let served = self.served.get_or_insert_with(team.clone(), || 0.0);
            *served = served.max(least);
        }
    }
}
