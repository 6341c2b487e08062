//! Measures the costs from which `docs/CAPACITY.md` sizes each role.
//!
//! Each cost is measured at several sizes; the slope of a straight line through the
//! points is the cost of one more block, runner or peer.

mod cache;
mod config;
mod fit;
mod peers;
mod process;
mod proxy;
mod sync;

pub use fit::{Fit, Point};
pub use peers::{PeerSettings, Usage, measure as measure_peers};

/// A cost measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured, with the units of x and y; printed as a heading.
    pub name: &'static str,
    /// The measured points, smallest size first.
    pub points: Vec<Point>,
}

impl Series {
    /// The regression line through the points.
    pub fn fit(&self) -> Fit {
        Fit::of(&self.points)
    }
}

/// Makes every measurement that needs no other process. Memory comes first: the
/// timings leave freed memory in the process, which later allocations would reuse
/// without being counted.
pub fn measure_in_process() -> Vec<Series> {
    let memory = [sync::memory(), config::memory(), cache::memory()];
    let rest = [
        cache::time(),
        config::size(),
        config::parse(),
        config::edit(),
        sync::tick(),
    ];
    [memory.to_vec(), rest.to_vec()].concat()
}
