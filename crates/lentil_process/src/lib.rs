//! What every process of lentilglade has.

mod clock;
pub mod logs;
pub mod signals;

pub use clock::Clock;
