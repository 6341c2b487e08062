//! The newest weights that each model is to be served with.

use lentil_types::{Instant, ModelName, Table, WeightsVersion};

/// Target version of each model, and since when.
#[derive(Clone, Debug, Default)]
pub struct TargetWeights {
    table: Table<ModelName, (WeightsVersion, Instant)>,
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
        self.table.insert(model.clone(), (version, since));
        true
    }

    /// Target version of a model, and since when.
    pub fn newest(&self, model: &ModelName) -> Option<(WeightsVersion, Instant)> {
        self.table.get(model).copied()
    }

    /// The targets of all models.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, &(WeightsVersion, Instant))> {
        self.table.iter()
    }
}
