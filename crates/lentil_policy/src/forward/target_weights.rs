//! The newest weights that each model is to be served with.

use lentil_types::{Instant, ModelName, Table, WeightsVersion};

/// Versions remembered for one model. A runner that is further behind counts as
/// outdated since the oldest of them.
const MAX_HISTORY: usize = 16;

/// Target versions of each model, and since when.
#[derive(Clone, Debug, Default)]
pub struct TargetWeights {
    /// Versions in ascending order; never empty.
    table: Table<ModelName, Vec<(WeightsVersion, Instant)>>,
}

impl TargetWeights {
    /// Sets the target of a model. `false` if it is not newer than the known one.
    pub fn on_target(
        &mut self,
        since: Instant,
        model: &ModelName,
        version: WeightsVersion,
    ) -> bool {
        let known = self.newest(model);
        if known.is_some_and(|(known, _)| known >= version) {
            return false;
        }
        let history = self.table.get_or_insert_with(model.clone(), Vec::new);
        if history.len() >= MAX_HISTORY {
            history.remove(0);
        }
        history.push((version, since));
        true
    }

    /// Target version of a model, and since when.
    pub fn newest(&self, model: &ModelName) -> Option<(WeightsVersion, Instant)> {
        self.table.get(model)?.last().copied()
    }

    /// See [`outdated_since`].
    pub fn outdated_since(&self, model: &ModelName, own: WeightsVersion) -> Option<Instant> {
        outdated_since(self.history(model), own)
    }

    /// Target versions of a model in ascending order, and since when.
    pub fn history(&self, model: &ModelName) -> &[(WeightsVersion, Instant)] {
        self.table.get(model).map_or(&[], Vec::as_slice)
    }

    /// The targets of all models.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, (WeightsVersion, Instant))> {
        let newest = |(model, history): (_, &Vec<_>)| Some((model, *history.last()?));
        self.table.iter().filter_map(newest)
    }
}

/// Since when version `own` has been outdated, by the `history` of targets; `None` if it
/// is not. Each version has its own deadline, so a newer target does not extend it.
pub fn outdated_since(
    history: &[(WeightsVersion, Instant)],
    own: WeightsVersion,
) -> Option<Instant> {
    let index = history.partition_point(|(version, _)| *version <= own);
    history.get(index).map(|(_, since)| *since)
}
