//! Who watches the store and who asks whom, without a leader.

use lentil_types::NodeName;
use xxhash_rust::xxh3::xxh3_64;

/// The order of the live processes of one data centre by rendezvous hash. It
/// depends on their names alone, so processes that know the same peers agree.
#[derive(Clone, Debug)]
pub struct Tree {
    nodes: Vec<(u64, NodeName)>,
    watchers: usize,
    children: usize,
}

impl Tree {
    /// A tree over `nodes`, of which the first `watchers` ask nobody and each
    /// has at most `children` that ask it.
    pub fn new(
        nodes: impl IntoIterator<Item = NodeName>,
        watchers: usize,
        children: usize,
    ) -> Self {
        let keyed = |node: NodeName| (xxh3_64(node.as_bytes()), node);
        let mut nodes: Vec<_> = nodes.into_iter().map(keyed).collect();
        nodes.sort_unstable();
        nodes.dedup();
        Self {
            nodes,
            watchers,
            children,
        }
    }

    /// Place of a process in the order, from 0.
    pub fn rank(&self, node: &NodeName) -> Option<usize> {
        let key = xxh3_64(node.as_bytes());
        let found = self
            .nodes
            .binary_search_by(|(k, n)| (*k, n).cmp(&(key, node)));
        found.ok()
    }

    /// Whom a process asks, or `None` when it watches the store itself.
    pub fn parent(&self, node: &NodeName) -> Option<&NodeName> {
        let rank = self.rank(node)?;
        let (mut start, mut size) = (0, self.watchers);
        if rank < size || size == 0 {
            return None;
        }
        // Each level holds `children` for each of the level before, dealt out
        // one after the other, so that the levels' subtrees are of one size.
        while rank >= start + size + size * self.children {
            start += size;
            size *= self.children;
        }
        let parent = start + (rank - start - size) % size;
        self.nodes.get(parent).map(|(_, node)| node)
    }

    /// The processes that watch the store.
    pub fn watchers(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.iter().take(self.watchers).map(|(_, node)| node)
    }

    /// Number of asks between a process and the store.
    pub fn depth(&self, node: &NodeName) -> usize {
        let mut depth = 0;
        let mut at = node;
        while let Some(parent) = self.parent(at) {
            depth += 1;
            at = parent;
        }
        depth
    }
}
