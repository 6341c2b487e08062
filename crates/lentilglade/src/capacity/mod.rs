//! Slopes from which `docs/CAPACITY.md` works out each role.
//!
//! Each measurement is made at several points; a straight line through them
//! gives the cost of one more block, runner or peer.

mod cache;
mod fit;
mod peers;
mod process;
mod proxy;
mod sync;
mod text;

pub use fit::{Fit, Point};
pub use peers::{PeerFigures, PeerSettings, measure as peers};

/// One line through several points.
#[derive(Clone, Debug)]
pub struct Line {
    /// What was measured, with the units of x and y.
    pub name: &'static str,
    /// The points.
    pub points: Vec<Point>,
}

impl Line {
    /// The straight line nearest to the points.
    pub fn fit(&self) -> Fit {
        Fit::of(&self.points)
    }
}

/// Every line that needs no other process. Memory comes first: the times leave
/// freed memory behind, which would be counted as free.
pub fn lines() -> Vec<Line> {
    let memory = [sync::memory(), text::memory(), cache::memory()];
    let rest = [
        cache::time(),
        text::size(),
        text::parse(),
        text::edit(),
        sync::tick(),
    ];
    [memory.to_vec(), rest.to_vec()].concat()
}
