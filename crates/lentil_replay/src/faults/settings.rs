//! Settings of a fault search.

/// A deliberate defect of the policy, to show that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mutation {
    /// Answers that broke off are reported as complete.
    ShortAnswers,
    /// Failures are reported as not run, whatever their outcome.
    FalseNotRun,
    /// Non-repeatable calls are run without a claim.
    NoClaims,
    /// Every request has a fingerprint of its own, so that crashes by the same
    /// content are not recognised.
    NoFingerprints,
    /// Pieces are delivered without a check of their offset.
    NoOffsets,
    /// Sidecars ignore the event that tells them to leave.
    NoLeaving,
}

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with its sidecar.
    pub engines: usize,
    /// Number of plain backend servers, each with its sidecar.
    pub plain_servers: usize,
    /// Number of requests, without those that callers resend.
    pub requests: usize,
    /// Factor on the probabilities of all faults; 0 disables them.
    pub fault_rate: f64,
    /// Whether some of the requests crash their engines.
    pub poison: bool,
    /// Deliberate defect of the policy; `None` for the policy as it is.
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
