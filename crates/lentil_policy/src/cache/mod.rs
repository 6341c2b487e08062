//! What a sidecar knows of its engine's cache.

mod import;
mod view;

pub use import::ImportCost;
pub use view::{CacheView, Settings};
