//! A deterministic simulation of several nodes over a network that delays, reorders, duplicates and drops messages.
//!
//! Time is virtual and all random choices derive from one seed, so a run is reproducible. The harness simulates the
//! platform, the targets and the callers. It records which orders the targets ran, and a test compares that at the end
//! with the outcomes that the callers received.
#![allow(dead_code, unused_imports, unreachable_pub, reason = "each test file uses its own part of the harness")]

pub mod callers;
pub mod faults;
pub mod sets;
pub mod world;

pub use self::callers::OrderOutcome;
pub use self::sets::set;
pub use self::world::Network;
pub use self::world::World;
