//! Maps keyed by dense typed indices, and the interner that assigns the indices.
//!
//! Invariant: an index never changes its name, and names are never removed.

use std::{collections::HashMap, marker::PhantomData};

/// A vector that is indexed by a typed index.
#[derive(Clone, Debug)]
pub struct EntityMap<Key, Value> {
    values: Vec<Value>,
    key: PhantomData<Key>,
}

impl<Key, Value> EntityMap<Key, Value>
where
    Key: Copy + From<usize> + Into<usize>,
{
    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            values: Vec::new(),
            key: PhantomData,
        }
    }

    /// Appends a value and returns its index.
    pub fn push(&mut self, value: Value) -> Key {
        self.values.push(value);
        Key::from(self.values.len() - 1)
    }

    /// Borrows the value at `key`; returns `None` if the index is out of bounds.
    pub fn get(&self, key: Key) -> Option<&Value> {
        self.values.get(key.into())
    }

    /// Mutably borrows the value at `key`; returns `None` if the index is out of bounds.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Value> {
        self.values.get_mut(key.into())
    }

    /// Iterates over all entries in index order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Value)> {
        self.values
            .iter()
            .enumerate()
            .map(|(index, value)| (Key::from(index), value))
    }

    /// Iterates over all entries in index order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Value)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(index, value)| (Key::from(index), value))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}

impl<Key, Value> Default for EntityMap<Key, Value>
where
    Key: Copy + From<usize> + Into<usize>,
{
    fn default() -> Self {
        Self::new()
    }
}

/// Assigns a dense index to each distinct name.
#[derive(Clone, Debug)]
pub struct Interner<Key> {
    names: Vec<String>,
    keys: HashMap<String, Key>,
}

impl<Key> Interner<Key>
where
    Key: Copy + From<usize> + Into<usize>,
{
    /// Creates an empty interner.
    pub fn new() -> Self {
        Self {
            names: Vec::new(),
            keys: HashMap::new(),
        }
    }

    /// Returns the index of `name`, assigning the next one if the name is new.
    pub fn intern(&mut self, name: &str) -> Key {
        if let Some(key) = self.find(name) {
            return key;
        }
        let key = Key::from(self.names.len());
        self.names.push(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Returns the index of `name`, if it has one.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.keys.get(name).copied()
    }

    /// Borrows the name of `key`; an index of another interner may yield an empty name.
    pub fn name(&self, key: Key) -> &str {
        self.names.get(key.into()).map_or("", String::as_str)
    }
}

impl<Key> Default for Interner<Key>
where
    Key: Copy + From<usize> + Into<usize>,
{
    fn default() -> Self {
        Self::new()
    }
}
