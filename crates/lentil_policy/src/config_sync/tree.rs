//! The distribution tree: who watches the store and who asks whom.

use lentil_types::NodeName;
use xxhash_rust::xxh3::xxh3_64;

/// The live processes of a data centre, ordered by rendezvous hash. Processes that
/// know the same peers agree on the order, because it depends on names alone.
#[derive(Clone, Debug)]
pub struct Tree {
    nodes: Vec<(u64, NodeName)>,
    watchers: usize,
    children: usize,
}

impl Tree {
    /// Builds a tree over `nodes`. The first `watchers` are its roots, and each
    /// node has at most `children`.
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

    /// Position of a process in the order, from 0.
    pub fn rank(&self, node: &NodeName) -> Option<usize> {
        let key = xxh3_64(node.as_bytes());
        let found = self
            .nodes
            .binary_search_by(|(k, n)| (*k, n).cmp(&(key, node)));
        found.ok()
    }

    /// The parent of a process; `None` if it watches the store itself.
    pub fn parent(&self, node: &NodeName) -> Option<&NodeName> {
        let rank = self.rank(node)?;
        let (mut start, mut size) = (0, self.watchers);
        if rank < size || size == 0 {
            return None;
        }
        // Each level holds `children` nodes for each node of the level above,
        // assigned round-robin, so that subtrees differ little in size.
        while rank >= start + size + size * self.children {
            start += size;
            size *= self.children;
        }
        let parent = start + (rank - start - size) % size;
        self.nodes.get(parent).map(|(_, node)| node)
    }

    /// The processes that watch the store, in order.
    pub fn watchers(&self) -> impl Iterator<Item = &NodeName> {
        self.nodes.iter().take(self.watchers).map(|(_, node)| node)
    }

    /// Number of levels above a process; 0 for a watcher.
    pub fn depth(&self, node: &NodeName) -> usize {
        let mut depth = 0;
        let mut current = node;
        while let Some(parent) = self.parent(current) {
            depth += 1;
            current = parent;
        }
        depth
    }
}
