//! What a sidecar knows of its engine's cache.

mod view;

pub use view::{CacheView, Settings};
