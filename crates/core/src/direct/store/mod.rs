//! The contents of the store as an instance knows them: entries, routes and targets, how current they are, and which
//! instance watches the store.
//!
//! The store is only read. Of two entries the one with the higher revision is the later one, whichever instance it came
//! from, so instances need not agree on anything to exchange them.

pub mod directory;
pub mod directory_lag;
pub mod parts;
pub mod routes;
pub mod store_entries;
pub mod watch;
