//! Settings of a search.

/// A way in which the policy is broken on purpose, to show that the search
/// finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Sabotage {
    /// Answers that broke off are passed off as whole.
    ShortAnswers,
    /// Unknown outcomes are told as not-run.
    FalseNotRun,
    /// Calls that may not be repeated are treated like others.
    NoClaims,
    /// Every request has another fingerprint.
    NoFingerprints,
    /// Pieces are passed on without their offset being compared.
    NoOffsets,
    /// Sidecars forget that they are leaving.
    NoLeaving,
}

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Entries.
    pub entries: usize,
    /// Engines, each with its sidecar.
    pub engines: usize,
    /// Plain backend servers, each with its sidecar.
    pub plains: usize,
    /// Requests, without those that callers send again.
    pub requests: usize,
    /// Scales the rates of all faults; 0 for none.
    pub fault_rate: f64,
    /// Whether some requests crash their engines.
    pub poison: bool,
    /// How the policy is broken.
    pub sabotage: Option<Sabotage>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 3,
            plains: 2,
            requests: 60,
            fault_rate: 1.0,
            poison: true,
            sabotage: None,
        }
    }
}
