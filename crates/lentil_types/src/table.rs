//! A map in key order.

/// A map, kept as a vector sorted by key and looked up by binary search.
/// Iteration is in key order, so it is the same on every run.
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
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Value of this key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(&self.rows[index].1)
    }

    /// Value of this key, mutably.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(&mut self.rows[index].1)
    }

    /// Sets the value of a key and returns its previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Value of this key, inserted from `make` if absent.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.find(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, make()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let index = self.find(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Whether the key is present.
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).is_ok()
    }

    /// Removes rows for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Keys and values in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Keys and mutable values in key order.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.rows.iter().map(|(_, value)| value)
    }

    /// Row of a key, or where to insert it.
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
