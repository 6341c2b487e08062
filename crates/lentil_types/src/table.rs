//! A table of entities, sorted by key.

/// A table of entities, kept as a vector sorted by key and searched by
/// bisection. Iteration is in key order, so it is the same on every run.
///
/// ```
/// let mut table = lentil_types::Table::new();
/// table.insert(2, "b");
/// table.insert(1, "a");
/// assert_eq!(table.get(&1), Some(&"a"));
/// assert_eq!(table.keys().copied().collect::<Vec<_>>(), [1, 2]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The entity with this key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&self.rows[at].1)
    }

    /// The entity with this key, to change it.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&mut self.rows[at].1)
    }

    /// Puts an entity in and returns the one that had this key before.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at].1, value)),
            Err(at) => {
                self.rows.insert(at, (key, value));
                None
            }
        }
    }

    /// The entity with this key, made by `make` where there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (key, make()));
                at
            }
        };
        &mut self.rows[at].1
    }

    /// Takes the entity with this key out.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(self.rows.remove(at).1)
    }

    /// Whether an entity has this key.
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).is_ok()
    }

    /// Keeps the entities for which `keep` is true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Number of entities.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no entity.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Entities in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Entities in key order, to change them.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Entities in key order, without their keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.rows.iter().map(|(_, value)| value)
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.rows.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Table<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = Self::new();
        for (key, value) in rows {
            table.insert(key, value);
        }
        table
    }
}
