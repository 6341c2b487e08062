//! A sidecar's view of its engine's KV cache, and the cost of imports into it.

mod import;
mod view;

pub use import::ImportCost;
pub use view::{CacheView, Settings};
