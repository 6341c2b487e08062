//! Refuses orders with old fencing numbers.

use lentil_types::FencingNumber;

/// An order may not pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GateError {
    /// A newer holder has ordered here, or is known from the lease.
    #[error("fencing number {got} is old; the highest known is {highest}")]
    Stale {
        /// The order's number.
        got: FencingNumber,
        /// The highest number known.
        highest: FencingNumber,
    },
    /// This process has not read the lease since it began.
    #[error("the fencing number in force is not known yet")]
    NotLearned,
}

/// Refuses orders with old fencing numbers, for an engine that does not. Its
/// memory is gone when its process restarts, so it passes nothing until it has
/// learned the number in force from the lease itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// A gate that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the number that the lease's object has.
    pub fn learn(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// The highest number known.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }

    /// Lets an order pass, and remembers its number.
    ///
    /// # Errors
    /// [`GateError`] when the number is old or none was learned.
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
