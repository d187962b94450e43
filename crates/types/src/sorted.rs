//! Collections kept as sorted vectors.

/// A map stored as a vector sorted by key, with lookup by binary search.
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
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of a key, or the index at which to insert it.
    fn find(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(k, _)| k.cmp(key))
    }

    /// Returns a reference to the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.find(key).ok().map(|index| &self.entries[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.find(key).ok().map(|index| &mut self.entries[index].1)
    }

    /// Returns whether the map contains a key.
    pub fn contains(&self, key: &K) -> bool {
        self.find(key).is_ok()
    }

    /// Sets the value of a key and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns a mutable reference to the value of a key, inserting the result of `make` if the key
    /// is absent.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let index = match self.find(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes a key and returns its value, if it was present.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.find(key).ok().map(|index| self.entries.remove(index).1)
    }

    /// Removes all entries for which `keep` returns false.
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

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an iterator over the entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, v)| (k, v))
    }

    /// Returns an iterator over the entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Returns an iterator over the keys in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.iter().map(|(k, _)| k)
    }

    /// Consumes the map and returns its values in key order.
    pub fn into_values(self) -> Vec<V> {
        self.entries.into_iter().map(|(_, v)| v).collect()
    }

    /// Returns an iterator over the values in key order.
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

/// Inserts an item into a sorted vector without duplicates and returns whether it was absent.
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
        Err(index) => {
            list.insert(index, item);
            true
        }
    }
}
