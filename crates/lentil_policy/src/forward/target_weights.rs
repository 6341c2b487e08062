//! The weights that models are to be served with.

use lentil_types::{Instant, ModelName, Table, WeightsVersion};

/// Newest weights of each model, and since when they are named.
#[derive(Clone, Debug, Default)]
pub struct TargetWeights {
    table: Table<ModelName, (WeightsVersion, Instant)>,
}

impl TargetWeights {
    /// Weights of a model were named at `at`. `false`: as new ones are known.
    pub fn on_target(&mut self, at: Instant, model: &ModelName, version: WeightsVersion) -> bool {
        let known = self.newest(model);
        if known.is_some_and(|(known, _)| known >= version) {
            return false;
        }
        self.table.insert(model.clone(), (version, at));
        true
    }

    /// Newest weights of a model, and since when they are named.
    pub fn newest(&self, model: &ModelName) -> Option<(WeightsVersion, Instant)> {
        self.table.get(model).copied()
    }

    /// Newest weights of all models.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelName, &(WeightsVersion, Instant))> {
        self.table.iter()
    }
}
