//! A map kept as a sorted vector.

/// A map in a sorted vector, searched by halving.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::SortedMap;
///
/// let mut map = SortedMap::new();
/// map.insert(2, "two");
/// map.insert(1, "one");
/// assert_eq!(map.get(&1), Some(&"one"));
/// assert_eq!(map.keys().copied().collect::<Vec<_>>(), [1, 2]);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K, V> SortedMap<K, V>
where
    K: Ord,
{
    /// Returns an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(k, _)| k.cmp(key))
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.find(key).ok().map(|at| &self.entries[at].1)
    }

    /// Returns the value of a key for change.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.find(key).ok().map(|at| &mut self.entries[at].1)
    }

    /// Tells whether the key is present.
    pub fn contains(&self, key: &K) -> bool {
        self.find(key).is_ok()
    }

    /// Sets the value of a key and returns the former one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.entries[at].1, value)),
            Err(at) => {
                self.entries.insert(at, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key, made first where it is missing.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, (key, make()));
                at
            }
        };
        &mut self.entries[at].1
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.find(key).ok().map(|at| self.entries.remove(at).1)
    }

    /// Keeps the entries that pass.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.entries.retain_mut(|(k, v)| keep(k, v));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Walks the entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Walks the entries for change, in the order of their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Walks the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.iter().map(|(k, _)| k)
    }

    /// Returns the values in the order of their keys.
    pub fn into_values(self) -> Vec<V> {
        self.entries.into_iter().map(|(_, v)| v).collect()
    }

    /// Walks the values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.iter().map(|(_, v)| v)
    }
}

impl<K, V> FromIterator<(K, V)> for SortedMap<K, V>
where
    K: Ord,
{
    fn from_iter<I>(entries: I) -> Self
    where
        I: IntoIterator<Item = (K, V)>,
    {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}

/// Inserts an item into a sorted list that does not have it yet; true where it was new.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::insert_sorted;
///
/// let mut list = vec![1, 3];
/// assert!(insert_sorted(&mut list, 2));
/// assert!(!insert_sorted(&mut list, 2));
/// assert_eq!(list, [1, 2, 3]);
/// ```
pub fn insert_sorted<T>(list: &mut Vec<T>, item: T) -> bool
where
    T: Ord,
{
    match list.binary_search(&item) {
        Ok(_) => false,
        Err(at) => {
            list.insert(at, item);
            true
        }
    }
}
