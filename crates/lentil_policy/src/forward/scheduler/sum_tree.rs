//! An ordered set whose prefixes have known counts and weights.

/// Number and total weight of some keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sum {
    pub(super) count: u64,
    pub(super) weight: u64,
}

impl Sum {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.weight += other.weight;
    }
}

type Link = Option<usize>;

#[derive(Clone, Debug)]
struct Node<K> {
    key: K,
    weight: u64,
    /// Heap order of the tree.
    priority: u64,
    left: Link,
    right: Link,
    /// Sum of the subtree.
    sum: Sum,
}

/// A treap in a vector; all operations take O(log n) expected time. Its shape depends
/// only on the sequence of operations.
#[derive(Clone, Debug)]
pub(super) struct SumTree<K> {
    nodes: Vec<Option<Node<K>>>,
    free: Vec<usize>,
    root: Link,
    inserted: u64,
}

impl<K> Default for SumTree<K> {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            free: Vec::new(),
            root: None,
            inserted: 0,
        }
    }
}

impl<K: Ord + Clone> SumTree<K> {
    /// Adds a key that is not in the set.
    pub(super) fn insert(&mut self, key: K, weight: u64) {
        self.inserted += 1;
        let (before, after) = self.split(self.root, &key, false);
        let node = Node {
            key,
            weight,
            priority: mix(self.inserted),
            left: None,
            right: None,
            sum: Sum { count: 1, weight },
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.nodes.push(None);
            self.nodes.len() - 1
        });
        self.nodes[index] = Some(node);
        let before = self.merge(before, Some(index));
        self.root = self.merge(before, after);
    }

    /// Removes a key; `false` if it is not in the set.
    pub(super) fn remove(&mut self, key: &K) -> bool {
        let (before, rest) = self.split(self.root, key, false);
        let (own, after) = self.split(rest, key, true);
        if let Some(index) = own {
            self.nodes[index] = None;
            self.free.push(index);
        }
        self.root = self.merge(before, after);
        own.is_some()
    }

    /// Sum of the keys before this one.
    pub(super) fn before(&self, key: &K) -> Sum {
        let mut sum = Sum::default();
        let mut link = self.root;
        while let Some(node) = self.node(link) {
            if node.key < *key {
                sum.add(self.sum(node.left));
                sum.add(Sum {
                    count: 1,
                    weight: node.weight,
                });
                link = node.right;
            } else {
                link = node.left;
            }
        }
        sum
    }

    /// The smallest key and its weight.
    pub(super) fn first(&self) -> Option<(&K, u64)> {
        let mut node = self.node(self.root)?;
        while let Some(left) = self.node(node.left) {
            node = left;
        }
        Some((&node.key, node.weight))
    }

    /// Sum of all keys.
    pub(super) fn total(&self) -> Sum {
        self.sum(self.root)
    }

    fn node(&self, link: Link) -> Option<&Node<K>> {
        self.nodes[link?].as_ref()
    }

    fn sum(&self, link: Link) -> Sum {
        self.node(link).map_or_else(Sum::default, |node| node.sum)
    }

    fn children(&self, index: usize) -> (Link, Link) {
        let node = self.node(Some(index));
        node.map_or((None, None), |node| (node.left, node.right))
    }

    fn set_children(&mut self, index: usize, left: Link, right: Link) {
        let mut sum = self.sum(left);
        sum.add(self.sum(right));
        if let Some(node) = &mut self.nodes[index] {
            sum.add(Sum {
                count: 1,
                weight: node.weight,
            });
            (node.left, node.right, node.sum) = (left, right, sum);
        }
    }

    /// Splits a subtree into the keys before `key` and the rest. `inclusive`: `key` itself
    /// belongs to the first part.
    fn split(&mut self, link: Link, key: &K, inclusive: bool) -> (Link, Link) {
        let Some((index, node)) = link.zip(self.node(link)) else {
            return (None, None);
        };
        let goes_before = node.key < *key || inclusive && node.key == *key;
        let (left, right) = self.children(index);
        if goes_before {
            let (before, after) = self.split(right, key, inclusive);
            self.set_children(index, left, before);
            (Some(index), after)
        } else {
            let (before, after) = self.split(left, key, inclusive);
            self.set_children(index, after, right);
            (before, Some(index))
        }
    }

    /// Joins two subtrees; all keys of the first are smaller.
    fn merge(&mut self, first: Link, second: Link) -> Link {
        let (Some(a), Some(b)) = (first, second) else {
            return first.or(second);
        };
        let priority = |link| self.node(link).map_or(0, |node| node.priority);
        if priority(first) > priority(second) {
            let (left, right) = self.children(a);
            let right = self.merge(right, second);
            self.set_children(a, left, right);
            first
        } else {
            let (left, right) = self.children(b);
            let left = self.merge(first, left);
            self.set_children(b, left, right);
            second
        }
    }
}

/// Spreads consecutive numbers over all values (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
