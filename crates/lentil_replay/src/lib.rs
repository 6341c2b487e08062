//! Replays recorded traces through the policy and checks the results. Also
//! searches for violated invariants under faults, and measures claims.

pub mod baseline;
mod bound_checks;
pub mod bounds;
pub mod claims;
pub mod commands;
pub mod engine;
mod error;
pub mod faults;
pub mod keeper;
mod model;
mod policy;
mod report;
mod scenario;
mod sim;
pub mod traffic;

pub use bound_checks::{Check, Runs, check_region};
pub use error::ReplayError;
pub use model::Model;
pub use policy::Policy;
pub use report::{ClassFigures, Figures, Report};
pub use scenario::{FAULT_AT, Fault, Region, Scenario, file_name, load};
pub use sim::{Setup, run};
