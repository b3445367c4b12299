//! Dense typed indices, one newtype per entity.
//!
//! An index is only meaningful together with the [`Interner`](crate::Interner) that assigned it.

use crate::shard_hash;

/// Defines a newtype for a dense index with conversions from and to `usize`.
macro_rules! entity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(u32);

        impl From<usize> for $name {
            fn from(index: usize) -> Self {
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }
        }

        impl From<$name> for usize {
            fn from(entity: $name) -> usize {
                entity.0 as usize
            }
        }
    };
}

entity! {
    /// Index of a service, in the order in which this process first saw the names.
    ServiceIndex
}
entity! {
    /// Index of a data centre, in the order in which this process first saw the names.
    DataCentreIndex
}
entity! {
    /// Index of a backend server within its pool.
    ServerIndex
}

/// Identifies a permit within the pool that granted it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PermitId(u64);

impl PermitId {
    /// Creates an id from its number on the wire.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the permit on the wire.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Identifies a client account within this process, by a hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AccountKey(u64);

impl AccountKey {
    /// Creates the key of the account with this name.
    pub fn new(name: &str) -> Self {
        Self(shard_hash(name))
    }
}
