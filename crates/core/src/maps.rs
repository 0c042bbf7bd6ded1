//! Hash maps with the same iteration order in every run.
//!
//! The standard library's maps are seeded at random. If a decision iterates over one, two runs with the same inputs
//! diverge, and a failure found in one run cannot be reproduced. These maps have a fixed seed. Keys chosen by untrusted
//! parties are hashed elsewhere (the flow table) or authenticated first (tickets).

use std::collections::HashMap;
use std::collections::HashSet;

use foldhash::fast::FixedState;

/// A hash map with a fixed seed.
pub type FixedHashMap<K, V> = HashMap<K, V, FixedState>;

/// A hash set with a fixed seed.
pub type FixedHashSet<K> = HashSet<K, FixedState>;
