//! Nested rendezvous hashing.
//!
//! Each piece of a prompt has homes among the homes of the piece before it: as
//! many as its share of the traffic asks for, taken in rendezvous order. Where
//! two neighbouring pieces have the same share, their homes are the same, so
//! the set narrows exactly where prompts part. The sets for different counts
//! are nested, so routers that disagree about a share still overlap.

use lentil_types::PieceHash;

/// A runner as rendezvous hashing sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node {
    /// Row of the runner in its table.
    pub(super) row: usize,
    /// Hash of its name.
    pub(super) seed: u64,
}

/// Moves the `spare + 1` best homes of a chain to the front of `nodes`, best
/// first. The first are homes of the last piece, then come those of the pieces
/// before. `counts` gives the number of homes of each piece.
pub(super) fn arrange(
    nodes: &mut [Node],
    chain: &[PieceHash],
    counts: impl Fn(PieceHash) -> usize,
    spare: usize,
) {
    let mut homes = nodes.len();
    for piece in chain {
        let count = counts(*piece).clamp(1, homes.max(1));
        if count < homes {
            narrow(&mut nodes[..homes], *piece, count, spare);
            homes = count;
        }
        if homes <= 1 {
            return;
        }
    }
    if let Some(last) = chain.last() {
        narrow(&mut nodes[..homes], *last, spare.min(homes), 0);
    }
}

/// Sorts the best `count + spare` nodes to the front.
fn narrow(nodes: &mut [Node], piece: PieceHash, count: usize, spare: usize) {
    let key = |node: &Node| std::cmp::Reverse(mix(piece.0 ^ node.seed));
    let wanted = count + spare;
    if wanted < nodes.len() {
        nodes.select_nth_unstable_by_key(wanted, key);
        nodes[..wanted].sort_unstable_by_key(key);
    } else {
        nodes.sort_unstable_by_key(key);
    }
}

/// Finaliser of the SplitMix64 generator.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
