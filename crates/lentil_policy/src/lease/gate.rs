//! Refuses orders of superseded lease holders.

use lentil_types::FencingNumber;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GateError {
    /// A newer holder has ordered here, or is known from the lease.
    #[error("fencing number {got} is stale; the highest known number is {highest}")]
    Stale {
        /// The order's number.
        got: FencingNumber,
        /// The highest known number.
        highest: FencingNumber,
    },
    /// This process has not read the lease since it started.
    #[error("the current fencing number is not known: the lease was not read yet")]
    NotLearned,
}

/// Refuses orders with stale fencing numbers, for an engine that does not check
/// them. Its state is lost on restart, so it refuses all orders until it learns
/// the number from the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// A gate that has learned no number.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns the number in the lease's object.
    pub fn learn(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// The highest known number.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }

    /// Checks and records an order's fencing number.
    ///
    /// # Errors
    /// [`GateError`] when the number is stale or none was learned.
    pub fn pass(&mut self, number: FencingNumber) -> Result<(), GateError> {
        let highest = self.highest.ok_or(GateError::NotLearned)?;
        if number < highest {
            return Err(GateError::Stale {
                got: number,
                highest,
            });
        }
        self.highest = Some(number);
        Ok(())
    }
}
