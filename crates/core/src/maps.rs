//! Hash maps whose order is the same in every run.
//!
//! The standard library's maps are seeded at random. Where a decision walks over one, two runs with the same inputs
//! would part, and a failure found once could not be played again. These have a fixed seed. Keys that strangers choose
//! are hashed elsewhere (the flow table) or signed first (tickets).

use std::collections::HashMap;
use std::collections::HashSet;

use foldhash::fast::FixedState;

/// A hash map whose order is the same in every run.
pub type Map<K, V> = HashMap<K, V, FixedState>;

/// A hash set whose order is the same in every run.
pub type Set<K> = HashSet<K, FixedState>;
