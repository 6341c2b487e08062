//! Nested rendezvous hashing.
//!
//! The homes of a piece are chosen among the homes of the piece before it, in
//! rendezvous order, and their number follows the piece's share of the traffic.
//! Neighbouring pieces with the same share have the same homes, so the set
//! narrows only where prompts diverge. The sets for different counts are
//! nested, so routers with different estimates of a share still overlap.

use lentil_types::PieceHash;

/// A runner as input to rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node {
    /// Index in the router's table.
    pub(super) row: usize,
    /// Hash of the runner's name.
    pub(super) seed: u64,
}

/// Moves the `spare + 1` best homes of a chain to the front of `nodes`, best
/// first: those of the last piece, then those of the pieces before it. `counts`
/// returns the number of homes of a piece.
pub(super) fn sort_homes(
    nodes: &mut [Node],
    chain: &[PieceHash],
    counts: impl Fn(PieceHash) -> usize,
    spare: usize,
) {
    let mut homes = nodes.len();
    for piece in chain {
        let count = counts(*piece).clamp(1, homes.max(1));
        if count < homes {
            sort_best(&mut nodes[..homes], *piece, count, spare);
            homes = count;
        }
        if homes <= 1 {
            return;
        }
    }
    if let Some(last) = chain.last() {
        sort_best(&mut nodes[..homes], *last, spare.min(homes), 0);
    }
}

/// Sorts the best `count + spare` nodes to the front.
fn sort_best(nodes: &mut [Node], piece: PieceHash, count: usize, spare: usize) {
    let key = |node: &Node| std::cmp::Reverse(mix(piece.0 ^ node.seed));
    let wanted = count + spare;
    if wanted < nodes.len() {
        nodes.select_nth_unstable_by_key(wanted, key);
        nodes[..wanted].sort_unstable_by_key(key);
    } else {
        nodes.sort_unstable_by_key(key);
    }
}

/// Finalizer of the SplitMix64 generator.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
