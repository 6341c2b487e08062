//! Settings of a fault search.

/// A deliberate defect of the policy, to show that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// Answers that broke off are reported as complete.
    ShortAnswers,
    /// Failures are reported as not run, whatever their outcome.
    FalseNotRun,
    /// Non-repeatable calls run without a claim.
    NoClaims,
    /// Every request has another fingerprint, also for the same content.
    NoFingerprints,
    /// Pieces are delivered without a check of their offset.
    NoOffsets,
    /// Sidecars ignore that they are leaving.
    NoLeaving,
}

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of entries.
    pub entries: usize,
    /// Engines, each with its sidecar.
    pub engines: usize,
    /// Plain backend servers, each with its sidecar.
    pub plain_servers: usize,
    /// Requests, without those that callers resend.
    pub requests: usize,
    /// Factor on the probabilities of all faults; 0 disables them.
    pub fault_rate: f64,
    /// Whether some of the requests crash their engines.
    pub poison: bool,
    /// Defect of the policy, if any.
    pub mutation: Option<Mutation>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 3,
            plain_servers: 2,
            requests: 60,
            fault_rate: 1.0,
            poison: true,
            mutation: None,
        }
    }
}
