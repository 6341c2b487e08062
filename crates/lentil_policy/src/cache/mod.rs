//! A sidecar's view of its engine's KV cache.

mod import;
mod view;

pub use import::ImportCost;
pub use view::{CacheView, Settings};
